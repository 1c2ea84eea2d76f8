package limpetbatch

import (
	"cmp"
	"slices"
	"time"
)

// rankGroups chooses the groups that the trainer is expected to wait for: those
// resubmitted from an earlier job, then those whose longest item is shortest,
// because the trainer accepts any DesiredGroups groups.
func (j *Job) rankGroups() {
	groups := make([]*group, 0, len(j.groups))
	for _, g := range j.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int {
		if a.resubmitted != b.resubmitted {
			if a.resubmitted {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.maxSize, b.maxSize), cmp.Compare(a.entries[0].Item.ID, b.entries[0].Item.ID))
	})
	desired := j.DesiredGroups
	if desired <= 0 {
		desired = len(groups)
	}
	for n, g := range groups {
		g.required = n < desired
	}
}

// compareEntries orders waiting items: required items first, then by the
// priority and the deadline of the job. Within a job the longest items go
// first, because they bound when the job can be complete.
func compareEntries(a, b *Entry) int {
	if a.group.required != b.group.required {
		if a.group.required {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Job.Rules.Priority, b.Job.Rules.Priority),
		a.Job.Deadline().Compare(b.Job.Deadline()),
		cmp.Compare(b.remaining(), a.remaining()),
		cmp.Compare(a.Item.ID, b.Item.ID),
	)
}

// remaining estimates the number of tokens still to be generated, from the
// number of events that the text has.
func (e *Entry) remaining() int {
	return max(0, e.size()-e.text.lastEvent*tokensPerEvent)
}

// tokensPerEvent is the typical number of tokens in an event. It is only used
// for estimates.
const tokensPerEvent = 64

// readyEntries returns the items that may run now, in order of priority.
func (s *Scheduler) readyEntries(now time.Time) []*Entry {
	if s.queueStale {
		s.queue = s.queue[:0]
		for _, j := range s.jobsByArrival {
			if j.Rules.Withdrawn {
				continue
			}
			j.short = s.shortModels[j.Model]
			for _, e := range j.entries {
				if e.phase == waiting {
					s.queue = append(s.queue, e)
				}
			}
		}
		order := compareEntries
		if s.short {
			order = compareWaiting
		}
		slices.SortFunc(s.queue, order)
		s.queueStale = false
	}
	var ready []*Entry
	for _, e := range s.queue {
		if e.phase == waiting && !now.Before(e.notBefore) {
			ready = append(ready, e)
		}
	}
	return ready
}

// WaitingItems returns the number of items of a model that wait for an engine of a
// service.
func (s *Scheduler) WaitingItems(model, service string) int {
	n := 0
	for _, j := range s.jobsByArrival {
		if j.Model == model && j.runsAt(service) {
			n += j.countWaiting(func(*Entry) bool { return true })
		}
	}
	return n
}

// WaitingBeside returns the number of items that wait for engines which may run a job's
// items, too, those of the job included.
func (s *Scheduler) WaitingBeside(j *Job) int {
	n := 0
	for _, other := range s.jobsByArrival {
		if other.Model == j.Model && slices.ContainsFunc(j.split.services, other.runsAt) {
			n += other.countWaiting(func(*Entry) bool { return true })
		}
	}
	return n
}

// requiredWaiting returns the number of required items of a model that wait for an
// engine of a service.
func (s *Scheduler) requiredWaiting(model, service string) int {
	n := 0
	for _, j := range s.jobsByArrival {
		if j.Model == model && j.runsAt(service) {
			n += j.countWaiting((*Entry).Required)
		}
	}
	return n
}

// countWaiting returns the number of waiting items for which a condition holds.
func (j *Job) countWaiting(condition func(*Entry) bool) int {
	n := 0
	for _, e := range j.entries {
		if e.phase == waiting && condition(e) {
			n++
		}
	}
	return n
}

// RequiredVersion returns the oldest weight version of a model that all its open jobs
// at a service accept; 0 if there are none.
func (s *Scheduler) RequiredVersion(model, service string) int {
	need := 0
	for _, j := range s.jobsByArrival {
		if j.Model == model && j.runsAt(service) && !j.Complete() {
			need = max(need, j.MinVersion)
		}
	}
	return need
}

// ExpireItems settles items whose ItemTTL is over as errored. It returns them
// and their runs, which the caller must cancel.
func (s *Scheduler) ExpireItems(now time.Time) (expired []*Entry, detached []*Run) {
	for _, j := range s.jobsByArrival {
		if j.Rules.ItemTTL <= 0 || now.Before(j.Arrived.Add(j.Rules.ItemTTL+clockSkewAllowance)) {
			continue
		}
		for _, e := range j.entries {
			if e.phase >= settled {
				continue
			}
			if e.run != nil {
				detached = append(detached, e.run)
				s.detach(e.run)
			}
			s.settle(e, errored)
			expired = append(expired, e)
		}
		s.queueStale = true
	}
	return expired, detached
}

// clockSkewAllowance allows for clock differences between VMs.
const clockSkewAllowance = 500 * time.Millisecond
