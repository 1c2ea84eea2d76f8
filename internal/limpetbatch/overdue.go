package limpetbatch

import (
	"slices"
	"time"

	"limpetmount.org/internal/limpetsite"
)

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
	typical := l.typicalPace(now)
	spare := l.spare(view, typical, now)
	var cut, late []*Run
	for _, g := range l.fleet {
		silent, slow := false, g.slow(typical, now)
		for _, r := range g.runs {
			switch {
			case now.Sub(r.last) > g.patience(r, typical):
				r.silent = true
				cut = append(cut, r)
				silent = silent || g.loading == ""
			case slow && r.Entry.moves < movesMost && now.Sub(r.started) > movePaceAfter:
				late = append(late, r)
			}
		}
		if silent {
			g.failed(now)
		}
	}
	// What a trainer waits for and what is longest gets the places first.
	slices.SortFunc(late, func(a, b *Run) int { return order(a.Entry, b.Entry) })
	cut = append(cut, late[:min(max(spare, 0), len(late))]...)
	for _, r := range cut {
		r.Entry.avoid = r.Server.ID
		r.Entry.moves++
		l.detach(r)
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
	for _, g := range l.fleet {
		if view.Takes(g.server.ID) && !now.Before(g.until) && g.loading == "" && !g.slow(typical, now) {
			n += max(0, g.server.Slots-len(g.runs))
		}
	}
	for _, j := range l.line {
		for _, e := range j.entries {
			if e.phase == waiting && e.group.must {
				n--
			}
		}
	}
	return n
}
