// Package limpetweights decides which engines load a newer weight version, and
// when. Plan is a pure function.
package limpetweights

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// An Engine describes one engine.
type Engine struct {
	ID       string
	Versions map[string]int
	// Running is the number of runs on the engine.
	Running int
	// Spot engines may be reclaimed. They are not counted when the number of
	// parallel updates is derived.
	Spot bool
	// Updating engines have an update order in progress.
	Updating bool
	// Finishing engines have an order whose usual duration has passed, but whose
	// completion has not been reported yet. They do not count towards the limit
	// of parallel updates.
	Finishing bool
	// Suspended engines recently failed to carry out an order and get no new
	// one.
	Suspended bool
}

// A Model describes one trained model.
type Model struct {
	Name string
	// NewestVersion is the newest version that the model's trainer published.
	NewestVersion int
	// MinVersion is the oldest version that open jobs accept; 0 if there are
	// none.
	MinVersion int
	// Waiting is the number of items that wait for an engine.
	Waiting int
	// MaxEngines is the number of engines that are kept up to date with the
	// model; the others keep old weights of it. 0 means all.
	MaxEngines int
	// Loads counts the orders for the newest version that were given and have
	// not failed, and FreeLoads is how many of them cost nothing.
	Loads, FreeLoads int
}

// A UpdateOrder is an update order to give.
type UpdateOrder struct {
	Engine  string
	Model   string
	Version int
}

// MaxParallel returns how many of the given number of engines may update at
// once: the more there are, the more slowly each loads its weights.
func MaxParallel(engines int) int { return max(2, engines/enginesPerUpdate) }

const enginesPerUpdate = 5

// NonSpot counts the engines that cannot be reclaimed.
func NonSpot(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if !e.Spot {
			n++
		}
	}
	return n
}

// EnginesPerModel returns how many engines can be kept up to date with a model
// that gets the fraction part of all updates, when parallel engines update at
// once, versions are published at the given interval and an update takes
// updateTime. Half of these engines update for each version, and a fraction of
// the update capacity stays unused as a reserve.
func EnginesPerModel(engines, parallel int, part float64, interval, updateTime time.Duration) int {
	if part <= 0 || updateTime <= 0 {
		return engines
	}
	perVersion := updateUtilization * float64(parallel) * interval.Seconds() / updateTime.Seconds() * part
	return max(min(engines, 2*int(perVersion)), min(engines, minShare))
}

const (
	updateUtilization = 0.85
	minShare          = 2
	// minPartFactor and maxPartFactor bound a model's fraction of the updates,
	// relative to an equal split.
	minPartFactor = 0.7
	maxPartFactor = 1.4
)

// SufficientEngines returns how many engines suffice for jobs of the given
// number of items, if two jobs overlap and half of the engines have weights
// that each job accepts. If the size of the jobs is unknown, all engines are
// needed.
func SufficientEngines(items, slotsPerEngine int) int {
	if items == 0 {
		return math.MaxInt
	}
	return minShare + (coveredJobs*items+slotsPerEngine-1)/slotsPerEngine
}

// coveredJobs is the number of usual jobs for which the engines that are kept
// up to date with a model have slots.
const coveredJobs = 3

// UpdateShares divides the weight updates among models in proportion to the
// work of their steps. The bounds keep each model near an equal share, because
// the trainers of small steps wait for updates too.
func UpdateShares(work map[string]int) map[string]float64 {
	total := 0
	for _, n := range work {
		total += n
	}
	parts := map[string]float64{}
	sum := 0.0
	for model, n := range work {
		even := 1 / float64(len(work))
		part := even
		if total > 0 {
			part = min(max(float64(n)/float64(total), minPartFactor*even), maxPartFactor*even)
		}
		parts[model] = part
		sum += part
	}
	for model := range parts {
		parts[model] /= sum
	}
	return parts
}

// assignEngines selects the engines to keep up to date with each model: those
// with the newest version first, and among equals those assigned to fewer other
// models.
func assignEngines(engines []Engine, models []Model) map[string][]Engine {
	assigned := map[string][]Engine{}
	assignments := map[string]int{}
	for _, m := range models {
		var all []Engine
		for _, e := range engines {
			if _, serves := e.Versions[m.Name]; serves {
				all = append(all, e)
			}
		}
		slices.SortStableFunc(all, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(b.Versions[m.Name], a.Versions[m.Name]), cmp.Compare(assignments[a.ID], assignments[b.ID]), cmp.Compare(a.ID, b.ID))
		})
		if m.MaxEngines > 0 && m.MaxEngines < len(all) {
			all = all[:m.MaxEngines]
		}
		for _, e := range all {
			assignments[e.ID]++
		}
		assigned[m.Name] = all
	}
	return assigned
}

// earlyTarget returns how many engines should have the newest version, so that
// at most the others become unusable when the next one is published.
func earlyTarget(engines int) int { return (engines + 1) / 2 }

// Plan returns the orders to give now. Engines whose version is too old for the
// open jobs, or for the jobs that the newest version will bring, update first.
// Of the engines that are one version behind, half update early: if none did,
// all would become unusable at once two versions later. The others update while
// they are idle and no item waits.
func Plan(engines []Engine, models []Model) []UpdateOrder {
	p := &plan{capacity: MaxParallel(NonSpot(engines)), taken: map[string]bool{}}
	for _, e := range engines {
		if e.Updating && !e.Finishing {
			p.capacity--
		}
	}
	models = slices.Clone(models)
	slices.SortFunc(models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	assigned := assignEngines(engines, models)
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range models {
		urgent, _ := outdated(assigned[m.Name], m)
		p.pick(m, urgent, len(urgent))
	}
	for _, m := range models {
		_, early := outdated(assigned[m.Name], m)
		limit := earlyTarget(len(assigned[m.Name])) - countCurrent(assigned[m.Name], m)
		if m.Waiting > 0 {
			// Waiting items need the engines more, but updates must still make
			// progress.
			limit = min(limit, 1)
		}
		p.pick(m, early, limit)
		if m.Waiting == 0 {
			idle := slices.DeleteFunc(early, func(e Engine) bool { return e.Running > 0 })
			p.pick(m, idle, m.FreeLoads-m.Loads-p.picked[m.Name])
		}
	}
	return p.choices
}

type plan struct {
	capacity int
	taken    map[string]bool
	picked   map[string]int
	choices  []UpdateOrder
}

// pick orders updates for up to limit of the candidates, as far as the capacity
// allows.
func (p *plan) pick(m Model, candidates []Engine, limit int) {
	if p.picked == nil {
		p.picked = map[string]int{}
	}
	for _, e := range candidates {
		if p.capacity <= 0 || limit <= 0 {
			return
		}
		if p.taken[e.ID] {
			continue
		}
		p.taken[e.ID] = true
		p.picked[m.Name]++
		p.choices = append(p.choices, UpdateOrder{Engine: e.ID, Model: m.Name, Version: m.NewestVersion})
		p.capacity--
		limit--
	}
}

// countCurrent counts the engines that have the newest version or are updating.
func countCurrent(engines []Engine, m Model) int {
	n := 0
	for _, e := range engines {
		if e.Versions[m.Name] >= m.NewestVersion || e.Updating {
			n++
		}
	}
	return n
}

// outdated returns the engines that are no longer usable for a model, and those
// that are one version behind, each sorted by version and then by the number of
// runs.
func outdated(engines []Engine, m Model) (urgent, early []Engine) {
	minVersion := max(m.MinVersion, m.NewestVersion-1)
	for _, e := range engines {
		version, serves := e.Versions[m.Name]
		if !serves || e.Updating || e.Suspended || version >= m.NewestVersion {
			continue
		}
		if version < minVersion {
			urgent = append(urgent, e)
		} else {
			early = append(early, e)
		}
	}
	byVersionAndRuns := func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Versions[m.Name], b.Versions[m.Name]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(urgent, byVersionAndRuns)
	slices.SortFunc(early, byVersionAndRuns)
	return urgent, early
}
