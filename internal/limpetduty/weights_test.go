package limpetduty_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetduty"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpettask"
)

// A swapper holds one engine that takes or fails orders.
type swapper struct {
	mu       sync.Mutex
	load     limpetengine.Load
	fail     int
	began    time.Time
	first    time.Duration
	activate int
}

func (s *swapper) order(_ context.Context, _ string, o limpetengine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == 0 {
		s.first = time.Since(s.began)
	}
	if o.Kind == limpetengine.Stage {
		s.load.Staged = o.Version
		return nil
	}
	s.activate++
	if s.load.Staged != o.Version {
		return limpeterror.Conflict.New("not staged")
	}
	if s.fail > 0 {
		// The swap answers success without effect.
		s.fail--
		return nil
	}
	s.load.Version = o.Version
	return nil
}

func TestWeightLoader(t *testing.T) {
	for _, c := range []struct {
		name   string
		settle time.Duration
		fail   int
		holds  bool
		within time.Duration
	}{
		{"staged and activated", 0, 0, true, time.Second},
		{"after the former holder's flight", limpetduty.OrderFlight, 0, true, limpetduty.OrderFlight + time.Second},
		{"swaps that report success without effect", 0, 3, true, 3 * time.Second},
		{"without the lease", 0, 0, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the engine reports the version in time, or gets no order", t, func() {
					s := &swapper{load: limpetengine.Load{Version: 1, Staged: 1}, fail: c.fail, began: time.Now()}
					w := &limpetduty.WeightLoader{
						Service: "drafts", Fence: 7, Settle: c.settle, Log: limpetlog.Discard(), Now: time.Now,
						Engine: limpetengine.Engine{Order: s.order, Load: func(context.Context, string) (limpetengine.Load, error) {
							s.mu.Lock()
							defer s.mu.Unlock()
							return s.load, nil
						}},
						Servers: func(context.Context) ([]limpetorder.Server, error) { return []limpetorder.Server{{ID: "e1"}}, nil },
						Holds:   func(time.Duration) bool { return c.holds },
					}
					w.Publish(2)
					g := limpettask.New(context.Background())
					g.Go(func(ctx context.Context) error { w.Run(ctx); return nil })
					time.Sleep(max(c.within, time.Second))
					_ = g.Stop()
					if !c.holds {
						So(s.first, ShouldEqual, 0)
						return
					}
					So(s.load.Version, ShouldEqual, 2)
					So(s.first, ShouldBeGreaterThanOrEqualTo, c.settle)
					So(s.activate, ShouldEqual, c.fail+1)
				})
			})
		})
	}
}
