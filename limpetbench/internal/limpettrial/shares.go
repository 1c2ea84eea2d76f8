package limpettrial

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
	// greedyFactor times its part of the capacity is what the greedy account
	// asks for; the others ask for calmFactor times theirs.
	greedyFactor = 6
	calmFactor   = 0.7
	// steadyPart of the time counts for tokens and shares.
	steadyPart = 0.8
)

// shareWeights are those of 8 client accounts, a few of them large. The first
// is the greedy one.
var shareWeights = []float64{4, 4, 2, 1, 1, 1, 1, 1}

// runShares loads the Commissioner's Office with one greedy account, and then
// with all accounts greedy, which shows the shares.
func runShares(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "shares", Columns: []string{"load", "policy", "worst p99 ms", "worst p50 ms", "greedy p99 ms", "refused", "tokens/s", "largest share error %"}}
	var bars []limpetplot.Series
	for _, v := range variants {
		bar := limpetplot.Series{Name: v.name}
		for _, all := range []bool{false, true} {
			load := "one greedy"
			if all {
				load = "all greedy"
			}
			row, worst, err := shareRow(ctx, c, v, all)
			if err != nil {
				return nil, err
			}
			r.Add(append([]string{load, v.name}, row...)...)
			bar.Y = append(bar.Y, float64(worst.Milliseconds()))
		}
		bars = append(bars, bar)
	}
	return r, limpetplot.WriteBars(c.Folder, "shares", "Worst-served client account", "p99 in ms", []string{"one greedy", "all greedy"}, bars)
}

func shareRow(ctx context.Context, c *Command, v variant, all bool) ([]string, time.Duration, error) {
	lab, end, err := newLab(ctx, office, v, func(s *limpetsettings.Settings) {
		s.Limits.Queue = 64
		s.Timing.Queue = 10 * time.Second
	}, accountsOf(shareWeights))
	if err != nil {
		return nil, 0, err
	}
	defer end()
	// A full batch takes twice the step time for each token.
	capacity := float64(office.engines*office.capacity) / (shareTokens * 2 * office.tokenTime.Seconds())
	sum := 0.0
	for _, w := range shareWeights {
		sum += w
	}
	var sources []limpetload.Source
	for i, w := range shareWeights {
		account := fmt.Sprintf("a%d", i+1)
		token, err := lab.GrantKey(ctx, 0, account, account, "caller")
		if err != nil {
			return nil, 0, err
		}
		factor := calmFactor
		if i == 0 {
			factor = greedyFactor
		} else if all {
			factor = 2
		}
		sources = append(sources, limpetload.Source{
			Account: account, Token: token, URLs: urls(lab), Model: "drafts", Rate: factor * capacity * w / sum,
			MaxTokens: shareTokens, Shared: 4, Seed: c.Seed + uint64(i),
		})
	}
	results := limpetload.Run(ctx, sources, c.Time)
	return shareFigures(results, sum, c.Time)
}

// shareFigures returns the row of a variant and the worst p99 among the
// accounts that are not greedy.
func shareFigures(results map[string]*limpetload.Result, weights float64, duration time.Duration) ([]string, time.Duration, error) {
	var p99, p50 time.Duration
	refused, tokens := 0, 0
	for _, r := range results {
		if r.Cut+r.Wrong > 0 {
			return nil, 0, fmt.Errorf("account %s: %d answers cut off (%s), %d wrong", r.Account, r.Cut, r.Reason, r.Wrong)
		}
		tokens += r.Steady
		refused += r.Refused
	}
	largest := 0.0
	for i, w := range shareWeights {
		r := results[fmt.Sprintf("a%d", i+1)]
		share, due := float64(r.Steady)/float64(tokens), w/weights
		largest = max(largest, 100*(due-share)/due)
		if i > 0 {
			p99, p50 = max(p99, r.P99()), max(p50, r.P50())
		}
	}
	return []string{
		milliseconds(p99), milliseconds(p50), milliseconds(results["a1"].P99()), fmt.Sprint(refused),
		fmt.Sprintf("%.0f", float64(tokens)/(steadyPart*duration.Seconds())), fmt.Sprintf("%.1f", largest),
	}, p99, nil
}
