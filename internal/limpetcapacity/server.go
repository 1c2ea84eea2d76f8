package limpetcapacity

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one answer in the mean time of answers.
	latencyWeight = 0.03
	// minSamples is the number of answers from which on a mean can be the best one:
	// the best of many means of few answers is far below the mean.
	minSamples = 40
	// latencyTolerance is how much longer than at best an answer may take before the
	// limit is cut: 2 is where a server that works on its requests in turn would be
	// with as many waiting as running.
	latencyTolerance = 2
	// maxLatencyRatio bounds what one observation can say of the latency, since the
	// VM that reports it may itself have been slow.
	maxLatencyRatio = 3
	// bestHalfLife is the time in which the best latency moves half the way to the
	// present one, so that longer requests are not taken for a slower server forever.
	bestHalfLife = 30 * time.Second
	// cutFactor and probeStep change the limit, at most once in adjustInterval.
	cutFactor      = 0.9
	probeStep      = 1
	adjustInterval = 200 * time.Millisecond
	// probeOccupancy is the part of the limit that must be in use before it is
	// raised: a limit that is not reached says nothing.
	probeOccupancy = 0.8
	// unknownSlots bounds the limit of a server that names no slots.
	unknownSlots = 64
	// useTime is the time over which the requests at a server are averaged. A VM that
	// acts on a view half a second later must not chase what has changed by then.
	useTime = 300 * time.Millisecond
	// factorWeight is the weight of one report in the smoothed factor.
	factorWeight = 0.1
	// loadRetention is how long a load header says something of what is in use.
	loadRetention = 2 * time.Second
)

// A server is the account of one server.
type server struct {
	known Known
	// limit is the learned number of concurrent requests.
	limit float64
	// latency is the mean time that the server works on a request, without waiting,
	// and best the shortest one; 0 if unknown.
	latency, best time.Duration
	factor        float64
	// running and waiting are those of the newest load header, which is of loadAt, and
	// use is their smoothed sum.
	running, waiting   float64
	use                float64
	loadAt             time.Time
	sampledAt          time.Time
	samples            int
	adjustedAt         time.Time
	refusedSinceAdjust bool
	// published is the view as it was published last; nil if it is not.
	published *ServerView
}

func newServer(k Known) *server { return &server{known: k, limit: slotsOf(k)} }

func slotsOf(k Known) float64 {
	if k.Slots <= 0 {
		return unknownSlots
	}
	return float64(k.Slots)
}

// record takes an observation into account.
func (s *server) record(o Observation, now time.Time) {
	s.recordLoad(o, now)
	if o.Answered > 0 && o.Latency > 0 {
		s.recordLatency(o, now)
	}
	if o.Factor > 0 {
		if s.factor == 0 {
			s.factor = 1
		}
		s.factor += factorWeight * (o.Factor - s.factor)
	}
	// A full server that refuses says only that others were faster.
	if o.Refused > o.RefusedFull {
		s.refusedSinceAdjust = true
	}
	s.adjust(now)
}

func (s *server) recordLoad(o Observation, now time.Time) {
	at := now.Add(-o.Age)
	if o.Slots <= 0 || !at.After(s.loadAt) {
		return
	}
	weight := 1 - math.Exp(-float64(at.Sub(s.loadAt))/float64(useTime))
	s.running, s.waiting, s.loadAt = float64(o.Running), float64(o.Waiting), at
	s.use += weight * (s.running + s.waiting - s.use)
}

// recordLatency takes the time of answers into account. By Little's law, the time
// that requests wait at the server is to that of the work on them as their numbers.
func (s *server) recordLatency(o Observation, now time.Time) {
	latency := o.Latency
	if o.Running > 0 && o.Waiting > 0 {
		latency = time.Duration(float64(latency) * float64(o.Running) / float64(o.Running+o.Waiting))
	}
	if s.latency > 0 {
		latency = min(latency, maxLatencyRatio*s.latency)
	}
	s.samples += o.Answered
	weight := max(1-math.Pow(1-latencyWeight, float64(o.Answered)), float64(o.Answered)/float64(s.samples))
	s.latency += time.Duration(weight * float64(latency-s.latency))
	switch {
	case s.samples < minSamples:
	case s.best == 0 || s.latency <= s.best:
		s.best = s.latency
	default:
		kept := math.Exp2(-float64(now.Sub(s.sampledAt)) / float64(bestHalfLife))
		s.best = s.latency - time.Duration(kept*float64(s.latency-s.best))
	}
	s.sampledAt = now
}

// adjust changes the limit by what was observed: multiplicative decrease,
// additive increase.
func (s *server) adjust(now time.Time) {
	if now.Sub(s.adjustedAt) < max(adjustInterval, s.latency) {
		return
	}
	s.adjustedAt = now
	inUse := s.inUse(now)
	switch {
	case s.refusedSinceAdjust:
		s.limit = max(1, cutFactor*s.limit)
	case s.best > 0 && s.latency > latencyTolerance*s.best && inUse > 1:
		if s.limit == 1 {
			// One request at a time is as fast as the server gets.
			s.best = s.latency
		}
		s.limit = max(1, cutFactor*s.limit)
	case inUse >= probeOccupancy*s.limit:
		s.limit = min(slotsOf(s.known), s.limit+probeStep)
	}
	s.refusedSinceAdjust = false
}

// inUse returns how many requests the server has.
func (s *server) inUse(now time.Time) float64 {
	if now.Sub(s.loadAt) > loadRetention {
		return 0
	}
	return s.use
}

// rate returns the requests a second that the server takes, by Little's law.
func (s *server) rate(typical time.Duration) float64 {
	latency := s.latency
	if latency == 0 {
		latency = typical
	}
	if latency <= 0 || s.known.Draining {
		return 0
	}
	rate := s.limit / latency.Seconds()
	if s.known.Rate > 0 {
		rate = min(rate, s.known.Rate)
	}
	return rate
}

func (s *server) view(now time.Time) ServerView {
	v := ServerView{Server: s.known.Server, Limit: s.limit, InUse: s.inUse(now), Latency: s.latency}
	if !s.loadAt.IsZero() {
		v.Age = now.Sub(s.loadAt)
	}
	return v
}
