package main

import (
	"slices"
	"time"
)

const (
	jobsPrefix = "/pule252/"
	trainTime  = 12 * time.Second
)

// jobsRoute returns the configuration of the route for batch jobs.
func jobsRoute(target map[string]any) map[string]any {
	r := map[string]any{
		"name": "r-jobs", "host": host, "pathPrefix": jobsPrefix, "kind": "rollout", "timeoutMs": 10000, "goalMs": 500, "priority": 1,
		"maxAttempts": 3, "public": false, "runTargetMs": 7500, "itemTtlS": 40, "resumable": true, "onPolicy": false,
	}
	for name, v := range target {
		r[name] = v
	}
	return r
}

// startSmall starts three edges and three storage machines in three zones.
func (d *deployment) startSmall() {
	for _, zone := range []string{"perth-north", "perth-south", "bunbury"} {
		d.addEngine(scoreService, zone, 6, 30*time.Millisecond, nil)
	}
	for _, zone := range []string{"perth-north", "perth-south", "bunbury"} {
		d.addMachine("edge", zone)
	}
	for _, zone := range []string{"perth-north", "perth-south", "bunbury"} {
		d.addMachine("storage", zone)
	}
}

// stranded reports the items of a job without a result that no engine has worked
// on since a time.
func (d *deployment) stranded(j *job, since time.Time) []string {
	listed := map[string]bool{}
	for _, r := range j.results {
		listed[r.ID] = true
	}
	var found []string
	for _, id := range j.ids {
		idle := !listed[id]
		for _, x := range d.runsOf(id) {
			if x.whole || x.ended.IsZero() || x.ended.After(since) {
				idle = false
			}
		}
		if idle {
			found = append(found, id)
		}
	}
	return found
}

// A sample is how full the engines of each service were at a time.
type sample struct {
	at             time.Time
	running, slots map[string]int
}

// sampleEngines records how full the engines are, until the process ends.
func (d *deployment) sampleEngines() {
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			x := sample{at: time.Now(), running: map[string]int{}, slots: map[string]int{}}
			d.mu.Lock()
			engines := slices.Clone(d.engines)
			d.mu.Unlock()
			for _, e := range engines {
				e.mu.Lock()
				if !e.gone && e.events != nil {
					x.running[e.service] += e.running
					x.slots[e.service] += e.slots
				}
				e.mu.Unlock()
			}
			d.mu.Lock()
			d.samples = append(d.samples, x)
			d.mu.Unlock()
		}
	}()
}

const (
	// idleTime is how long an item must have been at no engine, and quietTime how long
	// before that no version may have been named.
	idleTime  = 5 * time.Second
	quietTime = 6 * time.Second
)

// judgeStep reads a job until its trainer's time is over, and reports whether the
// rule LOST was broken: a step runs out of time while one of its items, which no
// engine has finished or failed, has been at no engine for 5 s; others of the step had
// begun; the engines of the services to which its route leads were under half full, and
// so were all model engines; and no version was named then or in the 6 s before.
func (d *deployment) judgeStep(j *job, services ...string) bool {
	d.follow(j, j.accepted.Add(trainTime))
	now := time.Now()
	d.note("the step's time is over: %d of %d items are listed", len(j.results), len(j.ids))
	begun := 0
	for _, id := range j.ids {
		if len(d.runsOf(id)) > 0 {
			begun++
		}
	}
	idle := d.stranded(j, now.Add(-idleTime))
	underHalf := true
	most, mostOfAll := 0, 0
	d.mu.Lock()
	for _, x := range d.samples {
		if x.at.Before(now.Add(-idleTime)) {
			continue
		}
		running, slots, allRunning, allSlots := 0, 0, 0, 0
		for service := range x.slots {
			allRunning += x.running[service]
			allSlots += x.slots[service]
			if slices.Contains(services, service) {
				running += x.running[service]
				slots += x.slots[service]
			}
		}
		most, mostOfAll = max(most, running), max(mostOfAll, allRunning)
		underHalf = underHalf && slots > 0 && 2*running < slots && 2*allRunning < allSlots
	}
	named := d.namedAt
	d.mu.Unlock()
	quiet := named.IsZero() || named.Before(now.Add(-idleTime-quietTime))
	d.note("%d items of the step had begun; %d without a result have been at no engine for 5 s: %v", begun, len(idle), idle)
	d.note("in these 5 s at most %d places of the engines of %v were taken, and %d of all model engines, both under half: %v; no version was named then or in the 6 s before: %v", most, services, mostOfAll, underHalf, quiet)
	broken := begun > 0 && len(idle) > 0 && underHalf && quiet
	if broken {
		// What becomes of the items later does not matter for the rule.
		d.follow(j, time.Now().Add(8*time.Second))
		d.note("8 s later %d of %d items are listed", len(j.results), len(j.ids))
	}
	return broken
}

// awaitBegun waits until a number of items of a job have begun.
func (d *deployment) awaitBegun(j *job, n int) {
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		begun := 0
		for _, id := range j.ids {
			if len(d.runsOf(id)) > 0 {
				begun++
			}
		}
		if begun >= n {
			return
		}
	}
	fail("no items of the step began")
}

// end ends a job.
func (d *deployment) end(j *job) {
	for n := range 10 {
		if status, _, _ := d.send(d.edges()[n%3], "DELETE", "/lots/"+j.id, "", nil, nil, 4*time.Second); status == 200 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	fail("the job could not be ended")
}
