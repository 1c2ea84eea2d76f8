package limpettrial

import (
	"context"
	"fmt"
	"time"

	"limpetmount.org/limpetbench/internal/limpetload"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	cachePrefixes = 60
	cacheSize     = 8
	cacheBytes    = 8 << 10
	// cachePrefill is the time of 1,000 uncached bytes.
	cachePrefill   = 24 * time.Millisecond
	cacheLoseEvery = 10
	cacheRate      = 60
	cacheTokens    = 20
)

// runCache asks with long prompts that share beginnings; the engines' caches
// hold a part of them each, and a tenth of their announcements is lost.
func runCache(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "cache", Columns: []string{"policy", "hits %", "first token p50 ms", "first token p99 ms", "done", "cut"}}
	for _, v := range variants {
		lab, end, err := newLab(ctx, office, v, nil, accountsOf([]float64{1}))
		if err != nil {
			return nil, err
		}
		for _, e := range lab.Engines() {
			e.Lock()
			e.CacheSize, e.PrefillTime, e.LoseEvents = cacheSize, cachePrefill, cacheLoseEvery
			e.Unlock()
		}
		token, err := lab.GrantKey(ctx, 0, "k", "a1", "caller")
		if err != nil {
			end()
			return nil, err
		}
		result := limpetload.Run(ctx, []limpetload.Source{{
			Account: "a1", Token: token, URLs: urls(lab), Model: "drafts", Rate: cacheRate, MaxTokens: cacheTokens,
			Shared: cachePrefixes, Bytes: cacheBytes, Seed: c.Seed,
		}}, c.Time)["a1"]
		hits := 0
		for _, e := range lab.Engines() {
			e.Lock()
			hits += e.Hits
			e.Unlock()
		}
		end()
		r.Add(v.name, fmt.Sprintf("%.0f", 100*float64(hits)/float64(max(result.Done, 1))), milliseconds(result.FirstAt(50)), milliseconds(result.FirstAt(99)),
			fmt.Sprint(result.Done), fmt.Sprint(result.Cut+result.Wrong))
	}
	return r, nil
}
