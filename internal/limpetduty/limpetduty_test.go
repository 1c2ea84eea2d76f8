package limpetduty_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetduty"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetfleet"
	"limpetmount.org/internal/limpetintake"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetusage"
)

const window = time.Minute

// A billing holds VMs that count, and reporters that may overlap.
type billing struct {
	mu       sync.Mutex
	stub     *limpetstub.Store
	platform *limpetstub.Platform
	tallies  []*limpetusage.Tally
	dead     map[int]bool
	// muted VMs count but do not write.
	muted map[int]bool
	used  map[string]uint64
	holds bool
}

func newBilling(vms int) *billing {
	b := &billing{stub: limpetstub.NewStore(), platform: limpetstub.NewPlatform(), dead: map[int]bool{}, muted: map[int]bool{}, used: map[string]uint64{}, holds: true}
	for i := range vms {
		b.tallies = append(b.tallies, limpetusage.NewTally(fmt.Sprintf("vm%d", i), fmt.Sprintf("vm%d-1", i), window))
	}
	return b
}

// run lets each VM count and flush until ctx ends.
func (b *billing) run(g *limpettask.Group, vm int) {
	g.Go(func(ctx context.Context) error {
		for n := uint64(1); limpettask.Sleep(ctx, 5*time.Second); n++ {
			b.mu.Lock()
			dead, muted := b.dead[vm], b.muted[vm]
			if !dead {
				account := fmt.Sprintf("a%d", n%3)
				b.tallies[vm].Add(time.Now(), account, limpetusage.Count{Requests: 1, Tokens: n})
				b.used[account] += n
			}
			b.mu.Unlock()
			if dead {
				return nil
			}
			if !muted {
				b.flush(vm, false)
			}
		}
		return nil
	})
}

func (b *billing) flush(vm int, final bool) {
	for _, r := range b.tallies[vm].Pending(time.Now(), final) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := limpetduty.Writer{Store: b.stub.Client(), Length: window, Now: time.Now}.Write(ctx, r)
		cancel()
		if err != nil {
			return
		}
		b.tallies[vm].Flushed(r)
	}
}

func (b *billing) reporter() *limpetduty.Reporter {
	return &limpetduty.Reporter{
		Store: limpetstore.RetryReads(b.stub.Client(), 4), Intake: limpetintake.Intake{Report: b.platform.Report}, Length: window,
		Holds: func(time.Duration) bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.holds
		},
		Live: func(time.Time) []string {
			b.mu.Lock()
			defer b.mu.Unlock()
			var live []string
			for i := range b.tallies {
				if !b.dead[i] {
					live = append(live, fmt.Sprintf("vm%d-1", i))
				}
			}
			return live
		},
		Log: limpetlog.Discard(), Now: time.Now,
	}
}

// billed sums figures and corrections of all reports.
func (b *billing) billed() map[string]uint64 {
	billed := map[string]uint64{}
	for account := range b.used {
		for _, data := range b.platform.ReportsOf(account) {
			var r limpetusage.Report
			if json.Unmarshal(data, &r) == nil {
				billed[account] += r.Figures.Tokens
				for _, c := range r.Corrections {
					billed[account] += c.Count.Tokens
				}
			}
		}
	}
	return billed
}

// dieUnwritten kills a VM with counts that were not written, and writes them
// after a time, as the VM that holds the copy does.
func (b *billing) dieUnwritten(after time.Duration) {
	b.mu.Lock()
	b.muted[2] = true
	b.mu.Unlock()
	time.Sleep(window / 2)
	b.mu.Lock()
	b.dead[2] = true
	b.mu.Unlock()
	time.Sleep(after)
	b.flush(2, true)
}

func TestBillsSurvive(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb acts three minutes after the start.
		disturb func(b *billing)
	}{
		{"no fault", func(*billing) {}},
		{"intake's answers lost", func(b *billing) {
			b.platform.Lock()
			defer b.platform.Unlock()
			b.platform.LoseReports = 5
		}},
		{"store out for longer than a window", func(b *billing) {
			b.stub.SetDown(true)
			time.Sleep(90 * time.Second)
			b.stub.SetDown(false)
		}},
		{"answers of the store lost", func(b *billing) {
			r := rand.New(rand.NewPCG(1, 5))
			b.stub.Lock()
			b.stub.Fault = func(string, string) limpetstub.Fault {
				return []limpetstub.Fault{limpetstub.None, limpetstub.None, limpetstub.LostAfter, limpetstub.LostBefore, limpetstub.Refused}[r.IntN(5)]
			}
			b.stub.Unlock()
			time.Sleep(5 * window)
			b.stub.Lock()
			b.stub.Fault = nil
			b.stub.Unlock()
		}},
		{"a VM dies and its counts come late from another", func(b *billing) { b.dieUnwritten(2 * window) }},
		{"they come very late", func(b *billing) { b.dieUnwritten(8 * window) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("every token is billed once and no window twice", t, func() {
					b := newBilling(3)
					g := limpettask.New(context.Background())
					for vm := range b.tallies {
						b.run(g, vm)
					}
					// Two reporters run at the same time all along: the frozen
					// figures, not the lease, make them say the same.
					for range 2 {
						g.Go(func(ctx context.Context) error { b.reporter().Run(ctx); return nil })
					}
					time.Sleep(3 * time.Minute)
					c.disturb(b)
					time.Sleep(6 * time.Minute)
					b.mu.Lock()
					for vm := range b.tallies {
						b.dead[vm] = true
					}
					b.mu.Unlock()
					time.Sleep(10 * time.Second)
					for vm := range b.tallies {
						b.flush(vm, true)
					}
					time.Sleep(4 * time.Minute)
					_ = g.Stop()
					So(b.platform.Doubled, ShouldBeEmpty)
					So(b.platform.Reports(), ShouldBeGreaterThan, 10)
					So(b.billed(), ShouldResemble, b.used)
				})
			})
		})
	}
}

func TestReporterStopsWithoutItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a reporter that cannot prove its duty reports nothing", t, func() {
			b := newBilling(1)
			b.holds = false
			g := limpettask.New(context.Background())
			b.run(g, 0)
			g.Go(func(ctx context.Context) error { b.reporter().Run(ctx); return nil })
			time.Sleep(5 * time.Minute)
			_ = g.Stop()
			So(b.platform.Reports(), ShouldEqual, 0)
		})
	})
}

// A yard holds a platform and what the orderers see of it.
type yard struct {
	stub     *limpetstub.Store
	platform *limpetstub.Platform
	launched atomic.Int64
	holds    func(fence uint64) bool
	unique   atomic.Int64
}

func newYard() *yard {
	y := &yard{stub: limpetstub.NewStore(), platform: limpetstub.NewPlatform(), holds: func(uint64) bool { return true }}
	y.platform.Launch = func(limpetorder.Order, string) (string, error) {
		y.launched.Add(1)
		return "127.0.0.1:1", nil
	}
	y.platform.Prices = []limpetorder.Price{{Zone: "a", Standard: 10, Available: true}, {Zone: "b", Standard: 10, Available: true}}
	return y
}

func (y *yard) orderer(fence uint64, platform limpetorder.Platform) *limpetduty.Orderer {
	return &limpetduty.Orderer{
		Store: y.stub.Client(), Platform: platform, Fence: fence,
		Holds: func(time.Duration) bool { return y.holds(fence) },
		Services: func() []limpetduty.FleetService {
			listing, _ := y.platform.List(context.Background(), 0)
			f := limpetduty.FleetService{Service: limpetconfig.Service{Name: "drafts", Servers: 4, Most: 6}}
			f.Demand.PerServer = 8
			for _, s := range listing.Servers {
				f.Servers = append(f.Servers, limpetfleet.Server{Server: s})
			}
			return []limpetduty.FleetService{f}
		},
		Drain:  func(context.Context, string) error { return nil },
		Unique: func() string { return fmt.Sprintf("o%d", y.unique.Add(1)) },
		Log:    limpetlog.Discard(), Now: time.Now,
	}
}

func TestOrdersAreSettledByTheNextHolder(t *testing.T) {
	for _, c := range []struct {
		name string
		// send is what the first holder's platform does with an order.
		send func(y *yard, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error)
	}{
		{"answered", func(y *yard, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			return y.platform.Send(ctx, o)
		}},
		{"answer lost after the effect", func(y *yard, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			_, _ = y.platform.Send(ctx, o)
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
		{"lost before the effect", func(*yard, context.Context, limpetorder.Order) (limpetorder.Receipt, error) {
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
		{"refused", func(*yard, context.Context, limpetorder.Order) (limpetorder.Receipt, error) {
			return limpetorder.Receipt{}, limpeterror.Unavailable.New("no")
		}},
		{"arrives very late, within its deadline", func(y *yard, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			time.AfterFunc(5*time.Second, func() { _, _ = y.platform.Send(ctx, o) })
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
		{"arrives late, within its deadline", func(y *yard, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			time.AfterFunc(time.Second, func() { _, _ = y.platform.Send(ctx, o) })
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("two holders in a row order what is needed and no more", t, func() {
					y := newYard()
					flaky := y.platform.Ordering()
					flaky.Send = func(ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) { return c.send(y, ctx, o) }
					first := limpettask.New(context.Background())
					first.Go(func(ctx context.Context) error { y.orderer(5, flaky).Run(ctx); return nil })
					time.Sleep(4 * time.Second)
					_ = first.Stop()
					second := limpettask.New(context.Background())
					second.Go(func(ctx context.Context) error { y.orderer(9, y.platform.Ordering()).Run(ctx); return nil })
					time.Sleep(30 * time.Second)
					_ = second.Stop()
					So(y.launched.Load(), ShouldEqual, 4)
				})
			})
		})
	}
}

func TestOldHolderIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a paused holder that comes back orders nothing", t, func() {
			y := newYard()
			g := limpettask.New(context.Background())
			g.Go(func(ctx context.Context) error { y.orderer(9, y.platform.Ordering()).Run(ctx); return nil })
			time.Sleep(10 * time.Second)
			So(y.launched.Load(), ShouldEqual, 4)
			y.platform.SetState("drafts-a-1", limpetorder.Stopped, time.Time{})
			old := limpettask.New(context.Background())
			_ = g.Stop()
			// Its own check is broken here: the intent in the store fences it.
			old.Go(func(ctx context.Context) error { y.orderer(5, y.platform.Ordering()).Run(ctx); return nil })
			time.Sleep(10 * time.Second)
			_ = old.Stop()
			So(y.launched.Load(), ShouldEqual, 4)
		})
	})
}
