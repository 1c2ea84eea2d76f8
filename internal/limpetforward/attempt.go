package limpetforward

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetbalancer"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// An openAttempt is an attempt without a result.
type openAttempt struct {
	server *limpetsite.Server
	sentAt time.Time
	// cancel ends the attempt, and the stream that it began.
	cancel context.CancelFunc
	// replaced is set once another attempt may be started in its place.
	replaced bool
}

// A result is the outcome of one attempt.
type result struct {
	server *limpetsite.Server
	reply  *limpetupstream.Reply
	err    error
	took   time.Duration
	// wait is how long the attempt was expected to wait at the server when it was sent.
	wait time.Duration
	// abandoned is set if this VM cancelled the attempt.
	abandoned bool
}

const (
	// losingAttemptGrace is how long the slower of two attempts may continue,
	// so that short work can complete instead of being cancelled.
	losingAttemptGrace = 250 * time.Millisecond
	// maxRefusals is the largest number of refusals of a request after which
	// another server is still tried.
	maxRefusals = 6
)

// startAttempt sends the request to the next server, and reports whether one
// was available. Nothing is sent once ctx has ended, also if it did while the server was
// chosen, which may take long: nobody waits for the answer.
func (d *dispatch) startAttempt(ctx context.Context, cause cause) bool {
	f := d.forwarder
	if ctx.Err() != nil || d.sent >= d.attemptLimit()+d.replaced || d.refused > maxRefusals+d.waits || !f.Now().Before(d.deadline) || !d.maySend() {
		return false
	}
	server := d.choose(ctx, cause)
	if server == nil {
		return false
	}
	now := f.Now()
	remaining := d.deadline.Sub(now)
	if remaining <= 0 || ctx.Err() != nil {
		f.Tracker.Done(server.ID, limpetbalancer.Canceled, 0, nil, now)
		return false
	}
	d.tried[server.ID] = true
	d.sent++
	f.Capacity.Started(d.service, server.ID, server.Incarnation)
	call := d.call(server, remaining)
	wait := f.Tracker.OthersWait(server, now)
	// The attempt continues for at most losingAttemptGrace after the caller's
	// request ends.
	attemptCtx, cancel := context.WithDeadline(d.group.Context(), d.deadline)
	d.open = append(d.open, &openAttempt{server: server, sentAt: now, cancel: cancel})
	results := d.results
	d.group.Go(func(context.Context) error {
		reply, err := f.Upstream.Send(attemptCtx, call)
		results <- result{server: server, reply: reply, err: err, took: f.Now().Sub(now), wait: wait, abandoned: attemptCtx.Err() != nil}
		return nil
	})
	return true
}

func (d *dispatch) call(server *limpetsite.Server, remaining time.Duration) limpetupstream.Call {
	r := d.request
	c := limpetupstream.Call{
		Server: server, Purpose: limpetupstream.ForRequest, ID: r.ID, Method: r.Method, Target: r.Target, Host: r.Host,
		Header: r.Header, Body: r.Body, Remaining: remaining, LastEventID: r.LastEventID, Priority: -1,
		Once: !d.route.Repeatable(), Homes: d.forwarder.View().CurrentHomes(d.route, d.account),
	}
	if d.yields {
		c.Purpose = limpetupstream.ForReward
	}
	if d.account != nil {
		c.Account = d.account.Name
	}
	return c
}

// handleResult processes the outcome of an attempt. It returns the reply for
// the caller, or reports whether another server may be tried.
func (d *dispatch) handleResult(ctx context.Context, r result) (reply *limpetupstream.Reply, retry bool) {
	f := d.forwarder
	now := f.Now()
	defer d.noteEnd(r)
	if r.err != nil {
		notRun := limpeterror.Is(r.err, limpeterror.Unavailable)
		if notRun {
			d.sent--
			d.refused++
		} else {
			d.countUsage(r, now)
		}
		d.ended(r.server, limpetbalancer.Failed, r.took, nil, now)
		d.recordBroken(ctx, r.server, r.err, 0)
		return nil, notRun || d.route.Repeatable()
	}
	if r.reply.NotRun {
		r.reply.Close()
		d.sent--
		d.refused++
		outcome := limpetbalancer.Refused
		if r.reply.Misdirected {
			outcome = limpetbalancer.Failed
		}
		d.ended(r.server, outcome, r.took, r.reply.Load, now)
		return nil, true
	}
	d.countUsage(r, now)
	if r.reply.Status >= http.StatusInternalServerError {
		d.ended(r.server, limpetbalancer.Failed, r.took, r.reply.Load, now)
		d.keepFailure(r.reply)
		if r.reply.Status == http.StatusInternalServerError {
			d.failures++
		}
		return nil, d.route.Repeatable()
	}
	d.ended(r.server, limpetbalancer.Answered, r.took, r.reply.Load, now)
	d.server, d.respondedAt = r.server, now
	if r.reply.Events == nil {
		d.recordServed(r.server, r.reply)
	}
	return r.reply, false
}

// keepFailure replaces the last reply with a server error, which is closed.
func (d *dispatch) keepFailure(reply *limpetupstream.Reply) {
	if d.lastFailure != nil {
		d.lastFailure.Close()
	}
	d.lastFailure = reply
}

// finishOpenAttempts cancels the attempts that are still in flight. If the
// request was served, they first get a short time to complete, so that short
// work is not cancelled. Their results are not mixed up with those of later attempts,
// by which a stream goes on.
func (d *dispatch) finishOpenAttempts(reason Reason) {
	open, results := d.open, d.results
	d.open, d.results = nil, make(chan result, cap(results))
	if len(open) == 0 {
		return
	}
	grace := losingAttemptGrace
	if reason != Served {
		grace = 0
	}
	d.group.Go(func(context.Context) error {
		timer := time.NewTimer(grace)
		defer timer.Stop()
		for left := len(open); left > 0; {
			select {
			case r := <-results:
				left--
				d.discard(r, reason)
			case <-timer.C:
				for _, a := range open {
					a.cancel()
				}
			}
		}
		return nil
	})
}

// discard records the outcome of an attempt whose reply is not needed, because the
// request has ended for the given reason.
func (d *dispatch) discard(r result, reason Reason) {
	now := d.forwarder.Now()
	outcome, load := limpetbalancer.Failed, (*limpetupstream.Load)(nil)
	switch {
	case r.err == nil:
		outcome, load = limpetbalancer.Answered, r.reply.Load
		r.reply.Close()
	case r.abandoned:
		outcome = limpetbalancer.Canceled
	}
	// What the server did under the attempt does not depend on whether its caller
	// still waited.
	if r.err != nil && reason != Served {
		d.recordBroken(d.group.Context(), r.server, r.err, 0)
	}
	if !limpeterror.Is(r.err, limpeterror.Unavailable) && (r.err != nil || !r.reply.NotRun) {
		d.countUsage(r, now)
	}
	d.forwarder.Tracker.Done(r.server.ID, outcome, r.took, load, now)
	if r.err == nil && r.reply.NotRun {
		outcome = limpetbalancer.Refused
	}
	d.observe(r.server, outcome, r.took, load)
	d.forwarder.Queues.Changed(r.server.Service)
}

// closeAttempt forgets an attempt that has a result. One that certainly did not run does
// not count against the limit anyway, so that its replacement does.
func (d *dispatch) closeAttempt(r result) {
	for n, a := range d.open {
		if a.server != r.server {
			continue
		}
		d.open = append(d.open[:n], d.open[n+1:]...)
		if a.replaced && r.notRun() {
			d.replaced--
		}
		return
	}
}

// notRun reports whether the attempt was certainly not run.
func (r result) notRun() bool {
	if r.err != nil {
		return limpeterror.Is(r.err, limpeterror.Unavailable)
	}
	return r.reply.NotRun
}

// awaitResult returns the result of the attempt in flight. If ctx ends first, it gives the
// attempt up and returns false.
func (d *dispatch) awaitResult(ctx context.Context) (result, bool) {
	select {
	case <-ctx.Done():
		d.finishOpenAttempts(CallerGone)
		return result{}, false
	case r := <-d.results:
		d.closeAttempt(r)
		return r, true
	}
}
