package limpetlimit

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// burstTime is how far ahead of an even spacing requests may be sent. In any 4 s
	// a server then gets at most 4.5 times its rate and one request.
	burstTime = 500 * time.Millisecond
	// lookInterval is how long a server may name a limit without being asked
	// again. One request is sent to it then, if there is one that may be: a server
	// that gets none could not say that the limit is over.
	lookInterval = 2 * time.Second
	// scheduleRetention is how long the schedule of a server without requests is
	// kept at least.
	scheduleRetention = 30 * time.Second
)

// A Ledger accounts for the requests to servers that are limited. It is safe for
// concurrent use.
type Ledger struct {
	// share is the part of each limit that may be used.
	share float64
	// coldShare is the part of the rate of each cold server that may be used.
	coldShare float64

	mu        sync.Mutex
	schedules map[string]*schedule
	prunedAt  time.Time
}

// A schedule says when a server takes its next request.
type schedule struct {
	// due is when the server could take the next request if it got all of them
	// evenly spaced.
	due time.Time
	// lastSent is when the last request was accounted for.
	lastSent time.Time
	// cold is set if the schedule is that of a cold server.
	cold bool
}

// NewLedger returns an empty ledger that hands out the given share of each
// server's limit.
func NewLedger(share float64) *Ledger {
	return &Ledger{share: share, coldShare: 1, schedules: map[string]*schedule{}}
}

// SetShare changes the share of each limit.
func (l *Ledger) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// interval returns the mean time between requests to a server. The caller holds
// the lock.
func (l *Ledger) interval(limit Limit) time.Duration {
	share := l.share
	if limit.Cold {
		share = l.coldShare
	}
	return time.Duration(float64(time.Second) / (limit.Rate * share))
}

// burst returns how far ahead of an even spacing requests to a server may be sent. The
// bound for cold servers leaves no room for that.
func burst(limit Limit) time.Duration {
	if limit.Cold {
		return 0
	}
	return burstTime
}

// delay returns the time until a server takes one more request. The caller holds
// the lock.
func (l *Ledger) delay(limit Limit, now time.Time) time.Duration {
	return max(0, l.schedule(limit, now).due.Sub(now)-burst(limit))
}

// schedule returns the schedule of a server. A new one has no requests saved, since
// an earlier director may have handed out permits. In a ledger with a share of
// the limits, the first request is due at a random time, so that the ledgers of
// many VMs do not send theirs at once. A server that turns cold gets nothing for
// coldWindow. The caller holds the lock.
func (l *Ledger) schedule(limit Limit, now time.Time) *schedule {
	a := l.schedules[limit.Server]
	if a == nil {
		a = &schedule{due: now.Add(burstTime), lastSent: now}
		if l.share < 1 {
			a.due = a.due.Add(time.Duration(rand.Float64() * float64(l.interval(limit))))
		}
		l.schedules[limit.Server] = a
	}
	if hold := now.Add(coldWindow); limit.Cold && !a.cold && a.due.Before(hold) {
		a.due = hold
	}
	a.cold = limit.Cold
	return a
}

// holdCold makes the schedules of cold servers begin anew.
func (l *Ledger) holdCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.schedules {
		a.cold = false
	}
}

// take accounts for one request. The caller holds the lock.
func (l *Ledger) take(limit Limit, now time.Time) {
	a := l.schedule(limit, now)
	if a.due.Before(now) {
		a.due = now
	}
	a.due = a.due.Add(l.interval(limit))
	a.lastSent = now
}

// Free reports whether a server takes a request now.
func (l *Ledger) Free(limit Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay(limit, now) == 0
}

// Take accounts for a request that is sent whether or not the server takes it.
func (l *Ledger) Take(limit Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(limit, now)
}

// Grant accounts for a request to that server of those given which takes one
// first, and returns the delay after which it must be sent. If all of them take
// longer than maxDelay, it returns an empty server and the time until one takes a
// request.
func (l *Ledger) Grant(limits []Limit, maxDelay time.Duration, now time.Time) (server string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	best := -1
	for n, limit := range limits {
		d := l.delay(limit, now)
		if limit.Cold && d > coldWindow {
			// A later permit could be used after another director began to hand them out.
			d = max(d, maxDelay+1)
		}
		if best < 0 || d < delay {
			best, delay = n, d
		}
	}
	if best < 0 || delay > maxDelay {
		return "", delay
	}
	l.take(limits[best], now)
	return limits[best].Server, delay
}

// longUnasked returns the limit of the server that was not asked for the longest
// time, if that is more than lookInterval.
func (l *Ledger) longUnasked(limits []Limit, now time.Time) []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest []Limit
	oldest := now.Add(-lookInterval)
	for _, limit := range limits {
		if limit.Cold {
			// It may be cold for other reasons than its own word, and asking does not tell.
			continue
		}
		asked := limit.At
		if a := l.schedules[limit.Server]; a != nil && a.lastSent.After(asked) {
			asked = a.lastSent
		}
		if asked.Before(oldest) {
			longest, oldest = []Limit{limit}, asked
		}
	}
	return longest
}

// prune drops the schedules of servers that got no request for long. The caller
// holds the lock.
func (l *Ledger) prune(now time.Time) {
	if now.Sub(l.prunedAt) < scheduleRetention {
		return
	}
	l.prunedAt = now
	for server, a := range l.schedules {
		if now.Sub(a.lastSent) > scheduleRetention && a.due.Before(now) {
			delete(l.schedules, server)
		}
	}
}
