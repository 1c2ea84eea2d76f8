package limpetbatch

import (
	"maps"
	"slices"
	"time"

	"limpetmount.org/internal/limpetsite"
)

const (
	// firstEventTimeout bounds the time to the first event of a run.
	firstEventTimeout = 700 * time.Millisecond
	// minEventTimeout and eventTimeoutIntervals bound the time between events:
	// the larger of the two applies, the second one in typical intervals.
	minEventTimeout       = 350 * time.Millisecond
	eventTimeoutIntervals = 8
	// loadingAllowance is added to these while the engine changes the weights of
	// the run's model.
	loadingAllowance = 2500 * time.Millisecond
	// maxReportDelay is how late the report of another VM may be on the events of its
	// runs. A VM that reports nothing for longer is replaced.
	maxReportDelay = 400 * time.Millisecond
	// maxMoves is the number of moves after which an item stays on a slow engine.
	maxMoves = 6
	// minRunBeforeMove is how long a run must last before it moves away from a
	// slow engine.
	minRunBeforeMove = 250 * time.Millisecond
)

// DetachOverdue detaches runs whose events have timed out, and runs on engines that are
// much slower than usual, as far as other engines have spare slots where they are
// complete earlier. The caller must cancel the
// runs returned; their items wait again and continue where their text ends.
func (s *Scheduler) DetachOverdue(view *limpetsite.Snapshot, now time.Time) []*Run {
	typical := s.typicalIntervals(now)
	var detached []*Run
	slowRuns := map[string][]*Run{}
	s.examined += uint64(len(s.busy))
	for _, g := range s.busy {
		timedOut, slow := false, g.slow(typical, now)
		for _, r := range g.runs {
			switch {
			case r.silence(now) > g.eventTimeout(r, typical.of(g)):
				r.timedOut = true
				detached = append(detached, r)
				timedOut = timedOut || g.loading == ""
			case slow && r.Entry.moves < maxMoves && now.Sub(r.started) > minRunBeforeMove:
				slowRuns[g.server.Service] = append(slowRuns[g.server.Service], r)
			}
		}
		if timedOut {
			g.eject(now)
		}
	}
	gains := func(r *Run, to *engine) bool { return s.gainsAt(r, to, typical, now) }
	for _, service := range slices.Sorted(maps.Keys(slowRuns)) {
		// Required and longer items get the spare slots first.
		runs := slowRuns[service]
		slices.SortFunc(runs, func(a, b *Run) int { return compareEntries(a.Entry, b.Entry) })
		detached = append(detached, s.movable(runs, s.spareSlots(service, len(runs), view, typical, now), gains, view, now)...)
	}
	for _, r := range detached {
		r.Entry.avoidEngine = r.Server.ID
		r.Entry.moves++
		s.detach(r)
	}
	return detached
}

// silence returns for how long an engine is known to have sent nothing for a run. What
// another VM has not reported yet is not known, for up to maxReportDelay: that VM may
// be slow, and not the engine.
func (r *Run) silence(now time.Time) time.Duration {
	known := now
	if !r.reportedAt.IsZero() {
		known = r.reportedAt
		if earliest := now.Add(-maxReportDelay); known.Before(earliest) {
			known = earliest
		}
	}
	return known.Sub(r.lastActivity)
}

// SetReported records that another VM, which reads the run's events, has reported all
// of them up to a time.
func (r *Run) SetReported(at time.Time) { r.reportedAt = at }

// eventTimeout returns how long a run may go without activity.
func (g *engine) eventTimeout(r *Run, typical time.Duration) time.Duration {
	limit := max(minEventTimeout, eventTimeoutIntervals*typical)
	if r.events == 0 {
		limit = max(firstEventTimeout, limit)
	}
	if g.changes(r.Entry.Job.Model) {
		limit += loadingAllowance
	}
	return limit
}

// spareSlots returns the number of free slots on engines of a service that are not
// slow, less the number of required items that wait for a slot there, and at most
// limit.
func (s *Scheduler) spareSlots(service string, limit int, view *limpetsite.Snapshot, typical typicalIntervals, now time.Time) int {
	n := 0
	for _, j := range s.jobsByArrival {
		if j.runsAt(service) {
			n -= j.countWaiting((*Entry).Required)
		}
	}
	for _, g := range s.enginesByID {
		if n >= limit {
			return limit
		}
		s.examined++
		if g.server.Service == service && view.AcceptsWork(g.server.ID) && !now.Before(g.ejectedUntil) && g.loading == "" && !g.slow(typical, now) {
			n += max(0, g.server.Slots-len(g.runs))
		}
	}
	return max(0, min(n, limit))
}
