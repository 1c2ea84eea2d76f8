// Package limpettrial owns the experiments: short lists of settings that drive
// the product's own nodes and decisions against the stand-ins, baseline and
// current in the same run. It is not a simulator.
package limpettrial

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"limpetmount.org/internal/limpetlab"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetserve"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

// Command holds the flags of limpetbench experiment.
type Command struct {
	Name   string        `arg:"" help:"Experiment; list prints them."`
	Seed   uint64        `help:"Seed of the load." default:"1"`
	Time   time.Duration `help:"Length of each variant's load." default:"15s"`
	Runs   int           `help:"Repetitions, for experiments that time single events." default:"200"`
	Folder string        `help:"Folder for CSV and plots." default:"out" type:"path"`
}

// An experiment holds a name, what it measures, and how.
type experiment struct {
	what string
	run  func(ctx context.Context, c *Command) (*limpetplot.Report, error)
}

var experiments = map[string]experiment{
	"shares":   {"worst-served client account beside a greedy one, round robin and first come first served against the product's policy", runShares},
	"overhead": {"time that a VM adds to a request, memory idle and with many streams", runOverhead},
	"rollout":  {"trainer idle time with stragglers and crashing engines, beside live load", runRollout},
	"withdraw": {"seconds from a withdrawal to the last accepted use, with and without a store outage", runWithdraw},
	"takeover": {"seconds until a job answers again after its owner's death and graceful shutdown", runTakeover},
	"weights":  {"seconds from a publication to the version on all engines, through a rate-limited weight store", runWeights},
	"cache":    {"cache hits and time to the first token with long shared prompts, round robin against the product's routing", runCache},
	"fleet":    {"spending and waiting with a fixed fleet against the product's orders", runFleet},
}

// Run runs one experiment and writes its table, CSV and plot.
func (c *Command) Run() error {
	if c.Name == "list" {
		names := make([]string, 0, len(experiments))
		for name := range experiments {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("%-10s %s\n", name, experiments[name].what)
		}
		return nil
	}
	e, ok := experiments[c.Name]
	if !ok {
		return fmt.Errorf("no experiment %q; limpetbench experiment list prints them", c.Name)
	}
	report, err := e.run(context.Background(), c)
	if err != nil {
		return fmt.Errorf("experiment %s: %w", c.Name, err)
	}
	fmt.Println(report.Table())
	return report.WriteCSV(c.Folder)
}

// A variant is one policy of an experiment.
type variant struct {
	name   string
	policy func() limpetserve.Policy
}

// variants are the baseline and the product.
var variants = []variant{
	{"baseline", limpetserve.NewBaseline},
	{"current", limpetserve.NewPolicy},
}

// A size holds what a deployment has.
type size struct {
	vms, engines, capacity int
	tokenTime              time.Duration
	zones                  []string
}

// office is the Commissioner's Office: 8 VMs, 12 engines, 4 zones.
var office = size{vms: 8, engines: 12, capacity: 8, tokenTime: 4 * time.Millisecond, zones: []string{"pretoria-a", "pretoria-b", "midrand-a", "midrand-b"}}

// newLab starts a system of a size with one engine service called drafts.
func newLab(ctx context.Context, z size, v variant, adjust func(*limpetsettings.Settings), setup string) (*limpetlab.Lab, func(), error) {
	return newLabWith(ctx, z, v, adjust, setup, func(*limpetnode.Deps) {})
}

// newLabWith is newLab with a change of the nodes' policy.
func newLabWith(ctx context.Context, z size, v variant, adjust func(*limpetsettings.Settings), setup string, change func(*limpetnode.Deps)) (*limpetlab.Lab, func(), error) {
	folder, remove, err := limpetlab.TempFolder()
	if err != nil {
		return nil, nil, err
	}
	lab, err := limpetlab.New(ctx, limpetlab.Options{
		Folder: folder, VMs: z.vms, Zones: z.zones, Adjust: adjust,
		Deps: func(_ int, d limpetnode.Deps) limpetnode.Deps {
			d.Policy = v.policy()
			change(&d)
			return d
		},
		Engine: func(id string) *limpetstub.Engine { return limpetstub.NewEngine(id, z.capacity, z.tokenTime) },
	})
	if err != nil {
		remove()
		return nil, nil, err
	}
	end := func() {
		lab.Close()
		remove()
	}
	if err := prepare(ctx, lab, z, setup); err != nil {
		end()
		return nil, nil, err
	}
	return lab, end, nil
}

func prepare(ctx context.Context, lab *limpetlab.Lab, z size, setup string) error {
	if err := lab.WaitReady(ctx); err != nil {
		return err
	}
	if _, err := lab.Operate(ctx, 0, "create service drafts kind=engine; "+setup); err != nil {
		return err
	}
	for i := range z.engines {
		e := limpetstub.NewEngine(fmt.Sprintf("e%02d", i+1), z.capacity, z.tokenTime)
		e.PrefillTime = 20 * time.Millisecond
		class := limpetorder.Standard
		if i%2 == 1 {
			class = limpetorder.Cheap
		}
		if err := lab.AddEngine("drafts", z.zones[i%len(z.zones)], class, e); err != nil {
			return err
		}
	}
	return limpetlab.Until(ctx, "all engines on all VMs", func() bool {
		for _, n := range lab.Nodes {
			if len(n.View().Servers["drafts"]) != z.engines {
				return false
			}
		}
		return true
	})
}

// urls returns the callers' addresses of all VMs.
func urls(lab *limpetlab.Lab) []string {
	list := make([]string, 0, len(lab.Nodes))
	for i := range lab.Nodes {
		list = append(list, lab.URL(i))
	}
	return list
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// quantile returns the value at q, 0 to 1, of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// addTimes appends a row with the median, the 99th percentile and the worst.
func addTimes(r *limpetplot.Report, name string, times []time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.Add(name, fmt.Sprint(len(times)), seconds(quantile(times, 0.5)), seconds(quantile(times, 0.99)), seconds(quantile(times, 1)))
}

// accountsOf returns the statements that create accounts with weights.
func accountsOf(weights []float64) string {
	var b strings.Builder
	for i, w := range weights {
		fmt.Fprintf(&b, "create account a%d weight=%g streams=100000; ", i+1, w)
	}
	return b.String()
}
