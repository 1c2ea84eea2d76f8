// Package limpetqueue orders the plain requests of a service with the same homes on one
// VM while their servers are short of capacity: by rank with a floor, by fair shares of accounts, and
// by deadline. It refuses at once what cannot be served in time. It knows neither
// servers nor connections: a request brings functions that take a place at a server
// and say what this VM knows of them. Orders and floors are those of limpetadmission.
package limpetqueue

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetadmission"
	"limpetmount.org/internal/limpetbalancer"
	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpetconfig"
)

const (
	// maxWaiting and maxAccountWaiting bound the requests that wait for one service, in
	// all and of one account. Each costs the VM some 10 KB beside its body.
	maxWaiting        = 1024
	maxAccountWaiting = 256
	// shortMemory is how long after the last request that waited all requests of a
	// service are counted, so that the floor holds over short gaps in the shortage.
	shortMemory = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delays of refused requests.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minShareRate is the least rate, in requests a second, at which a VM begins
	// requests whatever its published share: it asks a server before it refuses.
	minShareRate = 0.5
	// shareBurst is the time for which an unused share may be used later.
	shareBurst = 100 * time.Millisecond
	// OwnRank is the rank of the system's own requests, below those of all callers.
	OwnRank = math.MaxInt32
)

// A Share is what this VM may use of a service, as the director publishes it.
type Share = limpetcapacity.Share

// A Request is what the order of a request depends on.
type Request struct {
	Account string
	// Rank is the request's priority; 0 is the highest.
	Rank int
	// Key identifies the request in its caller's repetitions.
	Key uint64
	// Deadline is when the caller ceases to wait for the answer.
	Deadline time.Time
	// Owed requests are refused only for bounds and at their deadline.
	Owed bool
	// Again is set if the request was let through before and refused by its server.
	Again bool
	// Narrow is set if the request may not go to some of the servers that others of its
	// queue may go to.
	Narrow bool
	// Take takes a place at a server and reports whether there was one.
	Take func() bool
	// TakeShown is Take among the servers that have just reported a free slot. Those are
	// used whatever the published share, which may be out of date. It may be nil.
	TakeShown func() bool
	// Room returns what this VM knows of the service's servers.
	Room func() limpetbalancer.Room
	// Share returns the VM's published share.
	Share func() Share
}

// A Cause says why a request is refused.
type Cause string

const (
	// ExpectedWait is longer than the request can wait.
	ExpectedWait Cause = "expected_wait"
	// NotDue requests come back before the turn that they were told.
	NotDue Cause = "not_due"
	// AccountBound is reached if too many requests of the account wait.
	AccountBound Cause = "account_bound"
	// ServiceBound is reached if too many requests of all accounts wait.
	ServiceBound Cause = "service_bound"
	// TooLate requests have waited until there was too little time to run.
	TooLate Cause = "too_late"
)

// A Decision is what becomes of a request, with its inputs.
type Decision struct {
	// Taken is set if the request has a place at a server. Unordered requests, whose
	// servers are not full but fail, have none and need not wait for one.
	Taken, Unordered bool
	// Cause is set if the request is refused. RetryAfter is its turn then, and Kept is
	// set if a place is kept for it.
	Cause      Cause
	RetryAfter time.Duration
	Kept       bool
	// Expected and Left are the expected wait and the time that was left to wait.
	Expected, Left time.Duration
	// Ahead is the number of requests that were expected to be served before, and
	// Rate that of requests begun a second.
	Ahead, Rate float64
	Waiting     int
	Room        limpetbalancer.Room
	Share       Share
	// token is set if the request used a token of the published share.
	token bool
}

// A waiter is a queued request.
type waiter struct {
	entry   limpetadmission.Entry
	request *Request
	// latest is when the request leaves the queue.
	latest   time.Time
	granted  chan struct{}
	decision Decision
}

// A Queue orders the requests of one service with the same homes. It is safe for concurrent use.
type Queue struct {
	now func() time.Time
	// waiting is the number of queued requests, and shortUntil when a shortage counts
	// as ended, in nanoseconds. They are read without the lock.
	waiting    atomic.Int32
	shortUntil atomic.Int64
	// leader holds a token, which the waiting request takes that serves the queue.
	leader, changed chan struct{}

	mu      sync.Mutex
	ranked  *limpetadmission.Ranked
	pace    pace
	tickets tickets
	// tokens are requests that the published share allows at tokensAt, at most
	// maxTokens.
	tokens, maxTokens float64
	tokensAt          time.Time
}

// New returns an empty queue.
func New(now func() time.Time) *Queue {
	q := &Queue{now: now, leader: make(chan struct{}, 1), changed: make(chan struct{}, 1), ranked: limpetadmission.NewRanked(), tickets: newTickets()}
	q.leader <- struct{}{}
	return q
}

// Calm reports whether no request waits or has waited just now, so that a request may
// pass if a server has room.
func (q *Queue) Calm(now time.Time) bool {
	return q.waiting.Load() == 0 && now.UnixNano() >= q.shortUntil.Load()
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// Changed says that a server may have room now.
func (q *Queue) Changed() {
	if q.waiting.Load() == 0 {
		return
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// TakeBack says that the server refused a request that was let through by a decision.
func (q *Queue) TakeBack(d Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pace.takeBack()
	if d.token {
		q.tokens = min(q.maxTokens, q.tokens+1)
	}
}

// decide lets a request pass, refuses it or queues it, in which case it returns its
// waiter.
func (q *Queue) decide(r *Request) (Decision, *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.pace.advance(now, q.ranked.Waiting() > 0)
	if !r.Again {
		q.ranked.CountArrival(r.Rank, now)
	}
	free := q.ranked.Waiting() == 0
	if !free && r.Room().Free {
		// Those that wait go first. The others are full for them.
		q.serveWaiting(now)
		free = true
	}
	d := Decision{Taken: true}
	if free && q.take(r, &d, now) {
		q.ranked.CountServed(r.Rank, now)
		q.tickets.take(r.Key)
		return d, nil
	}
	d = Decision{Room: r.Room(), Share: r.Share(), Waiting: q.ranked.Waiting()}
	if !d.Room.Free && d.Room.Failing {
		return Decision{Unordered: true, Room: d.Room}, nil
	}
	return q.admit(r, d, now)
}

// admit queues a request that cannot be served now, or refuses it.
func (q *Queue) admit(r *Request, d Decision, now time.Time) (Decision, *waiter) {
	usual := min(d.Room.Usual, r.Deadline.Sub(now)/2)
	d.Left = r.Deadline.Sub(now) - usual
	d.Rate = q.rate(d)
	d.Ahead = q.ahead(r, now.Add(d.Left))
	d.Expected = max(duration((d.Ahead+1)/d.Rate), d.Room.Next.Sub(now))
	order := r.Deadline
	ticket := q.tickets.get(r.Key, now)
	switch {
	case q.ranked.Waiting() >= maxWaiting:
		return q.refuse(r, d, ServiceBound, now), nil
	case ticket == nil && q.ranked.WaitingOf(r.Rank, r.Account) >= maxAccountWaiting:
		return q.refuse(r, d, AccountBound, now), nil
	case r.Owed || r.Again:
	case ticket != nil && ticket.due.Sub(now) > d.Left && d.Expected > d.Left && !(d.Room.Free && !d.Share.Short):
		d.Cause, d.Expected, d.RetryAfter, d.Kept = NotDue, ticket.due.Sub(now), retryAfter(ticket.due.Sub(now)), true
		return d, nil
	case ticket != nil:
		order = ticket.due
	case d.Expected > d.Left && !q.knowsTooLittle(d):
		return q.refuse(r, d, ExpectedWait, now), nil
	}
	q.tickets.take(r.Key)
	w := &waiter{
		entry:   limpetadmission.Entry{Account: r.Account, Class: limpetconfig.Live, Weight: 1, Cost: 1, Deadline: order},
		request: r, latest: now.Add(d.Left), granted: make(chan struct{}), decision: d,
	}
	w.entry.Owner = w
	q.ranked.Push(r.Rank, &w.entry)
	q.waiting.Store(int32(q.ranked.Waiting()))
	q.shortUntil.Store(now.Add(shortMemory).UnixNano())
	return d, w
}

// ahead estimates how many requests are served before a new one: those that wait, and
// those that come back by a time.
func (q *Queue) ahead(r *Request, by time.Time) float64 {
	waiting := q.ranked.WaitingOf(r.Rank, r.Account)
	return q.ranked.Ahead(r.Rank, r.Account) + q.tickets.ahead(r.Rank, r.Account, waiting, by)
}

// knowsTooLittle reports whether the request has to ask a server, since no other one
// does: none waits, and only a guess says that it waits too long. A server that has
// room contradicts the guess unless the published share holds the request back.
func (q *Queue) knowsTooLittle(d Decision) bool {
	return (d.Room.Free && !d.Share.Short) || d.Waiting == 0 && d.Room.Next.Sub(q.now()) <= d.Left
}

// rate returns the requests a second that are expected to be begun.
func (q *Queue) rate(d Decision) float64 {
	if d.Share.Short {
		return max(d.Share.Rate, minShareRate)
	}
	return max(q.pace.rate(d.Room.Capacity), minRate)
}

// refuse refuses a request and keeps a place for it at its turn.
func (q *Queue) refuse(r *Request, d Decision, cause Cause, now time.Time) Decision {
	turn := duration((q.ahead(r, now.Add(maxRetryAfter)) + 1) / d.Rate)
	d.Cause, d.RetryAfter = cause, retryAfter(max(d.Expected, d.Share.Wait, turn))
	d.Kept = q.tickets.issue(&ticket{key: r.Key, rank: r.Rank, account: r.Account, due: now.Add(d.RetryAfter)}, now)
	return d
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// duration returns a time in seconds as a duration that does not overflow.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxExpected.Seconds()) * float64(time.Second))
}

const maxExpected = time.Hour

// mayBegin reports whether the published share allows a request now.
func (q *Queue) mayBegin(s Share, now time.Time) bool {
	if !s.Short {
		q.tokens, q.maxTokens, q.tokensAt = 1, 1, now
		return true
	}
	rate := max(s.Rate, minShareRate)
	q.maxTokens = max(1, rate*shareBurst.Seconds())
	q.tokens = min(q.maxTokens, q.tokens+rate*max(0, now.Sub(q.tokensAt).Seconds()))
	q.tokensAt = now
	return q.tokens >= 1
}

// take takes a place for a request at a server, if it may begin and there is one.
func (q *Queue) take(r *Request, d *Decision, now time.Time) bool {
	share := r.Share()
	switch may := q.mayBegin(share, now); {
	case may && r.Take():
		if share.Short {
			q.tokens--
			d.token = true
		}
	case !may && r.TakeShown != nil && r.TakeShown():
	default:
		return false
	}
	d.Taken = true
	q.pace.begin()
	return true
}

// serve lets queued requests through while servers have room. It returns how long it
// need not be called again unless something changes.
func (q *Queue) serve() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.pace.advance(now, q.ranked.Waiting() > 0)
	return q.serveWaiting(now)
}

// serveWaiting is serve at a time. The caller holds the lock.
func (q *Queue) serveWaiting(now time.Time) time.Duration {
	defer func() { q.waiting.Store(int32(q.ranked.Waiting())) }()
	for {
		e := q.ranked.Next(now)
		if e == nil {
			return maxInterval
		}
		w := e.Owner.(*waiter)
		if q.grant(w, now) {
			continue
		}
		q.ranked.Return(w.request.Rank, e)
		if !w.request.Narrow || !q.serveOther(w, now) {
			return q.interval(w, now)
		}
	}
}

// grant lets a request go if a server has room for it, or if none is full.
func (q *Queue) grant(w *waiter, now time.Time) bool {
	if q.take(w.request, &w.decision, now) {
		close(w.granted)
		return true
	}
	if room := w.request.Room(); !room.Free && room.Failing {
		w.decision = Decision{Unordered: true, Room: room}
		close(w.granted)
		return true
	}
	return false
}

// serveOther lets one of the next requests go instead of the first one, whose servers
// are full. It stops at the first one that all servers are open to.
func (q *Queue) serveOther(first *waiter, now time.Time) bool {
	for _, e := range q.ranked.Heads(maxLooks) {
		w := e.Owner.(*waiter)
		if w == first {
			continue
		}
		if q.grant(w, now) {
			q.ranked.Serve(w.request.Rank, e)
			return true
		}
		if !w.request.Narrow {
			return false
		}
	}
	return false
}

// interval returns how long the first request need not be looked at.
func (q *Queue) interval(w *waiter, now time.Time) time.Duration {
	share := w.request.Share()
	next := w.request.Room().Next.Sub(now)
	if share.Short && q.tokens < 1 {
		next = duration((1 - q.tokens) / max(share.Rate, minShareRate))
	}
	return min(max(next, minInterval), maxInterval)
}

// maxLooks bounds the requests that are looked at while the first one cannot be served.
// A look goes over all servers of the service.
const maxLooks = 8

const (
	// minInterval and maxInterval bound the time between two looks at the servers while
	// requests wait: servers may come and go without a word to the queue.
	minInterval = 2 * time.Millisecond
	maxInterval = 50 * time.Millisecond
)

// leave removes a request from the queue, unless it was let through.
func (q *Queue) leave(w *waiter) (left bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	left = q.ranked.Remove(w.request.Rank, &w.entry)
	q.waiting.Store(int32(q.ranked.Waiting()))
	q.shortUntil.Store(q.now().Add(shortMemory).UnixNano())
	return left
}
