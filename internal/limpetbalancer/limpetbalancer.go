// Package limpetbalancer chooses a backend server for a request from what this
// VM has observed of the servers: requests in flight, latency, failures, and
// the load that responses report.
package limpetbalancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// priorLatency is assumed for a server without latency samples.
	priorLatency = 30 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.3
	// latencyHalfLife is the age at which a server's measured latency counts
	// half against priorLatency.
	latencyHalfLife = 4 * time.Second
	// loadMaxAge is how long the load that a server reported is used.
	loadMaxAge = time.Second
	// crossZoneCost is added for a server in another availability zone.
	crossZoneCost = 6 * time.Millisecond
	// newConnectionCost is added for a server that this VM has sent no request
	// to recently: a new connection costs the server more than a request.
	newConnectionCost = 20 * time.Millisecond
	// keepAliveTime is a little shorter than the time for which idle
	// connections are kept.
	keepAliveTime = 8500 * time.Millisecond
	// minEjection is how long a server is ejected after its first failure. The
	// time doubles with each consecutive failure, up to maxEjection.
	minEjection = 400 * time.Millisecond
	maxEjection = 6 * time.Second
)

type stats struct {
	inFlight  int
	latency   time.Duration
	sampledAt time.Time
	// samples counts the latest ones with at most latencyHalfLife between them.
	samples      int
	lastUsed     time.Time
	failures     int
	ejectedUntil time.Time
	// failedUntil is until when a failure counts: until the server answers or refuses
	// a request, or until the ejection for it ends.
	failedUntil time.Time
	load        limpetupstream.Load
	loadAt      time.Time
	// others is the number of requests of other VMs that the server had when it
	// reported its load.
	others int
	// service is the mean service time; 0 if there was no answer.
	service time.Duration
	// refusedAt is when the server refused a request last.
	refusedAt time.Time
	// stuckAt is when an attempt was abandoned last that seems to have waited at the
	// server.
	stuckAt time.Time
}

// A Tracker records what this VM has observed of servers. It is safe for
// concurrent use.
type Tracker struct {
	// facts holds what the director published of servers; nil if it publishes nothing.
	facts atomic.Pointer[map[string]limpetcapacity.ServerView]
	// Random draws a number in [0, 1). Tests replace it, to get the same choices in each
	// run.
	Random func() float64

	mu      sync.Mutex
	servers map[string]*stats
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{servers: map[string]*stats{}, Random: rand.Float64} }

// Choose returns the server with the lowest cost that is not excluded, and
// counts a request in flight to it; the caller must call Done. Servers that are
// ejected after a failure or a refusal are chosen only if all others are
// excluded. It returns nil if all servers are excluded.
func (t *Tracker) Choose(servers []*limpetsite.Server, zone string, exclude func(id string) bool, now time.Time) *limpetsite.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choose(servers, zone, func(s *limpetsite.Server) bool { return !exclude(s.ID) }, now)
}

// ChooseWithRoom is Choose among servers that have a free slot beyond the given
// share of their slots and are not ejected. It returns nil if there is none.
func (t *Tracker) ChooseWithRoom(servers []*limpetsite.Server, zone string, exclude func(id string) bool, reserve float64, now time.Time) *limpetsite.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choose(servers, zone, func(s *limpetsite.Server) bool { return !exclude(s.ID) && t.hasRoom(s, reserve, now) }, now)
}

// choose chooses among the servers that qualify. The caller holds the lock.
func (t *Tracker) choose(servers []*limpetsite.Server, zone string, qualifies func(*limpetsite.Server) bool, now time.Time) *limpetsite.Server {
	if facts := t.facts.Load(); facts != nil {
		if s := t.chooseByFacts(*facts, servers, zone, qualifies, now); s != nil {
			return t.begin(s, now)
		}
	}
	var best *limpetsite.Server
	var bestCost time.Duration
	bestEjected := false
	for _, s := range servers {
		if !qualifies(s) {
			continue
		}
		v := t.get(s.ID)
		cost, ejected := v.cost(s, zone, now), now.Before(v.ejectedUntil)
		if best == nil || (bestEjected && !ejected) || (bestEjected == ejected && cost < bestCost) {
			best, bestCost, bestEjected = s, cost, ejected
		}
	}
	if best == nil {
		return nil
	}
	return t.begin(best, now)
}

// begin counts a request in flight to a server. The caller holds the lock.
func (t *Tracker) begin(s *limpetsite.Server, now time.Time) *limpetsite.Server {
	v := t.get(s.ID)
	v.inFlight++
	v.lastUsed = now
	return s
}

// KeepWarm records that this VM has a connection to a server that was used for
// something other than a request.
func (t *Tracker) KeepWarm(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).lastUsed = now
}

// HasRoom reports whether a server that is not excluded has a free slot and is
// not ejected after a failure or a refusal.
func (t *Tracker) HasRoom(servers []*limpetsite.Server, exclude func(id string) bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(servers, func(s *limpetsite.Server) bool { return !exclude(s.ID) && t.hasRoom(s, 0, now) })
}

// hasRoom reports whether a server has a free slot beyond a share of its slots and
// is not ejected. The caller holds the lock.
func (t *Tracker) hasRoom(s *limpetsite.Server, reserve float64, now time.Time) bool {
	v, slots := t.get(s.ID), s.Slots
	load := v.currentLoad(now)
	if facts := t.facts.Load(); facts != nil {
		if f, known := (*facts)[s.ID]; known {
			load, slots = v.loadWith(f, now), slotsWith(s, f)
		}
	}
	usable := max(1, slots-int(reserve*float64(slots)))
	return load < usable && !now.Before(v.ejectedUntil)
}

func (t *Tracker) get(id string) *stats {
	v := t.servers[id]
	if v == nil {
		v = &stats{latency: priorLatency}
		t.servers[id] = v
	}
	return v
}

// cost estimates the time until the response.
func (v *stats) cost(s *limpetsite.Server, zone string, now time.Time) time.Duration {
	return v.costOf(s, zone, v.decayedLatency(now), v.currentLoad(now), max(s.Slots, 1), now)
}

// costOf is cost with the given latency, load and slots.
func (v *stats) costOf(s *limpetsite.Server, zone string, latency time.Duration, load, slots int, now time.Time) time.Duration {
	cost := latency + latency*time.Duration(load)/time.Duration(slots)
	if load >= slots {
		cost += latency * time.Duration(load-slots+1)
	}
	if s.Zone != zone {
		cost += crossZoneCost
	}
	if now.Sub(v.lastUsed) > keepAliveTime {
		cost += newConnectionCost
	}
	return cost
}

// currentLoad returns the number of requests that the server is known to have.
func (v *stats) currentLoad(now time.Time) int {
	if now.Sub(v.loadAt) < loadMaxAge {
		return max(v.inFlight, v.load.Running+v.load.Waiting)
	}
	return v.inFlight
}

// decayedLatency returns the average latency, which decays towards priorLatency
// with the age of the last sample.
func (v *stats) decayedLatency(now time.Time) time.Duration {
	excess := v.latency - priorLatency
	if age := now.Sub(v.sampledAt); age > 0 {
		excess = time.Duration(float64(excess) / (1 + float64(age)/float64(latencyHalfLife)))
	}
	return priorLatency + excess
}

// An Outcome says how an attempt ended, as far as it concerns the server.
type Outcome int

const (
	// Answered attempts received a complete response.
	Answered Outcome = iota
	// Refused attempts were not run because the server was full.
	Refused
	// Failed attempts received no response, or an incomplete one.
	Failed
	// Canceled attempts were cancelled by this VM or by the caller.
	Canceled
)

// Done records the end of an attempt that Choose counted.
func (t *Tracker) Done(id string, outcome Outcome, took time.Duration, load *limpetupstream.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.get(id)
	own := v.inFlight
	v.inFlight = max(0, v.inFlight-1)
	if load != nil {
		if outcome == Refused {
			// The server does not count a request that it refuses.
			own = v.inFlight
		}
		v.load, v.loadAt, v.others = *load, now, max(0, load.Running+load.Waiting-own)
	}
	switch outcome {
	case Answered:
		v.failures = 0
		v.ejectedUntil, v.failedUntil = time.Time{}, time.Time{}
		v.addSample(took, now)
		v.observeService(load, took)
		v.stuckAt = time.Time{}
	case Canceled:
		if v.service > 0 && took >= max(minStuck, stuckFactor*v.service) {
			v.stuckAt = now
		}
		// The elapsed time is a lower bound of the latency.
		if took > v.decayedLatency(now) {
			v.addSample(took, now)
		}
	case Refused:
		v.refusedAt, v.ejectedUntil, v.failedUntil = now, now.Add(refusalAge), time.Time{}
	case Failed:
		v.failures++
		v.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(v.failures-1, 5)))
		v.failedUntil = v.ejectedUntil
	}
}

func (v *stats) addSample(took time.Duration, now time.Time) {
	mean := v.decayedLatency(now)
	if now.Sub(v.sampledAt) > latencyHalfLife {
		v.samples = 0
	}
	v.samples++
	v.latency = mean + time.Duration(latencyWeight*float64(took-mean))
	v.sampledAt = now
}

// Forget drops servers that no longer exist and have no requests in flight.
func (t *Tracker) Forget(exists func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, v := range t.servers {
		if v.inFlight == 0 && !exists(id) {
			delete(t.servers, id)
		}
	}
}
