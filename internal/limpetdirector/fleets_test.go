package limpetdirector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A fleetDraw is a deployment of one model, drawn at random, without faults.
type fleetDraw struct {
	*rand.Rand
	// engines holds the number of engines of each service, and intervals the time
	// between their events.
	engines   map[string]int
	intervals map[string]time.Duration
	// routes holds the services and weights that the route leads to, one after the
	// other, each for routeTime.
	routes [][]limpetsite.Target
	items  int
	// versions is set if a trainer publishes one before each step.
	versions bool
}

const (
	// stepTime is the time between two steps, and deadTime that within which an item
	// must be at an engine if one that may run it has been free.
	stepTime = 4 * time.Second
	deadTime = 5 * time.Second
	steps    = 4
)

func drawFleet(seed uint64) *fleetDraw {
	d := &fleetDraw{Rand: rand.New(rand.NewPCG(seed, 41)), engines: map[string]int{}, intervals: map[string]time.Duration{}}
	services := 1 + d.IntN(4)
	var names []string
	for n := range services {
		// The order of the names says nothing of what a service is for.
		name := fmt.Sprintf("%c%d", 'a'+rune(d.IntN(26)), n)
		names = append(names, name)
		d.engines[name] = d.IntN(8)
		d.intervals[name] = time.Duration(15+d.IntN(75)) * time.Millisecond
	}
	for range 1 + d.IntN(2) {
		var targets []limpetsite.Target
		for range 1 + d.IntN(2) {
			targets = append(targets, limpetsite.Target{Service: names[d.IntN(len(names))], Weight: float64(d.IntN(10))})
		}
		d.routes = append(d.routes, targets)
	}
	d.items, d.versions = 2+d.IntN(10), d.IntN(2) == 0
	return d
}

// bearsLoad reports whether the engines are under half full with the steps' items,
// under each route of the draw.
func (d *fleetDraw) bearsLoad() bool {
	for _, targets := range d.routes {
		texts := 0.0
		for service := range (&limpetsite.Route{Targets: targets}).Shares() {
			texts += float64(d.engines[service]*engineSlots) * stepTime.Seconds() / (events * d.intervals[service].Seconds())
		}
		if texts < 2*float64(d.items) {
			return false
		}
	}
	return true
}

func (d *fleetDraw) String() string {
	return fmt.Sprintf("engines %v, intervals %v, routes %v, %d items, versions %t", d.engines, d.intervals, d.routes, d.items, d.versions)
}

// play runs steps on the deployment and returns the first of them whose items were not
// all listed in time, or 0.
func (d *fleetDraw) play(t *testing.T) int {
	env := newTestEnv(0)
	for service, count := range d.engines {
		for n := range count {
			env.addEngines(service, fmt.Sprintf("%s-%d", service, n))
		}
		env.intervals[service] = d.intervals[service]
	}
	env.route(d.routes[0]...)
	a := env.candidate("a", 0)
	time.Sleep(time.Second)
	late := 0
	for step := 1; step <= steps; step++ {
		minVersion := 1
		if d.versions {
			env.mu.Lock()
			env.newest = step
			env.mu.Unlock()
			minVersion = max(1, step-1)
		}
		env.publish(max(1, env.newest))
		id := fmt.Sprintf("j%d", step)
		env.submit(t, id, d.items, minVersion)
		time.Sleep(stepTime / 4)
		env.route(d.routes[step%len(d.routes)]...)
		time.Sleep(stepTime * 3 / 4)
	}
	// An item waits for deadTime at most, then for those before it.
	time.Sleep(2*deadTime + time.Duration(events)*90*time.Millisecond)
	for step := 1; step <= steps; step++ {
		if late == 0 && len(env.results(t, fmt.Sprintf("j%d", step))) < d.items {
			late = step
		}
	}
	a.stop(t)
	return late
}

// Guards against deployments that no other test draws: several services of one model
// that differ in engines, speed and weights, and routes that move and split while jobs
// are open. The engines are under half full.
func TestRandomFleets(t *testing.T) {
	const draws = 120
	played, late := 0, 0
	for seed := range uint64(draws) {
		d := drawFleet(seed)
		if !d.bearsLoad() {
			continue
		}
		played++
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if step := d.play(t); step > 0 {
					late++
					t.Errorf("items of step %d are not listed: %s", step, d)
				}
			})
		})
	}
	t.Logf("%d deployments, %d late", played, late)
	if played < draws/3 {
		t.Errorf("only %d deployments could be played", played)
	}
}
