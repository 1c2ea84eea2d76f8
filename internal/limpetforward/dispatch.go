package limpetforward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetqueue"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// A dispatch is the state of one request from its first attempt until it is
// answered.
type dispatch struct {
	forwarder *Forwarder
	request   *Request
	route     *limpetsite.Route
	account   *limpetsite.Account
	service   string
	deadline  time.Time
	// crashes knows the requests that crash servers; nil for requests that are
	// owed whatever crashes under them.
	crashes *limpetcrash.Book
	// yields is set for requests of the system itself, which can wait for a server
	// longer than those of callers.
	yields bool
	// broken counts the attempts that ended without a complete answer.
	broken int
	// quarantined is set once the request was found to be quarantined, until
	// quarantineEnd.
	quarantined   bool
	quarantineEnd time.Time
	// trial is set if the request is quarantined and sent nevertheless.
	trial bool
	// limited is set if no server was available but those at their limit, one of
	// which takes a request at limitEnd.
	limited  bool
	limitEnd time.Time

	tried map[string]bool
	// allSilent is set if none of the servers took connections when the last one was
	// chosen.
	allSilent bool
	// open holds the attempts without a result. Replaced is how many attempts more than
	// the limit may run, for those at servers that take no connections, and replacements
	// the number of attempts that were started for such ones.
	open                   []*openAttempt
	replaced, replacements int
	// refusers are the servers that refused the request since it waited last for its
	// turn, which it did waits times for waited. The last wait ended with decision;
	// inOrder is set if it got a place.
	refusers []string
	waits    int
	waited   time.Duration
	decision limpetqueue.Decision
	inOrder  bool
	// sent counts the attempts that may have run; refused counts those that
	// did not.
	sent, refused int
	// failures counts replies with status 500.
	failures int
	// counted is set once the request is counted towards its account's usage.
	counted atomic.Bool
	// results brings the results of the attempts in open.
	results chan result
	// group runs the attempts. Its context does not end with the caller's; abandon ends it.
	group   *limpettask.Group
	abandon context.CancelFunc
	// server is the one whose reply was used last, and respondedAt when that
	// began.
	server      *limpetsite.Server
	respondedAt time.Time
	// software is set once the request's stream may go on only at servers of it.
	software limpetsite.Software
	// sender is the server that was chosen to begin the request's stream; zero if an
	// earlier attempt began it.
	sender limpetorigin.Sender
	// origin identifies the request's stream for callers that come back for the rest
	// of it; 0 if they cannot. It was recorded last at originRecordedAt.
	origin           limpetorigin.Stream
	originRecordedAt time.Time
	// lastFailure is the last reply with a server error, which the caller gets
	// if no other server does better.
	lastFailure *limpetupstream.Reply
}

const (
	// hedgeFraction is the fraction of a route's latency goal after which an
	// unanswered idempotent request is also sent to a second server.
	hedgeFraction = 0.45
	minHedgeDelay = 40 * time.Millisecond
	// minHedgeTime is the least time before the deadline at which a second
	// attempt is still started.
	minHedgeTime = 30 * time.Millisecond
)

func (d *dispatch) run(ctx context.Context) Answer {
	requestCtx, cancel := context.WithDeadline(ctx, d.deadline)
	defer cancel()
	attemptsCtx, abandon := context.WithCancel(context.WithoutCancel(ctx))
	d.group, d.abandon = limpettask.New(attemptsCtx), abandon
	d.results = make(chan result, maxRefusals+d.attemptLimit()+maxReplaced+1)
	reply, reason := d.awaitReply(requestCtx)
	d.finishOpenAttempts(reason)
	if reply != d.lastFailure {
		d.keepFailure(nil)
	}
	if reply != nil {
		if reply.Events != nil {
			d.followStream(ctx, reply)
		}
		return Answer{Reason: Served, Reply: reply, Failures: d.failures, waited: d.waited}
	}
	a := Answer{Reason: reason, RetryAfter: d.retryAfter(reason), Failures: d.failures, waited: d.waited, decision: d.decision}
	a.Turn = reason == Busy && d.decision.Kept
	if reason == Quarantined {
		a.Fingerprint = d.fingerprint()
	}
	return a
}

func (d *dispatch) retryAfter(reason Reason) time.Duration {
	switch reason {
	case Busy:
		if d.decision.Cause != "" {
			return d.decision.RetryAfter
		}
		return busyRetryAfter
	case UnknownOrigin:
		return unknownRetryAfter
	case Stopping:
		return StoppingRetryAfter
	case Quarantined:
		return max(0, d.quarantineEnd.Sub(d.forwarder.Now()))
	case Limited:
		return spread(max(minLimitedRetryAfter, d.limitEnd.Sub(d.forwarder.Now())))
	default:
		return noServerRetryAfter
	}
}

// attemptLimit returns the largest number of attempts that may run.
func (d *dispatch) attemptLimit() int {
	if d.route.Attempts > 0 {
		return d.route.Attempts
	}
	return defaultAttempts
}

// awaitReply sends the request to servers until one of them replies or none is
// left to try.
func (d *dispatch) awaitReply(ctx context.Context) (*limpetupstream.Reply, Reason) {
	d.claimTrial(ctx)
	if !d.startAttempt(ctx, first) {
		return d.outcome(ctx)
	}
	hedge := time.NewTimer(d.hedgeDelay())
	defer hedge.Stop()
	watch := time.NewTimer(d.suspectDelay())
	defer watch.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, d.expired(ctx)
		case <-hedge.C:
			if d.mayHedge() {
				d.startAttempt(ctx, hedged)
			}
		case <-watch.C:
			d.watchAttempts(ctx)
			watch.Reset(watchInterval)
		case r := <-d.results:
			d.closeAttempt(r)
			reply, retry := d.handleResult(ctx, r)
			if reply != nil {
				return reply, Served
			}
			if (retry && d.startAttempt(ctx, retried)) || len(d.open) > 0 {
				continue
			}
			return d.outcome(ctx)
		}
	}
}

func (d *dispatch) hedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeFraction*float64(d.route.LatencyGoal)))
}

func (d *dispatch) mayHedge() bool {
	return d.route.Kind == limpetsite.Idempotent && d.route.LatencyGoal > 0 && d.sent < d.attemptLimit() &&
		d.forwarder.Now().Add(minHedgeTime).Before(d.deadline) && d.verdict() == limpetcrash.Clear
}

// expired returns the reason for a request whose context ended: its deadline
// passed, the VM is being stopped, or its caller disconnected.
func (d *dispatch) expired(ctx context.Context) Reason {
	stopping := errors.Is(context.Cause(ctx), limpeterror.ErrStopping)
	switch {
	case stopping && d.sent == 0:
		return Stopping
	case !stopping && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CallerGone
	case d.sent > 0:
		return TimedOut
	default:
		return Expired
	}
}

// outcome returns the outcome of a request that is not sent to any further server.
func (d *dispatch) outcome(ctx context.Context) (*limpetupstream.Reply, Reason) {
	if ctx.Err() != nil && (d.expired(ctx) == CallerGone || (d.waits > 0 && d.sent == 0)) {
		return nil, d.expired(ctx)
	}
	return d.exhausted()
}

// exhausted returns the outcome of a request for which no server is left to
// try.
func (d *dispatch) exhausted() (*limpetupstream.Reply, Reason) {
	switch {
	case d.lastFailure != nil:
		return d.lastFailure, Served
	case d.sent > 0 && !d.forwarder.Now().Before(d.deadline):
		// The attempt may fail at the request's deadline before the deadline
		// itself is noticed.
		return nil, TimedOut
	case d.sent > 0:
		return nil, Failed
	case d.quarantined:
		return nil, Quarantined
	case d.decision.Cause != "":
		return nil, Busy
	case d.limited:
		return nil, Limited
	case d.refused > 0:
		return nil, Busy
	default:
		return nil, NoServer
	}
}
