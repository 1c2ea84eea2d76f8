package limpettrial

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetlab"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

// timeColumns are those of experiments that time single events.
var timeColumns = []string{"event", "runs", "p50 s", "p99 s", "worst s"}

const eventTime = 20 * time.Second

// runWithdraw uses a key on all VMs without pause and measures the time from
// the operator's command to the last accepted use; and the time from a
// change's acceptance to its being in force on all VMs.
func runWithdraw(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "withdraw", Columns: timeColumns}
	small := office
	small.engines = 1
	lab, end, err := newLab(ctx, small, variants[1], nil, accountsOf([]float64{1}))
	if err != nil {
		return nil, err
	}
	defer end()
	for _, down := range []bool{false, true} {
		name := "withdrawal, store up"
		if down {
			name = "withdrawal, store down"
		}
		var times []time.Duration
		for run := range c.Runs {
			t, err := withdrawOnce(ctx, lab, fmt.Sprintf("k%v%d", down, run), down)
			if err != nil {
				return nil, err
			}
			times = append(times, t)
		}
		addTimes(r, name, times)
	}
	var times []time.Duration
	for run := range c.Runs {
		began := time.Now()
		reply, err := lab.Operate(ctx, run%len(lab.Nodes), fmt.Sprintf("set account a1 weight=%d", run%100+1))
		if err != nil {
			return nil, err
		}
		err = limpetlab.Until(ctx, "change in force", func() bool {
			for _, n := range lab.Nodes {
				if n.View().Config.Index < reply.GetIndex() {
					return false
				}
			}
			return true
		})
		if err != nil {
			return nil, err
		}
		times = append(times, time.Since(began))
	}
	addTimes(r, "change in force on all VMs", times)
	return r, nil
}

func withdrawOnce(ctx context.Context, lab *limpetlab.Lab, key string, down bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, eventTime)
	defer cancel()
	token, err := lab.GrantKey(ctx, 0, key, "a1", "caller")
	if err != nil {
		return 0, err
	}
	var last atomic.Int64
	var g errgroup.Group
	stop := make(chan struct{})
	for vm := range lab.Nodes {
		caller := limpetlab.NewCaller(lab.URL(vm), token)
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
					last.Store(max(last.Load(), sent.UnixNano()))
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	if down {
		lab.Store.SetDown(true)
	}
	began := time.Now()
	_, err = lab.Operate(ctx, 0, "withdraw key "+key)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	_ = g.Wait()
	if down {
		lab.Store.SetDown(false)
		if waitErr := limpetlab.Until(ctx, "withdrawal durable", func() bool {
			_, exists := lab.Nodes[0].View().Config.Keys[key]
			return !exists
		}); waitErr != nil {
			return 0, waitErr
		}
	}
	return max(0, time.Duration(last.Load()-began.UnixNano())), err
}

// runTakeover measures how long a job's status cannot be had after its owner
// dies, and after its owner shuts down gracefully.
func runTakeover(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "takeover", Columns: timeColumns}
	small := office
	small.vms, small.engines = 4, 1
	for _, graceful := range []bool{false, true} {
		name := "owner dies"
		if graceful {
			name = "owner shuts down gracefully"
		}
		lab, end, err := newLab(ctx, small, variants[1], func(s *limpetsettings.Settings) { s.Timing.Grace = 10 * time.Millisecond },
			accountsOf([]float64{1})+"create job notes account=a1 service=drafts")
		if err != nil {
			return nil, err
		}
		token, err := lab.GrantKey(ctx, 0, "t1", "a1", "trainer")
		if err != nil {
			end()
			return nil, err
		}
		var times []time.Duration
		for range min(c.Runs, takeoverRuns) {
			t, err := takeoverOnce(ctx, lab, token, graceful)
			if err != nil {
				end()
				return nil, err
			}
			times = append(times, t)
		}
		end()
		addTimes(r, name, times)
	}
	return r, nil
}

// takeoverRuns bounds the runs, each of which takes seconds.
const takeoverRuns = 20

func takeoverOnce(ctx context.Context, lab *limpetlab.Lab, token string, graceful bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*eventTime)
	defer cancel()
	answers := func(vm int) bool {
		reply, err := limpetlab.NewCaller(lab.URL(vm), token).Do(ctx, http.MethodGet, "/v1/jobs/notes", nil, nil)
		return err == nil && reply.Status == http.StatusOK
	}
	if err := lab.WaitReady(ctx); err != nil {
		return 0, err
	}
	owner := -1
	err := limpetlab.Until(ctx, "a job's owner that all VMs know", func() bool {
		for i := range lab.Nodes {
			t, err := lab.Query(ctx, i, fmt.Sprintf("show leases where vm = vm%d and duty = %q", i+1, "job/notes"))
			if err == nil && len(t.Rows) == 1 {
				owner = i
			}
		}
		return owner >= 0 && answers((owner+1)%len(lab.Nodes))
	})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if graceful {
		if err := lab.Nodes[owner].Shutdown(ctx); err != nil {
			return 0, err
		}
	} else {
		_ = lab.Nodes[owner].Kill()
	}
	other := (owner + 1) % len(lab.Nodes)
	if err := limpetlab.Until(ctx, "the job answers again", func() bool { return answers(other) }); err != nil {
		return 0, err
	}
	took := time.Since(began)
	return took, lab.StartNode(owner)
}
