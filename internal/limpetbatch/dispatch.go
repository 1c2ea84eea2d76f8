package limpetbatch

import (
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A candidateKey identifies items that have the same candidate engines.
type candidateKey struct {
	service, model string
	mayProbe       bool
	// software is that of the text so far; empty if there is none.
	software limpetsite.Software
}

// Dispatch assigns engines to the waiting items, in order of priority, until
// no engine has a free slot. The caller must start the runs returned.
func (s *Scheduler) Dispatch(view *limpetsite.Snapshot, now time.Time) []*Run {
	var starts []*Run
	ready := s.readyEntries(now)
	if len(ready) == 0 {
		return nil
	}
	typical := s.typicalInterval(now)
	full := map[candidateKey]bool{}
	s.lasting = s.lastingSoftware(ready)
	chooseUnlessFull := func(e *Entry) *engine {
		key := candidateKey{service: e.Job.Rules.Service, model: e.Job.Model, mayProbe: e.mayProbe()}
		if e.text.lastEvent > 0 {
			key.software = e.text.software
		}
		if full[key] {
			return nil
		}
		g := s.choose(e, view, typical, now)
		full[key] = g == nil && !e.Job.Rules.OnPolicy
		return g
	}
	for _, e := range ready {
		if g := chooseUnlessFull(e); g != nil {
			starts = append(starts, s.start(e, g, now))
			continue
		}
		if !s.shouldBeginAgain(e, view, typical, now) {
			continue
		}
		before := e.text
		e.text = text{}
		g := chooseUnlessFull(e)
		e.text = before
		if g == nil || g.canServe(e, view, now) {
			// An engine that can go on with the text is only waited for.
			continue
		}
		e.dropText()
		r := s.start(e, g, now)
		r.Began, r.Dropped = before.software, before.lastEvent
		starts = append(starts, r)
	}
	return starts
}

// choose returns the engine with the lowest cost for an item, or nil if none
// is available now. A suspect engine is probed only when no healthy engine has
// a free slot, and first with an item that can afford the time until the
// engine is found to be silent.
func (s *Scheduler) choose(e *Entry, view *limpetsite.Snapshot, typical time.Duration, now time.Time) *engine {
	var best, probe *engine
	bestCost, probeCost := 0.0, 0.0
	probeAllowed := e.mayProbe() || !s.hasHealthyEngine(e, view, typical, now)
	for _, g := range s.enginesByID {
		suspect := g.suspect(typical)
		if !s.canStart(g, e, view, now) {
			continue
		}
		cost := g.cost(e, s.lasting, typical, now)
		switch {
		case !suspect && (best == nil || cost < bestCost):
			best, bestCost = g, cost
		case suspect && len(g.runs) == 0 && (probeAllowed || now.Sub(g.ejectedUntil) > probeByAnyAfter) && (probe == nil || cost < probeCost):
			probe, probeCost = g, cost
		}
	}
	if best != nil {
		return best
	}
	return probe
}

// hasHealthyEngine reports whether an engine that is not suspect could run an
// item, now or once it has a free slot.
func (s *Scheduler) hasHealthyEngine(e *Entry, view *limpetsite.Snapshot, typical time.Duration, now time.Time) bool {
	for _, g := range s.enginesByID {
		if !g.suspect(typical) && g.canServe(e, view, now) {
			return true
		}
	}
	return false
}

// mayProbe reports whether an item can afford the time that it takes to find
// an engine silent: none of its text has been generated, and it is short or
// the trainer is not expected to wait for it.
func (e *Entry) mayProbe() bool {
	return e.text.lastEvent == 0 && (!e.group.required || e.size() <= maxProbeTokens)
}

const (
	// maxProbeTokens is the largest expected output of a required item that may
	// probe a suspect engine.
	maxProbeTokens = 3000
	// probeByAnyAfter is how long after the end of an ejection any item may
	// probe the engine.
	probeByAnyAfter = 1500 * time.Millisecond
)

// cost ranks the engines for an item; the engine with the lowest cost is chosen.
// Lasting is what it costs to begin a text at each software.
func (g *engine) cost(e *Entry, lasting map[limpetsite.Software]float64, typical time.Duration, now time.Time) float64 {
	cost := g.load() / float64(max(g.server.Slots, 1))
	if typical > 0 && g.interval > 0 && now.Sub(g.intervalAt) < intervalMaxAge {
		cost += slownessCost * (float64(g.interval)/float64(typical) - 1)
	}
	if g.server.ID == e.avoidEngine {
		cost += lastFailedCost
	}
	if g.server.Spot {
		cost += spotCost
	}
	if e.text.lastEvent == 0 {
		cost += lasting[g.server.Software]
	}
	for _, r := range g.runs {
		if r.Entry.group == e.group {
			cost -= sharedPromptDiscount
			break
		}
	}
	return cost
}

// load estimates how much the runs on an engine slow each other down, in units
// of typical runs. It depends on the number of runs and on the context that
// the engine reads for each token.
func (g *engine) load() float64 {
	sum := 0.0
	for _, r := range g.runs {
		sum += fixedRunLoad + r.Entry.meanContext()/typicalContext
	}
	return sum
}

// meanContext estimates the context length halfway through the rest of an
// item's generation, in tokens.
func (e *Entry) meanContext() float64 {
	generated := e.text.lastEvent * tokensPerEvent
	return float64(generated) + float64(max(e.size()-generated, generated/4))/2
}

const (
	// typicalContext is the mean context length of a typical run, in tokens.
	typicalContext = 1500
	// fixedRunLoad is the part of a run's load that does not depend on its
	// context length.
	fixedRunLoad = 0.3
)

// The terms that cost adds to an engine's load per slot.
const (
	slownessCost         = 0.6
	lastFailedCost       = 2.0
	spotCost             = 0.05
	sharedPromptDiscount = 0.15
)

func (s *Scheduler) start(e *Entry, g *engine, now time.Time) *Run {
	r := &Run{Entry: e, Server: g.server, Software: g.server.Software, Began: e.text.software, After: e.text.lastEvent, started: now, lastActivity: now}
	if e.Job.Rules.OnPolicy && len(e.text.versions) > 0 {
		r.Version = e.text.version
	}
	e.run, e.phase = r, running
	g.runs = append(g.runs, r)
	e.startTiming(now)
	if s.Limits.Take != nil {
		s.Limits.Take(g.server.ID, now)
	}
	return r
}
