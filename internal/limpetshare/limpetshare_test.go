package limpetshare_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetshare"
)

func ticket(account string, weight, cost float64) *limpetshare.Ticket {
	return &limpetshare.Ticket{Account: account, Class: limpetconfig.Live, Weight: weight, Cost: cost}
}

func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{}
		for i := range rapid.IntRange(2, 6).Draw(t, "accounts") {
			weights[fmt.Sprintf("a%d", i)] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		}
		s := limpetshare.NewScheduler()
		push := func(a string) {
			s.Push(ticket(a, weights[a], float64(rapid.IntRange(1, 100).Draw(t, "cost"))))
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
		// While all wait, no account's service per weight differs from
		// another's by more than the largest ticket of each.
		for a := range weights {
			for b := range weights {
				if d := served[a]/weights[a] - served[b]/weights[b]; d > 100/weights[a]+100/weights[b] {
					t.Fatalf("%s is %f ahead of %s", a, d, b)
				}
			}
		}
	})
}

func TestOrderWithinAndAcrossClasses(t *testing.T) {
	now := time.Now()
	Convey("the earliest deadline goes first, then the earliest arrival", t, func() {
		s := limpetshare.NewScheduler()
		late, early, none := ticket("a", 1, 1), ticket("a", 1, 1), ticket("a", 1, 1)
		late.Deadline, early.Deadline = now.Add(time.Hour), now.Add(time.Minute)
		for _, k := range []*limpetshare.Ticket{none, late, early} {
			s.Push(k)
		}
		So(s.Next(), ShouldEqual, early)
		So(s.Next(), ShouldEqual, late)
		So(s.Next(), ShouldEqual, none)
		So(s.Next(), ShouldBeNil)
	})
	Convey("live work goes first, and rollouts do not starve", t, func() {
		s := limpetshare.NewScheduler()
		rollouts := 0
		for range 100 {
			s.Push(ticket("live", 1, 1))
			k := ticket("train", 1, 1)
			k.Class = limpetconfig.Rollout
			s.Push(k)
			if s.Next().Class == limpetconfig.Rollout {
				rollouts++
			}
		}
		So(rollouts, ShouldBeBetween, 5, 15)
	})
	Convey("service at other VMs counts", t, func() {
		s := limpetshare.NewScheduler()
		for range 4 {
			s.Push(ticket("a", 1, 1))
			s.Push(ticket("b", 1, 1))
		}
		s.Remote("a", 1000, 1)
		So(s.Next().Account, ShouldEqual, "a")
		for range 4 {
			So(s.Next().Account, ShouldEqual, "b")
		}
	})
	Convey("an account that was idle has saved up nothing", t, func() {
		s := limpetshare.NewScheduler()
		for range 50 {
			s.Push(ticket("busy", 1, 10))
			s.Next()
		}
		counts := map[string]int{}
		for range 20 {
			s.Push(ticket("busy", 1, 10))
			s.Push(ticket("late", 1, 10))
		}
		for range 20 {
			counts[s.Next().Account]++
		}
		So(counts["late"], ShouldBeBetween, 8, 12)
	})
}

func newGate(places int) *limpetshare.Gate {
	g := limpetshare.NewGate(limpetshare.Limits{Queue: 4, Wait: 10 * time.Second}, limpetshare.NewScheduler(), time.Now)
	g.SetPlaces(places)
	return g
}

func TestGateRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		// ahead requests of the account wait already.
		ahead    int
		deadline time.Duration
		within   time.Duration
	}{
		{"queue full", 4, 0, 0},
		{"no place in time", 0, 0, 10 * time.Second},
		{"deadline cannot be met", 3, 500 * time.Millisecond, 0},
		{"deadline passes in the queue", 0, 2 * time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the refusal is early and says when to come back", t, func() {
					g := newGate(1)
					_, err := g.Enter(context.Background(), ticket("a", 1, 1))
					So(err, ShouldBeNil)
					ctx, cancel := context.WithCancel(context.Background())
					var group errgroup.Group
					for range c.ahead {
						group.Go(func() error { _, _ = g.Enter(ctx, ticket("a", 1, 1)); return nil })
					}
					synctest.Wait()
					k := ticket("a", 1, 1)
					if c.deadline > 0 {
						k.Deadline = time.Now().Add(c.deadline)
					}
					began := time.Now()
					refusal, err := g.Enter(context.Background(), k)
					So(limpeterror.Is(err, limpeterror.Overloaded), ShouldBeTrue)
					So(time.Since(began), ShouldEqual, c.within)
					So(refusal.RetryAfter, ShouldBeGreaterThanOrEqualTo, time.Second)
					cancel()
					_ = group.Wait()
					waiting, running := g.Waiting()
					So(waiting, ShouldEqual, 0)
					So(running, ShouldEqual, 1)
				})
			})
		})
	}
}

func TestGateNeverExceedsItsPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("places that are taken away are not refilled", t, func() {
			g := limpetshare.NewGate(limpetshare.Limits{Queue: 1000, Wait: time.Hour}, limpetshare.NewScheduler(), time.Now)
			g.SetPlaces(8)
			var group errgroup.Group
			over := 0
			for i := range 100 {
				group.Go(func() error {
					k := ticket(fmt.Sprint(i%5), 1, 1)
					if _, err := g.Enter(context.Background(), k); err != nil {
						return err
					}
					time.Sleep(time.Second)
					if _, running := g.Waiting(); running > 8 {
						over++
					}
					g.Leave(k, time.Second, 1)
					return nil
				})
			}
			time.Sleep(1500 * time.Millisecond)
			g.SetPlaces(2)
			time.Sleep(1500 * time.Millisecond)
			_, running := g.Waiting()
			So(running, ShouldEqual, 2)
			So(group.Wait(), ShouldBeNil)
			So(over, ShouldEqual, 0)
		})
	})
}

func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := limpetshare.NewScheduler()
			names := make([]string, n)
			for i := range n {
				names[i] = fmt.Sprintf("account%d", i)
				s.Push(ticket(names[i], 1, 10))
			}
			b.ReportAllocs()
			k := ticket("", 1, 10)
			for b.Loop() {
				next := s.Next()
				*k = limpetshare.Ticket{Account: next.Account, Class: limpetconfig.Live, Weight: 1, Cost: 10}
				s.Push(next)
			}
		})
	}
}
