package limpetbatch

import (
	"math"
	"time"

	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetweights"
)

// EngineStates returns the engines that accept work, as input for planning
// weight changes. The function state fills in what is known of the orders to an
// engine. The result is valid until the next change of the scheduler.
func (s *Scheduler) EngineStates(view *limpetsite.Snapshot, state func(e *limpetweights.Engine)) []limpetweights.Engine {
	var all []limpetweights.Engine
	for _, g := range s.enginesByID {
		id := g.server.ID
		if !view.AcceptsWork(id) {
			continue
		}
		e := limpetweights.Engine{ID: id, Service: g.server.Service, Versions: g.versions, Running: len(g.runs), Spot: g.server.Spot}
		state(&e)
		all = append(all, e)
	}
	return all
}

// OnPolicy reports whether an open job of a model that runs at a service requires
// that each text has a single weight version.
func (s *Scheduler) OnPolicy(model, service string) bool {
	for _, j := range s.jobsByArrival {
		if j.Model == model && j.Rules.OnPolicy && j.runsAt(service) {
			return true
		}
	}
	return false
}

// UsableEngines returns the number of engines that may run a job's items and have
// weights that it accepts.
func (s *Scheduler) UsableEngines(j *Job) int {
	n := 0
	for _, g := range s.enginesByID {
		version, serves := g.versionOf(j.Model)
		if serves && j.runsAt(g.server.Service) && version >= j.MinVersion && !g.changes(j.Model) {
			n++
		}
	}
	return n
}

// Demand returns the number of running and waiting items by service. Waiting items are
// divided among the services of their route.
func (s *Scheduler) Demand() map[string]int {
	demand := map[string]int{}
	for _, g := range s.busy {
		demand[g.server.Service] += len(g.runs)
	}
	parts := map[string]float64{}
	for _, j := range s.jobsByArrival {
		if j.Rules.Withdrawn {
			continue
		}
		n := j.countWaiting(func(*Entry) bool { return true })
		for service, share := range j.Rules.Shares {
			parts[service] += share * float64(n)
		}
	}
	for service, n := range parts {
		if n > 0 {
			demand[service] += int(math.Ceil(n - roundingSlack))
		}
	}
	return demand
}

// roundingSlack keeps sums of shares that are a whole number from being rounded up.
const roundingSlack = 1e-6

const (
	// defaultRunTime is assumed for runs of a service of which none is complete.
	defaultRunTime = 2 * time.Second
	// runTimeSmoothing is the weight of a new sample in the mean run time.
	runTimeSmoothing = 0.1
)

func (s *Scheduler) recordRunTime(service string, took time.Duration) {
	mean, known := s.runTimes[service]
	if !known {
		mean = took
	}
	s.runTimes[service] = mean + time.Duration(runTimeSmoothing*float64(took-mean))
}

// RunTime returns the mean duration of complete runs of a service.
func (s *Scheduler) RunTime(service string) time.Duration {
	if mean, known := s.runTimes[service]; known {
		return mean
	}
	return defaultRunTime
}
