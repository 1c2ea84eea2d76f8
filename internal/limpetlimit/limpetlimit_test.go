package limpetlimit_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
)

// The stated bound of a limit: in limitWindow, limitFactor times what the limit
// allows, and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// worst returns the largest number of times within limitWindow.
func worst(times []time.Time) int {
	most, first := 0, 0
	for n := range times {
		for times[n].Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func allowed(rate float64) int {
	return int(rate*limitWindow.Seconds()*limitFactor) + limitSlack
}

func newLimits(published *[]limpetlimit.Limit) *limpetlimit.Limits {
	return limpetlimit.NewLimits(time.Now, limpetlog.Discard(), prometheus.NewRegistry(), func(l limpetlimit.Limit) {
		if published != nil {
			*published = append(*published, l)
		}
	})
}

func server(id string, incarnation int64) *limpetsite.Server {
	return &limpetsite.Server{ID: id, Service: "desk", Address: id, Zone: "a", Slots: 4, Incarnation: incarnation}
}

func TestLedgerKeepsEachWindow(t *testing.T) {
	for _, rate := range []float64{0.01, 0.3, 1, 1.9, 7, 60, 900} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%v a second, seed %d", rate, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				ledger := limpetlimit.NewLedger(1)
				limit := limpetlimit.Limit{Server: "s", Rate: rate}
				began := time.Unix(0, 0)
				now := began
				var sent []time.Time
				// Demand above the limit alternates with silence.
				for now.Sub(began) < 2*time.Minute && len(sent) < 4000 {
					if random.IntN(200) == 0 {
						now = now.Add(time.Duration(random.Int64N(int64(20 * time.Second))))
					}
					now = now.Add(time.Duration(random.Int64N(int64(float64(time.Second) / rate))))
					maxDelay := time.Duration(random.Int64N(int64(400 * time.Millisecond)))
					if server, delay := ledger.Grant([]limpetlimit.Limit{limit}, maxDelay, now); server != "" {
						sent = append(sent, now.Add(delay))
					}
				}
				Convey(fmt.Sprintf("no window has more than the limit allows: %v, seed %d", rate, seed), t, func() {
					So(worst(sent), ShouldBeLessThanOrEqualTo, allowed(rate))
				})
			})
		}
	}
}

func TestLedgerGrantsTheWholeLimit(t *testing.T) {
	ledger := limpetlimit.NewLedger(1)
	limits := []limpetlimit.Limit{{Server: "a", Rate: 2}, {Server: "b", Rate: 5}}
	now, granted := time.Unix(0, 0), map[string]int{}
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		if server, _ := ledger.Grant(limits, 0, now); server != "" {
			granted[server]++
		}
	}
	Convey("each of two servers gets nearly all that it takes in a minute", t, func() {
		So(granted["a"], ShouldBeBetween, 115, 125)
		So(granted["b"], ShouldBeBetween, 290, 305)
	})
	Convey("the delay of a denied request is when one is granted", t, func() {
		for {
			server, delay := ledger.Grant(limits, 0, now)
			if server != "" {
				continue
			}
			later, _ := ledger.Grant(limits, 0, now.Add(delay))
			So(later, ShouldNotBeEmpty)
			return
		}
	})
}

func TestObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var published []limpetlimit.Limit
		l := newLimits(&published)
		l.Observe(server("a", 1), 0)
		Convey("an answer without a limit changes nothing", t, func() {
			So(l.Any(), ShouldBeFalse)
			So(published, ShouldBeEmpty)
		})
		l.Observe(server("a", 1), 2)
		time.Sleep(time.Second)
		l.Observe(server("a", 1), 2)
		Convey("a limit holds, and is published once", t, func() {
			limit, limited := l.Get("a")
			So(limited, ShouldBeTrue)
			So(limit.Rate, ShouldEqual, 2)
			So(len(published), ShouldEqual, 1)
		})
		l.Merge([]limpetlimit.Limit{{Server: "a", Rate: 9, At: time.Now().Add(-500 * time.Millisecond)}})
		l.Merge([]limpetlimit.Limit{{Server: "b", Rate: math.NaN(), At: time.Now()}, {Server: "c", Rate: -1, At: time.Now()}})
		Convey("older reports and rates that are no numbers are ignored", t, func() {
			limit, _ := l.Get("a")
			So(limit.Rate, ShouldEqual, 2)
			So(len(l.All()), ShouldEqual, 1)
		})
		time.Sleep(time.Second)
		l.Observe(server("a", 1), 0)
		Convey("an answer without a limit ends it", t, func() {
			So(l.Any(), ShouldBeFalse)
			So(len(published), ShouldEqual, 2)
		})
	})
}

func TestNewStartsOweNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   *limpetsite.Server
		limited bool
	}{
		{"the server goes on", server("a", 1), true},
		{"the server started again under its ID", server("a", 2), false},
		{"the server is gone", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var published []limpetlimit.Limit
			l := newLimits(&published)
			l.Observe(server("a", 1), 2)
			state := limpetsite.NewState()
			if c.after != nil {
				state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + "a", Revision: 1, Server: c.after}, time.Now())
			}
			l.Forget(state.Snapshot())
			Convey(c.name, t, func() {
				So(l.Any(), ShouldEqual, c.limited)
				So(published[len(published)-1].Rate > 0, ShouldEqual, c.limited)
			})
		})
	}
}

func newFlag(value bool) *atomic.Bool {
	flag := &atomic.Bool{}
	flag.Store(value)
	return flag
}

// newGates returns the gates of several VMs, of which the first is the director
// while connected is set.
func newGates(vms int, connected *atomic.Bool) []*limpetlimit.Gate {
	var gates []*limpetlimit.Gate
	for range vms {
		limits := newLimits(nil)
		gates = append(gates, limpetlimit.NewGate(limpetlimit.Deps{
			Limits: limits, Log: limpetlog.Discard(), Metrics: prometheus.NewRegistry(), Now: time.Now, VMs: func() int { return vms },
			Ask: func(_ context.Context, r limpetlimit.Request) (limpetlimit.Grant, error) {
				if !connected.Load() {
					return limpetlimit.Grant{}, limpeterror.Unavailable.New("there is no director")
				}
				return gates[0].Decide(r), nil
			},
		}))
	}
	return gates
}

// Guards against VMs that each use a whole limit while no director adds up what
// they send, and that use none of it.
func TestVMsWithoutDirector(t *testing.T) {
	for _, rate := range []float64{1, 2, 10} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				connected := newFlag(true)
				gates := newGates(6, connected)
				var sent []time.Time
				for _, g := range gates {
					g.Limits.Observe(server("a", 1), rate)
				}
				began := time.Now()
				for time.Since(began) < time.Minute {
					// The director is lost, comes back, and is lost again.
					connected.Store(int(time.Since(began).Seconds())%20 < 10)
					for _, g := range gates {
						if _, _, ok := g.Permit(context.Background(), "desk", []string{"a"}, 0); ok {
							sent = append(sent, time.Now())
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				Convey(fmt.Sprintf("the limit of %v a second is kept, with and without a director", rate), t, func() {
					So(worst(sent), ShouldBeLessThanOrEqualTo, allowed(rate))
					So(float64(len(sent)), ShouldBeGreaterThan, 0.5*60*rate)
				})
			})
		})
	}
}

func TestLooks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gates := newGates(3, newFlag(true))
		servers := []string{"a", "b", "c"}
		for _, g := range gates {
			for _, id := range servers {
				g.Limits.Observe(server(id, 1), 5)
			}
		}
		looked := map[string]int{}
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, g := range gates {
				if id, ok := g.Look(context.Background(), "desk", servers); ok {
					looked[id]++
				}
			}
		}
		Convey("each server is asked about every two seconds, whichever VM asks", t, func() {
			for _, id := range servers {
				So(looked[id], ShouldBeBetween, 20, 31)
			}
		})
	})
}

// Guards against one server at its limit, for which a check or a retry asked, that
// keeps requests from the other servers of its service.
func TestDenialsOfOneServerDoNotCountForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gates := newGates(1, newFlag(true))
		g, ctx := gates[0], context.Background()
		for _, id := range []string{"a", "b"} {
			g.Limits.Observe(server(id, 1), 0.1)
		}
		_, _, first := g.Permit(ctx, "", []string{"a"}, 0)
		_, _, second := g.Permit(ctx, "", []string{"a"}, 0)
		id, _, third := g.Permit(ctx, "desk", []string{"a", "b"}, 0)
		_, retryAfter, fourth := g.Permit(ctx, "desk", []string{"a", "b"}, 0)
		Convey("another server still takes a request, and then none does", t, func() {
			So([]bool{first, second, third, fourth}, ShouldResemble, []bool{true, false, true, false})
			So(id, ShouldEqual, "b")
			So(retryAfter, ShouldBeBetweenOrEqual, 9*time.Second, 10*time.Second)
		})
	})
}

// Guards against callers that leave while their request waits for a permit, which
// was taken for the loss of the director.
func TestCallersThatLeaveGetNoPermit(t *testing.T) {
	gates := newGates(2, newFlag(false))
	gates[1].Limits.Observe(server("a", 1), 100)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	granted := 0
	for range 100 {
		if _, _, ok := gates[1].Permit(ctx, "desk", []string{"a"}, time.Second); ok {
			granted++
		}
	}
	Convey("nothing is granted", t, func() { So(granted, ShouldEqual, 0) })
}

func TestReportsReachTheDirector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connected := newFlag(false)
		gates := newGates(2, connected)
		group := limpettask.New(context.Background())
		group.Go(gates[1].Run)
		gates[1].Limits.Observe(server("a", 1), 2)
		time.Sleep(2 * time.Second)
		before := gates[0].Limits.Any()
		connected.Store(true)
		time.Sleep(time.Second)
		Convey("the director learns of a limit as soon as it is reached", t, func() {
			So(before, ShouldBeFalse)
			So(gates[0].Limited("a"), ShouldBeTrue)
		})
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestNilGate(t *testing.T) {
	var g *limpetlimit.Gate
	Convey("without a gate no server is limited", t, func() {
		So(g.Any(), ShouldBeFalse)
		So(g.Limited("a"), ShouldBeFalse)
		So(g.Free("a", time.Now()), ShouldBeTrue)
		So(g.Among([]*limpetsite.Server{server("a", 1)}, "a", func(string) bool { return false }), ShouldBeEmpty)
		g.Take("a", time.Now())
	})
}
