package limpetexperiment

import (
	"context"
	"fmt"
	"time"

	"limpetmount.org/limpetbench/internal/limpetload"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	cachePrefixes    = 60
	cacheSize        = 8
	cachePromptBytes = 8 << 10
	// cachePrefillTime is the prefill time of 1,000 uncached bytes of a prompt.
	cachePrefillTime = 24 * time.Millisecond
	// Each engine loses one cache event in cacheEventLossInterval.
	cacheEventLossInterval = 10
	// cacheRate is the number of requests per second.
	cacheRate   = 60
	cacheTokens = 20
)

// runCache sends long prompts that share prefixes. Each engine's cache has room
// for only some of the prefixes, and every tenth cache event is lost.
func runCache(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "cache", Columns: []string{"policy", "hits %", "first token p50 ms", "first token p99 ms", "done", "cut"}}
	for _, v := range variants {
		cluster, closeCluster, err := newCluster(ctx, referenceDeployment, v, nil, accountStatements([]float64{1}))
		if err != nil {
			return nil, err
		}
		for _, e := range cluster.Engines() {
			e.Lock()
			e.CacheSize, e.PrefillTime, e.DropEveryNthEvent = cacheSize, cachePrefillTime, cacheEventLossInterval
			e.Unlock()
		}
		token, err := cluster.CreateKey(ctx, 0, "k", "a1", "caller")
		if err != nil {
			closeCluster()
			return nil, err
		}
		result := limpetload.Run(ctx, []limpetload.Source{{
			Account: "a1", Token: token, URLs: urls(cluster), Model: "drafts", Rate: cacheRate, MaxTokens: cacheTokens,
			SharedPrefixes: cachePrefixes, PromptBytes: cachePromptBytes, Seed: c.Seed,
		}}, c.Time)["a1"]
		hits := 0
		for _, e := range cluster.Engines() {
			e.Lock()
			hits += e.CacheHits
			e.Unlock()
		}
		closeCluster()
		r.Add(v.name, fmt.Sprintf("%.0f", 100*float64(hits)/float64(max(result.Completed, 1))), milliseconds(result.FirstTokenPercentile(50)), milliseconds(result.FirstTokenPercentile(99)),
			fmt.Sprint(result.Completed), fmt.Sprint(result.Truncated+result.Mismatched))
	}
	return r, nil
}
