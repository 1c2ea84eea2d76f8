package limpetbatch

import (
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

const errored = limpetjob.Errored

// HandleHeader handles the response header of a run, which names the engine's
// weight version. It reports whether the run may continue; if not, the caller
// must cancel it.
func (s *Scheduler) HandleHeader(r *Run, version int, now time.Time) bool {
	if r.detached {
		return false
	}
	r.gotHeader, r.lastActivity, r.respondedAt = true, now, now
	if g := s.engines[r.Server.ID]; g != nil && version > 0 {
		s.setVersion(g, r.Entry.Job.Model, version)
	}
	return s.checkVersion(r, version, now)
}

// checkVersion reports whether a run may continue under a weight version. If
// not, it detaches the run, and discards an on-policy text that would mix
// versions.
func (s *Scheduler) checkVersion(r *Run, version int, now time.Time) bool {
	e := r.Entry
	outdated := version < e.Job.MinVersion
	mixed := e.Job.Rules.OnPolicy && len(e.text.versions) > 0 && version != e.text.version
	if !outdated && !mixed {
		return true
	}
	if mixed {
		e.dropText()
	}
	s.detach(r)
	e.avoidEngine = r.Server.ID
	e.notBefore = now
	return false
}

// HandleEvent handles the next event of a run, generated under a weight
// version. It reports whether the run may continue; if not, the caller must
// cancel it.
func (s *Scheduler) HandleEvent(r *Run, event limpetupstream.Event, version int, now time.Time) bool {
	if r.detached {
		return false
	}
	e := r.Entry
	if event.ID != e.text.lastEvent+1 || !e.continuesAt(r.Software) {
		// A missing or repeated event, or one of other software than the rest of
		// the text: the stream cannot be used.
		s.detach(r)
		e.avoidEngine = r.Server.ID
		return false
	}
	if event.Version > 0 && !s.checkVersion(r, version, now) {
		return false
	}
	if e.text.bytes+limpetjob.EventBytes(event.Data) > limpetjob.MaxTextBytes {
		s.detach(r)
		before := e.work()
		e.dropText()
		s.recordWork(e, before)
		e.avoidEngine = r.Server.ID
		return false
	}
	if g := s.engines[r.Server.ID]; g != nil {
		s.recordInterval(g, r, now)
		s.recordTiming(r, g, now)
		g.failures = 0
		if event.Version > 0 {
			s.setVersion(g, e.Job.Model, version)
		}
	}
	if r.events == 0 {
		e.sources = append(e.sources, r)
	}
	r.events++
	r.lastActivity, e.heldSince = now, now
	e.interruptedRuns = 0
	before := e.work()
	e.text.add(event, r.Software, version)
	s.recordWork(e, before)
	e.Job.draftsDirty = true
	return true
}

// An Ending classifies the end of a run.
type Ending int

// The endings.
const (
	// Complete runs delivered the text up to its end.
	Complete Ending = iota
	// Interrupted runs ended without a response, or in the middle of the text.
	Interrupted
	// Rejected runs were rejected by an engine without a free slot.
	Rejected
	// Misdirected runs reached another engine or other weights than intended.
	Misdirected
	// Failed runs got a response with status 500.
	Failed
	// Unprocessable runs got a response with status 422.
	Unprocessable
)

const (
	// retryDelay is the delay of an item's next run after a response with status
	// 500.
	retryDelay = 30 * time.Millisecond
	// maxInterruptedRuns is the number of consecutive interrupted runs without
	// an event from which on an item waits before its next run, because engines
	// are in trouble. The wait begins with minInterruptionDelay and doubles up to
	// maxInterruptionDelay. It never ends the item: an item is owed, however
	// many engines crash under it.
	maxInterruptedRuns   = 3
	minInterruptionDelay = 100 * time.Millisecond
	maxInterruptionDelay = 800 * time.Millisecond
	// maxUnprocessable is the number of responses with status 422 after which
	// an item is errored.
	maxUnprocessable = 1
)

// HandleEnd handles the end of a run. It reports whether the entry needs no
// further run.
func (s *Scheduler) HandleEnd(r *Run, ending Ending, now time.Time) bool {
	if r.detached {
		return false
	}
	e := r.Entry
	g := s.engines[r.Server.ID]
	s.detach(r)
	e.notBefore = now
	switch ending {
	case Complete:
		s.recordRunTime(r.Server.Service, now.Sub(r.started))
		if len(e.text.versions) > 0 {
			before := e.work()
			s.complete(e, now)
			s.recordWork(e, before)
			return true
		}
		e.avoidEngine = r.Server.ID
	case Failed:
		e.failures++
		e.Job.draftsDirty = true
		e.avoidEngine = r.Server.ID
		e.notBefore = now.Add(retryDelay)
	case Unprocessable:
		e.unprocessable++
	case Rejected, Misdirected, Interrupted:
		s.avoidEngineAfter(e, r, ending, now)
		if g != nil {
			g.eject(now)
		}
	}
	if e.failures >= max(e.Job.Rules.MaxAttempts, 1) || e.unprocessable >= maxUnprocessable {
		s.settle(e, errored)
		return true
	}
	return false
}

// avoidEngineAfter makes the next run of an item avoid the engine of a run that
// was rejected, misdirected or interrupted. It delays an item whose runs are
// interrupted repeatedly.
func (s *Scheduler) avoidEngineAfter(e *Entry, r *Run, ending Ending, now time.Time) {
	e.avoidEngine = r.Server.ID
	if ending != Interrupted || r.events > 0 {
		return
	}
	e.interruptedRuns++
	if further := e.interruptedRuns - maxInterruptedRuns; further >= 0 {
		e.notBefore = now.Add(min(maxInterruptionDelay, minInterruptionDelay<<min(further, maxDelayDoublings)))
	}
}

// maxDelayDoublings keeps the doubled delay from overflowing.
const maxDelayDoublings = 8
