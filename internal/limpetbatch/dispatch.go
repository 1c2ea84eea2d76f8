package limpetbatch

import (
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A dispatch is what one call of Dispatch looks up or computes once.
type dispatch struct {
	view    *limpetsite.Snapshot
	now     time.Time
	typical typicalIntervals
	cold    func(engine string) bool
	// lasting holds the cost of beginning a text at each software.
	lasting map[limpetsite.Software]float64
	pools   map[poolKey]*pool
	// continuable says of which software an engine takes work that serves a model.
	continuable map[continuationKey]bool
	// meanText is the mean output of the items of typical jobs, in tokens.
	meanText float64
}

func (s *Scheduler) newDispatch(ready []*Entry, view *limpetsite.Snapshot, now time.Time) *dispatch {
	return &dispatch{
		view: view, now: now, typical: s.typicalIntervals(now), cold: s.Limits.Cold, lasting: s.lastingSoftware(ready),
		pools: map[poolKey]*pool{}, continuable: map[continuationKey]bool{}, meanText: s.meanText(),
	}
}

// Dispatch assigns engines to the waiting items, in order of priority, until
// no engine has a free slot. While there are too few slots for the steps that are due,
// trainers share them. The caller must start the runs returned.
func (s *Scheduler) Dispatch(view *limpetsite.Snapshot, now time.Time) []*Run {
	s.planShortage(now)
	ready := s.readyEntries(now)
	if len(ready) == 0 {
		s.recordLeft(nil, nil, now)
		return nil
	}
	d := s.newDispatch(ready, view, now)
	var starts []*Run
	if s.short {
		starts = s.placeShort(ready, d)
	} else {
		starts = s.placeInOrder(ready, d)
	}
	s.recordLeft(ready, d, now)
	return starts
}

// placeInOrder starts items in their order.
func (s *Scheduler) placeInOrder(ready []*Entry, d *dispatch) []*Run {
	var starts []*Run
	for _, e := range ready {
		if r := s.place(e, d); r != nil {
			starts = append(starts, r)
		}
	}
	return starts
}

// place starts an item if an engine is available. It returns nil otherwise.
func (s *Scheduler) place(e *Entry, d *dispatch) *Run {
	if g := s.choose(e, d); g != nil {
		return s.start(e, g, d.now)
	}
	if !s.shouldBeginAgain(e, d) {
		return nil
	}
	before := e.text
	e.text = text{}
	g := s.choose(e, d)
	e.text = before
	if g == nil || g.canServe(e, d.view, d.now) {
		// An engine that can go on with the text is only waited for.
		return nil
	}
	e.dropText()
	r := s.start(e, g, d.now)
	r.Began, r.Dropped = before.software, before.lastEvent
	return r
}

// choose returns the engine with the lowest cost for an item at the first service of
// its route that has one, or nil if none is available now. A suspect engine is probed
// only when no healthy engine of any of the services has a free slot, and first with an
// item that can afford the time until the engine is found to be silent.
func (s *Scheduler) choose(e *Entry, d *dispatch) *engine {
	services := e.Job.split.order(e)
	healthy := false
	for _, service := range services {
		p := s.pool(d.poolKeyOf(service, e), e, d)
		if g := s.chooseAt(service, p, e, d); g != nil {
			return g
		}
		healthy = healthy || p.healthy
	}
	for _, service := range services {
		if g := s.probe(s.pool(d.poolKeyOf(service, e), e, d), e.mayProbe() || !healthy, e, d); g != nil {
			return g
		}
	}
	return nil
}

// chooseAt returns the engine of a service with the lowest cost for an item that is not
// suspect, or nil if none has a free slot.
func (s *Scheduler) chooseAt(service string, p *pool, e *Entry, d *dispatch) *engine {
	if p.full {
		return nil
	}
	best := s.cheapest(p, e, d)
	for _, g := range s.preferred(e) {
		if g.server.Service != service || g.suspect(d.typical) || !s.canStart(g, e, d.view, d.now) {
			continue
		}
		if c := (candidate{engine: g, cost: d.cost(g, e)}); best.engine == nil || best.engine == g || c.less(best) {
			best = c
		}
	}
	p.full = best.engine == nil
	return best.engine
}

// preferred returns the engines whose cost for an item is not that for other items:
// those that run items of its group, and the one to avoid.
func (s *Scheduler) preferred(e *Entry) []*engine {
	var engines []*engine
	add := func(id string) {
		if g := s.engines[id]; g != nil {
			engines = append(engines, g)
		}
	}
	for _, other := range e.group.entries {
		if other.run != nil {
			add(other.run.Server.ID)
		}
	}
	if e.avoidEngine != "" {
		add(e.avoidEngine)
	}
	return engines
}

// probe returns the suspect engine of a pool to probe with an item, or nil. allowed
// tells that the item may probe at any time.
func (s *Scheduler) probe(p *pool, allowed bool, e *Entry, d *dispatch) *engine {
	if p.unprobed[allowed] {
		return nil
	}
	var best candidate
	for _, g := range p.suspects {
		if len(g.runs) > 0 || !(allowed || d.now.Sub(g.ejectedUntil) > probeByAnyAfter) || !s.canStart(g, e, d.view, d.now) {
			continue
		}
		if c := (candidate{engine: g, cost: d.cost(g, e)}); best.engine == nil || c.less(best) {
			best = c
		}
	}
	p.unprobed[allowed] = best.engine == nil
	return best.engine
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
func (d *dispatch) cost(g *engine, e *Entry) float64 {
	cost := d.sharedCost(g, e)
	if g.server.ID == e.avoidEngine {
		cost += lastFailedCost
	}
	for _, r := range g.runs {
		if r.Entry.group == e.group {
			return cost - sharedPromptDiscount
		}
	}
	return cost
}

// sharedCost is the part of an engine's cost that is the same for all items with
// the same poolKey.
func (d *dispatch) sharedCost(g *engine, e *Entry) float64 {
	cost := g.load() / float64(g.slots())
	cost += slownessCost[d.lengthClassOf(e)] * (d.typical.expectedRatio(g, d.now) - 1)
	if d.cold != nil && d.cold(g.server.ID) {
		cost += coldCost
	}
	if g.server.Spot {
		cost += spotCost
	}
	if e.text.lastEvent == 0 {
		cost += d.lasting[g.server.Software]
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
	lastFailedCost = 2.0
	// coldCost is more than what full engines cost that are warm.
	coldCost             = 4.0
	spotCost             = 0.05
	sharedPromptDiscount = 0.15
)

func (s *Scheduler) start(e *Entry, g *engine, now time.Time) *Run {
	r := &Run{Entry: e, Server: g.server, Software: g.server.Software, Began: e.text.software, After: e.text.lastEvent, started: now, lastActivity: now}
	if e.Job.Rules.OnPolicy && len(e.text.versions) > 0 {
		r.Version = e.text.version
	}
	if r.After == 0 {
		e.Job.split.began(g.server.Service)
		e.group.service = g.server.Service
	}
	e.run, e.phase, e.group.begun = r, running, true
	s.addRun(g, r)
	e.startTiming(now)
	if s.Limits.Take != nil {
		s.Limits.Take(g.server.ID, now)
	}
	return r
}
