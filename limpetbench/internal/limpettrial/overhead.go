package limpettrial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sort"
	"time"

	"limpetmount.org/internal/limpetlab"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	overheadRuns    = 2000
	overheadTokens  = 20
	overheadStreams = 2000
	streamTokens    = 40
)

// runOverhead times requests through one VM and straight to its engine, in
// turn, and reads the memory with many open streams. The stand-ins and the
// callers run in the same process, so that memory is an upper bound.
func runOverhead(ctx context.Context, _ *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "overhead", Columns: []string{"figure", "p50", "p99"}}
	one := size{vms: 1, engines: 1, capacity: 4 * overheadStreams, tokenTime: time.Microsecond, zones: []string{"a"}}
	lab, end, err := newLab(ctx, one, variants[1], func(s *limpetsettings.Settings) { s.Limits.Queue = 2 * overheadStreams },
		accountsOf([]float64{1}))
	if err != nil {
		return nil, err
	}
	defer end()
	r.Add("memory idle, MB", memory(), "")
	token, err := lab.GrantKey(ctx, 0, "k", "a1", "caller")
	if err != nil {
		return nil, err
	}
	engine := lab.EngineOf("e01")
	engine.Lock()
	engine.PrefillTime = 0
	engine.Unlock()
	direct := limpetlab.NewCaller("http://"+lab.Nodes[0].View().Servers["drafts"][0].Address, "")
	through := limpetlab.NewCaller(lab.URL(0), token)
	var times [2][]time.Duration
	for i := range overheadRuns {
		for at, caller := range []*limpetlab.Caller{direct, through} {
			got, err := caller.Stream(ctx, limpetlab.Prompt{Model: "drafts", Prompt: fmt.Sprint("p", i), MaxTokens: overheadTokens})
			if err != nil || !got.Whole {
				return nil, fmt.Errorf("request %d: status %d, whole %v: %w", i, got.Status, got.Whole, err)
			}
			times[at] = append(times[at], got.First)
		}
	}
	for at, name := range []string{"first token straight from the engine, us", "first token through one VM, us"} {
		sort.Slice(times[at], func(i, j int) bool { return times[at][i] < times[at][j] })
		r.Add(name, micros(quantile(times[at], 0.5)), micros(quantile(times[at], 0.99)))
	}
	r.Add("added by the VM, us", micros(quantile(times[1], 0.5)-quantile(times[0], 0.5)), micros(quantile(times[1], 0.99)-quantile(times[0], 0.99)))
	if err := streamsMemory(ctx, engine, through, r); err != nil {
		return nil, err
	}
	return r, nil
}

func micros(d time.Duration) string { return fmt.Sprint(d.Microseconds()) }

// memory returns the heap and stacks in use after a collection, in MB.
func memory() string {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return fmt.Sprintf("%.1f", float64(m.HeapInuse+m.StackInuse)/(1<<20))
}

func streamsMemory(ctx context.Context, engine *limpetstub.Engine, caller *limpetlab.Caller, r *limpetplot.Report) error {
	engine.Lock()
	engine.TokenTime = 200 * time.Millisecond
	engine.Unlock()
	caller.Client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxConnsPerHost: 0}}
	g := limpettask.New(ctx)
	for i := range overheadStreams {
		g.Go(func(ctx context.Context) error {
			_, _ = caller.Stream(ctx, limpetlab.Prompt{Model: "drafts", Prompt: fmt.Sprint("s", i), MaxTokens: 1 << 20})
			return nil
		})
	}
	err := limpetlab.Until(ctx, "all streams open", func() bool { return engine.Busy() == overheadStreams })
	r.Add(fmt.Sprintf("memory with %d streams (VM, engine and callers together), MB", overheadStreams), memory(), "")
	_ = g.Stop()
	return err
}
