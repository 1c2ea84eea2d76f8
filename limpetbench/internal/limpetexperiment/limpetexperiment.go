// Package limpetexperiment implements the experiments. Each one runs real nodes
// with their own routing and scheduling code against stub services, and
// measures the baseline and the current policy in the same run. Nothing of the
// product is simulated.
package limpetexperiment

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

// Command holds the flags of limpetbench experiment.
type Command struct {
	Name   string        `arg:"" help:"Name of the experiment; list prints all names."`
	Seed   uint64        `help:"Seed of the load." default:"1"`
	Time   time.Duration `help:"Duration of the load for each variant." default:"15s"`
	Runs   int           `help:"Number of repetitions in experiments that time single events." default:"200"`
	Folder string        `help:"Folder for CSV and plots." default:"out" type:"path"`
}

// An experiment describes what is measured and the function that measures it.
type experiment struct {
	description string
	run         func(ctx context.Context, c *Command) (*limpetplot.Report, error)
}

// experiments holds the experiments by name.
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

// Run runs one experiment, prints its table and writes its CSV file, or lists
// all experiments if the name is list.
func (c *Command) Run() error {
	if c.Name == "list" {
		names := make([]string, 0, len(experiments))
		for name := range experiments {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("%-10s %s\n", name, experiments[name].description)
		}
		return nil
	}
	e, ok := experiments[c.Name]
	if !ok {
		return fmt.Errorf("unknown experiment %q; \"limpetbench experiment list\" prints all names", c.Name)
	}
	report, err := e.run(context.Background(), c)
	if err != nil {
		return fmt.Errorf("experiment %s: %w", c.Name, err)
	}
	fmt.Println(report.Table())
	return report.WriteCSV(c.Folder)
}

// A variant is a named policy that an experiment measures.
type variant struct {
	name   string
	policy func() limpetdispatch.Policy
}

// variants holds the baseline policy and the product's current policy, in that
// order.
var variants = []variant{
	{"baseline", limpetdispatch.NewBaseline},
	{"current", limpetdispatch.NewPolicy},
}

// A deployment describes the VMs and engines of a system under test.
type deployment struct {
	vms, engines, capacity int
	tokenTime              time.Duration
	zones                  []string
}

// referenceDeployment has the size of the Commissioner's Office: 8 VMs and 12
// engines in 4 availability zones.
var referenceDeployment = deployment{vms: 8, engines: 12, capacity: 8, tokenTime: 4 * time.Millisecond, zones: []string{"pretoria-a", "pretoria-b", "midrand-a", "midrand-b"}}

// newCluster starts a deployment with one engine service called drafts, and runs
// the operator statements in statements. The caller must call the returned
// function to stop it.
func newCluster(ctx context.Context, d deployment, v variant, adjust func(*limpetsettings.Settings), statements string) (*limpetcluster.Cluster, func(), error) {
	return newClusterWithDeps(ctx, d, v, adjust, statements, func(*limpetnode.Deps) {})
}

// newClusterWithDeps is like newCluster and also lets adjustDeps change the
// dependencies of each node.
func newClusterWithDeps(ctx context.Context, d deployment, v variant, adjust func(*limpetsettings.Settings), statements string, adjustDeps func(*limpetnode.Deps)) (*limpetcluster.Cluster, func(), error) {
	folder, remove, err := limpetcluster.TempFolder()
	if err != nil {
		return nil, nil, err
	}
	cluster, err := limpetcluster.New(ctx, limpetcluster.Options{
		Folder: folder, VMs: d.vms, Zones: d.zones, AdjustSettings: adjust,
		WrapDeps: func(_ int, deps limpetnode.Deps) limpetnode.Deps {
			deps.Policy = v.policy()
			adjustDeps(&deps)
			return deps
		},
		NewEngine: func(id string) *limpetstub.Engine { return limpetstub.NewEngine(id, d.capacity, d.tokenTime) },
	})
	if err != nil {
		remove()
		return nil, nil, err
	}
	closeCluster := func() {
		cluster.Close()
		remove()
	}
	if err := setUp(ctx, cluster, d, statements); err != nil {
		closeCluster()
		return nil, nil, err
	}
	return cluster, closeCluster, nil
}

// setUp creates the service and its engines, alternating between standard and
// cheap servers, and waits until all VMs know all engines.
func setUp(ctx context.Context, cluster *limpetcluster.Cluster, d deployment, statements string) error {
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	if _, err := cluster.RunStatements(ctx, 0, "create service drafts kind=engine; "+statements); err != nil {
		return err
	}
	for i := range d.engines {
		e := limpetstub.NewEngine(fmt.Sprintf("e%02d", i+1), d.capacity, d.tokenTime)
		e.PrefillTime = 20 * time.Millisecond
		class := limpetorder.Standard
		if i%2 == 1 {
			class = limpetorder.Cheap
		}
		if err := cluster.AddEngine("drafts", d.zones[i%len(d.zones)], class, e); err != nil {
			return err
		}
	}
	return limpetcluster.WaitUntil(ctx, "all engines on all VMs", func() bool {
		for _, n := range cluster.Nodes {
			if len(n.View().Servers["drafts"]) != d.engines {
				return false
			}
		}
		return true
	})
}

// urls returns the base URLs at which the VMs accept callers.
func urls(cluster *limpetcluster.Cluster) []string {
	list := make([]string, 0, len(cluster.Nodes))
	for i := range cluster.Nodes {
		list = append(list, cluster.URL(i))
	}
	return list
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// quantile returns the q-quantile of sorted durations, with q from 0 to 1.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// addPercentiles sorts times and appends a row with their number, median, 99th
// percentile and maximum.
func addPercentiles(r *limpetplot.Report, name string, times []time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.Add(name, fmt.Sprint(len(times)), seconds(quantile(times, 0.5)), seconds(quantile(times, 0.99)), seconds(quantile(times, 1)))
}

// accountStatements returns the operator statements that create an account for
// each weight.
func accountStatements(weights []float64) string {
	var b strings.Builder
	for i, w := range weights {
		fmt.Fprintf(&b, "create account a%d weight=%g streams=100000; ", i+1, w)
	}
	return b.String()
}
