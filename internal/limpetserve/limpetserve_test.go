package limpetserve_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetserve"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetview"
)

// A fleet holds fake engines behind the adapter's seams. The script of an
// engine decides what it does with its next requests.
type fleet struct {
	mu          sync.Mutex
	scripts     map[string][]behaviour
	incarnation map[string]int
	crashes     []uint64
	runs        map[string]int
}

// A behaviour is what an engine does with a request.
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
	losesEndMark
)

const answerTokens = 6

func (f *fleet) next(address string) behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[address]++
	list := f.scripts[address]
	if len(list) == 0 {
		return answers
	}
	f.scripts[address] = list[1:]
	return list[0]
}

func (f *fleet) stream(ctx context.Context, address, _ string, params []byte, onData func([]byte) error) error {
	var p struct {
		Prompt string              `json:"prompt"`
		Resume limpetengine.Resume `json:"resume"`
	}
	if err := json.Unmarshal(params, &p); err != nil {
		return limpeterror.Invalid.Wrap(err, "params")
	}
	b := f.next(address)
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
				f.mu.Lock()
				f.incarnation[address]++
				f.mu.Unlock()
				return limpeterror.Unknown.New("reset")
			case stalls:
				<-ctx.Done()
				return limpeterror.Unknown.Wrap(ctx.Err(), "stalled")
			case truncates:
				return nil
			}
		}
		c := limpetengine.Chunk{Index: i, Choices: []limpetengine.Choice{{Text: limpetstub.Word(p.Prompt, i)}}}
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

func (f *fleet) load(_ context.Context, address string) (limpetengine.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return limpetengine.Load{Incarnation: fmt.Sprintf("%s/%d", address, f.incarnation[address])}, nil
}

// newServer returns a server in front of engines e1 to e3.
func newServer(f *fleet, state *limpetquarantine.State) (*limpetserve.Server, *limpetview.View) {
	f.incarnation, f.runs = map[string]int{}, map[string]int{}
	view := &limpetview.View{Config: limpetconfig.NewDocument(), Servers: map[string][]limpetroute.Candidate{}}
	for _, id := range []string{"e1", "e2", "e3"} {
		s := limpetroute.NewServer(limpetorder.Server{ID: id, Service: "drafts", Zone: "a", Address: id, Class: limpetorder.Standard})
		view.Servers["drafts"] = append(view.Servers["drafts"], limpetroute.Candidate{Server: s, Capacity: 8, Incarnation: id + "/0"})
	}
	var n atomic.Int64
	settings := limpetsettings.Default()
	server := limpetserve.New(limpetserve.Seams{
		Policy: limpetserve.NewPolicy(),
		View: func() *limpetview.View {
			v := *view
			f.mu.Lock()
			defer f.mu.Unlock()
			v.Quarantine = state.View()
			return &v
		},
		Engine: limpetengine.Engine{Stream: f.stream, Load: f.load},
		Crashed: func(fingerprint uint64, account, server string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.crashes = append(f.crashes, fingerprint)
			state.Report(time.Now(), fingerprint, account, server)
		},
		Failed:  func(*limpetroute.Server) {},
		Tally:   limpetusage.NewTally("vm1", "vm1-1", time.Minute),
		Metrics: limpetmetric.New(), Log: limpetlog.Discard(), Now: time.Now,
		Unique: func() string { return fmt.Sprint(n.Add(1)) },
	}, "a", settings.Limits, settings.Timing)
	return server, view
}

func completion(prompt string, text *strings.Builder) limpetserve.Completion {
	params := limpetengine.Params{}
	_ = params.Set("prompt", prompt)
	return limpetserve.Completion{
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

// everyEngine gives the same script to all engines.
func everyEngine(script ...behaviour) map[string][]behaviour {
	scripts := map[string][]behaviour{}
	for _, id := range []string{"e1", "e2", "e3"} {
		scripts[id] = append([]behaviour{}, script...)
	}
	return scripts
}

func TestCompletionSurvives(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is what the first engine that gets the request does.
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
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the caller gets each token of its own answer once, in time", t, func() {
					f := &fleet{}
					once := []behaviour{c.first}
					server, _ := newServer(f, limpetquarantine.New(time.Minute))
					wrapped := f.stream
					server.Engine.Stream = func(ctx context.Context, address, path string, params []byte, onData func([]byte) error) error {
						f.mu.Lock()
						if len(once) > 0 {
							f.scripts = map[string][]behaviour{address: once}
							once = nil
						}
						f.mu.Unlock()
						return wrapped(ctx, address, path, params, onData)
					}
					var text strings.Builder
					began := time.Now()
					_, err := server.Complete(context.Background(), completion("p", &text))
					So(err, ShouldBeNil)
					So(text.String(), ShouldEqual, limpetstub.Answer("p", answerTokens))
					So(time.Since(began), ShouldBeLessThanOrEqualTo, c.within)
				})
			})
		})
	}
}

func TestFailuresTellTheTruth(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is what the first engine does, then what all others do.
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
				Convey("the error says not run only when that is certain", t, func() {
					f := &fleet{}
					server, view := newServer(f, limpetquarantine.New(time.Minute))
					f.scripts = everyEngine(c.then, c.then, c.then)
					first := limpetroute.Pick(view.Servers["drafts"], limpetroute.Query{Zone: "a", Prefix: limpetengine.PrefixHash("p")})
					f.scripts[view.Servers["drafts"][first].ID][0] = c.first
					var text strings.Builder
					_, err := server.Complete(context.Background(), completion("p", &text))
					So(limpeterror.Is(err, limpeterror.Unavailable), ShouldEqual, c.notRun)
					So(limpeterror.Is(err, limpeterror.Unknown), ShouldEqual, !c.notRun)
					total := f.runs["e1"] + f.runs["e2"] + f.runs["e3"]
					So(total, ShouldEqual, limpetsettings.Default().Limits.Retries)
				})
			})
		})
	}
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a request that crashes two servers crashes no third", t, func() {
			f := &fleet{}
			server, _ := newServer(f, limpetquarantine.New(time.Minute))
			f.scripts = everyEngine(crashes, crashes, crashes)
			var text strings.Builder
			_, err := server.Complete(context.Background(), completion("poison", &text))
			// It did run, so that the answer must not be a refusal.
			So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
			So(len(f.crashes), ShouldEqual, 2)
			_, err = server.Complete(context.Background(), completion("poison", &text))
			So(limpeterror.Is(err, limpeterror.Denied), ShouldBeTrue)
			So(len(f.crashes), ShouldEqual, 2)
			f.scripts = nil
			var other strings.Builder
			_, err = server.Complete(context.Background(), completion("innocent", &other))
			So(err, ShouldBeNil)
		})
	})
}

func TestCallerThatLeavesIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("the engine's stream ends and no other begins", t, func() {
			f := &fleet{}
			server, _ := newServer(f, limpetquarantine.New(time.Minute))
			var text strings.Builder
			c := completion("p", &text)
			c.OnData = func([]byte) error { return limpeterror.Invalid.New("caller gone") }
			_, err := server.Complete(context.Background(), c)
			So(limpetserve.IsCallerGone(err), ShouldBeTrue)
			So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
			So(f.runs["e1"]+f.runs["e2"]+f.runs["e3"], ShouldEqual, 1)
		})
	})
}

// A plainWorld holds a real plain service, for what the transport does.
type plainWorld struct {
	service *limpetstub.Service
	server  *limpetserve.Server
	claims  map[string]limpetclaim.Entry
	mu      sync.Mutex
}

func newPlainWorld(t *testing.T) *plainWorld {
	w := &plainWorld{service: &limpetstub.Service{Runs: map[string]int{}}, claims: map[string]limpetclaim.Entry{}}
	f := &fleet{}
	server, view := newServer(f, limpetquarantine.New(time.Minute))
	for _, id := range []string{"r1", "r2"} {
		h := httptest.NewServer(w.service)
		t.Cleanup(h.Close)
		s := limpetroute.NewServer(limpetorder.Server{ID: id, Service: "records", Zone: "a", Address: strings.TrimPrefix(h.URL, "http://")})
		view.Servers["records"] = append(view.Servers["records"], limpetroute.Candidate{Server: s, Capacity: 8})
	}
	server.Claim = func(_ context.Context, r limpetclaim.Request) (limpetclaim.Entry, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		s := limpetclaim.Segment{Entries: w.claims}
		limpetclaim.Apply(s, r, time.Now())
		return s.Entries[r.Claim], nil
	}
	w.server = server
	return w
}

func (w *plainWorld) runs(body string) int {
	w.service.Lock()
	defer w.service.Unlock()
	return w.service.Runs[body]
}

func (w *plainWorld) cut(n int) {
	w.service.Lock()
	defer w.service.Unlock()
	w.service.Cut = n
}

func (w *plainWorld) call(method, key, body string, idempotent bool) (limpetserve.Answer, error) {
	a, _, err := w.server.Call(context.Background(), limpetserve.Call{
		ID: "r", Account: limpetconfig.Account{Name: "desk", Weight: 1, Class: limpetconfig.Live},
		Service: limpetconfig.Service{Name: "records", Kind: limpetconfig.Plain, Path: "/records", Idempotent: idempotent},
		Method:  method, Target: "/records/x", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte(body), IdempotencyKey: key,
	})
	return a, err
}

func TestPlainCallsRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name       string
		method     string
		body       string
		idempotent bool
		cut        int
		runs       int
		ok         bool
	}{
		{"answered", http.MethodPost, "fee", false, 0, 1, true},
		{"broken after its effect", http.MethodPost, "fee", false, 1, 1, false},
		{"broken, without a body", http.MethodPost, "", false, 1, 1, false},
		{"broken, delete", http.MethodDelete, "", false, 1, 1, false},
		{"broken, idempotent service", http.MethodPost, "look", true, 1, 2, true},
		{"broken, get", http.MethodGet, "", false, 1, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the service counts the runs", t, func() {
				w := newPlainWorld(t)
				// Connections are open already, so that the transport could
				// repeat a request on another one.
				for range 4 {
					_, err := w.call(http.MethodGet, "", "warm", true)
					So(err, ShouldBeNil)
				}
				w.cut(c.cut)
				_, err := w.call(c.method, "key-1", c.body, c.idempotent)
				So(err == nil, ShouldEqual, c.ok)
				if !c.ok {
					So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
				}
				So(w.runs(c.body), ShouldEqual, c.runs)
			})
		})
	}
}

func TestResendGetsTheTruth(t *testing.T) {
	Convey("a re-send after an answer gets the answer", t, func() {
		w := newPlainWorld(t)
		_, err := w.call(http.MethodPost, "k", "fee", false)
		So(err, ShouldBeNil)
		a, err := w.call(http.MethodPost, "k", "fee", false)
		So(err, ShouldBeNil)
		So(a.Replayed, ShouldBeTrue)
		So(string(a.Body), ShouldEqual, "ran:fee")
		So(w.runs("fee"), ShouldEqual, 1)
	})
	Convey("a re-send after an unknown outcome is not run", t, func() {
		w := newPlainWorld(t)
		w.cut(1)
		_, err := w.call(http.MethodPost, "k", "fee", false)
		So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
		_, err = w.call(http.MethodPost, "k", "fee", false)
		So(limpeterror.Is(err, limpeterror.Conflict), ShouldBeTrue)
		So(w.runs("fee"), ShouldEqual, 1)
	})
	Convey("a key used with another body is refused", t, func() {
		w := newPlainWorld(t)
		_, err := w.call(http.MethodPost, "k", "fee", false)
		So(err, ShouldBeNil)
		_, err = w.call(http.MethodPost, "k", "other", false)
		So(limpeterror.Is(err, limpeterror.Invalid), ShouldBeTrue)
	})
	Convey("a claim that fails is not run", t, func() {
		w := newPlainWorld(t)
		w.server.Claim = func(context.Context, limpetclaim.Request) (limpetclaim.Entry, error) {
			return limpetclaim.Entry{}, limpeterror.Unknown.New("store")
		}
		_, err := w.call(http.MethodPost, "k", "fee", false)
		So(limpeterror.Is(err, limpeterror.Unavailable), ShouldBeTrue)
		So(w.runs("fee"), ShouldEqual, 0)
	})
}
