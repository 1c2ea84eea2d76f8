package limpetbatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// An engine is one server of a service with the runs that this VM has there.
type engine struct {
	server *limpetsite.Server
	// runs holds its runs by their start.
	runs []*Run
	// versions is the belief about its weights: what it told last.
	versions map[string]int
	// pace is the mean time between events of a run; 0 when not known.
	pace   time.Duration
	paceAt time.Time
	// until is when an engine that failed is tried again.
	until    time.Time
	failures int
	// loading is the model whose weights change; empty when none do.
	loading     string
	loadingFrom time.Time
}

const (
	ejectFirst = 300 * time.Millisecond
	ejectLast  = 5 * time.Second
	paceWeight = 0.15
	// paceLife is how long a slow pace keeps work away from an engine.
	paceLife = 2500 * time.Millisecond
	// slowRatio is how much slower than the others an engine must be to get no
	// new work.
	slowRatio = 2.0
)

// Engines takes the engines that may get new work. Runs at engines that left
// may go on until they end by themselves.
func (l *Ledger) Engines(view *limpetsite.Snapshot) {
	for id, g := range l.engines {
		if view.Server(id) == nil && len(g.runs) == 0 {
			delete(l.engines, id)
		}
	}
	for id, s := range view.All() {
		if len(s.Models) == 0 {
			continue
		}
		g := l.engines[id]
		if g == nil || g.server.Born != s.Born {
			fresh := &engine{server: s, versions: maps.Clone(s.Models)}
			if g != nil {
				fresh.runs = g.runs
			}
			l.engines[id] = fresh
			continue
		}
		g.server = s
		for model, v := range s.Models {
			g.versions[model] = max(g.versions[model], v)
		}
	}
	l.fleet = slices.SortedFunc(maps.Values(l.engines), func(a, b *engine) int { return cmp.Compare(a.server.ID, b.server.ID) })
}

// Learned records the versions that an engine reported.
func (l *Ledger) Learned(id string, versions map[string]int) {
	if g := l.engines[id]; g != nil {
		maps.Copy(g.versions, versions)
	}
}

// Loading records that the weights of a model change at an engine, or with an
// empty model that no change is under way.
func (l *Ledger) Loading(id, model string, now time.Time) {
	g := l.engines[id]
	if g == nil {
		return
	}
	if model == "" {
		for _, r := range g.runs {
			r.last = now
		}
	}
	g.loading, g.loadingFrom = model, now
}

// Evacuate takes the runs of a model off an engine whose weights are about to
// change, as far as other engines have places that nobody waits for: a text
// goes on there at once, and here only after the change. What a trainer waits
// for and what is longest goes first. It returns the runs that are to be
// broken off.
func (l *Ledger) Evacuate(id, model string, view *limpetsite.Snapshot, now time.Time) []*Run {
	g := l.engines[id]
	if g == nil {
		return nil
	}
	var runs []*Run
	for _, r := range g.runs {
		if r.Entry.Job.Model == model && !r.Entry.Job.Rules.OnPolicy {
			runs = append(runs, r)
		}
	}
	places := 0
	for _, o := range l.fleet {
		if o == g {
			continue
		}
		for _, r := range runs {
			if o.usable(r.Entry, view, now) && !o.slow(l.typicalPace(now), now) {
				places += max(o.server.Slots, 1) - len(o.runs)
				break
			}
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return order(a.Entry, b.Entry) })
	runs = runs[:min(len(runs), max(0, places-l.needed(model)))]
	for _, r := range runs {
		l.detach(r)
	}
	return runs
}

// usable reports whether an engine may get an item now.
func (g *engine) usable(e *Entry, view *limpetsite.Snapshot, now time.Time) bool {
	return g.fits(e, view, now) && len(g.runs) < max(g.server.Slots, 1)
}

// fits reports whether an engine may get an item once it has a place.
func (g *engine) fits(e *Entry, view *limpetsite.Snapshot, now time.Time) bool {
	j := e.Job
	if g.server.Service != j.Rules.Service || !view.Takes(g.server.ID) || now.Before(g.until) {
		return false
	}
	version, serves := g.versions[j.Model]
	if !serves || version < j.MinVersion || g.loading == j.Model {
		return false
	}
	return !j.Rules.OnPolicy || len(e.text.versions) == 0 || version == e.text.version
}

// typicalPace returns the pace of the faster engines that were seen lately: a
// third of them are at least as fast, so that it holds while many are slow.
func (l *Ledger) typicalPace(now time.Time) time.Duration {
	var paces []time.Duration
	for _, g := range l.fleet {
		if g.pace > 0 && now.Sub(g.paceAt) < paceLife {
			paces = append(paces, g.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/3]
}

// slow reports whether an engine is known to be much slower than the others.
func (g *engine) slow(typical time.Duration, now time.Time) bool {
	return typical > 0 && g.pace > 0 && now.Sub(g.paceAt) < paceLife &&
		float64(g.pace) > slowRatio*float64(typical)
}

// doubtful reports whether the last that is known of an engine is that it
// failed or was much slower than the others. However long ago that was, one run
// tries it first.
func (g *engine) doubtful(typical time.Duration) bool {
	return g.failures > 0 || (typical > 0 && float64(g.pace) > slowRatio*float64(typical))
}

// detach takes a run off its engine and entry.
func (l *Ledger) detach(r *Run) {
	r.cut = true
	if g := l.engines[r.Server.ID]; g != nil {
		g.runs = slices.DeleteFunc(g.runs, func(other *Run) bool { return other == r })
	}
	if r.Entry.run == r {
		r.Entry.run = nil
		if r.Entry.phase == running {
			r.Entry.phase = waiting
		}
		l.stale = true
	}
}

// failed keeps new work away from an engine for a time that grows.
func (g *engine) failed(now time.Time) {
	if now.Before(g.until) {
		return
	}
	g.failures++
	g.until = now.Add(min(ejectLast, ejectFirst<<min(g.failures-1, 5)))
}
