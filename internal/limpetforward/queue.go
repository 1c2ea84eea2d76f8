package limpetforward

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetbalancer"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetqueue"
	"limpetmount.org/internal/limpetsite"
)

// A Share is what this VM may use of a service, as the director publishes it.
type Share = limpetqueue.Share

// share returns what is published of the request's service; the zero value if nothing
// is. It is a sum over all regions, and says nothing of those of a request with homes.
func (d *dispatch) share() Share {
	if d.forwarder.Share == nil {
		return Share{}
	}
	share := d.forwarder.Share(d.service)
	if share.Short && d.homes().Bound() {
		return Share{}
	}
	return share
}

// homes returns the request's homes as the newest configuration has them.
func (d *dispatch) homes() limpetsite.Homes {
	return d.forwarder.View().CurrentHomes(d.route, d.account)
}

// queue returns the queue of requests that compete with this one; nil if there is none.
func (d *dispatch) queue() *limpetqueue.Queue {
	if d.forwarder.Queues == nil {
		return nil
	}
	return d.forwarder.Queues.Of(d.service, d.homes())
}

// place returns the server for the next attempt, counted as in flight; nil if there is
// none. While the service is short of capacity, the request waits for it in order.
// Attempts beside or after one that may have run have waited before, and do not wait
// again.
func (d *dispatch) place(ctx context.Context, cause cause, unavailable func(id string) bool) *limpetsite.Server {
	f := d.forwarder
	q := d.queue()
	if q == nil {
		return f.Tracker.Choose(d.servers(), f.Zone, unavailable, f.Now())
	}
	calm := q.Calm(f.Now()) && !d.share().Short
	switch {
	case cause == hedged && !(calm && f.Tracker.Room(d.servers(), unavailable, f.Now()).Free):
		return nil
	case cause == hedged || d.sent > 0 || d.software != "":
		return d.chooseInTime(unavailable)
	case calm && f.Tracker.Room(d.servers(), unavailable, f.Now()).Free:
		return d.chooseInTime(unavailable)
	}
	return d.waitForPlace(ctx, q, unavailable)
}

// calm reports whether the request's service is not known to be short of capacity.
func (d *dispatch) calm() bool {
	q := d.queue()
	return q == nil || (q.Calm(d.forwarder.Now()) && !d.share().Short)
}

// chooseInTime returns the best server among those that are not known to begin the
// request too late.
func (d *dispatch) chooseInTime(unavailable func(id string) bool) *limpetsite.Server {
	f, now := d.forwarder, d.forwarder.Now()
	return f.Tracker.ChooseWithin(d.servers(), f.Zone, unavailable, max(time.Millisecond, d.deadline.Sub(now)-minHedgeTime), now)
}

// waitForPlace has the request wait for its turn.
func (d *dispatch) waitForPlace(ctx context.Context, q *limpetqueue.Queue, unavailable func(id string) bool) *limpetsite.Server {
	f := d.forwarder
	// Servers that refused the request may have room for it later.
	for _, id := range d.refusers {
		delete(d.tried, id)
	}
	d.refusers = nil
	var server *limpetsite.Server
	began := f.Now()
	decision := q.Enter(ctx, &limpetqueue.Request{
		Account: d.accountName(), Rank: d.rank(), Key: d.fingerprint(), Deadline: d.deadline, Owed: d.yields, Again: d.waits > 0,
		Narrow: len(d.tried) > 0 || f.Silence.Any() || d.software != "",
		Take: func() bool {
			server = f.Tracker.ChooseWithin(d.servers(), f.Zone, unavailable, 0, f.Now())
			return server != nil
		},
		TakeShown: func() bool {
			server = f.Tracker.ChooseShown(d.servers(), f.Zone, unavailable, f.Now())
			return server != nil
		},
		Room:  func() limpetbalancer.Room { return f.Tracker.Room(d.servers(), unavailable, f.Now()) },
		Share: d.share,
	})
	d.waits++
	d.waited += f.Now().Sub(began)
	d.decision, d.inOrder = decision, decision.Taken
	switch {
	case decision.Taken:
		return server
	case decision.Unordered:
		return d.chooseInTime(unavailable)
	case decision.Cause != "":
		f.Metrics.CountEarlyRefusal(d.service, string(decision.Cause))
	}
	return nil
}

// noteEnd tells the queues of the service that an attempt has ended, and remembers a
// server that refused it.
func (d *dispatch) noteEnd(r result) {
	q := d.queue()
	if q == nil {
		return
	}
	d.forwarder.Queues.Changed(r.server.Service)
	if r.err != nil || !r.reply.NotRun || r.reply.Misdirected {
		return
	}
	d.refusers = append(d.refusers, r.server.ID)
	if d.inOrder {
		q.TakeBack(d.decision)
	}
}

// rank returns the request's rank among those that wait.
func (d *dispatch) rank() int {
	if d.yields {
		return limpetqueue.OwnRank
	}
	return d.forwarder.View().Priority(d.accountName(), d.route)
}

// decisionFields returns the inputs of the decision that refused a request.
func decisionFields(d limpetqueue.Decision) []limpetlog.Field {
	return []limpetlog.Field{
		limpetlog.Value("cause", string(d.Cause)), limpetlog.Value("retry_after_ms", d.RetryAfter.Milliseconds()),
		limpetlog.Value("expected_ms", d.Expected.Milliseconds()), limpetlog.Value("left_ms", d.Left.Milliseconds()),
		limpetlog.Value("ahead", int(d.Ahead)), limpetlog.Value("rate", d.Rate), limpetlog.Value("waiting", d.Waiting),
		limpetlog.Value("servers", d.Room.Servers), limpetlog.Value("load_age_ms", d.Room.Age.Milliseconds()),
		limpetlog.Value("usual_ms", d.Room.Usual.Milliseconds()), limpetlog.Value("published_short", d.Share.Short),
		limpetlog.Value("published_rate", d.Share.Rate), limpetlog.Value("published_wait_ms", d.Share.Wait.Milliseconds()),
	}
}
