package limpetbatch

import (
	"maps"
	"math"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A Workload describes the typical job of a model, or its part at one service.
type Workload struct {
	// Items is the number of its items and Tokens their total output.
	Items, Tokens int
}

// A workloadKey identifies the jobs of a model that come by one route.
type workloadKey struct{ model, route string }

// A recordedWorkload is the typical job of a workloadKey.
type recordedWorkload struct {
	Workload
	// arrived is the arrival of the last job.
	arrived time.Time
}

// maxWorkloadAge is how long after its last job a route counts as one by which jobs
// of a model come.
const maxWorkloadAge = 30 * time.Minute

// recordWorkload updates the typical job of a model and route with a new job, which
// has a quarter of the weight. A larger number of items counts at once.
func (s *Scheduler) recordWorkload(j *Job) {
	w := Workload{Items: len(j.entries)}
	for _, e := range j.entries {
		w.Tokens += e.size()
	}
	key := workloadKey{model: j.Model, route: j.Rules.Route}
	if typical, known := s.workloads[key]; known {
		w.Items, w.Tokens = max(w.Items, (3*typical.Items+w.Items)/4), (3*typical.Tokens+w.Tokens)/4
	}
	maps.DeleteFunc(s.workloads, func(_ workloadKey, old recordedWorkload) bool { return j.Arrived.Sub(old.arrived) > maxWorkloadAge })
	s.workloads[key] = recordedWorkload{Workload: w, arrived: j.Arrived}
}

// Workloads returns, by service, what a model's typical jobs need there, by the routes
// that lead there now. It is empty if no jobs are known.
func (s *Scheduler) Workloads(model string, view *limpetsite.Snapshot, now time.Time) map[string]Workload {
	work := map[string]Workload{}
	for key, w := range s.workloads {
		route := view.RouteNamed(key.route)
		if key.model != model || route == nil || now.Sub(w.arrived) > maxWorkloadAge {
			continue
		}
		for service, share := range route.Shares() {
			at := work[service]
			at.Items += int(math.Ceil(share*float64(w.Items) - roundingSlack))
			at.Tokens += int(math.Ceil(share*float64(w.Tokens) - roundingSlack))
			work[service] = at
		}
	}
	return work
}

// meanText returns the mean output of the items of typical jobs, in tokens; 0 if none
// are known.
func (s *Scheduler) meanText() float64 {
	items, tokens := 0, 0
	for _, w := range s.workloads {
		items += w.Items
		tokens += w.Tokens
	}
	return float64(tokens) / float64(max(items, 1))
}

// MeanSlots returns the mean number of slots of a service's engines, and at least 1.
func (s *Scheduler) MeanSlots(service string) int {
	slots, engines := 0, 0
	for _, g := range s.enginesByID {
		if g.server.Service == service {
			slots += g.slots()
			engines++
		}
	}
	return max(1, slots/max(engines, 1))
}
