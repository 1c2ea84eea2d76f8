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

// A usageFixture simulates VMs that count usage and the reporters that read it.
type usageFixture struct {
	mu       sync.Mutex
	stub     *limpetstub.Store
	platform *limpetstub.Platform
	tallies  []*limpetusage.Tally
	dead     map[int]bool
	// unwritten VMs count usage but do not write it to the store.
	unwritten  map[int]bool
	counted    map[string]uint64
	leaseValid bool
}

func newUsageFixture(vms int) *usageFixture {
	fx := &usageFixture{stub: limpetstub.NewStore(), platform: limpetstub.NewPlatform(), dead: map[int]bool{}, unwritten: map[int]bool{}, counted: map[string]uint64{}, leaseValid: true}
	for i := range vms {
		fx.tallies = append(fx.tallies, limpetusage.NewTally(fmt.Sprintf("vm%d", i), fmt.Sprintf("vm%d-1", i), window))
	}
	return fx
}

// runVM lets a VM count usage and write it to the store until the group stops.
func (fx *usageFixture) runVM(g *limpettask.Group, vm int) {
	g.Go(func(ctx context.Context) error {
		for n := uint64(1); limpettask.Sleep(ctx, 5*time.Second); n++ {
			fx.mu.Lock()
			dead, unwritten := fx.dead[vm], fx.unwritten[vm]
			if !dead {
				account := fmt.Sprintf("a%d", n%3)
				fx.tallies[vm].Add(time.Now(), account, limpetusage.Count{Requests: 1, Tokens: n})
				fx.counted[account] += n
			}
			fx.mu.Unlock()
			if dead {
				return nil
			}
			if !unwritten {
				fx.flush(vm, false)
			}
		}
		return nil
	})
}

func (fx *usageFixture) flush(vm int, final bool) {
	for _, r := range fx.tallies[vm].Pending(time.Now(), final) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := limpetduty.RecordWriter{Store: fx.stub.Client(), WindowLength: window, Now: time.Now}.Write(ctx, r)
		cancel()
		if err != nil {
			return
		}
		fx.tallies[vm].MarkFlushed(r)
	}
}

func (fx *usageFixture) reporter() *limpetduty.UsageReporter {
	return &limpetduty.UsageReporter{
		Store: limpetstore.RetryReads(fx.stub.Client(), 4), Intake: limpetintake.Intake{Report: fx.platform.Report}, WindowLength: window,
		LeaseValidFor: func(time.Duration) bool {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			return fx.leaseValid
		},
		LiveIncarnations: func(time.Time) []string {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			var live []string
			for i := range fx.tallies {
				if !fx.dead[i] {
					live = append(live, fmt.Sprintf("vm%d-1", i))
				}
			}
			return live
		},
		Log: limpetlog.Discard(), Now: time.Now,
	}
}

// reported returns the sum of the figures and corrections of all reports, by
// client account.
func (fx *usageFixture) reported() map[string]uint64 {
	reported := map[string]uint64{}
	for account := range fx.counted {
		for _, data := range fx.platform.AccountReports(account) {
			var r limpetusage.Report
			if json.Unmarshal(data, &r) == nil {
				reported[account] += r.Totals.Tokens
				for _, c := range r.Corrections {
					reported[account] += c.Count.Tokens
				}
			}
		}
	}
	return reported
}

// crashBeforeWrite crashes a VM that has unwritten counts, and writes them after
// a delay, as the VM that holds the replica would.
func (fx *usageFixture) crashBeforeWrite(after time.Duration) {
	fx.mu.Lock()
	fx.unwritten[2] = true
	fx.mu.Unlock()
	time.Sleep(window / 2)
	fx.mu.Lock()
	fx.dead[2] = true
	fx.mu.Unlock()
	time.Sleep(after)
	fx.flush(2, true)
}

func TestEachTokenIsReportedOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// injectFault is called three minutes after the start.
		injectFault func(fx *usageFixture)
	}{
		{"no fault", func(*usageFixture) {}},
		{"responses of the usage intake are lost", func(fx *usageFixture) {
			fx.platform.Lock()
			defer fx.platform.Unlock()
			fx.platform.LostReportReplies = 5
		}},
		{"store is down for longer than a window", func(fx *usageFixture) {
			fx.stub.SetDown(true)
			time.Sleep(90 * time.Second)
			fx.stub.SetDown(false)
		}},
		{"responses of the store are lost", func(fx *usageFixture) {
			r := rand.New(rand.NewPCG(1, 5))
			fx.stub.Lock()
			fx.stub.Fault = func(string, string) limpetstub.Fault {
				return []limpetstub.Fault{limpetstub.NoFault, limpetstub.NoFault, limpetstub.ReplyLost, limpetstub.RequestLost, limpetstub.Refused}[r.IntN(5)]
			}
			fx.stub.Unlock()
			time.Sleep(5 * window)
			fx.stub.Lock()
			fx.stub.Fault = nil
			fx.stub.Unlock()
		}},
		{"a VM crashes and its replica is written two windows later", func(fx *usageFixture) { fx.crashBeforeWrite(2 * window) }},
		{"a VM crashes and its replica is written eight windows later", func(fx *usageFixture) { fx.crashBeforeWrite(8 * window) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("every token is reported exactly once and no window twice", t, func() {
					fx := newUsageFixture(3)
					g := limpettask.New(context.Background())
					for vm := range fx.tallies {
						fx.runVM(g, vm)
					}
					// Two reporters run concurrently throughout: the frozen
					// figures, not the lease, keep their reports identical.
					for range 2 {
						g.Go(func(ctx context.Context) error { fx.reporter().Run(ctx); return nil })
					}
					time.Sleep(3 * time.Minute)
					c.injectFault(fx)
					time.Sleep(6 * time.Minute)
					fx.mu.Lock()
					for vm := range fx.tallies {
						fx.dead[vm] = true
					}
					fx.mu.Unlock()
					time.Sleep(10 * time.Second)
					for vm := range fx.tallies {
						fx.flush(vm, true)
					}
					time.Sleep(4 * time.Minute)
					_ = g.Stop()
					So(fx.platform.ConflictingReports, ShouldBeEmpty)
					So(fx.platform.ReportCount(), ShouldBeGreaterThan, 10)
					So(fx.reported(), ShouldResemble, fx.counted)
				})
			})
		})
	}
}

func TestReporterWithoutLeaseReportsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a reporter whose lease may have expired reports nothing", t, func() {
			fx := newUsageFixture(1)
			fx.leaseValid = false
			g := limpettask.New(context.Background())
			fx.runVM(g, 0)
			g.Go(func(ctx context.Context) error { fx.reporter().Run(ctx); return nil })
			time.Sleep(5 * time.Minute)
			_ = g.Stop()
			So(fx.platform.ReportCount(), ShouldEqual, 0)
		})
	})
}

// A fleetFixture simulates the platform that autoscalers order servers from.
type fleetFixture struct {
	stub       *limpetstub.Store
	platform   *limpetstub.Platform
	launched   atomic.Int64
	leaseValid func(fence uint64) bool
	lastID     atomic.Int64
}

func newFleetFixture() *fleetFixture {
	fx := &fleetFixture{stub: limpetstub.NewStore(), platform: limpetstub.NewPlatform(), leaseValid: func(uint64) bool { return true }}
	fx.platform.Launch = func(limpetorder.Order, string) (string, error) {
		fx.launched.Add(1)
		return "127.0.0.1:1", nil
	}
	fx.platform.Prices = []limpetorder.Price{{Zone: "a", Standard: 10, Available: true}, {Zone: "b", Standard: 10, Available: true}}
	return fx
}

func (fx *fleetFixture) autoscaler(fence uint64, platform limpetorder.Platform) *limpetduty.Autoscaler {
	return &limpetduty.Autoscaler{
		Store: fx.stub.Client(), Platform: platform, Fence: fence,
		LeaseValidFor: func(time.Duration) bool { return fx.leaseValid(fence) },
		Services: func() []limpetduty.FleetService {
			listing, _ := fx.platform.List(context.Background(), 0)
			f := limpetduty.FleetService{Service: limpetconfig.Service{Name: "drafts", MinServers: 4, MaxServers: 6}}
			f.Demand.PerServer = 8
			for _, s := range listing.Servers {
				f.Servers = append(f.Servers, limpetfleet.Server{Server: s})
			}
			return []limpetduty.FleetService{f}
		},
		Drain: func(context.Context, string) error { return nil },
		NewID: func() string { return fmt.Sprintf("o%d", fx.lastID.Add(1)) },
		Log:   limpetlog.Discard(), Now: time.Now,
	}
}

func TestNextHolderResolvesPendingOrders(t *testing.T) {
	for _, c := range []struct {
		name string
		// send handles an order from the first holder.
		send func(fx *fleetFixture, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error)
	}{
		{"answered", func(fx *fleetFixture, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			return fx.platform.Send(ctx, o)
		}},
		{"response lost after the order was executed", func(fx *fleetFixture, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			_, _ = fx.platform.Send(ctx, o)
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
		{"request lost before the order was executed", func(*fleetFixture, context.Context, limpetorder.Order) (limpetorder.Receipt, error) {
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
		{"refused", func(*fleetFixture, context.Context, limpetorder.Order) (limpetorder.Receipt, error) {
			return limpetorder.Receipt{}, limpeterror.Unavailable.New("no")
		}},
		{"executed 5 s late, within its deadline", func(fx *fleetFixture, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			time.AfterFunc(5*time.Second, func() { _, _ = fx.platform.Send(ctx, o) })
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
		{"executed 1 s late, within its deadline", func(fx *fleetFixture, ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
			time.AfterFunc(time.Second, func() { _, _ = fx.platform.Send(ctx, o) })
			return limpetorder.Receipt{}, limpeterror.Unknown.New("answer lost")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("two successive holders order exactly the servers that are needed", t, func() {
					fx := newFleetFixture()
					flaky := fx.platform.OrderClient()
					flaky.Send = func(ctx context.Context, o limpetorder.Order) (limpetorder.Receipt, error) { return c.send(fx, ctx, o) }
					first := limpettask.New(context.Background())
					first.Go(func(ctx context.Context) error { fx.autoscaler(5, flaky).Run(ctx); return nil })
					time.Sleep(4 * time.Second)
					_ = first.Stop()
					second := limpettask.New(context.Background())
					second.Go(func(ctx context.Context) error { fx.autoscaler(9, fx.platform.OrderClient()).Run(ctx); return nil })
					time.Sleep(30 * time.Second)
					_ = second.Stop()
					So(fx.launched.Load(), ShouldEqual, 4)
				})
			})
		})
	}
}

func TestStaleHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a holder that resumes after its successor took over orders nothing", t, func() {
			fx := newFleetFixture()
			g := limpettask.New(context.Background())
			g.Go(func(ctx context.Context) error { fx.autoscaler(9, fx.platform.OrderClient()).Run(ctx); return nil })
			time.Sleep(10 * time.Second)
			So(fx.launched.Load(), ShouldEqual, 4)
			fx.platform.SetState("drafts-a-1", limpetorder.Stopped, time.Time{})
			old := limpettask.New(context.Background())
			_ = g.Stop()
			// The fixture reports its lease as valid, so only the fencing
			// token of the intent in the store can stop it.
			old.Go(func(ctx context.Context) error { fx.autoscaler(5, fx.platform.OrderClient()).Run(ctx); return nil })
			time.Sleep(10 * time.Second)
			_ = old.Stop()
			So(fx.launched.Load(), ShouldEqual, 4)
		})
	})
}
