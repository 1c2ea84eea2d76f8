package limpetexperiment

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	weightEngines = 64
	// fetchRate and fetchBurst are the rate limit of the weight store, in fetches
	// per second, and its burst size.
	fetchRate  = 40
	fetchBurst = 8
	weightRuns = 10
)

// runWeights measures the time from a publication until every engine runs the
// version, with a rate-limited weight store. In the second series, every eighth
// engine ignores activations for the first second.
func runWeights(ctx context.Context, _ *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "weights", Columns: latencyColumns}
	d := referenceDeployment
	d.vms, d.engines = 4, weightEngines
	cluster, closeCluster, err := newCluster(ctx, d, variants[1], nil, accountStatements([]float64{1})+"create job notes account=a1 service=drafts publishes=true")
	if err != nil {
		return nil, err
	}
	defer closeCluster()
	token, err := cluster.CreateKey(ctx, 0, "t1", "a1", "trainer")
	if err != nil {
		return nil, err
	}
	trainer := &limpetcluster.Trainer{Caller: limpetcluster.NewCaller(cluster.URL(0), token), Job: "notes"}
	if err := trainer.Open(ctx, "t"); err != nil {
		return nil, err
	}
	limiter := rate.NewLimiter(fetchRate, fetchBurst)
	for _, e := range cluster.Engines() {
		e.Lock()
		e.FetchWeights = func(ctx context.Context, _ uint64) error { return limiter.Wait(ctx) }
		e.Unlock()
	}
	version := uint64(1)
	for _, failing := range []bool{false, true} {
		var times []time.Duration
		for range weightRuns {
			version++
			t, err := measurePublication(ctx, cluster, trainer, version, failing)
			if err != nil {
				return nil, err
			}
			times = append(times, t)
		}
		name := fmt.Sprintf("%d engines, %d fetches/s", weightEngines, fetchRate)
		if failing {
			name += ", every eighth swap fails for 1 s"
		}
		addPercentiles(r, name, times)
	}
	return r, nil
}

// measurePublication publishes a version and returns the time until all engines
// have it.
func measurePublication(ctx context.Context, cluster *limpetcluster.Cluster, trainer *limpetcluster.Trainer, version uint64, failing bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*eventTimeout)
	defer cancel()
	const failEvery = 8
	setFailing := func(on bool) {
		for i, e := range cluster.Engines() {
			e.Lock()
			e.IgnoreActivations = on && i%failEvery == 0
			e.Unlock()
		}
	}
	setFailing(failing)
	time.AfterFunc(time.Second, func() { setFailing(false) })
	start := time.Now()
	if err := trainer.Publish(ctx, version); err != nil {
		return 0, err
	}
	err := limpetcluster.WaitUntil(ctx, "the published version on all engines", func() bool {
		for _, e := range cluster.Engines() {
			if e.Version() != version {
				return false
			}
		}
		return true
	})
	return time.Since(start), err
}
