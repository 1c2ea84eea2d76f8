package limpetbatch

import (
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetswap"
)

// Fleet returns the engines as the choice of weight changes sees them, which
// holds until the ledger changes. State fills in what is known of orders to an
// engine.
func (l *Ledger) Fleet(view *limpetsite.Snapshot, state func(e *limpetswap.Engine)) []limpetswap.Engine {
	var all []limpetswap.Engine
	for _, g := range l.fleet {
		id := g.server.ID
		if !view.Takes(id) {
			continue
		}
		e := limpetswap.Engine{ID: id, Versions: g.versions, Running: len(g.runs), Spot: g.server.Spot}
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

// A Work describes the usual job of a model.
type Work struct {
	// Items and Tokens are the number of its items and of their output.
	Items, Tokens int
}

// learnWork takes a job as an example of its model's.
func (l *Ledger) learnWork(j *Job) {
	w := Work{Items: len(j.entries)}
	for _, e := range j.entries {
		w.Tokens += e.size()
	}
	if usual, known := l.work[j.Model]; known {
		w.Items, w.Tokens = max(w.Items, (3*usual.Items+w.Items)/4), (3*usual.Tokens+w.Tokens)/4
	}
	l.work[j.Model] = w
}

// Work returns the usual work of a model's jobs; zero when there was none yet.
func (l *Ledger) Work(model string) Work { return l.work[model] }

// Places returns the mean number of places of an engine.
func (l *Ledger) Places() int {
	sum := 0
	for _, g := range l.fleet {
		sum += max(g.server.Slots, 1)
	}
	return max(1, sum/max(len(l.fleet), 1))
}

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
