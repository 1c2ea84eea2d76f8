package limpetadmission_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"limpetmount.org/internal/limpetadmission"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
)

func newEntry(account string, weight, cost float64) *limpetadmission.Entry {
	return &limpetadmission.Entry{Account: account, Class: limpetconfig.Live, Weight: weight, Cost: cost}
}

func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{}
		for i := range rapid.IntRange(2, 6).Draw(t, "accounts") {
			weights[fmt.Sprintf("a%d", i)] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		}
		s := limpetadmission.NewScheduler()
		push := func(a string) {
			s.Push(newEntry(a, weights[a], float64(rapid.IntRange(1, 100).Draw(t, "cost"))))
		}
		for a := range weights {
			push(a)
		}
		served := map[string]float64{}
		for range 400 {
			next := s.Next()
			served[next.Account] += next.Cost
			push(next.Account)
		}
		// While all accounts are backlogged, the service per weight of two
		// accounts differs by at most the cost of their largest requests per
		// weight.
		for a := range weights {
			for b := range weights {
				if d := served[a]/weights[a] - served[b]/weights[b]; d > 100/weights[a]+100/weights[b] {
					t.Fatalf("service per weight of %s is %f ahead of %s", a, d, b)
				}
			}
		}
	})
}

func TestSchedulingOrder(t *testing.T) {
	now := time.Now()
	Convey("requests are ordered by deadline, then by arrival", t, func() {
		s := limpetadmission.NewScheduler()
		late, early, none := newEntry("a", 1, 1), newEntry("a", 1, 1), newEntry("a", 1, 1)
		late.Deadline, early.Deadline = now.Add(time.Hour), now.Add(time.Minute)
		for _, entry := range []*limpetadmission.Entry{none, late, early} {
			s.Push(entry)
		}
		So(s.Next(), ShouldEqual, early)
		So(s.Next(), ShouldEqual, late)
		So(s.Next(), ShouldEqual, none)
		So(s.Next(), ShouldBeNil)
	})
	Convey("live requests take precedence, and rollouts do not starve", t, func() {
		s := limpetadmission.NewScheduler()
		rollouts := 0
		for range 100 {
			s.Push(newEntry("live", 1, 1))
			entry := newEntry("train", 1, 1)
			entry.Class = limpetconfig.Rollout
			s.Push(entry)
			if s.Next().Class == limpetconfig.Rollout {
				rollouts++
			}
		}
		So(rollouts, ShouldBeBetween, 5, 15)
	})
	Convey("service by other VMs is charged with later local requests", t, func() {
		s := limpetadmission.NewScheduler()
		for range 4 {
			s.Push(newEntry("a", 1, 1))
			s.Push(newEntry("b", 1, 1))
		}
		s.ChargeRemote("a", 1000, 1)
		So(s.Next().Account, ShouldEqual, "a")
		for range 4 {
			So(s.Next().Account, ShouldEqual, "b")
		}
	})
	Convey("idle time earns no credit", t, func() {
		s := limpetadmission.NewScheduler()
		for range 50 {
			s.Push(newEntry("busy", 1, 10))
			s.Next()
		}
		counts := map[string]int{}
		for range 20 {
			s.Push(newEntry("busy", 1, 10))
			s.Push(newEntry("late", 1, 10))
		}
		for range 20 {
			counts[s.Next().Account]++
		}
		So(counts["late"], ShouldBeBetween, 8, 12)
	})
}

func newController(slots int) *limpetadmission.Controller {
	controller := limpetadmission.NewController(limpetadmission.Limits{MaxQueued: 4, QueueTimeout: 10 * time.Second}, limpetadmission.NewScheduler(), time.Now)
	controller.SetSlots(slots)
	return controller
}

func TestControllerRejections(t *testing.T) {
	for _, c := range []struct {
		name string
		// ahead is the number of requests of the account that are queued
		// already.
		ahead    int
		deadline time.Duration
		within   time.Duration
	}{
		{"queue full", 4, 0, 0},
		{"no free slot in time", 0, 0, 10 * time.Second},
		{"deadline cannot be met", 3, 500 * time.Millisecond, 0},
		{"deadline passes while queued", 0, 2 * time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("a request is rejected early and with a retry time", t, func() {
					controller := newController(1)
					_, err := controller.Acquire(context.Background(), newEntry("a", 1, 1))
					So(err, ShouldBeNil)
					ctx, cancel := context.WithCancel(context.Background())
					var group errgroup.Group
					for range c.ahead {
						group.Go(func() error { _, _ = controller.Acquire(ctx, newEntry("a", 1, 1)); return nil })
					}
					synctest.Wait()
					entry := newEntry("a", 1, 1)
					if c.deadline > 0 {
						entry.Deadline = time.Now().Add(c.deadline)
					}
					began := time.Now()
					rejection, err := controller.Acquire(context.Background(), entry)
					So(limpeterror.Is(err, limpeterror.Overloaded), ShouldBeTrue)
					So(time.Since(began), ShouldEqual, c.within)
					So(rejection.RetryAfter, ShouldBeGreaterThanOrEqualTo, time.Second)
					cancel()
					_ = group.Wait()
					waiting, running := controller.Waiting()
					So(waiting, ShouldEqual, 0)
					So(running, ShouldEqual, 1)
				})
			})
		})
	}
}

func TestControllerNeverExceedsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("no request is admitted while more run than there are slots", t, func() {
			controller := limpetadmission.NewController(limpetadmission.Limits{MaxQueued: 1000, QueueTimeout: time.Hour}, limpetadmission.NewScheduler(), time.Now)
			controller.SetSlots(8)
			var group errgroup.Group
			exceeded := 0
			for i := range 100 {
				group.Go(func() error {
					entry := newEntry(fmt.Sprint(i%5), 1, 1)
					if _, err := controller.Acquire(context.Background(), entry); err != nil {
						return err
					}
					time.Sleep(time.Second)
					if _, running := controller.Waiting(); running > 8 {
						exceeded++
					}
					controller.Release(entry, time.Second, 1)
					return nil
				})
			}
			time.Sleep(1500 * time.Millisecond)
			controller.SetSlots(2)
			time.Sleep(1500 * time.Millisecond)
			_, running := controller.Waiting()
			So(running, ShouldEqual, 2)
			So(group.Wait(), ShouldBeNil)
			So(exceeded, ShouldEqual, 0)
		})
	})
}

func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := limpetadmission.NewScheduler()
			names := make([]string, n)
			for i := range n {
				names[i] = fmt.Sprintf("account%d", i)
				s.Push(newEntry(names[i], 1, 10))
			}
			b.ReportAllocs()
			entry := newEntry("", 1, 10)
			for b.Loop() {
				next := s.Next()
				*entry = limpetadmission.Entry{Account: next.Account, Class: limpetconfig.Live, Weight: 1, Cost: 10}
				s.Push(next)
			}
		})
	}
}
