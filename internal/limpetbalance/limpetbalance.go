// Package limpetbalance owns the choice of a backend server for a request
// from what this VM has seen of the servers: open requests, time to answer,
// failures and the load that answers tell.
package limpetbalance

import (
	"sync"
	"time"

	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// priorLatency is assumed of a server that has not answered yet.
	priorLatency = 30 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving mean.
	latencyWeight = 0.3
	// forgetLatency is the half-life of what is known of a server's latency.
	forgetLatency = 4 * time.Second
	// loadLife is how long a load that a server told counts.
	loadLife = time.Second
	// otherZone is the cost of a server in another availability zone.
	otherZone = 6 * time.Millisecond
	// coldConnection is the cost of a server without a recent request of this
	// VM: it needs a new connection, which costs the server more than a request.
	coldConnection = 20 * time.Millisecond
	// warmFor is a little shorter than connections are kept.
	warmFor    = 8500 * time.Millisecond
	ejectFirst = 400 * time.Millisecond
	ejectLast  = 6 * time.Second
)

type stats struct {
	open     int
	latency  time.Duration
	at       time.Time
	used     time.Time
	failures int
	until    time.Time
	load     limpetupstream.Load
	loadAt   time.Time
}

// A Tracker holds what this VM has seen of servers. It is safe for use by
// several goroutines.
type Tracker struct {
	mu      sync.Mutex
	servers map[string]*stats
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{servers: map[string]*stats{}} }

// Choose returns the best server of the list that is not excluded, and counts
// an open request at it; Done must be called. It returns nil when all are
// excluded.
func (t *Tracker) Choose(servers []*limpetsite.Server, zone string, exclude func(id string) bool, now time.Time) *limpetsite.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *limpetsite.Server
	var bestCost time.Duration
	bestEjected := false
	for _, s := range servers {
		if exclude(s.ID) {
			continue
		}
		v := t.get(s.ID)
		cost, ejected := v.cost(s, zone, now), now.Before(v.until)
		if best == nil || (bestEjected && !ejected) || (bestEjected == ejected && cost < bestCost) {
			best, bestCost, bestEjected = s, cost, ejected
		}
	}
	if best != nil {
		v := t.get(best.ID)
		v.open++
		v.used = now
	}
	return best
}

func (t *Tracker) get(id string) *stats {
	v := t.servers[id]
	if v == nil {
		v = &stats{latency: priorLatency}
		t.servers[id] = v
	}
	return v
}

// cost estimates the time to an answer.
func (v *stats) cost(s *limpetsite.Server, zone string, now time.Time) time.Duration {
	latency := v.expected(now)
	load := v.open
	if now.Sub(v.loadAt) < loadLife {
		load = max(load, v.load.Running+v.load.Waiting)
	}
	slots := max(s.Slots, 1)
	cost := latency + latency*time.Duration(load)/time.Duration(slots)
	if load >= slots {
		cost += latency * time.Duration(load-slots+1)
	}
	if s.Zone != zone {
		cost += otherZone
	}
	if now.Sub(v.used) > warmFor {
		cost += coldConnection
	}
	return cost
}

// expected returns the mean latency, which fades to the prior with its age.
func (v *stats) expected(now time.Time) time.Duration {
	excess := v.latency - priorLatency
	if age := now.Sub(v.at); age > 0 {
		excess = time.Duration(float64(excess) / (1 + float64(age)/float64(forgetLatency)))
	}
	return priorLatency + excess
}

// An Outcome says how an attempt ended, as far as it tells about the server.
type Outcome int

// The outcomes.
const (
	// Answered attempts got a whole answer.
	Answered Outcome = iota
	// Refused attempts were not run because the server is full.
	Refused
	// Broken attempts got no answer, or one that is not whole.
	Broken
	// Abandoned attempts were given up by this VM or the caller.
	Abandoned
)

// Done records the end of an attempt that Choose counted.
func (t *Tracker) Done(id string, outcome Outcome, took time.Duration, load *limpetupstream.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.get(id)
	v.open = max(0, v.open-1)
	if load != nil {
		v.load, v.loadAt = *load, now
	}
	switch outcome {
	case Answered:
		v.failures = 0
		v.until = time.Time{}
		v.sample(took, now)
	case Abandoned:
		// The answer takes at least this long.
		if took > v.expected(now) {
			v.sample(took, now)
		}
	case Refused:
		v.until = now.Add(ejectFirst / 4)
	case Broken:
		v.failures++
		v.until = now.Add(min(ejectLast, ejectFirst<<min(v.failures-1, 5)))
	}
}

func (v *stats) sample(took time.Duration, now time.Time) {
	mean := v.expected(now)
	v.latency = mean + time.Duration(latencyWeight*float64(took-mean))
	v.at = now
}

// Forget drops servers that no longer exist.
func (t *Tracker) Forget(exists func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, v := range t.servers {
		if v.open == 0 && !exists(id) {
			delete(t.servers, id)
		}
	}
}
