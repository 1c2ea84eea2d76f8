package limpetdirector_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// An executor is a VM that runs items for the director.
type executor struct {
	connector *limpetexecutor.Connector
	group     *limpettask.Group
	// While unresponsive is set, the executor exchanges nothing with the
	// director; while enginesUnreachable is set, it gets nothing from engines.
	unresponsive, enginesUnreachable atomic.Bool
	// reportDelay delays each delivery to the director.
	reportDelay atomic.Int64
	// spoils is the number of runs in which the next event loses its ID.
	spoils atomic.Int64
}

// send forwards calls to the engines, and blocks while they are unreachable.
func (x *executor) send(env *testEnv) func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		if x.enginesUnreachable.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		reply, err := env.send(ctx, c)
		if err != nil {
			return nil, err
		}
		inner, spoiled := reply.Events, false
		reply.Events = func() (limpetupstream.Event, error) {
			e, err := inner()
			if err == nil && !spoiled && x.spoils.Load() > 0 {
				x.spoils.Add(-1)
				spoiled, e.ID = true, 0
			}
			if x.enginesUnreachable.Load() {
				<-ctx.Done()
				return limpetupstream.Event{}, ctx.Err()
			}
			return e, err
		}
		return reply, nil
	}
}

// executor starts an executor that serves whichever candidate is the
// director.
func (env *testEnv) executor(name string, candidates map[string]*candidate) *executor {
	x := &executor{group: limpettask.New(context.Background())}
	e := limpetexecutor.New(x.group, name, "a", time.Now, limpetlog.Discard())
	e.Send, e.Refuses = x.send(env), func(*limpetsite.Server) bool { return false }
	x.connector = &limpetexecutor.Connector{
		Executor: e, Session: name, Enabled: func() bool { return true },
		DirectorAddress: func(ctx context.Context) (string, error) {
			term, err := limpetdirector.ReadTerm(ctx, env.store.Client())
			return term.VM, err
		},
		Link: func(address string) limpetexecutor.Link {
			d := candidates[address]
			return limpetexecutor.Link{
				Offer: func(ctx context.Context, o limpetexecutor.Offer, take func(limpetexecutor.Batch)) error {
					return d.AcceptOffer(ctx, o, func(b limpetexecutor.Batch) error {
						if !x.unresponsive.Load() {
							take(b)
						}
						return nil
					})
				},
				Deliver: func(ctx context.Context, m limpetexecutor.Delivery) (bool, error) {
					if x.unresponsive.Load() {
						limpettask.Sleep(ctx, time.Minute)
						return false, limpeterror.Unknown.New("no answer")
					}
					time.Sleep(time.Duration(x.reportDelay.Load()))
					return d.Deliver(ctx, m), nil
				},
			}
		},
	}
	x.group.Go(x.connector.Run)
	x.connector.DirectorSeen("a")
	return x
}

// maxRepeats bounds the events that engines generate twice when the given number
// of runs restart from texts of the given age.
func maxRepeats(runs int, age time.Duration) int { return runs * (int(age/eventInterval) + 1) }

func TestRunsAtExecutors(t *testing.T) {
	const (
		items = 8
		// disturbedRuns is the number of runs at the executor that the fault
		// hits.
		disturbedRuns = items / 2
		// deliveryDelay bounds the age of the progress that the director has,
		// and silenceTimeout is how long it waits for a silent executor or run.
		deliveryDelay  = 100 * time.Millisecond
		silenceTimeout = 700 * time.Millisecond
		runTime        = events * eventInterval
	)
	for _, c := range []struct {
		name    string
		disturb func(t *testing.T, env *testEnv, a *candidate, x *executor)
		// maxEvents bounds the events that engines generate.
		maxEvents int
		// within bounds the time from submission to the last result.
		within time.Duration
	}{
		{"no fault", func(*testing.T, *testEnv, *candidate, *executor) {}, items * events, 3 * time.Second},
		{"the director dies", func(t *testing.T, _ *testEnv, a *candidate, _ *executor) {
			a.setDisconnected(true)
			a.stop(t)
		}, items * events, 4 * time.Second},
		{"the director stops", func(t *testing.T, _ *testEnv, a *candidate, _ *executor) { a.stop(t) }, items * events, 3500 * time.Millisecond},
		{"the director loses the store and does not know whether others do", func(_ *testing.T, _ *testEnv, a *candidate, _ *executor) {
			a.setDisconnected(true)
		}, items*events + maxRepeats(items, deliveryDelay), 4500 * time.Millisecond},
		{"an executor stops responding", func(_ *testing.T, _ *testEnv, _ *candidate, x *executor) { x.unresponsive.Store(true) }, items*events + maxRepeats(disturbedRuns, runTime-900*time.Millisecond+deliveryDelay), 5 * time.Second},
		{"an executor loses its engines", func(_ *testing.T, _ *testEnv, _ *candidate, x *executor) { x.enginesUnreachable.Store(true) }, items*events + maxRepeats(disturbedRuns, silenceTimeout+deliveryDelay), 4 * time.Second},
		{"an executor leaves", func(_ *testing.T, _ *testEnv, _ *candidate, x *executor) { x.connector.Executor.Leave() }, items*events + maxRepeats(disturbedRuns, deliveryDelay), 4 * time.Second},
		{"an executor dies", func(t *testing.T, _ *testEnv, _ *candidate, x *executor) {
			if err := x.group.Stop(); err != nil {
				t.Error(err)
			}
		}, items*events + maxRepeats(disturbedRuns, deliveryDelay), 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(4)
				a, b := env.candidate("a", 0), env.candidate("b", 100*time.Millisecond)
				candidates := map[string]*candidate{"a": a, "b": b}
				time.Sleep(time.Second)
				x, y := env.executor("x", candidates), env.executor("y", candidates)
				time.Sleep(time.Second)
				env.submit(t, "j", items, 1)
				time.Sleep(900 * time.Millisecond)
				c.disturb(t, env, a, x)
				time.Sleep(c.within - 900*time.Millisecond)
				checkComplete(t, env.results(t, "j"), items)
				_, generated := env.counts()
				Convey("generated events are not generated again", t, func() {
					So(generated, ShouldBeLessThanOrEqualTo, c.maxEvents)
				})
				for _, g := range []*limpettask.Group{x.group, y.group} {
					if err := g.Stop(); err != nil {
						t.Error(err)
					}
				}
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

// Guards against results without some of their events: a VM whose director died left out
// an event that had lost its ID and all later ones, and the next director took its word
// that the text was complete.
func TestEventsSpoiledWithoutADirector(t *testing.T) {
	const items, spoiled = 8, 2
	for _, c := range []struct {
		name string
		dies bool
	}{{"the director dies", true}, {"the director lives", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(4)
				a, b := env.candidate("a", 0), env.candidate("b", 100*time.Millisecond)
				candidates := map[string]*candidate{"a": a, "b": b}
				time.Sleep(time.Second)
				x, y := env.executor("x", candidates), env.executor("y", candidates)
				time.Sleep(time.Second)
				env.submit(t, "j", items, 1)
				time.Sleep(600 * time.Millisecond)
				if c.dies {
					a.setDisconnected(true)
					a.stop(t)
				}
				x.spoils.Store(spoiled)
				time.Sleep(6 * time.Second)
				Convey("all events were spoiled that were to be: "+c.name, t, func() { So(x.spoils.Load(), ShouldEqual, 0) })
				checkComplete(t, env.results(t, "j"), items)
				for _, g := range []*limpettask.Group{x.group, y.group} {
					if err := g.Stop(); err != nil {
						t.Error(err)
					}
				}
				if !c.dies {
					a.stop(t)
				}
				b.stop(t)
			})
		})
	}
}

// Guards against a text that a VM of an earlier release offers as complete although it
// left out events.
func TestOfferedTextsNeedEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", 1, 1)
		item := "j-0"
		time.Sleep(100 * time.Millisecond)
		held := limpetexecutor.HeldRun{Run: "r", Job: "j", Server: "e1", Text: limpetjob.Draft{
			Item: item, Pieces: []string{item + ".1", item + ".2"}, LastEvent: 2, Versions: []int{1}, Version: 1, Complete: true,
		}}
		group := limpettask.New(context.Background())
		group.Go(func(ctx context.Context) error {
			return a.AcceptOffer(ctx, limpetexecutor.Offer{VM: "x", Zone: "a", Session: "x", Held: []limpetexecutor.HeldRun{held}}, func(limpetexecutor.Batch) error { return nil })
		})
		time.Sleep(6 * time.Second)
		checkComplete(t, env.results(t, "j"), 1)
		// Ending the session returns an error, which is expected.
		_ = group.Stop()
		a.stop(t)
	})
}

// Guards against work that is started again, and engines that are blamed, because the
// VM that reads their events is slow to report.
func TestSlowReportsAreNotSilenceOfEngines(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		// interval is the time between slow reports.
		interval time.Duration
	}{
		{"the executor reports 0.45 s late, again and again", 450 * time.Millisecond, 600 * time.Millisecond},
		{"each report of the executor is 0.38 s late", 380 * time.Millisecond, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(3)
			a := env.candidate("a", 0)
			time.Sleep(time.Second)
			x := env.executor("x", map[string]*candidate{"a": a})
			time.Sleep(time.Second)
			env.submit(t, "j", 9, 1)
			time.Sleep(300 * time.Millisecond)
			for range 6 {
				x.reportDelay.Store(int64(c.delay))
				time.Sleep(200 * time.Millisecond)
				if c.interval > 0 {
					x.reportDelay.Store(0)
				}
				time.Sleep(c.interval)
			}
			x.reportDelay.Store(0)
			time.Sleep(3 * time.Second)
			runs, generated := env.counts()
			Convey("pattern: "+c.name+", while its engines are sound: no run is started again", t, func() {
				So(runs, ShouldEqual, 9)
				So(generated, ShouldEqual, 9*events)
				So(len(env.results(t, "j")), ShouldEqual, 9)
			})
			if err := x.group.Stop(); err != nil {
				t.Error(err)
			}
			a.stop(t)
		})
	}
}

func TestExecutorCountIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		open := func(name string) error {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			return a.AcceptOffer(ctx, limpetexecutor.Offer{VM: name, Zone: "a", Session: name}, func(limpetexecutor.Batch) error { return nil })
		}
		group := limpettask.New(context.Background())
		for _, name := range []string{"x", "y"} {
			group.Go(func(ctx context.Context) error {
				return a.AcceptOffer(ctx, limpetexecutor.Offer{VM: name, Zone: "a", Session: name}, func(limpetexecutor.Batch) error { return nil })
			})
		}
		time.Sleep(50 * time.Millisecond)
		err := open("z")
		known := a.Deliver(context.Background(), limpetexecutor.Delivery{Session: "z"})
		Convey("a third executor is not needed for four engines", t, func() {
			So(err, ShouldBeNil)
			So(known, ShouldBeFalse)
		})
		// Ending the sessions returns an error, which is expected.
		_ = group.Stop()
		a.stop(t)
	})
}

// Guards against runs that nobody ends, because the order to cancel them was lost.
func TestUnknownRunsAreCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		var canceled []string
		group := limpettask.New(context.Background())
		group.Go(func(ctx context.Context) error {
			return a.AcceptOffer(ctx, limpetexecutor.Offer{VM: "x", Zone: "a", Session: "x"}, func(b limpetexecutor.Batch) error {
				canceled = append(canceled, b.CancelRuns...)
				return nil
			})
		})
		time.Sleep(50 * time.Millisecond)
		event := limpetexecutor.Event{Event: limpetupstream.Event{ID: 1, Data: "x"}}
		a.Deliver(context.Background(), limpetexecutor.Delivery{Session: "x", Progress: []limpetexecutor.Progress{
			{Run: "ghost", Responded: true, Events: []limpetexecutor.Event{event}}, {Run: "over", Ended: true},
		}})
		time.Sleep(100 * time.Millisecond)
		// The session writes canceled until it has ended. It ends with an error,
		// which is expected.
		_ = group.Stop()
		a.stop(t)
		Convey("the director cancels a run that it does not know and that goes on", t, func() {
			So(canceled, ShouldResemble, []string{"ghost"})
		})
	})
}

func TestUnreachableEnginesUseOtherExecutors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 32
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		candidates := map[string]*candidate{"a": a}
		time.Sleep(time.Second)
		x, y := env.executor("x", candidates), env.executor("y", candidates)
		time.Sleep(time.Second)
		env.submit(t, "j", items, 1)
		time.Sleep(900 * time.Millisecond)
		x.enginesUnreachable.Store(true)
		// The job takes 2.8 s with all engines, and 4.8 s from here with half
		// of them.
		time.Sleep(3300 * time.Millisecond)
		checkComplete(t, env.results(t, "j"), items)
		for _, g := range []*limpettask.Group{x.group, y.group} {
			if err := g.Stop(); err != nil {
				t.Error(err)
			}
		}
		a.stop(t)
	})
}
