package limpetrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// wholeTime is allowed for open jobs to become whole in calm.
	wholeTime = 15 * time.Second
	// keyTime is when a withdrawn key must not work any more, in calm.
	keyTime = 2 * time.Second
)

// check checks, in calm, what must hold after all faults.
func (r *rig) check(ctx context.Context) {
	if err := r.ready(startTime); err != nil {
		r.fault("after the faults: %v", err)
		return
	}
	r.checkJobs(ctx)
	r.checkKeys(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.refused {
		if r.record.Ran(id) > 0 {
			r.faults[fmt.Sprintf("request %s was refused as not run, and ran later", id)]++
		}
	}
}

// checkJobs reads every accepted job from its start: what was read stands, and
// what was not ended becomes whole.
func (r *rig) checkJobs(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.plan.Seed, 13))
	r.mu.Lock()
	jobs := map[string]*tracked{}
	for id, j := range r.jobs {
		jobs[id] = j
	}
	r.mu.Unlock()
	ends := time.Now().Add(wholeTime)
	for id, j := range jobs {
		if !r.readTwice(ctx, random, id) {
			r.fault("job %s was accepted and cannot be read", id)
		}
		for !j.ended && !r.whole(id) {
			if time.Now().After(ends) {
				r.fault("job %s is not whole %s after the last fault: %d of %d", id, calmTime+wholeTime, len(j.seen), len(j.items))
				break
			}
			r.read(ctx, random, id, -1)
		}
	}
}

// checkKeys takes a key away and asks each VM.
func (r *rig) checkKeys(ctx context.Context) {
	r.configure(2, keyGood)
	time.Sleep(keyTime)
	for _, v := range r.edges {
		for key, want := range map[string]int{keyGood: http.StatusOK, keyTaken: http.StatusUnauthorized} {
			id := fmt.Sprintf("key-%s-%d", v.Name, want)
			caller := r.caller
			caller.Key = key
			if x := caller.Plain(ctx, v.Front, id, false); x.Err != nil || x.Status != want {
				r.fault("%s answers %d to a key that wants %d: %v", v.Name, x.Status, want, x.Err)
			}
		}
	}
}

// readTwice reads a job from its start, at another VM when the first one
// cannot tell.
func (r *rig) readTwice(ctx context.Context, random *rand.Rand, id string) bool {
	for range 2 {
		if r.read(ctx, random, id, 0) {
			return true
		}
	}
	return false
}
