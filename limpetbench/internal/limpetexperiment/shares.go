package limpetexperiment

import (
	"context"
	"fmt"
	"time"

	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/limpetbench/internal/limpetload"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	shareTokens = 40
	// The greedy account requests greedyFactor times its fair share of the
	// capacity, and the others normalFactor times theirs, or twice theirs when
	// all accounts are greedy.
	greedyFactor = 6
	normalFactor = 0.7
	// steadyFraction is the fraction of a run that limpetload.Result.SteadyTokens
	// covers.
	steadyFraction = 0.8
)

// shareWeights holds the weights of 8 client accounts, a few of them large. The
// first account is the greedy one.
var shareWeights = []float64{4, 4, 2, 1, 1, 1, 1, 1}

// runShares loads the reference deployment with one greedy account, and then
// with all accounts greedy, which shows how the capacity is divided.
func runShares(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "shares", Columns: []string{"load", "policy", "worst p99 ms", "worst p50 ms", "greedy p99 ms", "refused", "tokens/s", "largest share error %"}}
	var bars []limpetplot.Series
	for _, v := range variants {
		series := limpetplot.Series{Name: v.name}
		for _, allGreedy := range []bool{false, true} {
			load := "one greedy"
			if allGreedy {
				load = "all greedy"
			}
			row, worst, err := measureShares(ctx, c, v, allGreedy)
			if err != nil {
				return nil, err
			}
			r.Add(append([]string{load, v.name}, row...)...)
			series.Y = append(series.Y, float64(worst.Milliseconds()))
		}
		bars = append(bars, series)
	}
	return r, limpetplot.WriteBars(c.Folder, "shares", "Worst-served client account", "p99 in ms", []string{"one greedy", "all greedy"}, bars)
}

// measureShares runs the load under one policy. It returns the row of the report
// without load and policy, and the worst p99 of the other accounts.
func measureShares(ctx context.Context, c *Command, v variant, allGreedy bool) ([]string, time.Duration, error) {
	cluster, closeCluster, err := newCluster(ctx, referenceDeployment, v, func(s *limpetsettings.Settings) {
		s.Limits.MaxQueued = 64
		s.Timing.QueueTimeout = 10 * time.Second
	}, accountStatements(shareWeights))
	if err != nil {
		return nil, 0, err
	}
	defer closeCluster()
	// A step of a full batch takes twice as long as one of an empty batch.
	capacity := float64(referenceDeployment.engines*referenceDeployment.capacity) / (shareTokens * 2 * referenceDeployment.tokenTime.Seconds())
	totalWeight := 0.0
	for _, w := range shareWeights {
		totalWeight += w
	}
	var sources []limpetload.Source
	for i, w := range shareWeights {
		account := fmt.Sprintf("a%d", i+1)
		token, err := cluster.CreateKey(ctx, 0, account, account, "caller")
		if err != nil {
			return nil, 0, err
		}
		factor := normalFactor
		if i == 0 {
			factor = greedyFactor
		} else if allGreedy {
			factor = 2
		}
		sources = append(sources, limpetload.Source{
			Account: account, Token: token, URLs: urls(cluster), Model: "drafts", Rate: factor * capacity * w / totalWeight,
			MaxTokens: shareTokens, SharedPrefixes: 4, Seed: c.Seed + uint64(i),
		})
	}
	results := limpetload.Run(ctx, sources, c.Time)
	return summarizeShares(results, totalWeight, c.Time)
}

// summarizeShares computes the row of a variant, and the worst p99 among all
// accounts but the first.
func summarizeShares(results map[string]*limpetload.Result, totalWeight float64, duration time.Duration) ([]string, time.Duration, error) {
	var p99, p50 time.Duration
	refused, tokens := 0, 0
	for _, r := range results {
		if r.Truncated+r.Mismatched > 0 {
			return nil, 0, fmt.Errorf("account %s: %d responses truncated (last error: %s), %d with the wrong text", r.Account, r.Truncated, r.LastError, r.Mismatched)
		}
		tokens += r.SteadyTokens
		refused += r.Refused
	}
	maxError := 0.0
	for i, w := range shareWeights {
		r := results[fmt.Sprintf("a%d", i+1)]
		share, fairShare := float64(r.SteadyTokens)/float64(tokens), w/totalWeight
		maxError = max(maxError, 100*(fairShare-share)/fairShare)
		if i > 0 {
			p99, p50 = max(p99, r.P99()), max(p50, r.P50())
		}
	}
	return []string{
		milliseconds(p99), milliseconds(p50), milliseconds(results["a1"].P99()), fmt.Sprint(refused),
		fmt.Sprintf("%.0f", float64(tokens)/(steadyFraction*duration.Seconds())), fmt.Sprintf("%.1f", maxError),
	}, p99, nil
}
