package limpetadmission_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetadmission"
)

// A vmGroup holds the schedulers of several VMs. They report their served
// tokens to each other once per period, as heartbeats do.
type vmGroup struct {
	schedulers []*limpetadmission.Scheduler
	weights    map[string]float64
	// receives reports whether an account sends requests to a VM.
	receives func(account string, vm int) bool
	served   []map[string]float64
}

// runPeriod serves n requests on every VM and then exchanges the served tokens.
// It returns the tokens served on all VMs by account.
func (g *vmGroup) runPeriod(n int) map[string]float64 {
	const cost = 141
	served := map[string]float64{}
	for range n {
		for vm, s := range g.schedulers {
			if next := s.Next(); next != nil {
				served[next.Account] += next.Cost
				g.served[vm][next.Account] += next.Cost
				s.Push(newEntry(next.Account, g.weights[next.Account], cost))
			}
		}
	}
	for vm, s := range g.schedulers {
		for other := range g.schedulers {
			if other == vm {
				continue
			}
			for a, tokens := range g.served[other] {
				s.ChargeRemote(a, tokens, g.weights[a])
			}
		}
	}
	for vm := range g.served {
		g.served[vm] = map[string]float64{}
	}
	return served
}

func TestSharesHoldOverVMs(t *testing.T) {
	for _, c := range []struct {
		name     string
		receives func(account string, vm int) bool
	}{
		{"every account on every VM", func(string, int) bool { return true }},
		{"each small account on two VMs", func(a string, vm int) bool { return a < "a3" || vm%4 == int(a[1])%4 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the shares over all periods match the weights within 5%", t, func() {
				g := &vmGroup{weights: map[string]float64{"a1": 4, "a2": 4, "a3": 2, "a4": 1, "a5": 1, "a6": 1, "a7": 1, "a8": 1}, receives: c.receives}
				for vm := range 8 {
					s := limpetadmission.NewScheduler()
					g.schedulers = append(g.schedulers, s)
					g.served = append(g.served, map[string]float64{})
					for a, w := range g.weights {
						if c.receives(a, vm) {
							for range 20 {
								s.Push(newEntry(a, w, 141))
							}
						}
					}
				}
				const periods, perVM, warmup = 30, 40, 5
				sum, total := map[string]float64{}, 0.0
				worst := 0.0
				for p := range periods {
					served := g.runPeriod(perVM)
					if p < warmup {
						continue
					}
					all := 0.0
					for a := range g.weights {
						all += served[a]
						sum[a] += served[a]
						total += served[a]
					}
					for a, w := range g.weights {
						worst = max(worst, (w/15-served[a]/all)/(w/15))
					}
				}
				for a, w := range g.weights {
					So(sum[a]/total, ShouldAlmostEqual, w/15, 0.05*w/15)
				}
				t.Logf("lowest share in a period is %.0f%% below the account's weight", 100*worst)
			})
		})
	}
}
