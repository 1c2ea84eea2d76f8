package limpetforward

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// maxDecisionWait bounds how long a request that may have crashed a server waits
// until that is decided, before it is sent to another one.
const maxDecisionWait = 150 * time.Millisecond

// fingerprint identifies the request independently of its ID, which differs
// between the caller's repetitions.
func (d *dispatch) fingerprint() uint64 {
	r := d.request
	return limpetquarantine.Fingerprint(d.accountName(), r.Method+" "+r.Host+r.Target, r.Body)
}

// verdict returns what is known of the request.
func (d *dispatch) verdict() limpetcrash.Verdict {
	if d.crashes.Empty() {
		return limpetcrash.Clear
	}
	v, left := d.crashes.Verdict(d.fingerprint())
	if v == limpetcrash.Quarantined {
		d.quarantined, d.quarantineEnd = true, d.forwarder.Now().Add(left)
	}
	return v
}

// claimTrial makes the request a trial if it is quarantined and due for one, and
// this VM gets to send it.
func (d *dispatch) claimTrial(ctx context.Context) {
	if d.verdict() != limpetcrash.DueForTrial {
		return
	}
	if d.crashes.ClaimTrial(ctx, d.fingerprint(), d.accountName(), d.request.ID) {
		d.trial = true
		return
	}
	d.quarantined, d.quarantineEnd = true, d.forwarder.Now().Add(noServerRetryAfter)
}

// maySend reports whether the request may be sent to a server now. A trial goes
// to one server only.
func (d *dispatch) maySend() bool {
	if d.trial {
		return d.sent == 0
	}
	switch d.verdict() {
	case limpetcrash.Quarantined, limpetcrash.DueForTrial:
		d.quarantined = true
		return false
	}
	return true
}

// accountName returns the name of the request's client account; empty if it
// needs none.
func (d *dispatch) accountName() string {
	if d.account == nil {
		return ""
	}
	return d.account.Name
}

// recordServed records that a server ran the request and did not crash, if its
// complete answer proves that.
func (d *dispatch) recordServed(server *limpetsite.Server, reply *limpetupstream.Reply) {
	if reply.ProvesRun() && !d.crashes.Empty() {
		d.crashes.Served(limpetcrash.Proof{Fingerprint: d.fingerprint(), Request: d.request.ID, Server: server.ID, Status: reply.Status})
	}
}

// recordBroken records an attempt that ended without a complete answer, after
// the given number of events. If the request may have crashed a server before,
// it waits until it is known whether this server crashed.
func (d *dispatch) recordBroken(ctx context.Context, server *limpetsite.Server, err error, events int) {
	f, ending, fingerprint := d.forwarder, limpetupstream.EndingOf(err), d.fingerprint()
	f.Metrics.CountBrokenAttempt(server.Service, ending)
	f.Log.Emit(limpetlog.AttemptFailed, limpetlog.Request(d.request.ID), limpetlog.Server(server.ID),
		limpetlog.Value("fingerprint", limpetquarantine.Name(fingerprint)), limpetlog.Value("ending", ending),
		limpetlog.Value("incarnation", server.Incarnation), limpetlog.Value("events", events), limpetlog.Error(err))
	if ending == limpetupstream.NotConnected || d.crashes == nil {
		return
	}
	suspicion := limpetcrash.Suspicion{
		Fingerprint: fingerprint, Account: d.accountName(), Request: d.request.ID, Server: server, Partial: events > 0, Silent: ending == limpetupstream.Silent,
	}
	d.broken++
	decided := d.crashes.Suspect(suspicion)
	if verdict, _ := d.crashes.Verdict(fingerprint); d.broken == 1 && verdict == limpetcrash.Clear {
		return
	}
	timer := time.NewTimer(maxDecisionWait)
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.C:
	case <-ctx.Done():
	}
}
