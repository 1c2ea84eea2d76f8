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

// A stubEngine executes weight orders. Its first ineffectiveActivations
// activations report success without changing the version.
type stubEngine struct {
	mu                     sync.Mutex
	load                   limpetengine.LoadReport
	ineffectiveActivations int
	start                  time.Time
	// firstOrder is the time from start to the first order, or 0 without one.
	firstOrder  time.Duration
	activations int
}

func (s *stubEngine) order(_ context.Context, _ string, o limpetengine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstOrder == 0 {
		s.firstOrder = time.Since(s.start)
	}
	if o.Kind == limpetengine.Stage {
		s.load.Staged = o.Version
		return nil
	}
	s.activations++
	if s.load.Staged != o.Version {
		return limpeterror.Conflict.New("not staged")
	}
	if s.ineffectiveActivations > 0 {
		// Report success without an effect.
		s.ineffectiveActivations--
		return nil
	}
	s.load.Version = o.Version
	return nil
}

func TestWeightLoader(t *testing.T) {
	for _, c := range []struct {
		name                   string
		initialDelay           time.Duration
		ineffectiveActivations int
		leaseValid             bool
		within                 time.Duration
	}{
		{"staged and activated", 0, 0, true, time.Second},
		{"after the orders of the previous holder took effect", limpetduty.MaxOrderLatency, 0, true, limpetduty.MaxOrderLatency + time.Second},
		{"activations that report success without effect", 0, 3, true, 3 * time.Second},
		{"without the lease", 0, 0, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the engine reports the version in time, or gets no order", t, func() {
					s := &stubEngine{load: limpetengine.LoadReport{Version: 1, Staged: 1}, ineffectiveActivations: c.ineffectiveActivations, start: time.Now()}
					w := &limpetduty.WeightLoader{
						Service: "drafts", Fence: 7, InitialDelay: c.initialDelay, Log: limpetlog.Discard(), Now: time.Now,
						Engine: limpetengine.Engine{Order: s.order, Load: func(context.Context, string) (limpetengine.LoadReport, error) {
							s.mu.Lock()
							defer s.mu.Unlock()
							return s.load, nil
						}},
						Servers:       func(context.Context) ([]limpetorder.Server, error) { return []limpetorder.Server{{ID: "e1"}}, nil },
						LeaseValidFor: func(time.Duration) bool { return c.leaseValid },
					}
					w.Publish(2)
					g := limpettask.New(context.Background())
					g.Go(func(ctx context.Context) error { w.Run(ctx); return nil })
					time.Sleep(max(c.within, time.Second))
					_ = g.Stop()
					if !c.leaseValid {
						So(s.firstOrder, ShouldEqual, 0)
						return
					}
					So(s.load.Version, ShouldEqual, 2)
					So(s.firstOrder, ShouldBeGreaterThanOrEqualTo, c.initialDelay)
					So(s.activations, ShouldEqual, c.ineffectiveActivations+1)
				})
			})
		})
	}
}
