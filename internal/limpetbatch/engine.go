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

// cost ranks engines for an item; the lowest is chosen.
func (g *engine) cost(e *Entry, typical time.Duration, now time.Time) float64 {
	cost := g.burden() / float64(max(g.server.Slots, 1))
	if typical > 0 && g.pace > 0 && now.Sub(g.paceAt) < paceLife {
		cost += paceCost * (float64(g.pace)/float64(typical) - 1)
	}
	if g.server.ID == e.avoid {
		cost += avoidCost
	}
	if g.server.Spot {
		cost += spotCost
	}
	for _, r := range g.runs {
		if r.Entry.group == e.group {
			cost -= sharedPrompt
			break
		}
	}
	return cost
}

// burden estimates how much the runs of an engine slow each other down, in
// usual runs: by their number, and by what an engine reads of their texts for
// each token.
func (g *engine) burden() float64 {
	sum := 0.0
	for _, r := range g.runs {
		sum += runBurden + r.Entry.middle()/usualMiddle
	}
	return sum
}

// middle estimates the tokens of a text in the middle of what is left of it.
func (e *Entry) middle() float64 {
	read := e.text.last * tokensPerEvent
	return float64(read) + float64(max(e.size()-read, read/4))/2
}

const (
	// usualMiddle is the middle of a usual text, in tokens.
	usualMiddle = 1500
	// runBurden is the part of a run's burden that does not depend on its text.
	runBurden = 0.3
)

// The parts of an engine's cost, in shares of its places.
const (
	paceCost     = 0.6
	avoidCost    = 2.0
	spotCost     = 0.05
	sharedPrompt = 0.15
)

// Dispatch chooses engines for the items that wait, in their order, until no
// engine has a place.
func (l *Ledger) Dispatch(view *limpetsite.Snapshot, now time.Time) []*Run {
	var starts []*Run
	typical := l.typicalPace(now)
	full := map[string]bool{}
	for _, e := range l.ready(now) {
		key := e.Job.Rules.Service + "/" + e.Job.Model
		if e.bearsTrial() {
			key += "/trial"
		}
		if full[key] {
			continue
		}
		g := l.choose(e, view, typical, now)
		if g == nil {
			full[key] = !e.Job.Rules.OnPolicy
			continue
		}
		starts = append(starts, l.start(e, g, now))
	}
	return starts
}

// choose returns the engine for an item; nil when there is none now. An engine
// in doubt is tried only when no other has a place, and first with an item
// that can bear the time until it is known to be silent.
func (l *Ledger) choose(e *Entry, view *limpetsite.Snapshot, typical time.Duration, now time.Time) *engine {
	var best, trial *engine
	bestCost, trialCost := 0.0, 0.0
	anyone := e.bearsTrial() || !l.well(e, view, typical, now)
	for _, g := range l.fleet {
		doubtful := g.doubtful(typical)
		if !g.usable(e, view, now) {
			continue
		}
		cost := g.cost(e, typical, now)
		switch {
		case !doubtful && (best == nil || cost < bestCost):
			best, bestCost = g, cost
		case doubtful && len(g.runs) == 0 && (anyone || now.Sub(g.until) > doubtLife) && (trial == nil || cost < trialCost):
			trial, trialCost = g, cost
		}
	}
	if best != nil {
		return best
	}
	return trial
}

// well reports whether an engine that is not in doubt fits an item.
func (l *Ledger) well(e *Entry, view *limpetsite.Snapshot, typical time.Duration, now time.Time) bool {
	for _, g := range l.fleet {
		if !g.doubtful(typical) && g.fits(e, view, now) {
			return true
		}
	}
	return false
}

// bearsTrial reports whether an item may lose the time that it takes to find
// an engine silent: nothing of its text is there, and it is short or nobody
// waits for it.
func (e *Entry) bearsTrial() bool {
	return e.text.last == 0 && (!e.group.must || e.size() <= trialTokens)
}

const (
	// trialTokens is the largest output of an item that may try an engine.
	trialTokens = 3000
	// doubtLife is how long after an ejection any item may try an engine.
	doubtLife = 1500 * time.Millisecond
)

func (l *Ledger) start(e *Entry, g *engine, now time.Time) *Run {
	r := &Run{Entry: e, Server: g.server, After: e.text.last, started: now, last: now}
	if e.Job.Rules.OnPolicy && len(e.text.versions) > 0 {
		r.Version = e.text.version
	}
	e.run, e.phase = r, running
	g.runs = append(g.runs, r)
	return r
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
