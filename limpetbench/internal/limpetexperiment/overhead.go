package limpetexperiment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sort"
	"time"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	overheadRequests = 2000
	overheadTokens   = 20
	openStreams      = 2000
	streamTokens     = 40
)

// runOverhead alternates requests through a VM with requests directly to its
// engine, compares the times to the first token, and measures memory with many
// open streams. Stubs and callers run in the same process, so the memory values
// are upper bounds for the VM.
func runOverhead(ctx context.Context, _ *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "overhead", Columns: []string{"figure", "p50", "p99"}}
	single := deployment{vms: 1, engines: 1, capacity: 4 * openStreams, tokenTime: time.Microsecond, zones: []string{"a"}}
	cluster, closeCluster, err := newCluster(ctx, single, variants[1], func(s *limpetsettings.Settings) { s.Limits.MaxQueued = 2 * openStreams },
		accountStatements([]float64{1}))
	if err != nil {
		return nil, err
	}
	defer closeCluster()
	r.Add("memory idle, MB", memoryInUse(), "")
	token, err := cluster.CreateKey(ctx, 0, "k", "a1", "caller")
	if err != nil {
		return nil, err
	}
	engine := cluster.EngineByID("e01")
	engine.Lock()
	engine.PrefillTime = 0
	engine.Unlock()
	direct := limpetcluster.NewCaller("http://"+cluster.Nodes[0].View().Servers["drafts"][0].Address, "")
	through := limpetcluster.NewCaller(cluster.URL(0), token)
	var times [2][]time.Duration
	for i := range overheadRequests {
		for target, caller := range []*limpetcluster.Caller{direct, through} {
			reply, err := caller.Stream(ctx, limpetcluster.Prompt{Model: "drafts", Prompt: fmt.Sprint("p", i), MaxTokens: overheadTokens})
			if err != nil || !reply.Complete {
				return nil, fmt.Errorf("request %d: status %d, complete %v: %w", i, reply.Status, reply.Complete, err)
			}
			times[target] = append(times[target], reply.FirstToken)
		}
	}
	for target, name := range []string{"first token straight from the engine, us", "first token through one VM, us"} {
		sort.Slice(times[target], func(i, j int) bool { return times[target][i] < times[target][j] })
		r.Add(name, microseconds(quantile(times[target], 0.5)), microseconds(quantile(times[target], 0.99)))
	}
	r.Add("added by the VM, us", microseconds(quantile(times[1], 0.5)-quantile(times[0], 0.5)), microseconds(quantile(times[1], 0.99)-quantile(times[0], 0.99)))
	if err := measureStreamMemory(ctx, engine, through, r); err != nil {
		return nil, err
	}
	return r, nil
}

func microseconds(d time.Duration) string { return fmt.Sprint(d.Microseconds()) }

// memoryInUse returns the heap and stack memory in use after a garbage
// collection, in MB.
func memoryInUse() string {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return fmt.Sprintf("%.1f", float64(m.HeapInuse+m.StackInuse)/(1<<20))
}

// measureStreamMemory slows the engine down, opens openStreams streams through
// the VM and adds the memory in use to the report.
func measureStreamMemory(ctx context.Context, engine *limpetstub.Engine, caller *limpetcluster.Caller, r *limpetplot.Report) error {
	engine.Lock()
	engine.TokenTime = 200 * time.Millisecond
	engine.Unlock()
	caller.Client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxConnsPerHost: 0}}
	g := limpettask.New(ctx)
	for i := range openStreams {
		g.Go(func(ctx context.Context) error {
			_, _ = caller.Stream(ctx, limpetcluster.Prompt{Model: "drafts", Prompt: fmt.Sprint("s", i), MaxTokens: 1 << 20})
			return nil
		})
	}
	err := limpetcluster.WaitUntil(ctx, "all streams open", func() bool { return engine.Busy() == openStreams })
	r.Add(fmt.Sprintf("memory with %d streams (VM, engine and callers together), MB", openStreams), memoryInUse(), "")
	_ = g.Stop()
	return err
}
