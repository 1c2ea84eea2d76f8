package limpetbatch

import (
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A sort of items has the same engines to choose from.
type sort struct {
	service, model string
	trial          bool
}

// Dispatch chooses engines for the items that wait, in their order, until no
// engine has a place.
func (l *Ledger) Dispatch(view *limpetsite.Snapshot, now time.Time) []*Run {
	var starts []*Run
	typical := l.typicalPace(now)
	full := map[sort]bool{}
	for _, e := range l.ready(now) {
		key := sort{e.Job.Rules.Service, e.Job.Model, e.bearsTrial()}
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

func (l *Ledger) start(e *Entry, g *engine, now time.Time) *Run {
	r := &Run{Entry: e, Server: g.server, After: e.text.last, started: now, last: now}
	if e.Job.Rules.OnPolicy && len(e.text.versions) > 0 {
		r.Version = e.text.version
	}
	e.run, e.phase = r, running
	g.runs = append(g.runs, r)
	return r
}
