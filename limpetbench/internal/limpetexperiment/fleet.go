package limpetexperiment

import (
	"context"
	"fmt"
	"time"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/limpetbench/internal/limpetload"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	fleetMaxServers = 12
	fleetMinServers = 2
	fleetStartTime  = 1500 * time.Millisecond
	// spendingInterval is the time between two samples of the running servers.
	spendingInterval = 100 * time.Millisecond
)

// fleetPhases holds the request rate in each phase of a simulated day, as a
// fraction of the capacity of the largest fleet.
var fleetPhases = []float64{0.1, 0.5, 0.1, 0.3}

// runFleet compares a fixed fleet, sized for peak load, with the fleet that the
// product orders over a short simulated day. Spending is the sum over time of
// the prices of the servers that are not stopped.
func runFleet(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "fleet", Columns: []string{"fleet", "spending", "servers mean", "p50 ms", "p99 ms", "refused", "cut", "done"}}
	var series []limpetplot.Series
	for _, fixed := range []bool{true, false} {
		name, minServers := "product", fleetMinServers
		if fixed {
			name, minServers = "fixed", fleetMaxServers
		}
		row, line, err := measureFleet(ctx, c, minServers)
		if err != nil {
			return nil, err
		}
		line.Name = name
		series = append(series, line)
		r.Add(append([]string{name}, row...)...)
	}
	return r, limpetplot.WriteLines(c.Folder, "fleet", "Running servers", "seconds", "servers", series)
}

// measureFleet runs the phases with at least minServers servers. It returns the
// row of the report without its name, and the number of servers over time.
func measureFleet(ctx context.Context, c *Command, minServers int) ([]string, limpetplot.Series, error) {
	var line limpetplot.Series
	d := referenceDeployment
	d.engines = 0
	cluster, closeCluster, err := newCluster(ctx, d, variants[1], func(s *limpetsettings.Settings) {
		s.Timing.LoadInterval, s.Timing.QueueTimeout, s.Timing.SurplusDelay = 300*time.Millisecond, 10*time.Second, time.Second
	}, accountStatements([]float64{1}))
	if err != nil {
		return nil, line, err
	}
	defer closeCluster()
	cluster.Platform.Lock()
	cluster.Platform.StartTime = fleetStartTime
	cluster.Platform.Unlock()
	if _, err := cluster.RunStatements(ctx, 0, fmt.Sprintf("set service drafts servers=%d most=%d cheap=0.5", minServers, fleetMaxServers)); err != nil {
		return nil, line, err
	}
	token, err := cluster.CreateKey(ctx, 0, "k", "a1", "caller")
	if err != nil {
		return nil, line, err
	}
	if err := limpetcluster.WaitUntil(ctx, "the minimum number of servers", func() bool { return len(cluster.Nodes[0].View().Servers["drafts"]) >= minServers }); err != nil {
		return nil, line, err
	}
	spending := 0.0
	g := limpettask.New(ctx)
	start := time.Now()
	g.Go(func(ctx context.Context) error {
		for limpettask.Sleep(ctx, spendingInterval) {
			listing, err := cluster.Platform.List(ctx, 0)
			if err != nil {
				return err
			}
			running := 0
			for _, s := range listing.Servers {
				if s.State != limpetorder.Stopped {
					running++
					spending += currentPrice(cluster, s) * spendingInterval.Seconds()
				}
			}
			line.X = append(line.X, time.Since(start).Seconds())
			line.Y = append(line.Y, float64(running))
		}
		return nil
	})
	results := runFleetPhases(ctx, c, cluster, token)
	_ = g.Stop()
	mean := 0.0
	for _, y := range line.Y {
		mean += y / float64(len(line.Y))
	}
	return []string{
		fmt.Sprintf("%.0f", spending), fmt.Sprintf("%.1f", mean), milliseconds(results.P50()), milliseconds(results.P99()),
		fmt.Sprint(results.Refused), fmt.Sprint(results.Truncated + results.Mismatched), fmt.Sprint(results.Completed),
	}, line, nil
}

// currentPrice returns the price of a server's class in its zone.
func currentPrice(cluster *limpetcluster.Cluster, s limpetorder.Server) float64 {
	for _, p := range cluster.Platform.Prices {
		if p.Zone == s.Zone && s.Class == limpetorder.Cheap {
			return p.Cheap
		} else if p.Zone == s.Zone {
			return p.Standard
		}
	}
	return 0
}

// runFleetPhases runs the load phases in sequence and merges their results.
func runFleetPhases(ctx context.Context, c *Command, cluster *limpetcluster.Cluster, token string) *limpetload.Result {
	capacity := float64(fleetMaxServers*referenceDeployment.capacity) / (shareTokens * 2 * referenceDeployment.tokenTime.Seconds())
	var total *limpetload.Result
	for i, fraction := range fleetPhases {
		results := limpetload.Run(ctx, []limpetload.Source{{
			Account: "a1", Token: token, URLs: urls(cluster), Model: "drafts", Rate: fraction * capacity, MaxTokens: shareTokens, Seed: c.Seed + uint64(i),
		}}, c.Time)
		if total == nil {
			total = results["a1"]
			continue
		}
		total.Add(results["a1"])
	}
	return total
}
