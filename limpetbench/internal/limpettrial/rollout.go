package limpettrial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetlab"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/limpetbench/internal/limpetload"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

const (
	rolloutGroups  = 12
	rolloutSamples = 4
	rolloutTokens  = 100
	trainTime      = 400 * time.Millisecond
	slowFactor     = 8
	crashEvery     = 2 * time.Second
	liveRate       = 40
)

// A rolloutFault is what disturbs the engines.
type rolloutFault struct {
	name    string
	disturb func(ctx context.Context, lab *limpetlab.Lab)
}

var rolloutFaults = []rolloutFault{
	{"none", func(context.Context, *limpetlab.Lab) {}},
	{"two slow engines", func(_ context.Context, lab *limpetlab.Lab) {
		for _, id := range []string{"e03", "e08"} {
			e := lab.EngineOf(id)
			e.Lock()
			e.TokenTime *= slowFactor
			e.Unlock()
		}
	}},
	{"an engine crashes every 2 s", func(ctx context.Context, lab *limpetlab.Lab) {
		for n := 0; limpettask.Sleep(ctx, crashEvery); n++ {
			lab.EngineOf(fmt.Sprintf("e%02d", n%office.engines+1)).Crash()
		}
	}},
}

// A trainerResult holds what a trainer measured.
type trainerResult struct {
	steps     int
	waited    time.Duration
	trained   time.Duration
	staleness uint64
	samples   int
	err       error
}

// runRollout lets two trainers share the engines with live callers. A trainer
// is idle from the creation of a step until it has its last sample.
func runRollout(ctx context.Context, c *Command) (*limpetplot.Report, error) {
	r := &limpetplot.Report{Name: "rollout", Columns: []string{"fault", "policy", "steps", "idle %", "idle s/step", "oldest sample", "live p99 ms", "live cut"}}
	var bars []limpetplot.Series
	var labels []string
	for _, v := range variants {
		bar := limpetplot.Series{Name: v.name}
		for _, f := range rolloutFaults {
			t, live, err := rolloutOnce(ctx, c, v, f)
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", f.name, v.name, err)
			}
			idle := 100 * t.waited.Seconds() / (t.waited + t.trained).Seconds()
			r.Add(f.name, v.name, fmt.Sprint(t.steps), fmt.Sprintf("%.1f", idle), seconds(t.waited/time.Duration(max(t.steps, 1))),
				fmt.Sprint(t.staleness), milliseconds(live.P99()), fmt.Sprint(live.Cut+live.Wrong))
			bar.Y = append(bar.Y, idle)
			if v.name == variants[0].name {
				labels = append(labels, f.name)
			}
		}
		bars = append(bars, bar)
	}
	return r, limpetplot.WriteBars(c.Folder, "rollout", "Trainer idle time", "% of the time", labels, bars)
}

func rolloutOnce(ctx context.Context, c *Command, v variant, f rolloutFault) (trainerResult, *limpetload.Result, error) {
	var sum trainerResult
	lab, end, err := newLabWith(ctx, office, v, func(s *limpetsettings.Settings) { s.Timing.Stall = time.Second },
		`create account desk weight=1 streams=100000; create account training weight=1 class=rollout streams=100000;
		create job notes account=training service=drafts staleness=2 publishes=true parallel=48;
		create job audit account=training service=drafts staleness=2 parallel=48`,
		func(d *limpetnode.Deps) {
			if v.name == variants[0].name {
				d.Stragglers = func([]limpetrollout.Running, []time.Duration, int, time.Time) []limpetrollout.Running { return nil }
			}
		})
	if err != nil {
		return sum, nil, err
	}
	defer end()
	caller, err := lab.GrantKey(ctx, 0, "desk1", "desk", "caller")
	if err != nil {
		return sum, nil, err
	}
	trainer, err := lab.GrantKey(ctx, 0, "trainer1", "training", "trainer")
	if err != nil {
		return sum, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Time+eventTime)
	defer cancel()
	g := limpettask.New(ctx)
	g.Go(func(ctx context.Context) error { f.disturb(ctx, lab); return nil })
	var mu sync.Mutex
	var trainers errgroup.Group
	for i, job := range []string{"notes", "audit"} {
		trainers.Go(func() error {
			t := train(ctx, &limpetlab.Trainer{Caller: limpetlab.NewCaller(lab.URL(i), trainer), Job: job}, c.Time)
			mu.Lock()
			defer mu.Unlock()
			sum.steps += t.steps
			sum.samples += t.samples
			sum.waited += t.waited
			sum.trained += t.trained
			sum.staleness = max(sum.staleness, t.staleness)
			return t.err
		})
	}
	results := limpetload.Run(ctx, []limpetload.Source{{
		Account: "desk", Token: caller, URLs: urls(lab), Model: "drafts", Rate: liveRate, MaxTokens: shareTokens, Seed: c.Seed,
	}}, c.Time)
	err = trainers.Wait()
	_ = g.Stop()
	return sum, results["desk"], err
}

// train runs steps for a time. The publishing trainer publishes a version
// after each.
func train(ctx context.Context, t *limpetlab.Trainer, duration time.Duration) (r trainerResult) {
	if r.err = t.Open(ctx, "trainer-"+t.Job); r.err != nil {
		return r
	}
	ends := time.Now().Add(duration)
	for step := uint64(1); time.Now().Before(ends); step++ {
		spec := limpetrollout.Spec{Step: step, MaxTokens: rolloutTokens}
		for g := range rolloutGroups {
			spec.Groups = append(spec.Groups, limpetrollout.Group{Prompt: fmt.Sprintf("%s step %d prompt %d", t.Job, step, g), Samples: rolloutSamples})
		}
		began := time.Now()
		if r.err = t.Step(ctx, spec); r.err != nil {
			return r
		}
		seen := map[[2]int]bool{}
		r.err = t.Collect(ctx, 16, func(f limpetrollout.FetchReply) {
			for _, s := range f.Samples {
				if f.Published > 0 {
					r.staleness = max(r.staleness, f.Published-min(f.Published, limpetrollout.Oldest(s.Versions)))
				}
				if s.Text != limpetstub.Answer(spec.Groups[s.Group].Prompt, rolloutTokens) {
					r.err = fmt.Errorf("sample %d/%d has another prompt's text", s.Group, s.Index)
				}
				seen[[2]int{s.Group, s.Index}] = true
			}
			r.samples += len(f.Samples)
		})
		if r.err == nil && len(seen) != rolloutGroups*rolloutSamples {
			r.err = fmt.Errorf("step %d brought %d samples", step, len(seen))
		}
		if r.err != nil {
			return r
		}
		r.waited += time.Since(began)
		r.steps++
		time.Sleep(trainTime)
		r.trained += trainTime
		if t.Job == "notes" {
			if r.err = t.Publish(ctx, step+1); r.err != nil {
				return r
			}
		}
	}
	return r
}
