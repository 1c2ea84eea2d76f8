package limpetbatch

import (
	"slices"
	"time"
)

const (
	// intervalSmoothing is the weight of a new sample in the mean interval.
	intervalSmoothing = 0.15
	// intervalMaxAge is how long a measured interval counts, and so how long
	// a slow engine is kept from new work.
	intervalMaxAge = 2500 * time.Millisecond
	// slowRatio is the ratio of an engine's interval to the typical one above
	// which the engine gets no new work.
	slowRatio = 2.0
)

// typicalIntervals holds the typical time between two events of a run, by service.
// Services may run on machines of different kinds, so that an engine says something
// of those of its own service only.
type typicalIntervals map[string]time.Duration

// of returns the typical interval of an engine's service; 0 if it is unknown.
func (t typicalIntervals) of(g *engine) time.Duration { return t[g.server.Service] }

// recordInterval adds the time since the run's last event to the engine's average.
func (s *Scheduler) recordInterval(g *engine, r *Run, now time.Time) {
	if r.events == 0 || g.loading != "" {
		return
	}
	sample := now.Sub(r.lastActivity)
	if g.interval == 0 || now.Sub(g.intervalAt) > intervalMaxAge {
		g.interval = sample
	} else {
		g.interval += time.Duration(intervalSmoothing * float64(sample-g.interval))
	}
	g.intervalAt = now
	if !g.measured {
		g.measured = true
		s.measured = append(s.measured, g)
	}
}

// typicalIntervals returns the lower tercile of the recently measured intervals of
// each service that has any. Unlike a mean or a median, it remains typical of healthy
// engines while many engines are slow.
func (s *Scheduler) typicalIntervals(now time.Time) typicalIntervals {
	s.measured = slices.DeleteFunc(s.measured, func(g *engine) bool {
		g.measured = now.Sub(g.intervalAt) < intervalMaxAge && s.engines[g.server.ID] == g
		return !g.measured
	})
	s.examined += uint64(len(s.measured))
	intervals := map[string][]time.Duration{}
	for _, g := range s.measured {
		if g.interval > 0 {
			intervals[g.server.Service] = append(intervals[g.server.Service], g.interval)
		}
	}
	typical := typicalIntervals{}
	for service, of := range intervals {
		slices.Sort(of)
		typical[service] = of[len(of)/3]
	}
	return typical
}

// slow reports whether an engine was recently measured to be much slower than
// the others of its service.
func (g *engine) slow(typical typicalIntervals, now time.Time) bool {
	return typical.of(g) > 0 && g.interval > 0 && now.Sub(g.intervalAt) < intervalMaxAge &&
		float64(g.interval) > slowRatio*float64(typical.of(g))
}

// suspect reports whether an engine failed or was much slower than the others of its
// service when it was last used. However long ago that was, it gets a single run as a
// probe first.
func (g *engine) suspect(typical typicalIntervals) bool {
	return g.failures > 0 || (typical.of(g) > 0 && float64(g.interval) > slowRatio*float64(typical.of(g)))
}
