package limpetlease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetstub"
)

const ttl = 8 * time.Second

func newHolder(stub *limpetstub.Store, name string) *limpetlease.Holder {
	return limpetlease.New(stub.Client(), name, name+"-1", ttl, time.Now)
}

func TestHolderExpiresBeforeLease(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb runs between the acquisition and the check.
		disturb func(s *limpetstub.Store, h *limpetlease.Holder)
		holds   bool
	}{
		{"renewed in time", func(_ *limpetstub.Store, h *limpetlease.Holder) {
			for range 5 {
				time.Sleep(ttl / 3)
				_, _ = h.Renew(context.Background())
			}
		}, true},
		{"paused past the lease", func(*limpetstub.Store, *limpetlease.Holder) { time.Sleep(ttl + time.Second) }, false},
		{"paused past the margin", func(*limpetstub.Store, *limpetlease.Holder) { time.Sleep(ttl - ttl/10) }, false},
		{"renewal refused", func(s *limpetstub.Store, h *limpetlease.Holder) {
			s.SetDown(true)
			time.Sleep(ttl / 2)
			_, _ = h.Renew(context.Background())
			time.Sleep(ttl / 2)
		}, false},
		{"renewal response lost", func(s *limpetstub.Store, h *limpetlease.Holder) {
			time.Sleep(ttl / 2)
			s.Fault = func(string, string) limpetstub.Fault { return limpetstub.ReplyLost }
			_, _ = h.Renew(context.Background())
			time.Sleep(ttl / 2)
		}, false},
		{"slow renewal counts from its start", func(s *limpetstub.Store, h *limpetlease.Holder) {
			s.Delay = ttl / 2
			_, _ = h.Renew(context.Background())
			time.Sleep(ttl/2 - ttl/10)
		}, false},
		{"lease ended by the store", func(s *limpetstub.Store, h *limpetlease.Holder) {
			_ = s.Client().Revoke(context.Background(), 1)
			_, _ = h.Renew(context.Background())
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the holder relies on the lease only while the store keeps it", t, func() {
					stub := limpetstub.NewStore()
					h := newHolder(stub, "vm1")
					fence, err := h.Acquire(context.Background(), "orders")
					So(err, ShouldBeNil)
					c.disturb(stub, h)
					got, ok := h.Holds("orders", 0)
					So(ok, ShouldEqual, c.holds)
					if ok {
						So(got, ShouldEqual, fence)
					}
				})
			})
		})
	}
}

func TestClockSteps(t *testing.T) {
	for _, c := range []struct {
		name string
		// advance returns the clock's reading after the acquisition, given the
		// time of the acquisition.
		advance func(t time.Time) time.Time
		holds   bool
	}{
		{"no step", func(t time.Time) time.Time { return t.Add(time.Second) }, true},
		{"suspended VM: only the wall clock moved", func(t time.Time) time.Time { return t.Round(0).Add(time.Hour) }, false},
		{"wall clock stepped back", func(t time.Time) time.Time { return t.Round(0).Add(-time.Hour) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the holder never relies on the lease beyond its end", t, func() {
				now := time.Now()
				h := limpetlease.New(limpetstub.NewStore().Client(), "vm1", "vm1-1", ttl, func() time.Time { return now })
				_, err := h.Acquire(context.Background(), "orders")
				So(err, ShouldBeNil)
				now = c.advance(now)
				_, ok := h.Holds("orders", 0)
				So(ok, ShouldEqual, c.holds)
			})
		})
	}
}

func TestAcquireAfterFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  string
		fault limpetstub.Fault
		ok    bool
	}{
		{"put lost after its effect", "put", limpetstub.ReplyLost, true},
		{"put lost before its effect", "put", limpetstub.RequestLost, false},
		{"put refused", "put", limpetstub.Refused, false},
		{"grant refused", "grant", limpetstub.Refused, false},
		{"grant lost after its effect", "grant", limpetstub.ReplyLost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("an acquisition succeeds only if the store confirms it", t, func() {
				stub := limpetstub.NewStore()
				stub.Fault = func(kind, _ string) limpetstub.Fault {
					if kind == c.kind {
						return c.fault
					}
					return limpetstub.NoFault
				}
				h := newHolder(stub, "vm1")
				_, err := h.Acquire(context.Background(), "orders")
				So(err == nil, ShouldEqual, c.ok)
				_, held := h.Holds("orders", 0)
				So(held, ShouldEqual, c.ok)
			})
		})
	}
}

func TestReleaseAllowsImmediateAcquire(t *testing.T) {
	Convey("a released duty can be acquired at once, with a higher fencing token", t, func() {
		stub := limpetstub.NewStore()
		ctx := context.Background()
		first, second := newHolder(stub, "vm1"), newHolder(stub, "vm2")
		old, err := first.Acquire(ctx, "orders")
		So(err, ShouldBeNil)
		_, err = second.Acquire(ctx, "orders")
		So(limpeterror.Is(err, limpeterror.Conflict), ShouldBeTrue)
		So(first.Release(ctx), ShouldBeNil)
		fence, err := second.Acquire(ctx, "orders")
		So(err, ShouldBeNil)
		So(fence, ShouldBeGreaterThan, old)
		_, ok := first.Holds("orders", 0)
		So(ok, ShouldBeFalse)
	})
}

// TestFencesAreMonotonic simulates holders that pause at random and a store
// with faults. The receiver of orders records fencing tokens without checking
// them: an order with an older token must never follow one with a newer token.
func TestFencesAreMonotonic(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("received fencing tokens never decrease", t, func() {
					received := simulateHolders(seed)
					So(len(received), ShouldBeGreaterThan, 10)
					for i := 1; i < len(received); i++ {
						So(received[i], ShouldBeGreaterThanOrEqualTo, received[i-1])
					}
				})
			})
		})
	}
}

func simulateHolders(seed uint64) []uint64 {
	const orderTimeout = 500 * time.Millisecond
	stub := limpetstub.NewStore()
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 2))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return r.IntN(n)
	}
	stub.Fault = func(string, string) limpetstub.Fault {
		return []limpetstub.Fault{limpetstub.NoFault, limpetstub.NoFault, limpetstub.NoFault, limpetstub.Refused, limpetstub.RequestLost, limpetstub.ReplyLost}[random(6)]
	}
	var received []uint64
	var g errgroup.Group
	for i := range 3 {
		g.Go(func() error {
			h := newHolder(stub, fmt.Sprintf("vm%d", i))
			ctx := context.Background()
			for range 120 {
				time.Sleep(time.Duration(500+random(1000)) * time.Millisecond)
				if random(8) == 0 {
					time.Sleep(time.Duration(random(15)) * time.Second)
				}
				_, _ = h.Renew(ctx)
				if _, err := h.Acquire(ctx, "orders"); err != nil && len(h.Duties()) == 0 {
					continue
				}
				if fence, ok := h.Holds("orders", orderTimeout); ok {
					time.Sleep(time.Duration(random(int(orderTimeout/time.Millisecond))) * time.Millisecond)
					mu.Lock()
					received = append(received, fence)
					mu.Unlock()
				}
			}
			return nil
		})
	}
	_ = g.Wait()
	return received
}

// Guards against a call that is sent after the lease has ended, because its connection
// came about late.
func TestCallsEndWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stub := limpetstub.NewStore()
		h := newHolder(stub, "vm1")
		held, err := h.Acquire(context.Background(), "orders")
		_, cancel, fence, early := h.Call(context.Background(), "orders", time.Second, time.Second)
		cancel()
		time.Sleep(ttl / 2)
		began := time.Now()
		call, cancel, _, ok := h.Call(context.Background(), "orders", time.Second, ttl)
		defer cancel()
		<-call.Done()
		ended := time.Now()
		_, cancelLate, _, late := h.Call(context.Background(), "orders", 0, time.Second)
		cancelLate()
		Convey("a call ends when its holder may not rely on the lease any more, and none begins after that", t, func() {
			So(err, ShouldBeNil)
			So(early && ok, ShouldBeTrue)
			So(fence, ShouldEqual, held)
			So(ended.Sub(began), ShouldEqual, ttl/2-ttl/8)
			So(late, ShouldBeFalse)
		})
		Convey("no call begins under a duty that is not held", t, func() {
			_, cancel, _, ok := h.Call(context.Background(), "usage", 0, time.Second)
			cancel()
			So(ok, ShouldBeFalse)
		})
	})
}
