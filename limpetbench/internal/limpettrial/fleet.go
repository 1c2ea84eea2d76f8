package limpettrial

import (
	"context"
	"fmt"
	"time"

	"limpetmount.org/internal/limpetlab"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/limpetbench/internal/limpetload"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	fleetMost     = 12
	fleetLeast    = 2
	fleetStart    = 1500 * time.Millisecond
	spendingEvery = 100 * time.Millisecond
)

// fleetPhases are parts of a day: the rate relative to what the whole fleet
// can serve.
var fleetPhases = []float64{0.1, 0.5, 0.1, 0.3}

// runFleet runs a short day with a fixed fleet for its peak and with the
// product's orders. Spending counts each running server's price over time.
func runFleet(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "fleet", Columns: []string{"fleet", "spending", "servers mean", "p50 ms", "p99 ms", "refused", "cut", "done"}}
	var series []limpetplot.Series
	for _, fixed := range []bool{true, false} {
		name, least := "product", fleetLeast
		if fixed {
			name, least = "fixed", fleetMost
		}
		row, line, err := fleetOnce(ctx, c, least)
		if err != nil {
			return nil, err
		}
		line.Name = name
		series = append(series, line)
		r.Add(append([]string{name}, row...)...)
	}
	return r, limpetplot.WriteLines(c.Folder, "fleet", "Running servers", "seconds", "servers", series)
}

func fleetOnce(ctx context.Context, c *Command, least int) ([]string, limpetplot.Series, error) {
	var line limpetplot.Series
	z := office
	z.engines = 0
	lab, end, err := newLab(ctx, z, variants[1], func(s *limpetsettings.Settings) {
		s.Timing.Load, s.Timing.Queue, s.Timing.SurplusFor = 300*time.Millisecond, 10*time.Second, time.Second
	}, accountsOf([]float64{1}))
	if err != nil {
		return nil, line, err
	}
	defer end()
	lab.Platform.Lock()
	lab.Platform.StartTime = fleetStart
	lab.Platform.Unlock()
	if _, err := lab.Operate(ctx, 0, fmt.Sprintf("set service drafts servers=%d most=%d cheap=0.5", least, fleetMost)); err != nil {
		return nil, line, err
	}
	token, err := lab.GrantKey(ctx, 0, "k", "a1", "caller")
	if err != nil {
		return nil, line, err
	}
	if err := limpetlab.Until(ctx, "the first servers", func() bool { return len(lab.Nodes[0].View().Servers["drafts"]) >= least }); err != nil {
		return nil, line, err
	}
	spending := 0.0
	g := limpettask.New(ctx)
	began := time.Now()
	g.Go(func(ctx context.Context) error {
		for limpettask.Sleep(ctx, spendingEvery) {
			listing, err := lab.Platform.List(ctx, 0)
			if err != nil {
				return err
			}
			running := 0
			for _, s := range listing.Servers {
				if s.State != limpetorder.Stopped {
					running++
					spending += priceOf(lab, s) * spendingEvery.Seconds()
				}
			}
			line.X = append(line.X, time.Since(began).Seconds())
			line.Y = append(line.Y, float64(running))
		}
		return nil
	})
	results := fleetLoad(ctx, c, lab, token)
	_ = g.Stop()
	mean := 0.0
	for _, y := range line.Y {
		mean += y / float64(len(line.Y))
	}
	return []string{
		fmt.Sprintf("%.0f", spending), fmt.Sprintf("%.1f", mean), milliseconds(results.P50()), milliseconds(results.P99()),
		fmt.Sprint(results.Refused), fmt.Sprint(results.Cut + results.Wrong), fmt.Sprint(results.Done),
	}, line, nil
}

func priceOf(lab *limpetlab.Lab, s limpetorder.Server) float64 {
	for _, p := range lab.Platform.Prices {
		if p.Zone == s.Zone && s.Class == limpetorder.Cheap {
			return p.Cheap
		} else if p.Zone == s.Zone {
			return p.Standard
		}
	}
	return 0
}

// fleetLoad runs the phases one after another.
func fleetLoad(ctx context.Context, c *Command, lab *limpetlab.Lab, token string) *limpetload.Result {
	capacity := float64(fleetMost*office.capacity) / (shareTokens * 2 * office.tokenTime.Seconds())
	var total *limpetload.Result
	for i, phase := range fleetPhases {
		results := limpetload.Run(ctx, []limpetload.Source{{
			Account: "a1", Token: token, URLs: urls(lab), Model: "drafts", Rate: phase * capacity, MaxTokens: shareTokens, Seed: c.Seed + uint64(i),
		}}, c.Time)
		if total == nil {
			total = results["a1"]
			continue
		}
		total.Add(results["a1"])
	}
	return total
}
