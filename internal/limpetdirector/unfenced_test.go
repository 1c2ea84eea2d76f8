package limpetdirector_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpetupstream"
)

// minReturnInterval is the time within which two directors must not act in turn as
// A, B, A.
const minReturnInterval = 3 * time.Second

// hang holds orders of a VM back in the network until they are given up, as far as
// the network can, and delivers them then if their sender lets it.
func (env *testEnv) hang(vm string, d time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.deliver = func(ctx context.Context, o limpetupstream.Order) error {
		if o.Holder != vm {
			return nil
		}
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return limpeterror.Unknown.New("given up")
		case <-timer.C:
			return nil
		}
	}
}

// freeze holds each order of a VM back before it is sent, as if the process was
// frozen between the check of the lease and the send.
func (env *testEnv) freeze(vm string, d time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.deliver = func(ctx context.Context, o limpetupstream.Order) error {
		if o.Holder != vm {
			return nil
		}
		time.Sleep(d)
		if ctx.Err() != nil {
			return limpeterror.Unavailable.New("not sent")
		}
		return nil
	}
}

// checkOneHolder checks the orders in the order of their arrival.
func checkOneHolder(t *testing.T, orders []order) {
	Convey("no order arrives with a lower fencing token than an earlier one, and no director is back within the interval", t, func() {
		acted := map[string]time.Time{}
		highest, previous := uint64(0), ""
		for _, o := range orders {
			So(o.fence, ShouldBeGreaterThanOrEqualTo, highest)
			highest = o.fence
			if at, ok := acted[o.holder]; ok && previous != o.holder {
				So(o.at.Sub(at), ShouldBeGreaterThan, minReturnInterval)
			}
			acted[o.holder], previous = o.at, o.holder
		}
		So(len(acted), ShouldBeGreaterThan, 1)
	})
}

// Guards the promise of one holder where nobody checks fencing tokens, so that only
// the holder's own clock keeps it.
func TestOneDirectorActsWhereNobodyChecksFences(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb injects a fault while versions are published; a is the director.
		disturb func(env *testEnv, a *candidate)
		// restore ends the fault.
		restore func(env *testEnv, a *candidate)
	}{
		{"orders hang in the network while the director loses the store", func(env *testEnv, a *candidate) {
			env.hang("a", 790*time.Millisecond)
			a.setDisconnected(true)
		}, func(_ *testEnv, a *candidate) { a.setDisconnected(false) }},
		{"orders hang in the network while the loop of the director is busy and the store is lost", func(env *testEnv, a *candidate) {
			env.hang("a", 790*time.Millisecond)
			time.Sleep(60 * time.Millisecond)
			delaySteps(4*time.Second, a)
			a.setDisconnected(true)
		}, func(_ *testEnv, a *candidate) { delaySteps(0, a); a.setDisconnected(false) }},
		{"the process freezes between check and send", func(env *testEnv, a *candidate) {
			env.freeze("a", 2500*time.Millisecond)
			a.setDisconnected(true)
		}, func(_ *testEnv, a *candidate) { a.setDisconnected(false) }},
		{"answers to renewals are lost", func(env *testEnv, _ *candidate) {
			env.store.Lock()
			defer env.store.Unlock()
			env.store.Fault = func(kind, _ string) limpetstub.Fault {
				if kind == "renew" {
					return limpetstub.ReplyLost
				}
				return limpetstub.NoFault
			}
		}, func(env *testEnv, _ *candidate) {
			env.store.Lock()
			defer env.store.Unlock()
			env.store.Fault = nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(6)
				env.unfenced = true
				a, b := env.candidate("a", 0), env.candidate("b", 50*time.Millisecond)
				time.Sleep(time.Second)
				for version := 2; version < 12; version++ {
					env.publish(version)
					if version == 4 {
						time.Sleep(30 * time.Millisecond)
						c.disturb(env, a)
					}
					if version == 6 {
						c.restore(env, a)
					}
					if version == 8 {
						a.setDisconnected(a.IsDirector())
						b.setDisconnected(b.IsDirector())
					}
					time.Sleep(2 * time.Second)
				}
				orders, _ := env.ordersAndVersions()
				checkOneHolder(t, orders)
				a.stop(t)
				b.stop(t)
			})
		})
	}
	t.Run("the director is killed, its successor is stopped, and the first one is back by then", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(6)
			env.unfenced = true
			a, b := env.candidate("a", 0), env.candidate("b", 50*time.Millisecond)
			time.Sleep(time.Second)
			env.publish(2)
			time.Sleep(200 * time.Millisecond)
			a.crash()
			again := env.process("a", 2, 0)
			env.publish(3)
			time.Sleep(1700 * time.Millisecond)
			env.publish(4)
			took := b.IsDirector()
			b.stop(t)
			for version := 5; version < 10; version++ {
				env.publish(version)
				time.Sleep(1200 * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
			orders, versions := env.ordersAndVersions()
			checkOneHolder(t, orders)
			Convey("the successor had the duty, and weights are updated in the end", t, func() {
				So(took, ShouldBeTrue)
				for _, v := range versions {
					So(v, ShouldBeGreaterThanOrEqualTo, 8)
				}
			})
			again.stop(t)
		})
	})
}
