package limpetbatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// An engine is a backend server with the runs that this VM has on it.
type engine struct {
	server *limpetsite.Server
	// runs is in the order in which the runs started.
	runs []*Run
	// versions holds the weight version of each model that the engine
	// reported last. The engine may have changed its weights since.
	versions map[string]int
	// interval is the mean time between the events of a run; 0 if unknown.
	interval   time.Duration
	intervalAt time.Time
	// pace is how the engine usually compares with the others of its service.
	pace pace
	// ejectedUntil is when an engine that failed may get work again.
	ejectedUntil time.Time
	// failures counts consecutive failures.
	failures int
	// loading is the model whose weights are changing; empty if there is none.
	loading      string
	loadingSince time.Time
	// measured is set while the engine is in Scheduler.measured.
	measured bool
}

const (
	// minEjection is how long an engine is ejected after its first failure. The
	// time doubles with each consecutive failure, up to maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 5 * time.Second
)

// UpdateEngines updates the engines that may get new work. Runs on engines that
// have left may continue until they end. It returns the runs of texts that may
// have events of software that an engine was started again with, which the caller
// must cancel.
func (s *Scheduler) UpdateEngines(view *limpetsite.Snapshot, now time.Time) []*Run {
	var detached []*Run
	changed := false
	for id, g := range s.engines {
		if len(g.runs) == 0 && view.Server(id) == nil {
			delete(s.engines, id)
			changed = true
		}
	}
	for id, server := range view.AllServers() {
		if len(server.Models) == 0 {
			continue
		}
		g := s.engines[id]
		if g == nil || g.server.Incarnation != server.Incarnation {
			fresh := &engine{server: server, versions: maps.Clone(server.Models)}
			if g != nil {
				fresh.runs = g.runs
			}
			s.engines[id] = fresh
			changed = true
			if g != nil && g.server.Software != server.Software {
				detached = append(detached, s.dropTextsOf(server, now)...)
			}
			continue
		}
		if g.server == server {
			continue
		}
		g.server = server
		for model, v := range server.Models {
			g.versions[model] = max(g.versions[model], v)
		}
	}
	s.forgetServing()
	if changed {
		s.enginesByID = slices.SortedFunc(maps.Values(s.engines), compareEngines)
		s.busy = slices.DeleteFunc(slices.Clone(s.enginesByID), func(g *engine) bool { return len(g.runs) == 0 })
	}
	s.countSoftware(view)
	return detached
}

func compareEngines(a, b *engine) int { return cmp.Compare(a.server.ID, b.server.ID) }

// addRun adds a run to an engine.
func (s *Scheduler) addRun(g *engine, r *Run) {
	g.runs = append(g.runs, r)
	if len(g.runs) == 1 {
		at, _ := slices.BinarySearchFunc(s.busy, g, compareEngines)
		s.busy = slices.Insert(s.busy, at, g)
	}
}

// removeRun removes a run from its engine.
func (s *Scheduler) removeRun(r *Run) {
	g := s.engines[r.Server.ID]
	if g == nil || !slices.Contains(g.runs, r) {
		return
	}
	g.runs = slices.DeleteFunc(g.runs, func(other *Run) bool { return other == r })
	if len(g.runs) == 0 {
		s.busy = slices.DeleteFunc(s.busy, func(other *engine) bool { return other == g })
	}
}

// SetVersions records the weight versions that an engine reported.
func (s *Scheduler) SetVersions(id string, versions map[string]int) {
	if g := s.engines[id]; g != nil {
		for model, version := range versions {
			s.setVersion(g, model, version)
		}
	}
}

// SetLoading records that an engine is changing the weights of a model or, if
// model is empty, that the change is over. The event timeouts of the engine's
// runs restart at the end of a change.
func (s *Scheduler) SetLoading(id, model string, now time.Time) {
	g := s.engines[id]
	if g == nil {
		return
	}
	if model == "" {
		for _, r := range g.runs {
			r.lastActivity = now
			if g.changes(r.Entry.Job.Model) {
				r.endLoadingTiming(now)
			}
		}
	}
	g.loading, g.loadingSince = model, now
}

// Evacuate detaches runs of a model from an engine whose weights are about to
// change, so that their texts continue at once on other engines instead of
// after the change. It detaches no more runs than other engines have free slots
// that no required item waits for. Required and longer items go first. The
// caller must cancel the runs returned.
func (s *Scheduler) Evacuate(id, model string, view *limpetsite.Snapshot, now time.Time) []*Run {
	g := s.engines[id]
	if g == nil {
		return nil
	}
	var runs []*Run
	for _, r := range g.runs {
		if r.Entry.Job.Model == model && !r.Entry.Job.Rules.OnPolicy {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return compareEntries(a.Entry, b.Entry) })
	anywhere := func(*Run, *engine) bool { return true }
	runs = s.movable(runs, s.spareFor(runs, s.requiredWaiting(model, g.server.Service), view, now), anywhere, view, now)
	for _, r := range runs {
		s.detach(r)
	}
	return runs
}

// spareFor returns how many of the runs of one engine find a free slot at other
// engines that the given number of waiting items does not need.
func (s *Scheduler) spareFor(runs []*Run, needed int, view *limpetsite.Snapshot, now time.Time) int {
	typical := s.typicalIntervals(now)
	counted := map[*engine]bool{}
	spare := -needed
	for _, r := range runs {
		for other := range s.servingJob(r.Entry.Job, view) {
			if spare >= len(runs) {
				return len(runs)
			}
			if counted[other] || other.server.ID == r.Server.ID || !s.canStart(other, r.Entry, view, now) || other.slow(typical, now) {
				continue
			}
			counted[other] = true
			spare += other.slots() - len(other.runs)
		}
	}
	return max(0, spare)
}

// canStart reports whether an engine can start an item now.
func (s *Scheduler) canStart(g *engine, e *Entry, view *limpetsite.Snapshot, now time.Time) bool {
	s.examined++
	return len(g.runs) < g.slots() && g.canServe(e, view, now) && s.withinLimit(g, now)
}

// versionOf returns the weight version of a model that an engine has, and whether it
// serves the model. Each engine serves jobs that name no model; they accept any weights.
func (g *engine) versionOf(model string) (version int, serves bool) {
	if model == "" {
		return math.MaxInt, true
	}
	version, serves = g.versions[model]
	return version, serves
}

// changes reports whether an engine is changing the weights of a model.
func (g *engine) changes(model string) bool { return model != "" && g.loading == model }

// canServe reports whether an engine can start an item once it has a free slot.
func (g *engine) canServe(e *Entry, view *limpetsite.Snapshot, now time.Time) bool {
	j := e.Job
	if !j.runsAt(g.server.Service) || !view.InHomes(j.Rules.Homes, g.server.Zone) || !view.AcceptsWork(g.server.ID) || now.Before(g.ejectedUntil) || !e.continuesAt(g.server.Software) {
		return false
	}
	version, serves := g.versionOf(j.Model)
	if !serves || version < j.MinVersion || g.changes(j.Model) {
		return false
	}
	return !j.Rules.OnPolicy || len(e.text.versions) == 0 || version == e.text.version
}

// detach removes a run from its engine and its entry, which waits again.
func (s *Scheduler) detach(r *Run) {
	r.detached = true
	s.removeRun(r)
	if r.Entry.run == r {
		r.Entry.run = nil
		if r.Entry.phase == running {
			r.Entry.phase = waiting
		}
		s.queueStale = true
	}
}

// eject keeps new work from an engine for a time that doubles with each
// consecutive failure, up to maxEjection.
func (g *engine) eject(now time.Time) {
	if now.Before(g.ejectedUntil) {
		return
	}
	g.failures++
	g.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(g.failures-1, 5)))
}
