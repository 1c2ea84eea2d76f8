package limpetbatch

import (
	"maps"

	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetswap"
)

// Fleet returns the engines as the choice of weight changes sees them. State
// fills in what is known of orders to an engine.
func (l *Ledger) Fleet(view *limpetsite.Snapshot, state func(e *limpetswap.Engine)) []limpetswap.Engine {
	var all []limpetswap.Engine
	for _, g := range l.fleet {
		id := g.server.ID
		if !view.Takes(id) {
			continue
		}
		e := limpetswap.Engine{ID: id, Versions: maps.Clone(g.versions), Running: len(g.runs), Spot: g.server.Spot}
		state(&e)
		all = append(all, e)
	}
	return all
}

// OnPolicy reports whether an open job of a model needs texts of one version.
func (l *Ledger) OnPolicy(model string) bool {
	for _, j := range l.line {
		if j.Model == model && j.Rules.OnPolicy {
			return true
		}
	}
	return false
}

// learnWork takes a job as an example of its model's.
func (l *Ledger) learnWork(j *Job) {
	work := 0
	for _, e := range j.entries {
		work += e.size()
	}
	if usual, known := l.work[j.Model]; known {
		work = (3*usual + work) / 4
	}
	l.work[j.Model] = work
}

// Work returns the usual work of a model's jobs, in tokens; 0 when there was
// none yet.
func (l *Ledger) Work(model string) int { return l.work[model] }

// Usable returns the number of engines whose weights fit a job.
func (l *Ledger) Usable(j *Job) int {
	n := 0
	for _, g := range l.fleet {
		version, serves := g.versions[j.Model]
		if serves && version >= j.MinVersion && g.loading != j.Model {
			n++
		}
	}
	return n
}

// Demand returns the number of items that run and wait by service.
func (l *Ledger) Demand() map[string]int {
	demand := map[string]int{}
	for _, g := range l.fleet {
		demand[g.server.Service] += len(g.runs)
	}
	for _, j := range l.line {
		for _, e := range j.entries {
			if e.phase == waiting {
				demand[j.Rules.Service]++
			}
		}
	}
	return demand
}
