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
	// minIllRatio is the ratio of an engine's interval to the typical one of its
	// service up to which it counts as sound, whatever its usual pace is. Event times
	// vary with the load, and the faster engines of a service are below the typical one.
	minIllRatio = 2.0
	// illChange is the ratio of an engine's interval to its usual one above which it
	// counts as ill if that is above minIllRatio.
	illChange = 1.5
	// maxSpread bounds the usual pace of an engine: engines of one service differ in
	// speed by up to three times. One that is slower counts as ill however long it has
	// been so.
	maxSpread = 3.0
	// maxIllRatio is the ratio above which every engine counts as ill.
	maxIllRatio = 1.25 * maxSpread
	// paceTime is how long an engine must have been busy for its usual pace to count
	// whatever that of other engines is. Illness is found well within it.
	paceTime = 3 * time.Second
	// paceSmoothing is the time in which the usual pace follows, and illSmoothing that
	// while the engine counts as ill: a machine that stays slower for good is no longer
	// taken for ill after about 20 s.
	paceSmoothing = 10 * time.Second
	illSmoothing  = 30 * time.Second
	// maxPaceSample bounds the time for which one event counts.
	maxPaceSample = 200 * time.Millisecond
	// minSpreadEngines is how many engines of a service must have been measured for
	// their spread to be known.
	minSpreadEngines = 8
	// spreadQuantile and spreadMargin define which pace is usual for the slower
	// engines of a service: one that a fifth of them has, or somewhat more.
	spreadQuantile = 0.8
	spreadMargin   = 1.25
)

// A pace is how an engine's intervals usually compare with the typical ones of its
// service.
type pace struct {
	// ratio is the mean ratio; 0 if unknown.
	ratio float64
	// busy is the time that it was learned from.
	busy time.Duration
	at   time.Time
}

// learn adds a ratio that was measured. ill tells that the engine counts as ill with it.
func (p *pace) learn(ratio float64, ill bool, now time.Time) {
	took := min(now.Sub(p.at), maxPaceSample)
	p.at = now
	if p.ratio == 0 {
		p.ratio, p.busy = ratio, 0
		return
	}
	window := min(p.busy+took, paceSmoothing)
	if ill && p.busy > 0 {
		window = illSmoothing
	}
	p.busy += took
	p.ratio += (ratio - p.ratio) * float64(took) / float64(max(window, time.Millisecond))
}

// A servicePace is the typical time between two events of a run at a service, and the
// usual ratio to it of the service's slower engines.
type servicePace struct {
	interval time.Duration
	spread   float64
}

// typicalIntervals holds the pace of each service. Services may run on machines of
// different kinds, so that an engine says something of those of its own service only.
type typicalIntervals map[string]servicePace

// of returns the typical interval of an engine's service; 0 if it is unknown.
func (t typicalIntervals) of(g *engine) time.Duration { return t[g.server.Service].interval }

// ratio returns the ratio of an engine's last interval to the typical one; 0 if one of
// them is unknown.
func (t typicalIntervals) ratio(g *engine) float64 {
	if typical := t.of(g); typical > 0 {
		return float64(g.interval) / float64(typical)
	}
	return 0
}

// illRatio returns the ratio above which an engine counts as ill. The usual pace of an
// engine that has not been busy for long counts only as far as other engines of its
// service have it, too, so that one that was ill from its start is found.
func (t typicalIntervals) illRatio(g *engine) float64 {
	usual := g.pace.ratio
	if g.pace.busy < paceTime {
		usual = min(usual, spreadMargin*t[g.server.Service].spread)
	}
	return min(max(illChange*min(usual, maxSpread), minIllRatio), maxIllRatio)
}

// ill reports whether an engine's last interval is much longer than its usual one.
func (t typicalIntervals) ill(g *engine) bool { return t.ratio(g) > t.illRatio(g) }

// expectedRatio returns the ratio of an engine's interval to the typical one that is
// expected now.
func (t typicalIntervals) expectedRatio(g *engine, now time.Time) float64 {
	switch {
	case t.of(g) > 0 && g.interval > 0 && now.Sub(g.intervalAt) < intervalMaxAge:
		return t.ratio(g)
	case g.pace.ratio > 0:
		return min(g.pace.ratio, maxSpread)
	}
	return 1
}

// expectedInterval returns the time between events that is expected on an engine now.
func (t typicalIntervals) expectedInterval(g *engine, now time.Time) time.Duration {
	typical := t.of(g)
	if typical <= 0 {
		typical = defaultInterval
	}
	return time.Duration(t.expectedRatio(g, now) * float64(typical))
}

// recordInterval adds the time since the run's last event to the engine's average.
func (s *Scheduler) recordInterval(g *engine, r *Run, now time.Time) {
	if r.events == 0 && g.loading == "" {
		s.recordPromptTime(r, now)
	}
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
	if ratio := s.typical.ratio(g); ratio > 0 {
		g.pace.learn(ratio, s.typical.ill(g), now)
	}
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
	intervals, ratios := map[string][]time.Duration{}, map[string][]float64{}
	for _, g := range s.measured {
		if g.interval > 0 {
			intervals[g.server.Service] = append(intervals[g.server.Service], g.interval)
		}
		if g.pace.ratio > 0 {
			ratios[g.server.Service] = append(ratios[g.server.Service], g.pace.ratio)
		}
	}
	s.typical = typicalIntervals{}
	for service, of := range intervals {
		slices.Sort(of)
		s.typical[service] = servicePace{interval: of[len(of)/3], spread: spreadOf(ratios[service])}
	}
	return s.typical
}

// spreadOf returns the usual ratio of the slower of some engines; 1 if they are few.
func spreadOf(ratios []float64) float64 {
	if len(ratios) < minSpreadEngines {
		return 1
	}
	slices.Sort(ratios)
	return max(1, ratios[int(spreadQuantile*float64(len(ratios)))])
}

// slow reports whether an engine was recently measured to be much slower than it
// usually is.
func (g *engine) slow(typical typicalIntervals, now time.Time) bool {
	return now.Sub(g.intervalAt) < intervalMaxAge && typical.ill(g)
}

// suspect reports whether an engine failed or was much slower than usual when it was
// last used. However long ago that was, it gets a single run as a probe first.
func (g *engine) suspect(typical typicalIntervals) bool { return g.failures > 0 || typical.ill(g) }

const (
	// defaultPromptTime is assumed for services at which no run had an event yet.
	defaultPromptTime = 100 * time.Millisecond
	// promptSmoothing is the weight of a new sample in the mean prompt time.
	promptSmoothing = 0.05
)

// recordPromptTime records the time from the start of a run to its first event, which
// a run that moves takes again. It is not known of runs that an earlier director
// started.
func (s *Scheduler) recordPromptTime(r *Run, now time.Time) {
	if r.respondedAt.IsZero() {
		return
	}
	took := min(now.Sub(r.started), firstEventTimeout)
	mean, known := s.promptTimes[r.Server.Service]
	if !known {
		mean = took
	}
	s.promptTimes[r.Server.Service] = mean + time.Duration(promptSmoothing*float64(took-mean))
}

// gainsAt reports whether a run is complete earlier if it moves from its engine to
// another one, where its prompt and text are read again first.
func (s *Scheduler) gainsAt(r *Run, to *engine, typical typicalIntervals, now time.Time) bool {
	from := s.engines[r.Server.ID]
	if from == nil {
		return true
	}
	prompt, known := s.promptTimes[to.server.Service]
	if !known {
		prompt = defaultPromptTime
	}
	rest := time.Duration(r.Entry.expectedEvents())
	return rest*typical.expectedInterval(from, now) > rest*typical.expectedInterval(to, now)+prompt
}

// expectedEvents estimates the number of events still to come. Texts that are longer
// than expected go on for a while.
func (e *Entry) expectedEvents() int {
	return max((e.remaining()+tokensPerEvent-1)/tokensPerEvent, e.text.lastEvent/4, 1)
}
