package limpetbatch

import (
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

const errored = limpetjob.Errored

// Head takes the version that an engine names at the start of a run. It
// reports whether the run may go on; otherwise it is to be broken off.
func (l *Ledger) Head(r *Run, version int, now time.Time) bool {
	if r.cut {
		return false
	}
	r.headed, r.last = true, now
	if g := l.engines[r.Server.ID]; g != nil && version > 0 {
		g.versions[r.Entry.Job.Model] = version
	}
	return l.fits(r, version, now)
}

// fits checks the version under which the run goes on.
func (l *Ledger) fits(r *Run, version int, now time.Time) bool {
	e := r.Entry
	old := version < e.Job.MinVersion
	mixed := e.Job.Rules.OnPolicy && len(e.text.versions) > 0 && version != e.text.version
	if !old && !mixed {
		return true
	}
	if mixed {
		e.text = text{}
	}
	l.detach(r)
	e.avoid = r.Server.ID
	e.notBefore = now
	return false
}

// Event takes the next event of a run made under a version. It reports
// whether the run may go on.
func (l *Ledger) Event(r *Run, event limpetupstream.Event, version int, now time.Time) bool {
	if r.cut {
		return false
	}
	e := r.Entry
	if event.ID != e.text.last+1 {
		// A gap or a repetition: this stream cannot be trusted.
		l.detach(r)
		e.avoid = r.Server.ID
		return false
	}
	if event.Version > 0 && !l.fits(r, version, now) {
		return false
	}
	if g := l.engines[r.Server.ID]; g != nil {
		g.paced(r, now)
		g.failures = 0
		if event.Version > 0 {
			g.versions[e.Job.Model] = version
		}
	}
	r.events++
	r.last = now
	e.broken = 0
	e.text.add(event, version)
	e.Job.undrafted = true
	return true
}

// paced takes the time since the run's last event as a sample.
func (g *engine) paced(r *Run, now time.Time) {
	if r.events == 0 || g.loading != "" {
		return
	}
	sample := now.Sub(r.last)
	if g.pace == 0 || now.Sub(g.paceAt) > paceLife {
		g.pace = sample
	} else {
		g.pace += time.Duration(paceWeight * float64(sample-g.pace))
	}
	g.paceAt = now
}

// An Ending says how a run ended.
type Ending int

// The endings.
const (
	// Whole runs delivered the text to its end.
	Whole Ending = iota
	// Broken runs ended without an answer, or in the middle of the text.
	Broken
	// NotRun runs were refused by a full engine.
	NotRun
	// Misdirected runs met another engine, or other weights.
	Misdirected
	// Failed runs were answered with 500.
	Failed
	// Impossible runs were answered with 422.
	Impossible
)

const (
	retryPause = 30 * time.Millisecond
	// brokenLeast is the number of runs in a row that break without an event
	// after which an item is held back, because it may be what breaks engines.
	brokenLeast = 3
	brokenPause = 4 * time.Second
	// impossibleMost is the number of answers of 422 that end an item.
	impossibleMost = 1
)

// Ended takes the end of a run. It reports whether the entry is settled.
func (l *Ledger) Ended(r *Run, ending Ending, now time.Time) bool {
	if r.cut {
		return false
	}
	e := r.Entry
	g := l.engines[r.Server.ID]
	l.detach(r)
	e.notBefore = now
	switch ending {
	case Whole:
		if len(e.text.versions) > 0 {
			l.complete(e, now)
			return true
		}
		e.avoid = r.Server.ID
	case Failed:
		e.failures++
		e.avoid = r.Server.ID
		e.notBefore = now.Add(retryPause)
	case Impossible:
		e.impossible++
	case NotRun, Misdirected, Broken:
		l.mishap(e, r, ending, now)
		if g != nil {
			g.failed(now)
		}
	}
	if e.failures >= max(e.Job.Rules.Attempts, 1) || e.impossible >= impossibleMost {
		l.settle(e, errored)
		return true
	}
	return false
}

func (l *Ledger) mishap(e *Entry, r *Run, ending Ending, now time.Time) {
	e.avoid = r.Server.ID
	if ending != Broken || r.events > 0 {
		return
	}
	e.broken++
	if e.broken >= brokenLeast {
		e.notBefore = now.Add(brokenPause)
	}
}
