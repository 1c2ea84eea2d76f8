package limpetbatch

import (
	"slices"
	"time"

	"limpetmount.org/internal/limpetlot"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

const errored = limpetlot.Errored

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

const (
	// firstEvent is how long an engine may take to begin.
	firstEvent = 700 * time.Millisecond
	// betweenLeast and betweenPaces bound the time between events.
	betweenLeast  = 350 * time.Millisecond
	betweenPaces  = 8
	loadingExtra  = 2500 * time.Millisecond
	movesMost     = 6
	movePaceAfter = 250 * time.Millisecond
)

// Overdue gives up runs that are silent for too long, or much slower than
// they would be at another engine with a place. The runs returned are to be
// broken off; their items wait again and go on where their text ends.
func (l *Ledger) Overdue(view *limpetsite.Snapshot, now time.Time) []*Run {
	var cut []*Run
	typical := l.typicalPace(now)
	spare := l.spare(view, typical, now)
	for _, g := range l.engines {
		silent := false
		for r := range g.runs {
			if now.Sub(r.last) > g.patience(r, typical) {
				r.Entry.avoid = g.server.ID
				r.Entry.moves++
				silent = silent || g.loading == ""
				l.detach(r)
				cut = append(cut, r)
				continue
			}
			if !g.slow(typical, now) || r.Entry.moves >= movesMost || now.Sub(r.started) <= movePaceAfter {
				continue
			}
			if spare > 0 {
				spare--
				r.Entry.avoid = g.server.ID
				r.Entry.moves++
				l.detach(r)
				cut = append(cut, r)
			}
		}
		if silent {
			g.failed(now)
		}
	}
	return cut
}

func (g *engine) patience(r *Run, typical time.Duration) time.Duration {
	limit := max(betweenLeast, betweenPaces*typical)
	if r.events == 0 {
		limit = max(firstEvent, limit)
	}
	if g.loading == r.Entry.Job.Model {
		limit += loadingExtra
	}
	return limit
}

// spare returns the number of places at engines that are not slow, beyond
// what waits for them.
func (l *Ledger) spare(view *limpetsite.Snapshot, typical time.Duration, now time.Time) int {
	n := 0
	for _, g := range l.engines {
		if view.Takes(g.server.ID) && !now.Before(g.until) && g.loading == "" && !g.slow(typical, now) {
			n += max(0, g.server.Slots-len(g.runs))
		}
	}
	for _, j := range l.jobs {
		for _, e := range j.entries {
			if e.phase == waiting && e.group.must {
				n--
			}
		}
	}
	return n
}

// A Reward is a reward call that is due.
type Reward struct {
	Entry  *Entry
	Scorer *limpetlot.Scorer
}

const (
	rewardPause = 150 * time.Millisecond
)

// Rewards returns the reward calls that are due, and marks them as under way.
func (l *Ledger) Rewards(now time.Time) []Reward {
	var due []Reward
	for _, j := range l.jobs {
		for _, e := range j.entries {
			if e.phase == unscored && !now.Before(e.rewardAt) {
				e.phase = scoring
				due = append(due, Reward{Entry: e, Scorer: e.Item.Scorer})
			}
		}
	}
	slices.SortFunc(due, func(a, b Reward) int { return order(a.Entry, b.Entry) })
	return due
}

// Scored takes the end of a reward call: the seal of a good answer, or the
// number of failing ones. An entry whose calls failed as often as allowed is
// errored; Scored reports whether it is.
func (l *Ledger) Scored(e *Entry, seal string, failures, allowed int, now time.Time) bool {
	if e.phase != scoring {
		return false
	}
	if seal != "" {
		e.text.score = seal
		l.settle(e, limpetlot.Completed)
		return false
	}
	e.rewards += failures
	if e.rewards >= max(allowed, 1) {
		l.settle(e, errored)
		return true
	}
	e.phase = unscored
	e.rewardAt = now.Add(rewardPause)
	return false
}
