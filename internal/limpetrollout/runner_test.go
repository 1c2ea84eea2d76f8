package limpetrollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
)

// A world holds a store, a fleet's version, and the runner that owns the job.
type world struct {
	mu      sync.Mutex
	random  *rand.Rand
	stub    *limpetstub.Store
	version uint64
	job     limpetconfig.Job
	owners  int
	group   *limpettask.Group
	runner  *limpetrollout.Runner
	// generationFault decides what goes wrong with a generation.
	generationFault func(r *rand.Rand) error
	// replaceOnLoss replaces the owner when an answer is lost on its way.
	replaceOnLoss bool
	runs          int
}

func newWorld(seed uint64) *world {
	return &world{
		random: rand.New(rand.NewPCG(seed, 4)), stub: limpetstub.NewStore(), version: 1,
		job: limpetconfig.Job{Name: "notes", Account: "training", Service: "drafts", Staleness: 1, Publishes: true, Parallel: 8},
	}
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) currentVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// generate answers after a random time with the version of its begin and of
// its end.
func (w *world) generate(ctx context.Context, r limpetrollout.Request) (limpetrollout.Generation, error) {
	var g limpetrollout.Generation
	w.mu.Lock()
	w.runs++
	var err error
	if w.generationFault != nil {
		err = w.generationFault(w.random)
	}
	w.mu.Unlock()
	for i := range r.MaxTokens {
		if !limpettask.Sleep(ctx, time.Duration(10+w.intN(40))*time.Millisecond) {
			return g, ctx.Err()
		}
		version := w.currentVersion()
		if err := g.Labels.Add(i, version, "e1"); err != nil {
			return g, err
		}
		r.Progress(version)
	}
	g.Text = "answer to " + r.Prompt
	return g, err
}

// own starts a new owner; the former one is stopped unless it stays.
func (w *world) own(staysAlive bool) *limpettask.Group {
	former := w.group
	if former != nil && !staysAlive {
		_ = former.Stop()
	}
	w.owners++
	w.group = limpettask.New(context.Background())
	w.runner = limpetrollout.NewRunner(w.group, limpetrollout.Seams{
		Store: w.stub.Client(), Generate: w.generate, Stragglers: limpetrollout.Stragglers,
		Job: func() (limpetconfig.Job, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.job, true
		},
		Score: func(context.Context, limpetconfig.Job, string, string, string) (float64, error) { return 1, nil },
		Published: func(_ limpetconfig.Job, v uint64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.version = max(w.version, v)
		},
		Log: limpetlog.Discard(), Now: time.Now,
	}, w.job, fmt.Sprintf("owner%d", w.owners))
	return former
}

func call[T any](r *limpetrollout.Runner, op limpetrollout.Operation, body any) (T, error) {
	var zero T
	data, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	reply, err := r.Call(ctx, op, data)
	if err != nil {
		return zero, err
	}
	return reply.(T), nil
}

// retry repeats a call while it is refused for now or its outcome is unknown.
func retry[T any](w *world, op limpetrollout.Operation, body any) (T, error) {
	for {
		reply, err := call[T](w.runner, op, body)
		if limpeterror.Is(err, limpeterror.Unavailable) || limpeterror.Is(err, limpeterror.Unknown) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		return reply, err
	}
}

func spec(session uint64, step uint64) limpetrollout.Spec {
	s := limpetrollout.Spec{Step: step, Session: session, MaxTokens: 5}
	for g := range 6 {
		s.Groups = append(s.Groups, limpetrollout.Group{Prompt: fmt.Sprintf("p%d", g), Samples: 4})
	}
	return s
}

// collect runs one step to its end. Between fetches disturb may act. It fails
// when a sample came twice, stale, or with another prompt's text.
func (w *world) collect(session uint64, step uint64, disturb func(round int)) (samples int, fault error) {
	status, err := retry[limpetrollout.Status](w, limpetrollout.OpStep, spec(session, step))
	if err != nil {
		return 0, err
	}
	cursor := status.Cursor
	accepted := map[string]bool{}
	for round := 0; ; round++ {
		disturb(round)
		f, err := retry[limpetrollout.FetchReply](w, limpetrollout.OpFetch, limpetrollout.FetchRequest{Session: session, Cursor: cursor + 1, Max: 5, WaitMillis: 1000})
		if err != nil {
			return len(accepted), err
		}
		if f.Pending {
			continue
		}
		if w.intN(4) == 0 {
			// The answer was lost on its way: the same cursor is asked again.
			if w.replaceOnLoss {
				w.own(false)
			}
			if f, err = retry[limpetrollout.FetchReply](w, limpetrollout.OpFetch, limpetrollout.FetchRequest{Session: session, Cursor: cursor + 1, Max: 5}); err != nil {
				return len(accepted), err
			}
		}
		cursor++
		for _, s := range f.Samples {
			key := fmt.Sprintf("%d/%d/%d", s.Step, s.Group, s.Index)
			if accepted[key] {
				return len(accepted), fmt.Errorf("sample %s came twice", key)
			}
			accepted[key] = true
			if !limpetrollout.Fresh(f.Published, limpetrollout.Oldest(s.Versions), w.job.Staleness) {
				return len(accepted), fmt.Errorf("sample %s is stale: %v at %d", key, s.Versions, f.Published)
			}
			if s.Text != fmt.Sprintf("answer to p%d", s.Group) {
				return len(accepted), fmt.Errorf("sample %s has the text %q", key, s.Text)
			}
		}
		if f.Done {
			return len(accepted), nil
		}
	}
}

func TestStepSurvives(t *testing.T) {
	const whole = 24
	for _, c := range []struct {
		name    string
		prepare func(w *world)
		disturb func(w *world, session uint64, round int)
	}{
		{"no fault", nil, nil},
		{"the owner dies", nil, func(w *world, _ uint64, round int) {
			if round%3 == 2 {
				w.own(false)
			}
		}},
		{"the owner dies with an answer on its way", func(w *world) { w.replaceOnLoss = true }, nil},
		{"the owner is replaced and goes on", nil, func(w *world, _ uint64, round int) {
			if round == 2 {
				former := w.own(true)
				time.AfterFunc(20*time.Second, func() { _ = former.Stop() })
			}
		}},
		{"a version is published while samples run", nil, func(w *world, session uint64, round int) {
			if round%2 == 1 && round < 6 {
				_, _ = retry[limpetrollout.Status](w, limpetrollout.OpWeights, limpetrollout.WeightsRequest{Session: session, Version: w.currentVersion() + 1})
			}
		}},
		{"the bound is lowered while samples wait", nil, func(w *world, session uint64, round int) {
			if round == 1 {
				w.mu.Lock()
				w.job.Staleness = 0
				w.mu.Unlock()
				_, _ = retry[limpetrollout.Status](w, limpetrollout.OpWeights, limpetrollout.WeightsRequest{Session: session, Version: 2})
			}
		}},
		{"generations fail", func(w *world) {
			w.generationFault = func(r *rand.Rand) error {
				if r.IntN(3) == 0 {
					return limpeterror.Unknown.New("engine died")
				}
				return nil
			}
		}, nil},
		{"the store is out for a while", nil, func(w *world, _ uint64, round int) {
			if round == 1 {
				w.stub.SetDown(true)
				time.AfterFunc(15*time.Second, func() { w.stub.SetDown(false) })
			}
		}},
		{"answers of the store are lost", func(w *world) {
			w.stub.Fault = func(_, _ string) limpetstub.Fault {
				return []limpetstub.Fault{limpetstub.None, limpetstub.None, limpetstub.LostAfter, limpetstub.LostBefore}[w.intN(4)]
			}
		}, nil},
		{"everything at once", func(w *world) {
			w.stub.Fault = func(_, _ string) limpetstub.Fault {
				return []limpetstub.Fault{limpetstub.None, limpetstub.None, limpetstub.None, limpetstub.LostAfter, limpetstub.Refused}[w.intN(5)]
			}
			w.generationFault = func(r *rand.Rand) error {
				if r.IntN(4) == 0 {
					return limpeterror.Unavailable.New("no engine")
				}
				return nil
			}
		}, func(w *world, session uint64, _ int) {
			switch w.intN(6) {
			case 0:
				w.own(false)
			case 1:
				_, _ = retry[limpetrollout.Status](w, limpetrollout.OpWeights, limpetrollout.WeightsRequest{Session: session, Version: w.currentVersion() + 1})
			}
		}},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/seed %d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					Convey("each sample comes once, fresh and with its own text", t, func() {
						w := newWorld(seed)
						if c.prepare != nil {
							c.prepare(w)
						}
						w.own(false)
						reply, err := retry[limpetrollout.SessionReply](w, limpetrollout.OpSession, limpetrollout.SessionRequest{Trainer: "t1"})
						So(err, ShouldBeNil)
						for step := uint64(1); step <= 2; step++ {
							n, err := w.collect(reply.Session, step, func(round int) {
								if c.disturb != nil && round < 12 {
									c.disturb(w, reply.Session, round)
								}
							})
							So(err, ShouldBeNil)
							So(n, ShouldEqual, whole)
						}
						_ = w.group.Stop()
						time.Sleep(time.Minute)
					})
				})
			})
		}
	}
}

func TestTrainerSessionIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("the older of two trainer processes is refused", t, func() {
			w := newWorld(1)
			w.own(false)
			first, err := retry[limpetrollout.SessionReply](w, limpetrollout.OpSession, limpetrollout.SessionRequest{Trainer: "t1"})
			So(err, ShouldBeNil)
			again, err := retry[limpetrollout.SessionReply](w, limpetrollout.OpSession, limpetrollout.SessionRequest{Trainer: "t1"})
			So(err, ShouldBeNil)
			So(again.Session, ShouldEqual, first.Session)
			second, err := retry[limpetrollout.SessionReply](w, limpetrollout.OpSession, limpetrollout.SessionRequest{Trainer: "t2"})
			So(err, ShouldBeNil)
			So(second.Session, ShouldBeGreaterThan, first.Session)
			_, err = call[limpetrollout.Status](w.runner, limpetrollout.OpStep, spec(first.Session, 1))
			So(limpeterror.Is(err, limpeterror.Fenced), ShouldBeTrue)
			_ = w.group.Stop()
		})
	})
}

func TestOldOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a former owner that still runs cannot change the ledger", t, func() {
			w := newWorld(1)
			w.own(false)
			s, err := retry[limpetrollout.SessionReply](w, limpetrollout.OpSession, limpetrollout.SessionRequest{Trainer: "t1"})
			So(err, ShouldBeNil)
			former := w.runner
			old := w.own(true)
			_, err = retry[limpetrollout.Status](w, limpetrollout.OpWeights, limpetrollout.WeightsRequest{Session: s.Session, Version: 2})
			So(err, ShouldBeNil)
			_, err = call[limpetrollout.Status](former, limpetrollout.OpWeights, limpetrollout.WeightsRequest{Session: s.Session, Version: 3})
			So(limpeterror.Is(err, limpeterror.Fenced), ShouldBeTrue)
			So(former.Fenced(), ShouldBeTrue)
			_ = old.Stop()
			_ = w.group.Stop()
		})
	})
}

func TestCancelledStepEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a cancelled step gives no more samples and the next step runs", t, func() {
			w := newWorld(1)
			w.own(false)
			s, err := retry[limpetrollout.SessionReply](w, limpetrollout.OpSession, limpetrollout.SessionRequest{Trainer: "t1"})
			So(err, ShouldBeNil)
			_, err = retry[limpetrollout.Status](w, limpetrollout.OpStep, spec(s.Session, 1))
			So(err, ShouldBeNil)
			_, err = retry[limpetrollout.Status](w, limpetrollout.OpCancel, limpetrollout.CancelRequest{Session: s.Session, Step: 1})
			So(err, ShouldBeNil)
			n, err := w.collect(s.Session, 2, func(int) {})
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 24)
			_ = w.group.Stop()
		})
	})
}
