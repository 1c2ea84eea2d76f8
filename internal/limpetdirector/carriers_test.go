package limpetdirector_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetcarry"
	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// A helper is a VM that carries runs.
type helper struct {
	seeker *limpetcarry.Seeker
	group  *limpettask.Group
	// mute helpers neither hear nor are heard; lost ones hear nothing from
	// engines.
	mute, lost atomic.Bool
}

// send passes a call to the engines while the way there is open.
func (h *helper) send(w *world) func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		if h.lost.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		reply, err := w.send(ctx, c)
		if err != nil {
			return nil, err
		}
		inner := reply.Events
		reply.Events = func() (limpetupstream.Event, error) {
			e, err := inner()
			if h.lost.Load() {
				<-ctx.Done()
				return limpetupstream.Event{}, ctx.Err()
			}
			return e, err
		}
		return reply, nil
	}
}

// helper starts a VM that carries runs for whichever candidate is the director.
func (w *world) helper(name string, candidates map[string]*candidate) *helper {
	h := &helper{group: limpettask.New(context.Background())}
	c := limpetcarry.New(h.group, name, "a", time.Now, limpetlog.Discard())
	c.Send, c.Refuses = h.send(w), func(string) bool { return false }
	h.seeker = &limpetcarry.Seeker{
		Carrier: c, Session: name, Able: func() bool { return true },
		Term: func(ctx context.Context) (string, error) {
			term, err := limpetdirector.ReadTerm(ctx, w.store.Client())
			return term.VM, err
		},
		Link: func(address string) limpetcarry.Link {
			d := candidates[address]
			return limpetcarry.Link{
				Carry: func(ctx context.Context, o limpetcarry.Opening, take func(limpetcarry.Batch)) error {
					return d.Carry(ctx, o, func(b limpetcarry.Batch) error {
						if !h.mute.Load() {
							take(b)
						}
						return nil
					})
				},
				Deliver: func(ctx context.Context, m limpetcarry.Delivery) (bool, error) {
					if h.mute.Load() {
						limpettask.Sleep(ctx, time.Minute)
						return false, limpeterror.Unknown.New("no answer")
					}
					return d.Deliver(ctx, m), nil
				},
			}
		},
	}
	h.group.Go(h.seeker.Run)
	h.seeker.Heard("a")
	return h
}

// again bounds the events that engines make twice when so many runs are begun
// anew from what was known so long ago.
func again(runs int, unknown time.Duration) int { return runs * (int(unknown/pace) + 1) }

func TestRunsAtCarriers(t *testing.T) {
	const (
		items = 8
		// half of the runs are at the carrier that is disturbed.
		half = items / 2
		// delivery is how old the director's word of a run may be, and silence
		// how long it waits for a silent carrier or run.
		delivery = 100 * time.Millisecond
		silence  = 700 * time.Millisecond
		// whole is how long a run takes.
		whole = events * pace
	)
	for _, c := range []struct {
		name    string
		disturb func(t *testing.T, w *world, a *candidate, x *helper)
		// most bounds the events that engines make.
		most int
		// within is when all must be listed.
		within time.Duration
	}{
		{"nothing happens", func(*testing.T, *world, *candidate, *helper) {}, items * events, 3 * time.Second},
		{"the director dies", func(t *testing.T, _ *world, a *candidate, _ *helper) {
			a.setCut(true)
			a.stop(t)
		}, items * events, 4 * time.Second},
		{"the director stops", func(t *testing.T, _ *world, a *candidate, _ *helper) { a.stop(t) }, items * events, 3500 * time.Millisecond},
		{"the director is cut from the store and does not know whether others are", func(_ *testing.T, _ *world, a *candidate, _ *helper) {
			a.setCut(true)
		}, items*events + again(items, delivery), 4500 * time.Millisecond},
		{"a carrier falls silent", func(_ *testing.T, _ *world, _ *candidate, x *helper) { x.mute.Store(true) }, items*events + again(half, whole-900*time.Millisecond+delivery), 5 * time.Second},
		{"a carrier hears no engine any more", func(_ *testing.T, _ *world, _ *candidate, x *helper) { x.lost.Store(true) }, items*events + again(half, silence+delivery), 4 * time.Second},
		{"a carrier leaves", func(_ *testing.T, _ *world, _ *candidate, x *helper) { x.seeker.Carrier.Leave() }, items*events + again(half, delivery), 4 * time.Second},
		{"a carrier dies", func(t *testing.T, _ *world, _ *candidate, x *helper) {
			if err := x.group.Stop(); err != nil {
				t.Error(err)
			}
		}, items*events + again(half, delivery), 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(4)
				a, b := w.candidate("a", 0), w.candidate("b", 100*time.Millisecond)
				candidates := map[string]*candidate{"a": a, "b": b}
				time.Sleep(time.Second)
				x, y := w.helper("x", candidates), w.helper("y", candidates)
				time.Sleep(time.Second)
				w.submit(t, "j", items, 1)
				time.Sleep(900 * time.Millisecond)
				c.disturb(t, w, a, x)
				time.Sleep(c.within - 900*time.Millisecond)
				wantWhole(t, w.results(t, "j"), items)
				_, made := w.counts()
				Convey("what was generated is not generated again", t, func() {
					So(made, ShouldBeLessThanOrEqualTo, c.most)
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

func TestCarriersAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a := w.candidate("a", 0)
		time.Sleep(time.Second)
		open := func(name string) error {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			return a.Carry(ctx, limpetcarry.Opening{VM: name, Zone: "a", Session: name}, func(limpetcarry.Batch) error { return nil })
		}
		group := limpettask.New(context.Background())
		for _, name := range []string{"x", "y"} {
			group.Go(func(ctx context.Context) error {
				return a.Carry(ctx, limpetcarry.Opening{VM: name, Zone: "a", Session: name}, func(limpetcarry.Batch) error { return nil })
			})
		}
		time.Sleep(50 * time.Millisecond)
		err := open("z")
		known := a.Deliver(context.Background(), limpetcarry.Delivery{Session: "z"})
		Convey("a third VM is not needed for four engines", t, func() {
			So(err, ShouldBeNil)
			So(known, ShouldBeFalse)
		})
		// The offers end with it.
		_ = group.Stop()
		a.stop(t)
	})
}

func TestEnginesAreReachedThroughOtherCarriers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 32
		w := newWorld(4)
		a := w.candidate("a", 0)
		candidates := map[string]*candidate{"a": a}
		time.Sleep(time.Second)
		x, y := w.helper("x", candidates), w.helper("y", candidates)
		time.Sleep(time.Second)
		w.submit(t, "j", items, 1)
		time.Sleep(900 * time.Millisecond)
		x.lost.Store(true)
		// All engines together need 2.8 s for the job, half of them 4.8 s from here.
		time.Sleep(3300 * time.Millisecond)
		wantWhole(t, w.results(t, "j"), items)
		for _, g := range []*limpettask.Group{x.group, y.group} {
			if err := g.Stop(); err != nil {
				t.Error(err)
			}
		}
		a.stop(t)
	})
}
