package limpetexperiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/limpetbench/internal/limpetload"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	rolloutGroups    = 12
	rolloutSamples   = 4
	rolloutTokens    = 100
	trainingStepTime = 400 * time.Millisecond
	// slowFactor multiplies the time per token of slow engines.
	slowFactor    = 8
	crashInterval = 2 * time.Second
	// liveRate is the number of live requests per second.
	liveRate = 40
)

// An engineFault is a named disturbance of the engines. inject returns when it
// is done or ctx ends.
type engineFault struct {
	name   string
	inject func(ctx context.Context, cluster *limpetcluster.Cluster)
}

var engineFaults = []engineFault{
	{"none", func(context.Context, *limpetcluster.Cluster) {}},
	{"two slow engines", func(_ context.Context, cluster *limpetcluster.Cluster) {
		for _, id := range []string{"e03", "e08"} {
			e := cluster.EngineByID(id)
			e.Lock()
			e.TokenTime *= slowFactor
			e.Unlock()
		}
	}},
	{"an engine crashes every 2 s", func(ctx context.Context, cluster *limpetcluster.Cluster) {
		for n := 0; limpettask.Sleep(ctx, crashInterval); n++ {
			cluster.EngineByID(fmt.Sprintf("e%02d", n%referenceDeployment.engines+1)).Crash()
		}
	}},
}

// A trainerResult holds the measurements of one or more trainers. staleness is
// the largest number of versions by which a sample lagged behind the published
// version.
type trainerResult struct {
	steps        int
	waitTime     time.Duration
	trainingTime time.Duration
	staleness    uint64
	samples      int
	err          error
}

// runRollout runs two trainers and live callers on the same engines. A trainer
// counts as idle from the creation of a step until it has received the last
// sample.
func runRollout(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "rollout", Columns: []string{"fault", "policy", "steps", "idle %", "idle s/step", "oldest sample", "live p99 ms", "live cut"}}
	var bars []limpetplot.Series
	var labels []string
	for _, v := range variants {
		series := limpetplot.Series{Name: v.name}
		for _, f := range engineFaults {
			t, live, err := measureRollout(ctx, c, v, f)
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", f.name, v.name, err)
			}
			idle := 100 * t.waitTime.Seconds() / (t.waitTime + t.trainingTime).Seconds()
			r.Add(f.name, v.name, fmt.Sprint(t.steps), fmt.Sprintf("%.1f", idle), seconds(t.waitTime/time.Duration(max(t.steps, 1))),
				fmt.Sprint(t.staleness), milliseconds(live.P99()), fmt.Sprint(live.Truncated+live.Mismatched))
			series.Y = append(series.Y, idle)
			if v.name == variants[0].name {
				labels = append(labels, f.name)
			}
		}
		bars = append(bars, series)
	}
	return r, limpetplot.WriteBars(c.Folder, "rollout", "Trainer idle time", "% of the time", labels, bars)
}

// measureRollout runs both trainers and the live load under one policy and one
// fault. The baseline starts no second attempts of slow samples.
func measureRollout(ctx context.Context, c *Command, v variant, f engineFault) (trainerResult, *limpetload.Result, error) {
	var total trainerResult
	cluster, closeCluster, err := newClusterWithDeps(ctx, referenceDeployment, v, func(s *limpetsettings.Settings) { s.Timing.StallTimeout = time.Second },
		`create account desk weight=1 streams=100000; create account training weight=1 class=rollout streams=100000;
		create job notes account=training service=drafts staleness=2 publishes=true parallel=48;
		create job audit account=training service=drafts staleness=2 parallel=48`,
		func(d *limpetnode.Deps) {
			if v.name == variants[0].name {
				d.Stragglers = func([]limpetrollout.RunningSample, []time.Duration, int, time.Time) []limpetrollout.RunningSample {
					return nil
				}
			}
		})
	if err != nil {
		return total, nil, err
	}
	defer closeCluster()
	callerToken, err := cluster.CreateKey(ctx, 0, "desk1", "desk", "caller")
	if err != nil {
		return total, nil, err
	}
	trainerToken, err := cluster.CreateKey(ctx, 0, "trainer1", "training", "trainer")
	if err != nil {
		return total, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Time+eventTimeout)
	defer cancel()
	g := limpettask.New(ctx)
	g.Go(func(ctx context.Context) error { f.inject(ctx, cluster); return nil })
	var mu sync.Mutex
	var trainers errgroup.Group
	for i, job := range []string{"notes", "audit"} {
		trainers.Go(func() error {
			t := runTrainer(ctx, &limpetcluster.Trainer{Caller: limpetcluster.NewCaller(cluster.URL(i), trainerToken), Job: job}, c.Time)
			mu.Lock()
			defer mu.Unlock()
			total.steps += t.steps
			total.samples += t.samples
			total.waitTime += t.waitTime
			total.trainingTime += t.trainingTime
			total.staleness = max(total.staleness, t.staleness)
			return t.err
		})
	}
	results := limpetload.Run(ctx, []limpetload.Source{{
		Account: "desk", Token: callerToken, URLs: urls(cluster), Model: "drafts", Rate: liveRate, MaxTokens: shareTokens, Seed: c.Seed,
	}}, c.Time)
	err = trainers.Wait()
	_ = g.Stop()
	return total, results["desk"], err
}

// runTrainer runs training steps for the given duration. The trainer of job
// notes publishes a version after each step.
func runTrainer(ctx context.Context, t *limpetcluster.Trainer, duration time.Duration) (r trainerResult) {
	if r.err = t.Open(ctx, "trainer-"+t.Job); r.err != nil {
		return r
	}
	end := time.Now().Add(duration)
	for step := uint64(1); time.Now().Before(end); step++ {
		spec := limpetrollout.StepSpec{Step: step, MaxTokens: rolloutTokens}
		for g := range rolloutGroups {
			spec.Groups = append(spec.Groups, limpetrollout.Group{Prompt: fmt.Sprintf("%s step %d prompt %d", t.Job, step, g), Samples: rolloutSamples})
		}
		start := time.Now()
		if r.err = t.Step(ctx, spec); r.err != nil {
			return r
		}
		seen := map[[2]int]bool{}
		r.err = t.Collect(ctx, 16, func(reply limpetrollout.FetchReply) {
			for _, s := range reply.Samples {
				if reply.Published > 0 {
					r.staleness = max(r.staleness, reply.Published-min(reply.Published, limpetrollout.Oldest(s.Versions)))
				}
				if s.Text != limpetstub.Answer(spec.Groups[s.Group].Prompt, rolloutTokens) {
					r.err = fmt.Errorf("sample %d/%d has the text of another prompt", s.Group, s.Index)
				}
				seen[[2]int{s.Group, s.Index}] = true
			}
			r.samples += len(reply.Samples)
		})
		if r.err == nil && len(seen) != rolloutGroups*rolloutSamples {
			r.err = fmt.Errorf("step %d returned %d distinct samples", step, len(seen))
		}
		if r.err != nil {
			return r
		}
		r.waitTime += time.Since(start)
		r.steps++
		time.Sleep(trainingStepTime)
		r.trainingTime += trainingStepTime
		if t.Job == "notes" {
			if r.err = t.Publish(ctx, step+1); r.err != nil {
				return r
			}
		}
	}
	return r
}
