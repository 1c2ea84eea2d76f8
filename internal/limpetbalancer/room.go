package limpetbalancer

import (
	"time"

	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// maxFullAge is how long a server is taken to be full after its last report of
	// that, at most. Each server is asked again after this time, since other VMs may
	// have stopped to send to it.
	maxFullAge = 300 * time.Millisecond
	// refusalAge is how long a server is taken to be full after a refusal without a
	// load.
	refusalAge = minEjection / 4
	// stuckFactor and minStuck tell an attempt that was abandoned while it waited from
	// one that ran: it took this many times the usual service time, and at least
	// minStuck.
	stuckFactor = 8
	minStuck    = 250 * time.Millisecond
)

// A Room says whether one of several servers has room for a request.
type Room struct {
	// Free is set if a server has room, or if this VM does not know that it has none.
	// The other fields are set if it is not.
	Free bool
	// Failing is set if no server is full: all of them are ejected after failures.
	Failing bool
	// Next is when a server is expected to have room.
	Next time.Time
	// Capacity is the number of requests a second that the servers are estimated to run
	// for all VMs, and Usual the mean time until they answer one.
	Capacity float64
	Usual    time.Duration
	// Servers is the number of servers, and Age that of the newest load they reported.
	Servers int
	Age     time.Duration
}

// Room returns whether a server that is not excluded has room.
func (t *Tracker) Room(servers []*limpetsite.Server, exclude func(id string) bool, now time.Time) Room {
	t.mu.Lock()
	defer t.mu.Unlock()
	room, usual := Room{Failing: true, Age: loadMaxAge}, time.Duration(0)
	for _, s := range servers {
		if exclude(s.ID) {
			continue
		}
		v := t.get(s.ID)
		room.Servers++
		usual += v.decayedLatency(now)
		room.Capacity += float64(slotsOf(s)) / v.serviceTime().Seconds()
		if now.Before(v.failedUntil) {
			continue
		}
		at := v.freeAt(s, now)
		if !at.After(now) {
			return Room{Free: true}
		}
		if room.Next.IsZero() || at.Before(room.Next) {
			room.Next = at
		}
		room.Failing = false
		room.Age = min(room.Age, now.Sub(v.loadAt))
	}
	if room.Servers > 0 {
		room.Usual = usual / time.Duration(room.Servers)
	}
	return room
}

// ChooseWithin is Choose among servers that are expected to have room within a time; if
// it is 0, among those that are not known to be full now.
func (t *Tracker) ChooseWithin(servers []*limpetsite.Server, zone string, exclude func(id string) bool, within time.Duration, now time.Time) *limpetsite.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choose(servers, zone, func(s *limpetsite.Server) bool {
		if exclude(s.ID) {
			return false
		}
		v := t.get(s.ID)
		if within <= 0 {
			return !v.freeAt(s, now).After(now)
		}
		return v.wait(s, now) <= within
	}, now)
}

// ChooseShown is Choose among servers whose last load, of the last maxFullAge, shows a
// free slot.
func (t *Tracker) ChooseShown(servers []*limpetsite.Server, zone string, exclude func(id string) bool, now time.Time) *limpetsite.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choose(servers, zone, func(s *limpetsite.Server) bool {
		v := t.servers[s.ID]
		return v != nil && now.Sub(v.loadAt) < maxFullAge && v.excess(s, now) <= 0 && !v.freeAt(s, now).After(now) && !exclude(s.ID)
	}, now)
}

// OthersWait returns how long a request in flight waits at a server for others, as far as
// this VM knows; 0 if the server has reported no load lately.
func (t *Tracker) OthersWait(s *limpetsite.Server, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.get(s.ID)
	if now.Sub(v.loadAt) >= loadMaxAge {
		return 0
	}
	before := v.others + v.inFlight - slotsOf(s)
	return time.Duration(max(0, before)) * v.serviceTime() / time.Duration(slotsOf(s))
}

// Full reports whether a server has no free slot as far as this VM knows, or has shown
// that lately.
func (t *Tracker) Full(s *limpetsite.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.get(s.ID)
	reported := now.Sub(v.loadAt) < loadMaxAge && v.others+v.inFlight > slotsOf(s)
	return reported || now.Sub(v.refusedAt) < loadMaxAge
}

// Overdue reports whether an attempt took much longer than servers work on a request.
func (t *Tracker) Overdue(servers []*limpetsite.Server, took time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	total, known := time.Duration(0), 0
	for _, s := range servers {
		if v := t.get(s.ID); v.service > 0 {
			total += v.service
			known++
		}
	}
	return known > 0 && took >= max(minStuck, stuckFactor*total/time.Duration(known))
}

// slotsOf returns a server's slots, of which it has at least one.
func slotsOf(s *limpetsite.Server) int { return max(s.Slots, 1) }

// serviceTime returns the usual time that the server works on a request, without the
// time that requests wait there.
func (v *stats) serviceTime() time.Duration {
	if v.service > 0 {
		return v.service
	}
	return priorLatency
}

// observeService takes an answer into account. The time that it took is shared with
// the requests that waited before it.
func (v *stats) observeService(load *limpetupstream.Load, took time.Duration) {
	sample := took
	if load != nil && load.Slots > 0 {
		sample = time.Duration(float64(took) / (1 + float64(load.Waiting)/float64(load.Slots)))
	}
	if v.service == 0 {
		v.service = sample
		return
	}
	v.service += time.Duration(latencyWeight * float64(sample-v.service))
}

// excess returns the number of requests that must end before the server has a free
// slot.
func (v *stats) excess(s *limpetsite.Server, now time.Time) int {
	n := v.inFlight
	if now.Sub(v.loadAt) < loadMaxAge {
		n += v.others
	}
	return n - slotsOf(s) + 1
}

// freeAt returns when the server is expected to have a free slot; a time that is not
// after now if it has one or if that is not known.
func (v *stats) freeAt(s *limpetsite.Server, now time.Time) time.Time {
	at := time.Time{}
	if now.Before(v.ejectedUntil) {
		at = v.ejectedUntil
	}
	if v.stuckAt.Add(maxFullAge).After(now) && v.stuckAt.Add(maxFullAge).After(at) {
		at = v.stuckAt.Add(maxFullAge)
	}
	excess := v.excess(s, now)
	if excess <= 0 {
		return at
	}
	step := max(time.Millisecond, v.serviceTime()/time.Duration(slotsOf(s)))
	if v.inFlight >= slotsOf(s) {
		// Only an answer shows that a slot is free.
		return maxTime(at, now.Add(step))
	}
	return maxTime(at, v.loadAt.Add(min(maxFullAge, time.Duration(excess)*step)))
}

// wait returns how long a request would wait at the server. Since its report, the
// server has worked on what it had then.
func (v *stats) wait(s *limpetsite.Server, now time.Time) time.Duration {
	excess := v.excess(s, now)
	if excess <= 0 {
		return 0
	}
	wait := time.Duration(excess) * v.serviceTime() / time.Duration(slotsOf(s))
	if v.inFlight < slotsOf(s) {
		wait -= now.Sub(v.loadAt)
	}
	return max(0, wait)
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
