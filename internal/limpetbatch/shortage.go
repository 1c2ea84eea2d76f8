package limpetbatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// paceSettling is how long items of a model must have waited for a slot before
	// the pace of their model is known. Prompts are read for a part of it.
	paceSettling = 500 * time.Millisecond
	// pacePeriod is the time between two samples of a pace, and paceWindow the time
	// in which a sample counts.
	pacePeriod = 100 * time.Millisecond
	paceWindow = 1500 * time.Millisecond
	// planPeriod is how often it is decided which groups can be whole: at each fourth
	// step of the director's loop, since the plan looks at all items.
	planPeriod = 100 * time.Millisecond
	// minSharePart is the part of an equal share of the service that the plan of a
	// model counts on at least. Otherwise a model that got nothing for a while
	// would have no group that can be whole, and get nothing for that reason.
	minSharePart = 0.5
	// minItemWork is the work of an item whose length is not known, in tokens.
	minItemWork = tokensPerEvent
)

// A modelPace is the rate at which work of a model is done while items of it wait for
// a slot. Work is counted in the tokens that were expected of the items, so that texts
// that end early count like those that do not.
type modelPace struct {
	since, at time.Time
	done      float64
	// rate is in tokens per second.
	rate float64
}

// sample updates the rate with what was done since the last sample.
func (p *modelPace) sample(now time.Time) {
	passed := now.Sub(p.at)
	if passed < pacePeriod {
		return
	}
	rate := p.done / passed.Seconds()
	if p.rate == 0 {
		p.rate = rate
	} else {
		p.rate += min(1, passed.Seconds()/paceWindow.Seconds()) * (rate - p.rate)
	}
	p.at, p.done = now, 0
}

// known reports whether a rate was measured for long enough.
func (p *modelPace) known(now time.Time) bool { return now.Sub(p.since) >= paceSettling && p.rate > 0 }

// work estimates the work that is left of an item, in tokens.
func (e *Entry) work() float64 {
	if e.phase > running {
		return 0
	}
	return float64(max(e.remaining(), minItemWork))
}

// recordWork adds the work that an event, or the end of the text, has done.
func (s *Scheduler) recordWork(e *Entry, before float64) {
	if p := s.paces[e.Job.Model]; p != nil {
		p.done += max(0, before-e.work())
	}
}

// recordLeft records which models have items that wait because all engines for them
// are full.
func (s *Scheduler) recordLeft(ready []*Entry, d *dispatch, now time.Time) {
	left := map[string]bool{}
	for _, e := range ready {
		if e.phase == waiting && !left[e.Job.Model] && d.full(e) {
			left[e.Job.Model] = true
		}
	}
	for model := range s.paces {
		if !left[model] {
			delete(s.paces, model)
		}
	}
	for model := range left {
		if s.paces[model] == nil {
			s.paces[model] = &modelPace{since: now, at: now}
		}
	}
	if len(s.paces) == 0 {
		s.open = nil
		if s.short {
			s.short, s.queueStale = false, true
			clear(s.shortModels)
		}
	}
}

// full reports whether the engines that can run an item are all full.
func (d *dispatch) full(e *Entry) bool {
	full := false
	for _, service := range e.Job.split.services {
		p := d.pools[d.poolKeyOf(service, e)]
		full = full || p != nil && p.healthy && p.full
	}
	return full
}

// planShortage decides which groups can be whole in time, if that is due. Service is
// short while a group cannot, and until no item waits for a slot.
func (s *Scheduler) planShortage(now time.Time) {
	total, known := 0.0, 0
	for _, model := range slices.Sorted(maps.Keys(s.paces)) {
		p := s.paces[model]
		p.sample(now)
		if p.known(now) {
			total += p.rate
			known++
		}
	}
	if known == 0 || now.Sub(s.plannedAt) < planPeriod {
		return
	}
	s.plannedAt, s.queueStale = now, true
	least := minSharePart * total / float64(known)
	s.updateOpen()
	s.timeJobs(now)
	for model, groups := range s.open {
		if p := s.paces[model]; p != nil && p.known(now) {
			if planGroups(groups, max(p.rate, least)) {
				s.short, s.shortModels[model] = true, true
			}
		} else {
			planGroups(groups, 0)
		}
	}
}

// Short reports whether there are too few slots for the steps that are due.
func (s *Scheduler) Short() bool { return s.short }

// LateGroups returns the number of groups that cannot be whole in time as of the last
// plan; 0 without shortage.
func (s *Scheduler) LateGroups() int {
	if !s.short {
		return 0
	}
	n := 0
	s.listGroups()
	for _, groups := range s.open {
		for _, g := range groups {
			if g.late && g.open() {
				n++
			}
		}
	}
	return n
}

// planGroups decides which groups of a model can be whole in time at a rate of work,
// one after the other in the order of their turns. It reports whether any cannot. A
// rate of 0 means that all can.
func planGroups(groups []*group, rate float64) bool {
	work, late := 0.0, false
	for n, g := range groups {
		j := g.job
		g.turn, g.late = n, false
		if rate <= 0 || j.Rules.RunTarget <= 0 {
			continue
		}
		needs := time.Duration((work + g.work) / rate * float64(time.Second))
		alone := time.Duration(g.longest) * j.interval
		if g.late = max(needs, alone) > j.left; g.late {
			late = true
			continue
		}
		work += g.work
	}
	return late
}

// shortestInterval returns the typical interval of the fastest service of a job.
func (s *Scheduler) shortestInterval(j *Job) time.Duration {
	shortest := time.Duration(0)
	for _, service := range j.split.services {
		if interval := s.typical[service].interval; interval > 0 && (shortest == 0 || interval < shortest) {
			shortest = interval
		}
	}
	return shortest
}

// compareGroups orders the groups of a model under shortage: those that the trainer is
// expected to wait for, those that have begun, the earliest deadline, and the least
// work, since each group counts alike.
func compareGroups(a, b *group) int {
	x, y := a.job, b.job
	switch {
	case a.required != b.required:
		return compareFirst(a.required, b.required)
	case a.begun != b.begun:
		return compareFirst(a.begun, b.begun)
	case x != y:
		return cmp.Or(
			cmp.Compare(x.Rules.Priority, y.Rules.Priority),
			x.Deadline().Compare(y.Deadline()),
			cmp.Compare(a.work, b.work),
			cmp.Compare(x.ID, y.ID),
		)
	case a.work != b.work:
		return cmp.Compare(a.work, b.work)
	}
	return cmp.Compare(a.entries[0].Item.ID, b.entries[0].Item.ID)
}

// compareFirst orders what has a property before what has not.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareWaiting orders waiting items: those of models that are not short, and then the
// others, by the order of shortage.
func compareWaiting(a, b *Entry) int {
	x, y := a.Job.short, b.Job.short
	switch {
	case x != y:
		return compareFirst(y, x)
	case x:
		return compareShort(a, b)
	}
	return compareEntries(a, b)
}

// compareShort orders waiting items of short models: groups that can be whole in time
// before the others, by their turns, and within a group the longest item first.
func compareShort(a, b *Entry) int {
	switch x, y := a.group, b.group; {
	case x.late != y.late:
		return compareFirst(y.late, x.late)
	case x.turn != y.turn:
		return cmp.Compare(x.turn, y.turn)
	}
	return cmp.Or(cmp.Compare(b.remaining(), a.remaining()), cmp.Compare(a.Item.ID, b.Item.ID))
}
