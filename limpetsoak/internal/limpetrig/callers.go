package limpetrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"limpetmount.org/internal/limpettask"
	"limpetmount.org/platform/limpetplay"
)

const (
	callPause   = 25 * time.Millisecond
	callTime    = 4 * time.Second
	stepEvery   = 1200 * time.Millisecond
	stepLongest = 8 * time.Second
	jobGroups   = 5
	groupItems  = 3
	readPause   = 150 * time.Millisecond
	readWait    = 300 * time.Millisecond
)

// A tracked job is one whose submission was answered with 202.
type tracked struct {
	items map[string]string
	min   int
	// seen holds the results by position, as they were read first.
	seen  []limpetplay.Result
	ended bool
}

// call sends plain requests, on a connection that stays open.
func (r *rig) call(ctx context.Context, random *rand.Rand, n int) error {
	caller := r.caller
	caller.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for count := 0; ctx.Err() == nil; count++ {
		v := r.edges[random.IntN(len(r.edges))]
		once := random.IntN(2) == 0
		id := fmt.Sprintf("p%d-%d", n, count)
		began := time.Now()
		x := caller.Plain(ctx, v.Front, id, once)
		if ctx.Err() == nil {
			r.judge(v, once, id, began, x)
		}
		limpettask.Sleep(ctx, callPause)
	}
	return nil
}

// judge checks what a plain request came to.
func (r *rig) judge(v *VM, once bool, id string, began time.Time, x limpetplay.Exchange) {
	calm, leaving := v.quiet(began)
	switch {
	case x.Err != nil:
		if x.Fresh && calm && leaving && time.Since(began) < callTime/2 {
			r.fault("a planned stop of %s cut request %s off: %v", v.Name, id, x.Err)
		}
	case x.Status == http.StatusOK:
		if string(x.Body) != "answer to "+id || !r.record.Sealed(id, x.Signature) {
			r.fault("request %s got an answer that is not its own", id)
		}
		r.mu.Lock()
		r.plain++
		r.mu.Unlock()
	case x.Status == http.StatusServiceUnavailable || x.Status == http.StatusTooManyRequests:
		if r.record.Ran(id) > 0 {
			r.fault("request %s ran and was told not to have run", id)
		}
		r.mu.Lock()
		r.refused[id] = true
		r.mu.Unlock()
	case x.Status >= 400 && x.Status < 500:
		r.fault("request %s got status %d under a valid key", id, x.Status)
	}
	if once && r.record.Ran(id) > 1 {
		r.fault("request %s ran %d times", id, r.record.Ran(id))
	}
}

// train submits steps, reads their results and names versions.
func (r *rig) train(ctx context.Context) error {
	group := limpettask.New(ctx)
	for step := 0; ctx.Err() == nil; step++ {
		group.Go(func(ctx context.Context) error {
			r.step(ctx, rand.New(rand.NewPCG(r.plan.Seed, uint64(step)+100)), step)
			return nil
		})
		limpettask.Sleep(ctx, stepEvery)
		r.mu.Lock()
		r.version++
		named := r.version
		r.mu.Unlock()
		r.store.Set(limpetplay.Named(named))
	}
	return group.Stop()
}

func (r *rig) step(ctx context.Context, random *rand.Rand, step int) {
	id := fmt.Sprintf("job%d-%d", r.plan.Seed, step)
	r.mu.Lock()
	least := max(1, r.version-1)
	r.mu.Unlock()
	job := limpetplay.Job{ID: id, Step: step, MinVersion: least, Groups: jobGroups, GroupItems: groupItems}
	deadline := time.Now().Add(stepLongest)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		v := r.edges[random.IntN(len(r.edges))]
		x := r.caller.Submit(ctx, v.Front, job)
		if x.Err == nil && x.Status == http.StatusAccepted {
			r.mu.Lock()
			r.jobs[id] = &tracked{items: job.Items(), min: least}
			r.mu.Unlock()
			break
		}
		limpettask.Sleep(ctx, readPause)
	}
	for time.Now().Before(deadline) && ctx.Err() == nil && !r.whole(id) {
		r.read(ctx, random, id, -1)
		limpettask.Sleep(ctx, readPause)
	}
	if random.IntN(2) == 0 {
		v := r.edges[random.IntN(len(r.edges))]
		if x := r.caller.End(ctx, v.Front, id); x.Err == nil && x.Status == http.StatusOK {
			r.mu.Lock()
			if j := r.jobs[id]; j != nil {
				j.ended = true
			}
			r.mu.Unlock()
		}
	}
}

func (r *rig) whole(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	return j != nil && len(j.seen) >= len(j.items)
}

// reread reads jobs from any position all the time.
func (r *rig) reread(ctx context.Context, random *rand.Rand) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		ids := make([]string, 0, len(r.jobs))
		for id := range r.jobs {
			ids = append(ids, id)
		}
		r.mu.Unlock()
		if len(ids) > 0 {
			id := ids[random.IntN(len(ids))]
			r.mu.Lock()
			seen := len(r.jobs[id].seen)
			r.mu.Unlock()
			r.read(ctx, random, id, random.IntN(seen+1))
		}
		limpettask.Sleep(ctx, readPause)
	}
	return nil
}

// read reads a job from a position, or with -1 from where its reader is, and
// checks what it is told. It reports whether it was told anything.
func (r *rig) read(ctx context.Context, random *rand.Rand, id string, after int) bool {
	r.mu.Lock()
	j := r.jobs[id]
	if j == nil {
		r.mu.Unlock()
		return false
	}
	if after < 0 {
		after = len(j.seen)
	}
	known := len(j.seen)
	r.mu.Unlock()
	v := r.edges[random.IntN(len(r.edges))]
	began := time.Now()
	x, p := r.caller.Read(ctx, v.Front, id, after, readWait)
	if x.Err != nil || x.Status == http.StatusServiceUnavailable || x.Status == http.StatusBadGateway {
		return false
	}
	calm, _ := v.quiet(began)
	if x.Status != http.StatusOK {
		if calm {
			r.fault("job %s was accepted and answers %d", id, x.Status)
		}
		return false
	}
	if len(p.Results) == 0 && after < known && calm {
		r.fault("job %s has nothing at position %d, %d were read", id, after, known)
	}
	r.compare(id, j, after, p)
	return true
}

// compare checks a page against what was read before, and new results against
// what servers did.
func (r *rig) compare(id string, j *tracked, after int, p limpetplay.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := func(format string, args ...any) { r.faults["job "+id+": "+fmt.Sprintf(format, args...)]++ }
	if p.Total != len(j.items) || p.Next != after+len(p.Results) {
		broken("total %d of %d, next %d after %d", p.Total, len(j.items), p.Next, after)
	}
	for n, x := range p.Results {
		at := after + n
		if at < len(j.seen) {
			if fmt.Sprint(j.seen[at]) != fmt.Sprint(x) {
				broken("position %d changed", at)
			}
			continue
		}
		if at > len(j.seen) {
			break
		}
		for _, earlier := range j.seen {
			if earlier.ID == x.ID {
				broken("item %s stands twice", x.ID)
			}
		}
		j.seen = append(j.seen, x)
		r.verify(j, x, broken)
	}
}

func (r *rig) verify(j *tracked, x limpetplay.Result, broken func(string, ...any)) {
	scorer, ok := j.items[x.ID]
	switch {
	case !ok:
		broken("item %s is not its own", x.ID)
	case x.State != "completed":
		broken("item %s is %s without a reason", x.ID, x.State)
	case x.Text != limpetplay.TextOf(x.ID):
		broken("item %s has another text", x.ID)
	case !r.record.MadeUnder(x.ID, x.Versions):
		broken("item %s was not made under %v", x.ID, x.Versions)
	case !r.record.Sealed(scorer, x.Score):
		broken("item %s has a score that no server gave", x.ID)
	}
	for _, v := range x.Versions {
		if v < j.min {
			broken("item %s was made under %d, least %d", x.ID, v, j.min)
		}
	}
}
