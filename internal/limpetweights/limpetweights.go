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
	ID string
	// Service is the service that the engine belongs to.
	Service  string
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

// A Pool describes the engines of one service that serve one trained model. Engines
// of one service cannot stand in for those of another one, so each pool is planned for
// the jobs that run there.
type Pool struct {
	Model, Service string
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
	// Unused pools run no items of the model now. They are updated while nothing else
	// needs it.
	Unused bool
	// Loads counts the orders for the newest version of the model, at all services,
	// that were given and have not failed. FreeLoads is how many of them cost
	// nothing; beyond it, no engine gets an order just because it is idle.
	Loads, FreeLoads int
}

// A poolKey identifies a pool.
type poolKey struct{ model, service string }

func (p Pool) key() poolKey { return poolKey{model: p.Model, service: p.Service} }

func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Service, b.Service))
}

// An UpdateOrder is an order to an engine to load a version of a model's weights.
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

// EnginesPerModel returns how many of the engines can be kept up to date with a
// model that gets the given share of all updates, when parallel engines update
// at once, versions are published at the given interval and an update takes
// updateTime. Half of these engines update for each version, and a fraction of
// the update capacity stays unused as a reserve. The result is at least
// minEnginesPerModel, if there are as many engines.
func EnginesPerModel(engines, parallel int, share float64, interval, updateTime time.Duration) int {
	if share <= 0 || updateTime <= 0 {
		return engines
	}
	perVersion := updateUtilization * float64(parallel) * interval.Seconds() / updateTime.Seconds() * share
	return max(min(engines, 2*int(perVersion)), min(engines, minEnginesPerModel))
}

const (
	// updateUtilization is the fraction of the update capacity that is planned
	// for.
	updateUtilization  = 0.85
	minEnginesPerModel = 2
	// minShareFactor and maxShareFactor bound a model's share of the updates,
	// relative to an equal share.
	minShareFactor = 0.7
	maxShareFactor = 1.4
)

// SufficientEngines returns how many engines suffice for jobs of the given
// number of items: minEnginesPerModel, and enough for coveredJobs jobs, because
// two jobs may overlap and only half of the engines may have weights that each
// job accepts. If the number of items is 0, which means unknown, it returns
// math.MaxInt.
func SufficientEngines(items, slotsPerEngine int) int {
	if items == 0 {
		return math.MaxInt
	}
	return minEnginesPerModel + (coveredJobs*items+slotsPerEngine-1)/slotsPerEngine
}

// coveredJobs is the number of typical jobs for which the engines that are kept
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
	shares := map[string]float64{}
	sum := 0.0
	for model, n := range work {
		even := 1 / float64(len(work))
		share := even
		if total > 0 {
			share = min(max(float64(n)/float64(total), minShareFactor*even), maxShareFactor*even)
		}
		shares[model] = share
		sum += share
	}
	for model := range shares {
		shares[model] /= sum
	}
	return shares
}

// assignEngines selects the engines of each pool to keep up to date: those with the
// newest version first, and among equals those assigned to fewer other models.
func assignEngines(engines []Engine, pools []Pool) map[poolKey][]Engine {
	assigned := map[poolKey][]Engine{}
	assignments := make([]int, len(engines))
	candidates := make([]candidate, 0, len(engines))
	for _, m := range pools {
		candidates = candidates[:0]
		for n, e := range engines {
			if version, serves := e.Versions[m.Model]; serves && e.Service == m.Service {
				candidates = append(candidates, candidate{index: n, version: version, assignments: assignments[n], id: e.ID})
			}
		}
		slices.SortFunc(candidates, candidate.compare)
		if m.MaxEngines > 0 && m.MaxEngines < len(candidates) {
			candidates = candidates[:m.MaxEngines]
		}
		chosen := make([]Engine, 0, len(candidates))
		for _, c := range candidates {
			assignments[c.index]++
			chosen = append(chosen, engines[c.index])
		}
		assigned[m.key()] = chosen
	}
	return assigned
}

// A candidate is an engine that may be kept up to date with a model, with the version
// that it has and the number of other models that it is assigned to.
type candidate struct {
	index, version, assignments int
	id                          string
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.version, c.version), cmp.Compare(c.assignments, other.assignments), cmp.Compare(c.id, other.id))
}

// earlyTarget returns how many engines should have the newest version, so that
// at most the others become unusable when the next one is published.
func earlyTarget(engines int) int { return (engines + 1) / 2 }

// Plan returns the orders to give now. Engines whose version is too old for the
// open jobs, or for the jobs that the newest version will bring, update first.
// Of the engines that are one version behind, half update early: if none did,
// all would become unusable at once two versions later. The others update while
// they are idle and no item waits, and those of unused pools after all others.
func Plan(engines []Engine, pools []Pool) []UpdateOrder {
	p := &plan{capacity: MaxParallel(NonSpot(engines)), taken: map[string]bool{}, picked: map[string]int{}}
	for _, e := range engines {
		if e.Updating && !e.Finishing {
			p.capacity--
		}
	}
	pools = slices.Clone(pools)
	slices.SortFunc(pools, comparePools)
	assigned := assignEngines(engines, pools)
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), comparePools(a, b)) })
	used, unused := partition(pools)
	for _, m := range used {
		urgent, _ := outdated(assigned[m.key()], m)
		p.pick(m, urgent, len(urgent))
	}
	for _, m := range used {
		p.pickEarly(m, assigned[m.key()])
	}
	for _, m := range unused {
		p.pickUnused(m, assigned[m.key()])
	}
	return p.orders
}

// partition separates the pools that run items from the unused ones.
func partition(pools []Pool) (used, unused []Pool) {
	for _, m := range pools {
		if m.Unused {
			unused = append(unused, m)
		} else {
			used = append(used, m)
		}
	}
	return used, unused
}

// A plan collects orders. taken holds the engines that have one, by ID, and
// picked counts them by model.
type plan struct {
	capacity int
	taken    map[string]bool
	picked   map[string]int
	orders   []UpdateOrder
}

// pickEarly orders updates of engines that are still usable.
func (p *plan) pickEarly(m Pool, engines []Engine) {
	_, early := outdated(engines, m)
	limit := earlyTarget(len(engines)) - countCurrent(engines, m)
	if m.Waiting > 0 {
		// Waiting items need the engines more, but updates must still make
		// progress.
		limit = min(limit, 1)
	}
	p.pick(m, early, limit)
	if m.Waiting == 0 {
		p.pickIdle(m, early)
	}
}

// pickUnused orders updates of engines that no item needs. It leaves room for one that
// may become urgent.
func (p *plan) pickUnused(m Pool, engines []Engine) {
	if p.capacity < 2 {
		return
	}
	urgent, early := outdated(engines, m)
	p.pickIdle(m, append(urgent, early...))
}

// pickIdle orders updates of idle engines that cost nothing.
func (p *plan) pickIdle(m Pool, engines []Engine) {
	idle := slices.DeleteFunc(engines, func(e Engine) bool { return e.Running > 0 })
	limit := m.FreeLoads - m.Loads - p.picked[m.Model]
	if m.Unused {
		limit = min(limit, p.capacity-1)
	}
	p.pick(m, idle, limit)
}

// pick orders updates for up to limit of the candidates, as far as the capacity
// allows.
func (p *plan) pick(m Pool, candidates []Engine, limit int) {
	for _, e := range candidates {
		if p.capacity <= 0 || limit <= 0 {
			return
		}
		if p.taken[e.ID] {
			continue
		}
		p.taken[e.ID] = true
		p.picked[m.Model]++
		p.orders = append(p.orders, UpdateOrder{Engine: e.ID, Model: m.Model, Version: m.NewestVersion})
		p.capacity--
		limit--
	}
}

// countCurrent counts the engines that have the newest version or are updating.
func countCurrent(engines []Engine, m Pool) int {
	n := 0
	for _, e := range engines {
		if e.Versions[m.Model] >= m.NewestVersion || e.Updating {
			n++
		}
	}
	return n
}

// outdated returns the engines that are no longer usable for a model, and those
// that are one version behind, each sorted by version and then by the number of
// runs.
func outdated(engines []Engine, m Pool) (urgent, early []Engine) {
	minVersion := max(m.MinVersion, m.NewestVersion-1)
	for _, e := range engines {
		version, serves := e.Versions[m.Model]
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
		return cmp.Or(cmp.Compare(a.Versions[m.Model], b.Versions[m.Model]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(urgent, byVersionAndRuns)
	slices.SortFunc(early, byVersionAndRuns)
	return urgent, early
}
