package limpetbatch

import (
	"time"

	"limpetmount.org/internal/limpetsite"
)

// defaultInterval is the assumed time between two events while none was measured.
const defaultInterval = 40 * time.Millisecond

// The costs of beginning a text at software that may not be there to go on with
// it, in units of an engine's load per slot.
const (
	// lastEngineCost applies if only one engine of the software takes work.
	lastEngineCost = 0.5
	// replacedCost applies while engines of the software leave, in proportion to
	// their share.
	replacedCost = 0.5
	// awaitedCost applies while texts wait for an engine of the software.
	awaitedCost = 1.0
)

// continuesAt reports whether an engine of given software may generate the rest
// of the entry's text: only the software that generated the first event can.
func (e *Entry) continuesAt(software limpetsite.Software) bool {
	return e.text.lastEvent == 0 || e.text.software == software
}

// dropText makes an entry begin again from its first event.
func (e *Entry) dropText() {
	e.text, e.sources = text{}, nil
	e.Job.draftsDirty = true
}

// A continuationKey identifies the engines of a split's services that can go on with
// texts of a model.
type continuationKey struct {
	split    *split
	model    string
	software limpetsite.Software
}

// shouldBeginAgain reports whether an item that no engine can continue now is
// better begun again than kept waiting. While an engine of the software that began
// its text takes work, it waits for as long as generating the text again takes.
func (s *Scheduler) shouldBeginAgain(e *Entry, d *dispatch) bool {
	if e.text.lastEvent == 0 {
		return false
	}
	key := continuationKey{split: e.Job.split, model: e.Job.Model, software: e.text.software}
	continuable, known := d.continuable[key]
	if !known {
		continuable = s.continuable(e.Job, key, d.view)
		d.continuable[key] = continuable
	}
	if !continuable {
		return true
	}
	interval := d.typical[e.text.software.Service()].interval
	if interval <= 0 {
		interval = defaultInterval
	}
	return d.now.Sub(e.heldSince) > time.Duration(e.text.lastEvent)*interval
}

// continuable reports whether an engine that may run a job's items takes work and
// can go on with a text, with whatever weights.
func (s *Scheduler) continuable(j *Job, key continuationKey, view *limpetsite.Snapshot) bool {
	for _, g := range s.enginesByID {
		s.examined++
		if _, serves := g.versionOf(key.model); serves && j.runsAt(g.server.Service) && g.server.Software == key.software && view.AcceptsWork(g.server.ID) {
			return true
		}
	}
	return false
}

// dropTextsOf makes the items begin again whose texts may have events of an engine
// that was started again with other software after it had been chosen. Events from
// before its start stay. It returns the runs of these items.
func (s *Scheduler) dropTextsOf(restarted *limpetsite.Server, now time.Time) []*Run {
	uncertain := func(r *Run) bool {
		began := r.respondedAt
		if !r.gotHeader {
			began = now
		}
		return restarted.MayHaveSent(r.Server, began)
	}
	var detached []*Run
	for _, j := range s.jobsByArrival {
		for _, e := range j.entries {
			if e.phase > unscored {
				continue
			}
			dropped := false
			for _, r := range e.sources {
				dropped = dropped || uncertain(r)
			}
			if e.run != nil && (dropped || uncertain(e.run)) {
				detached = append(detached, e.run)
				s.detach(e.run)
			}
			if dropped {
				e.dropText()
				e.phase = waiting
				s.queueStale = true
			}
		}
	}
	return detached
}

// movable returns the first of the runs, at most limit, that can each go on at once
// on an engine other than its own that is not slow and that gains tells to be worth it.
func (s *Scheduler) movable(runs []*Run, limit int, gains func(*Run, *engine) bool, view *limpetsite.Snapshot, now time.Time) []*Run {
	typical := s.typicalIntervals(now)
	taken := map[*engine]int{}
	var moving []*Run
	for _, r := range runs {
		if len(moving) == limit {
			break
		}
		for g := range s.servingJob(r.Entry.Job, view) {
			if g.server.ID != r.Server.ID && len(g.runs)+taken[g] < g.slots() && s.canStart(g, r.Entry, view, now) && !g.slow(typical, now) && gains(r, g) {
				taken[g]++
				moving = append(moving, r)
				break
			}
		}
	}
	return moving
}

// A softwareCount counts the engines of a software that take work, and those that do
// not any more.
type softwareCount struct{ staying, leaving int }

// countSoftware counts the engines of each software, if there are several.
func (s *Scheduler) countSoftware(view *limpetsite.Snapshot) {
	s.software = nil
	several := false
	for _, g := range s.enginesByID {
		several = several || g.server.Software != s.enginesByID[0].server.Software
	}
	if !several {
		return
	}
	s.software = map[limpetsite.Software]*softwareCount{}
	for _, g := range s.enginesByID {
		c := s.software[g.server.Software]
		if c == nil {
			c = &softwareCount{}
			s.software[g.server.Software] = c
		}
		if view.AcceptsWork(g.server.ID) {
			c.staying++
		} else {
			c.leaving++
		}
	}
}

// lastingSoftware returns what it costs to begin a text at each software, given the
// items that wait for an engine. It is nil while there is one software only.
func (s *Scheduler) lastingSoftware(ready []*Entry) map[limpetsite.Software]float64 {
	if s.software == nil {
		return nil
	}
	costs := map[limpetsite.Software]float64{}
	for software, c := range s.software {
		costs[software] = replacedCost * float64(c.leaving) / float64(c.staying+c.leaving)
		if c.staying <= 1 {
			costs[software] += lastEngineCost
		}
	}
	awaited := map[limpetsite.Software]bool{}
	for _, e := range ready {
		if e.text.lastEvent > 0 && !awaited[e.text.software] {
			awaited[e.text.software] = true
			costs[e.text.software] += awaitedCost
		}
	}
	return costs
}
