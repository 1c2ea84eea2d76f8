package limpetbatch

import (
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
		e := limpetweights.Engine{ID: id, Versions: g.versions, Running: len(g.runs), Spot: g.server.Spot}
		state(&e)
		all = append(all, e)
	}
	return all
}

// OnPolicy reports whether an open job of a model requires that each text has a
// single weight version.
func (s *Scheduler) OnPolicy(model string) bool {
	for _, j := range s.jobsByArrival {
		if j.Model == model && j.Rules.OnPolicy {
			return true
		}
	}
	return false
}

// A Workload describes the typical job of a model.
type Workload struct {
	// Items is the number of its items and Tokens their total output.
	Items, Tokens int
}

// recordWorkload updates the typical job of a model with a new job, which has a
// quarter of the weight. A larger number of items counts at once.
func (s *Scheduler) recordWorkload(j *Job) {
	w := Workload{Items: len(j.entries)}
	for _, e := range j.entries {
		w.Tokens += e.size()
	}
	if typical, known := s.workloads[j.Model]; known {
		w.Items, w.Tokens = max(w.Items, (3*typical.Items+w.Items)/4), (3*typical.Tokens+w.Tokens)/4
	}
	s.workloads[j.Model] = w
}

// Workload returns the typical job of a model, or the zero value if it had none.
func (s *Scheduler) Workload(model string) Workload { return s.workloads[model] }

// MeanSlots returns the mean number of slots per engine, and at least 1.
func (s *Scheduler) MeanSlots() int {
	sum := 0
	for _, g := range s.enginesByID {
		sum += max(g.server.Slots, 1)
	}
	return max(1, sum/max(len(s.enginesByID), 1))
}

// UsableEngines returns the number of engines that may run a job's items and have
// weights that it accepts.
func (s *Scheduler) UsableEngines(j *Job) int {
	n := 0
	for _, g := range s.enginesByID {
		version, serves := g.versions[j.Model]
		if serves && j.runsAt(g.server.Service) && version >= j.MinVersion && g.loading != j.Model {
			n++
		}
	}
	return n
}

// Demand returns the number of running and waiting items by service.
func (s *Scheduler) Demand() map[string]int {
	demand := map[string]int{}
	for _, g := range s.busy {
		demand[g.server.Service] += len(g.runs)
	}
	for _, j := range s.jobsByArrival {
		if j.Rules.Withdrawn {
			continue
		}
		for _, e := range j.entries {
			if e.phase == waiting {
				demand[j.Rules.Service]++
			}
		}
	}
	return demand
}

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
