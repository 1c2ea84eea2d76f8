package limpetdispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetview"
)

// stubEngines is a set of stub engines whose methods serve as the functions of a
// limpetengine.Engine. The script of an engine determines how it responds to its
// next requests.
type stubEngines struct {
	mu          sync.Mutex
	scripts     map[string][]behaviour
	incarnation map[string]int
	// crashes holds the fingerprints of the requests reported to ReportCrash.
	crashes []uint64
	runs    map[string]int
}

// A behaviour is the way an engine responds to a request.
type behaviour int

const (
	answers behaviour = iota
	refuses
	unreachable
	breaksEarly
	breaksMidway
	stalls
	staysSilent
	truncates
	crashes
	losesChunk
	losesEndMark
)

const answerTokens = 6

func (engines *stubEngines) next(address string) behaviour {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	engines.runs[address]++
	list := engines.scripts[address]
	if len(list) == 0 {
		return answers
	}
	engines.scripts[address] = list[1:]
	return list[0]
}

func (engines *stubEngines) stream(ctx context.Context, address, _ string, params []byte, onData func([]byte) error) error {
	var p struct {
		Prompt string              `json:"prompt"`
		Resume limpetengine.Resume `json:"resume"`
	}
	if err := json.Unmarshal(params, &p); err != nil {
		return limpeterror.Invalid.Wrap(err, "params")
	}
	b := engines.next(address)
	switch b {
	case refuses, unreachable:
		return limpeterror.Unavailable.New("refused")
	case breaksEarly:
		return limpeterror.Unknown.New("reset")
	case staysSilent:
		<-ctx.Done()
		return limpeterror.Unknown.Wrap(ctx.Err(), "silent")
	}
	stop := "stop"
	for i := p.Resume.Tokens; i < answerTokens; i++ {
		if i == answerTokens/2 {
			switch b {
			case breaksMidway:
				return limpeterror.Unknown.New("reset")
			case crashes:
				engines.mu.Lock()
				engines.incarnation[address]++
				engines.mu.Unlock()
				return limpeterror.Unknown.New("reset")
			case stalls:
				<-ctx.Done()
				return limpeterror.Unknown.Wrap(ctx.Err(), "stalled")
			case truncates:
				return nil
			}
		}
		if b == losesChunk && i == answerTokens/2 {
			continue
		}
		c := limpetengine.Chunk{Index: i, Choices: []limpetengine.Choice{{Text: limpetstub.Token(p.Prompt, i)}}}
		if i == answerTokens-1 {
			c.Choices[0].FinishReason = &stop
		}
		data, _ := json.Marshal(c)
		if err := onData(data); err != nil {
			return err
		}
	}
	if b == losesEndMark {
		return limpeterror.Unknown.New("no end mark")
	}
	return nil
}

func (engines *stubEngines) load(_ context.Context, address string) (limpetengine.LoadReport, error) {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return limpetengine.LoadReport{Incarnation: fmt.Sprintf("%s/%d", address, engines.incarnation[address])}, nil
}

// newDispatcher returns a dispatcher that forwards to engines e1 to e3.
func newDispatcher(engines *stubEngines, state *limpetquarantine.State) (*limpetdispatch.Dispatcher, *limpetview.View) {
	engines.incarnation, engines.runs = map[string]int{}, map[string]int{}
	view := &limpetview.View{Config: limpetconfig.NewDocument(), Servers: map[string][]limpetroute.Candidate{}}
	for _, id := range []string{"e1", "e2", "e3"} {
		s := limpetroute.NewServer(limpetorder.Server{ID: id, Service: "drafts", Zone: "a", Address: id, Class: limpetorder.Standard})
		view.Servers["drafts"] = append(view.Servers["drafts"], limpetroute.Candidate{Server: s, Capacity: 8, Incarnation: id + "/0"})
	}
	var n atomic.Int64
	settings := limpetsettings.Default()
	dispatcher := limpetdispatch.New(limpetdispatch.Dependencies{
		Policy: limpetdispatch.NewPolicy(),
		View: func() *limpetview.View {
			v := *view
			engines.mu.Lock()
			defer engines.mu.Unlock()
			v.Quarantine = state.View()
			return &v
		},
		Engine: limpetengine.Engine{Stream: engines.stream, Load: engines.load},
		ReportCrash: func(fingerprint uint64, account, server string) {
			engines.mu.Lock()
			defer engines.mu.Unlock()
			engines.crashes = append(engines.crashes, fingerprint)
			state.Report(time.Now(), limpetquarantine.Crash{Fingerprint: fingerprint, Account: account, Server: server})
		},
		ReportServed: func(fingerprint uint64) {
			engines.mu.Lock()
			defer engines.mu.Unlock()
			state.Release(fingerprint)
		},
		ReportFailure: func(*limpetroute.Server) {},
		Tally:         limpetusage.NewTally("vm1", "vm1-1", time.Minute),
		Metrics:       limpetmetric.New(), Log: limpetlog.Discard(), Now: time.Now,
		NewID: func() string { return fmt.Sprint(n.Add(1)) },
	}, "a", settings.Limits, settings.Timing)
	return dispatcher, view
}

func completion(prompt string, text *strings.Builder) limpetdispatch.Completion {
	params := limpetengine.Params{}
	_ = params.Set("prompt", prompt)
	return limpetdispatch.Completion{
		ID: "r1", Account: limpetconfig.Account{Name: "desk", Weight: 1, Class: limpetconfig.Live}, Class: limpetconfig.Live,
		Service: "drafts", Params: params, Prompt: prompt, MaxTokens: answerTokens,
		Fingerprint: limpetquarantine.Fingerprint("desk", "drafts", []byte(prompt)),
		OnData: func(payload []byte) error {
			var c limpetengine.Chunk
			if err := json.Unmarshal(payload, &c); err != nil {
				return err
			}
			text.WriteString(c.Content())
			return nil
		},
	}
}

// sameScript returns the same script for all engines.
func sameScript(script ...behaviour) map[string][]behaviour {
	scripts := map[string][]behaviour{}
	for _, id := range []string{"e1", "e2", "e3"} {
		scripts[id] = append([]behaviour{}, script...)
	}
	return scripts
}

func TestCompletionAfterEngineFailure(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is the behaviour of the engine that gets the first attempt.
		first  behaviour
		within time.Duration
	}{
		{"no fault", answers, 0},
		{"refused", refuses, time.Second},
		{"unreachable", unreachable, time.Second},
		{"broken before the first token", breaksEarly, time.Second},
		{"broken midway", breaksMidway, time.Second},
		{"stalled midway", stalls, 4 * time.Second},
		{"silent connection", staysSilent, 11 * time.Second},
		{"truncated without an end mark", truncates, time.Second},
		{"crashed", crashes, time.Second},
		{"end mark lost", losesEndMark, 0},
		// Guards against answers without one of their tokens that end as complete.
		{"a chunk lost", losesChunk, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the caller gets each token of its response once, in time", t, func() {
					engines := &stubEngines{}
					once := []behaviour{c.first}
					dispatcher, _ := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
					wrapped := engines.stream
					dispatcher.Engine.Stream = func(ctx context.Context, address, path string, params []byte, onData func([]byte) error) error {
						engines.mu.Lock()
						if len(once) > 0 {
							engines.scripts = map[string][]behaviour{address: once}
							once = nil
						}
						engines.mu.Unlock()
						return wrapped(ctx, address, path, params, onData)
					}
					var text strings.Builder
					start := time.Now()
					_, err := dispatcher.Complete(context.Background(), completion("p", &text))
					So(err, ShouldBeNil)
					So(text.String(), ShouldEqual, limpetstub.Answer("p", answerTokens))
					So(time.Since(start), ShouldBeLessThanOrEqualTo, c.within)
				})
			})
		})
	}
}

// Guards against an engine in trouble that sends chunks without end, which filled the
// memory of the VM that keeps them to continue elsewhere.
func TestEndlessCompletions(t *testing.T) {
	Convey("an answer without end is given up", t, func() {
		const endlessBytes, maxSent = 64 << 20, 24 << 20
		dispatcher, _ := newDispatcher(&stubEngines{}, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
		sent, text := 0, strings.Repeat("x", 4000)
		dispatcher.Engine.Stream = func(_ context.Context, _, _ string, _ []byte, onData func([]byte) error) error {
			for n := 0; sent < endlessBytes; n++ {
				data := fmt.Appendf(nil, `{"id":"cmpl","choices":[{"text":%q,"finish_reason":null}],"index":%d}`, text, n)
				sent += len(data)
				if err := onData(data); err != nil {
					return err
				}
			}
			return limpeterror.Unknown.New("the engine stopped at last")
		}
		c := completion("p", nil)
		c.OnData = func([]byte) error { return nil }
		_, err := dispatcher.Complete(context.Background(), c)
		So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
		So(sent, ShouldBeLessThan, maxSent)
	})
}

func TestCompletionErrorTypes(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is the behaviour of the engine that gets the first attempt,
		// then that of all others.
		first, then behaviour
		notRun      bool
	}{
		{"all engines refuse", refuses, refuses, true},
		{"all engines unreachable", unreachable, unreachable, true},
		{"all engines break early", breaksEarly, breaksEarly, false},
		{"all engines break midway", breaksMidway, breaksMidway, false},
		{"one breaks, the others refuse", breaksEarly, refuses, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the error says that the request did not run only if that is certain", t, func() {
					engines := &stubEngines{}
					dispatcher, view := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
					engines.scripts = sameScript(c.then, c.then, c.then)
					first := limpetroute.Pick(view.Servers["drafts"], limpetroute.Query{Zone: "a", Prefix: limpetengine.PrefixHash("p")})
					engines.scripts[view.Servers["drafts"][first].ID][0] = c.first
					var text strings.Builder
					_, err := dispatcher.Complete(context.Background(), completion("p", &text))
					So(limpeterror.Is(err, limpeterror.Unavailable), ShouldEqual, c.notRun)
					So(limpeterror.Is(err, limpeterror.Unknown), ShouldEqual, !c.notRun)
					total := engines.runs["e1"] + engines.runs["e2"] + engines.runs["e3"]
					So(total, ShouldEqual, limpetsettings.Default().Limits.MaxAttempts)
				})
			})
		})
	}
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a request that crashed two servers is not sent to a third", t, func() {
			engines := &stubEngines{}
			dispatcher, _ := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
			engines.scripts = sameScript(crashes, crashes, crashes)
			var text strings.Builder
			_, err := dispatcher.Complete(context.Background(), completion("poison", &text))
			// The request ran, so that the error must not say that it did not.
			So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
			So(len(engines.crashes), ShouldEqual, 2)
			_, err = dispatcher.Complete(context.Background(), completion("poison", &text))
			So(limpeterror.Is(err, limpeterror.Denied), ShouldBeTrue)
			So(len(engines.crashes), ShouldEqual, 2)
			engines.scripts = nil
			var other strings.Builder
			_, err = dispatcher.Complete(context.Background(), completion("innocent", &other))
			So(err, ShouldBeNil)
		})
	})
}

// Guards against incident 21: samples under whose prompt two engines had crashed
// were refused for good.
func TestOwedRequestIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("an owed request under which servers crash is sent on once they are calm, and is not reported", t, func() {
			engines := &stubEngines{}
			dispatcher, _ := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
			engines.scripts = sameScript(crashes, crashes, crashes)
			var text strings.Builder
			c := completion("sample", &text)
			c.Owed = true
			for range 3 {
				_, err := dispatcher.Complete(context.Background(), c)
				So(err, ShouldNotBeNil)
			}
			engines.scripts = nil
			_, err := dispatcher.Complete(context.Background(), c)
			So(err, ShouldBeNil)
			So(engines.crashes, ShouldBeEmpty)
		})
	})
}

func TestNoRetryAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("the engine's stream is ended and no other attempt is made", t, func() {
			engines := &stubEngines{}
			dispatcher, _ := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
			var text strings.Builder
			c := completion("p", &text)
			c.OnData = func([]byte) error { return limpeterror.Invalid.New("caller gone") }
			_, err := dispatcher.Complete(context.Background(), c)
			So(limpetdispatch.IsCallerGone(err), ShouldBeTrue)
			So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
			So(engines.runs["e1"]+engines.runs["e2"]+engines.runs["e3"], ShouldEqual, 1)
		})
	})
}
