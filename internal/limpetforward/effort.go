package limpetforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetbalance"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// An effort is what is done for one request until it has its answer.
type effort struct {
	forwarder *Forwarder
	request   *Request
	route     *limpetsite.Route
	account   *limpetsite.Account
	service   string
	ends      time.Time

	tried map[string]bool
	// sent counts attempts that may have run; refused those that did not.
	sent, refused int
	// failures counts answers of 500.
	failures int
	counted  bool
	open     int
	results  chan result
	group    *limpettask.Group
	cancels  []context.CancelFunc
	// failure is the last failing answer of a server, kept in case that no
	// other server does better.
	failure *limpetupstream.Reply
}

// A result is the end of one attempt.
type result struct {
	server *limpetsite.Server
	reply  *limpetupstream.Reply
	err    error
	took   time.Duration
	// abandoned attempts were ended by this VM.
	abandoned bool
}

const (
	// hedgeShare is the part of a route's goal after which an idempotent
	// request without an answer is sent to another server too.
	hedgeShare = 0.45
	hedgeLeast = 40 * time.Millisecond
	// hedgeSpare is the time that must be left for a second attempt.
	hedgeSpare = 30 * time.Millisecond
	// loserGrace is how long the slower attempt of two may go on, so that
	// short work is not broken off.
	loserGrace = 250 * time.Millisecond
	// refusals bounds the servers that may refuse a request.
	refusals = 6
)

func (e *effort) run(ctx context.Context) Answer {
	waiting, cancel := context.WithDeadline(ctx, e.ends)
	defer cancel()
	e.group = limpettask.New(context.WithoutCancel(ctx))
	e.results = make(chan result, refusals+e.attempts()+1)
	reply, reason := e.race(waiting)
	e.settle(reason)
	if reply != nil {
		if reply.Events != nil && e.route.Repeatable() {
			e.resumable(reply)
		}
		return Answer{Reason: Served, Reply: reply, Failures: e.failures}
	}
	return Answer{Reason: reason, RetryAfter: e.retryAfter(reason), Failures: e.failures}
}

func (e *effort) retryAfter(reason Reason) time.Duration {
	if reason == Busy {
		return busyRetry
	}
	return unservedRetry
}

func (e *effort) attempts() int {
	if e.route.Attempts > 0 {
		return e.route.Attempts
	}
	return defaultAttempts
}

// race sends the request until one attempt brings an answer.
func (e *effort) race(ctx context.Context) (*limpetupstream.Reply, Reason) {
	if !e.launch() {
		return nil, NoServer
	}
	hedge := time.NewTimer(e.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, e.expired(ctx)
		case <-hedge.C:
			if e.mayHedge() {
				e.launch()
			}
		case r := <-e.results:
			e.open--
			reply, again := e.judge(r)
			if reply != nil {
				return reply, Served
			}
			if (again && e.launch()) || e.open > 0 {
				continue
			}
			return e.exhausted()
		}
	}
}

func (e *effort) hedgeDelay() time.Duration {
	return max(hedgeLeast, time.Duration(hedgeShare*float64(e.route.Goal)))
}

func (e *effort) mayHedge() bool {
	return e.route.Kind == limpetsite.Idempotent && e.route.Goal > 0 && e.sent < e.attempts() &&
		e.forwarder.Now().Add(hedgeSpare).Before(e.ends)
}

// expired answers for a request whose time is over or whose caller left.
func (e *effort) expired(ctx context.Context) Reason {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CallerGone
	case e.sent > 0:
		return TimedOut
	default:
		return Expired
	}
}

// exhausted answers for a request that no server is left to try.
func (e *effort) exhausted() (*limpetupstream.Reply, Reason) {
	switch {
	case e.failure != nil:
		return e.failure, Served
	case e.sent > 0 && !e.forwarder.Now().Before(e.ends):
		// The attempt ended with the request's time, and may be seen first.
		return nil, TimedOut
	case e.sent > 0:
		return nil, Failed
	case e.refused > 0:
		return nil, Busy
	default:
		return nil, NoServer
	}
}

// launch starts the next attempt, and reports whether there was a server.
func (e *effort) launch() bool {
	f := e.forwarder
	now := f.Now()
	remaining := e.ends.Sub(now)
	if e.sent >= e.attempts() || e.refused > refusals || remaining <= 0 {
		return false
	}
	server := f.Tracker.Choose(f.View().Servers(e.service), f.Zone, func(id string) bool { return e.tried[id] }, now)
	if server == nil {
		return false
	}
	e.tried[server.ID] = true
	e.sent++
	e.open++
	call := e.call(server, remaining)
	// The attempt outlives a caller's request by loserGrace at most.
	attempt, cancel := context.WithDeadline(e.group.Context(), e.ends)
	e.cancels = append(e.cancels, cancel)
	e.group.Go(func(context.Context) error {
		reply, err := f.Peer.Send(attempt, call)
		e.results <- result{server: server, reply: reply, err: err, took: f.Now().Sub(now), abandoned: attempt.Err() != nil}
		return nil
	})
	return true
}

func (e *effort) call(server *limpetsite.Server, remaining time.Duration) limpetupstream.Call {
	r := e.request
	c := limpetupstream.Call{
		Server: server, ID: r.ID, Method: r.Method, Target: r.Target, Host: r.Host,
		Header: r.Header, Body: r.Body, Remaining: remaining, After: r.After, Priority: -1,
	}
	if e.account != nil {
		c.Account = e.account.Name
	}
	return c
}

// judge decides on the end of an attempt: the answer for the caller, or
// whether another server may be tried.
func (e *effort) judge(r result) (reply *limpetupstream.Reply, again bool) {
	f := e.forwarder
	now := f.Now()
	if r.err != nil {
		never := limpeterror.Is(r.err, limpeterror.Unavailable)
		if never {
			e.sent--
			e.refused++
		} else {
			e.began(r, now)
		}
		f.Tracker.Done(r.server.ID, limpetbalance.Broken, r.took, nil, now)
		f.Log.Emit(limpetlog.AttemptFailed, limpetlog.Request(e.request.ID), limpetlog.Server(r.server.ID), limpetlog.Error(r.err))
		return nil, never || e.route.Repeatable()
	}
	if r.reply.NotRun {
		r.reply.Close()
		e.sent--
		e.refused++
		outcome := limpetbalance.Refused
		if r.reply.Misdirected {
			outcome = limpetbalance.Broken
		}
		f.Tracker.Done(r.server.ID, outcome, r.took, r.reply.Load, now)
		return nil, true
	}
	e.began(r, now)
	if r.reply.Status >= http.StatusInternalServerError {
		f.Tracker.Done(r.server.ID, limpetbalance.Broken, r.took, r.reply.Load, now)
		e.failure = r.reply
		if r.reply.Status == http.StatusInternalServerError {
			e.failures++
		}
		return nil, e.route.Repeatable()
	}
	f.Tracker.Done(r.server.ID, limpetbalance.Answered, r.took, r.reply.Load, now)
	return r.reply, false
}

// began counts the request once for the usage of its account. The start is
// estimated by when the attempt was sent.
func (e *effort) began(r result, now time.Time) {
	if e.counted || e.account == nil || e.forwarder.Began == nil {
		return
	}
	e.counted = true
	e.forwarder.Began(e.account.Name, now.Add(-r.took))
}

// settle ends the attempts that are still open. When the request was served,
// they may end by themselves for a short time first, so that short work is
// not broken off.
func (e *effort) settle(reason Reason) {
	open := e.open
	if open == 0 {
		return
	}
	grace := loserGrace
	if reason != Served {
		grace = 0
	}
	e.group.Go(func(context.Context) error {
		timer := time.NewTimer(grace)
		defer timer.Stop()
		for open > 0 {
			select {
			case r := <-e.results:
				open--
				e.drop(r)
			case <-timer.C:
				for _, cancel := range e.cancels {
					cancel()
				}
			}
		}
		return nil
	})
}

// drop records the end of an attempt whose answer is not needed.
func (e *effort) drop(r result) {
	now := e.forwarder.Now()
	outcome, load := limpetbalance.Broken, (*limpetupstream.Load)(nil)
	switch {
	case r.err == nil:
		outcome, load = limpetbalance.Answered, r.reply.Load
		r.reply.Close()
	case r.abandoned:
		outcome = limpetbalance.Abandoned
	}
	if !limpeterror.Is(r.err, limpeterror.Unavailable) && (r.err != nil || !r.reply.NotRun) {
		e.began(r, now)
	}
	e.forwarder.Tracker.Done(r.server.ID, outcome, r.took, load, now)
}
