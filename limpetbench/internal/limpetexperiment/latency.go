package limpetexperiment

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

// latencyColumns are the columns of experiments that time single events.
var latencyColumns = []string{"event", "runs", "p50 s", "p99 s", "worst s"}

// eventTimeout limits the time of a single event.
const eventTimeout = 20 * time.Second

// runWithdraw measures the time from the operator's command until a withdrawn
// key is last accepted, with the store up and down. It also measures the time
// until a configuration change is in force on all VMs.
func runWithdraw(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "withdraw", Columns: latencyColumns}
	small := referenceDeployment
	small.engines = 1
	cluster, closeCluster, err := newCluster(ctx, small, variants[1], nil, accountStatements([]float64{1}))
	if err != nil {
		return nil, err
	}
	defer closeCluster()
	for _, storeDown := range []bool{false, true} {
		name := "withdrawal, store up"
		if storeDown {
			name = "withdrawal, store down"
		}
		var times []time.Duration
		for run := range c.Runs {
			t, err := measureWithdrawal(ctx, cluster, fmt.Sprintf("k%v%d", storeDown, run), storeDown)
			if err != nil {
				return nil, err
			}
			times = append(times, t)
		}
		addPercentiles(r, name, times)
	}
	var times []time.Duration
	for run := range c.Runs {
		start := time.Now()
		reply, err := cluster.RunStatements(ctx, run%len(cluster.Nodes), fmt.Sprintf("set account a1 weight=%d", run%100+1))
		if err != nil {
			return nil, err
		}
		err = limpetcluster.WaitUntil(ctx, "change in force", func() bool {
			for _, n := range cluster.Nodes {
				if n.View().Config.Index < reply.GetIndex() {
					return false
				}
			}
			return true
		})
		if err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
	}
	addPercentiles(r, "change in force on all VMs", times)
	return r, nil
}

// measureWithdrawal sends requests with a key to all VMs continuously, withdraws
// the key, and returns the time from the operator's command until the last
// accepted request was sent.
func measureWithdrawal(ctx context.Context, cluster *limpetcluster.Cluster, key string, storeDown bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	token, err := cluster.CreateKey(ctx, 0, key, "a1", "caller")
	if err != nil {
		return 0, err
	}
	var lastAccepted atomic.Int64
	var g errgroup.Group
	stop := make(chan struct{})
	for vm := range cluster.Nodes {
		caller := limpetcluster.NewCaller(cluster.URL(vm), token)
		g.Go(func() error {
			for {
				select {
				case <-stop:
					return nil
				default:
				}
				sent := time.Now()
				reply, err := caller.Do(ctx, http.MethodGet, "/v1/models", nil, nil)
				if err == nil && reply.Status == http.StatusOK {
					lastAccepted.Store(max(lastAccepted.Load(), sent.UnixNano()))
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	if storeDown {
		cluster.Store.SetDown(true)
	}
	start := time.Now()
	_, err = cluster.RunStatements(ctx, 0, "withdraw key "+key)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	_ = g.Wait()
	if storeDown {
		cluster.Store.SetDown(false)
		if waitErr := limpetcluster.WaitUntil(ctx, "removal of the key from the configuration", func() bool {
			_, exists := cluster.Nodes[0].View().Config.Keys[key]
			return !exists
		}); waitErr != nil {
			return 0, waitErr
		}
	}
	return max(0, time.Duration(lastAccepted.Load()-start.UnixNano())), err
}

// runTakeover measures how long a job's status is unavailable after its owner
// crashes and after its owner shuts down gracefully.
func runTakeover(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "takeover", Columns: latencyColumns}
	small := referenceDeployment
	small.vms, small.engines = 4, 1
	for _, graceful := range []bool{false, true} {
		name := "owner dies"
		if graceful {
			name = "owner shuts down gracefully"
		}
		cluster, closeCluster, err := newCluster(ctx, small, variants[1], func(s *limpetsettings.Settings) { s.Timing.ShutdownDelay = 10 * time.Millisecond },
			accountStatements([]float64{1})+"create job notes account=a1 service=drafts")
		if err != nil {
			return nil, err
		}
		token, err := cluster.CreateKey(ctx, 0, "t1", "a1", "trainer")
		if err != nil {
			closeCluster()
			return nil, err
		}
		var times []time.Duration
		for range min(c.Runs, maxTakeoverRuns) {
			t, err := measureTakeover(ctx, cluster, token, graceful)
			if err != nil {
				closeCluster()
				return nil, err
			}
			times = append(times, t)
		}
		closeCluster()
		addPercentiles(r, name, times)
	}
	return r, nil
}

// maxTakeoverRuns limits the number of runs, because each one takes seconds.
const maxTakeoverRuns = 20

// measureTakeover stops the VM that owns the job, returns the time until another
// VM answers for the job, and restarts the stopped VM.
func measureTakeover(ctx context.Context, cluster *limpetcluster.Cluster, token string, graceful bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*eventTimeout)
	defer cancel()
	answers := func(vm int) bool {
		reply, err := limpetcluster.NewCaller(cluster.URL(vm), token).Do(ctx, http.MethodGet, "/v1/jobs/notes", nil, nil)
		return err == nil && reply.Status == http.StatusOK
	}
	if err := cluster.WaitReady(ctx); err != nil {
		return 0, err
	}
	owner := -1
	err := limpetcluster.WaitUntil(ctx, "an owner of the job that another VM can reach", func() bool {
		for i := range cluster.Nodes {
			t, err := cluster.Query(ctx, i, fmt.Sprintf("show leases where vm = vm%d and duty = %q", i+1, "job/notes"))
			if err == nil && len(t.Rows) == 1 {
				owner = i
			}
		}
		return owner >= 0 && answers((owner+1)%len(cluster.Nodes))
	})
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if graceful {
		if err := cluster.Nodes[owner].Shutdown(ctx); err != nil {
			return 0, err
		}
	} else {
		_ = cluster.Nodes[owner].Kill()
	}
	other := (owner + 1) % len(cluster.Nodes)
	if err := limpetcluster.WaitUntil(ctx, "the job answers again", func() bool { return answers(other) }); err != nil {
		return 0, err
	}
	took := time.Since(start)
	return took, cluster.StartNode(owner)
}
