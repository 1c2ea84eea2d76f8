package limpetbatch

import (
	"container/heap"
	"iter"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// An engineKey identifies the engines that have weights which jobs accept.
type engineKey struct {
	service, model string
	minVersion     int
}

// serving returns the engines of a service that take work and have weights that a job
// accepts, in the order of their IDs. The slice is valid until the engines change.
func (s *Scheduler) serving(service string, j *Job, view *limpetsite.Snapshot) []*engine {
	if !j.runsAt(service) {
		return nil
	}
	if view != s.servingView {
		s.forgetServing()
		s.servingView = view
	}
	key := engineKey{service: service, model: j.Model, minVersion: j.MinVersion}
	engines, known := s.servingCache[key]
	if known {
		return engines
	}
	s.examined += uint64(len(s.enginesByID))
	for _, g := range s.enginesByID {
		version, serves := g.versionOf(j.Model)
		if serves && version >= j.MinVersion && g.server.Service == service && view.AcceptsWork(g.server.ID) {
			engines = append(engines, g)
		}
	}
	s.servingCache[key] = engines
	return engines
}

// servingJob yields the engines of all services that take work and have weights that a
// job accepts.
func (s *Scheduler) servingJob(j *Job, view *limpetsite.Snapshot) iter.Seq[*engine] {
	return func(yield func(*engine) bool) {
		for _, service := range j.split.services {
			for _, g := range s.serving(service, j, view) {
				if !yield(g) {
					return
				}
			}
		}
	}
}

// forgetServing is called when the weights of engines, or the engines, have changed.
func (s *Scheduler) forgetServing() { s.servingCache = map[engineKey][]*engine{} }

// setVersion records the weight version of a model that an engine has.
func (s *Scheduler) setVersion(g *engine, model string, version int) {
	if known, serves := g.versions[model]; model == "" || serves && known == version {
		return
	}
	g.versions[model] = version
	s.forgetServing()
}

// A poolKey identifies items that can run on the same engines of a service.
type poolKey struct {
	engineKey
	// begun is set if the item has some text, and software is what began it.
	begun    bool
	software limpetsite.Software
	// version is the only weight version that the item accepts; 0 if any will do.
	version int
	length  lengthClass
	homes   limpetsite.Homes
}

// A lengthClass is how much the time to the end of an item's text depends on the speed
// of its engine.
type lengthClass int

const (
	mediumText lengthClass = iota
	shortText
	// longText is a long text that the trainer is expected to wait for.
	longText
)

const (
	// shortFraction and longFraction bound medium texts, in multiples of the mean one.
	shortFraction = 0.75
	longFraction  = 1.25
)

// slownessCost is what an engine costs that takes twice the typical time for an event,
// in units of its load per slot, by the length of the text. Short texts fill slower
// engines before long ones that bound when a step is complete.
var slownessCost = map[lengthClass]float64{shortText: 0.2, mediumText: 0.6, longText: 1.6}

// lengthClassOf returns the class of an item.
func (d *dispatch) lengthClassOf(e *Entry) lengthClass {
	switch remaining := float64(e.remaining()); {
	case d.meanText <= 0:
		return mediumText
	case remaining < shortFraction*d.meanText:
		return shortText
	case remaining > longFraction*d.meanText && e.group.required:
		return longText
	}
	return mediumText
}

func (d *dispatch) poolKeyOf(service string, e *Entry) poolKey {
	key := poolKey{engineKey: engineKey{service: service, model: e.Job.Model, minVersion: e.Job.MinVersion}, length: d.lengthClassOf(e), homes: e.Job.Rules.Homes}
	if e.text.lastEvent > 0 {
		key.begun, key.software = true, e.text.software
	}
	if e.Job.Rules.OnPolicy && len(e.text.versions) > 0 {
		key.version = e.text.version
	}
	return key
}

// A pool holds the engines that some items can run on, during one call of Dispatch.
type pool struct {
	// free is a heap of the engines that are not suspect and may have a free slot.
	free candidates
	// suspects may be probed.
	suspects []*engine
	// healthy is set if an engine that is not suspect can run the items, now or
	// once it has a free slot.
	healthy bool
	// full is set once no engine that is not suspect has a free slot, and unprobed
	// once none that is suspect may be probed, by whether any item may probe.
	full     bool
	unprobed map[bool]bool
}

// pool returns the engines of a service that an item can run on.
func (s *Scheduler) pool(key poolKey, e *Entry, d *dispatch) *pool {
	p := d.pools[key]
	if p == nil {
		p = s.newPool(key.service, e, d)
		d.pools[key] = p
	}
	return p
}

func (s *Scheduler) newPool(service string, e *Entry, d *dispatch) *pool {
	p := &pool{unprobed: map[bool]bool{}}
	serving := s.serving(service, e.Job, d.view)
	s.examined += uint64(len(serving))
	for _, g := range serving {
		switch {
		case !g.canServe(e, d.view, d.now):
		case g.suspect(d.typical):
			p.suspects = append(p.suspects, g)
		default:
			p.healthy = true
			if len(g.runs) < g.slots() {
				p.free = append(p.free, candidate{engine: g, cost: d.sharedCost(g, e)})
			}
		}
	}
	heap.Init(&p.free)
	return p
}

// A candidate is an engine with its cost when it was last looked at. During one
// call of Dispatch costs only grow.
type candidate struct {
	engine *engine
	cost   float64
}

func (a candidate) less(b candidate) bool {
	return a.cost < b.cost || a.cost == b.cost && a.engine.server.ID < b.engine.server.ID
}

// candidates is a heap; the first one has the lowest cost, or had it when it was
// last looked at.
type candidates []candidate

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(a, b int) bool { return c[a].less(c[b]) }
func (c candidates) Swap(a, b int)      { c[a], c[b] = c[b], c[a] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// cheapest returns the engine with the lowest cost other than the one to avoid, or
// a zero candidate if none has a free slot.
func (s *Scheduler) cheapest(p *pool, e *Entry, d *dispatch) candidate {
	var avoided *candidate
	defer func() {
		if avoided != nil {
			heap.Push(&p.free, *avoided)
		}
	}()
	for len(p.free) > 0 {
		s.examined++
		first := p.free[0]
		if len(first.engine.runs) >= first.engine.slots() || !s.withinLimit(first.engine, d.now) {
			heap.Pop(&p.free)
			continue
		}
		if cost := d.sharedCost(first.engine, e); cost != first.cost {
			p.free[0].cost = cost
			heap.Fix(&p.free, 0)
			continue
		}
		if first.engine.server.ID != e.avoidEngine || avoided != nil {
			return first
		}
		avoided = &first
		heap.Pop(&p.free)
	}
	return candidate{}
}

// withinLimit reports whether an engine that limits its requests takes a run now.
func (s *Scheduler) withinLimit(g *engine, now time.Time) bool {
	return s.Limits.Free == nil || s.Limits.Free(g.server.ID, now)
}

// slots returns the number of runs that an engine takes at once.
func (g *engine) slots() int { return max(g.server.Slots, 1) }
