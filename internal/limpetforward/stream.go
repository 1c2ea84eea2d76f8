package limpetforward

import (
	"context"
	"errors"
	"io"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// followStream records how a stream ends. If the request may be repeated, it
// lets the stream continue on another server when the connection to its own
// breaks. The caller sees one response, with the header of the first server. The stream
// ends with ctx, also while its server sends nothing.
func (d *dispatch) followStream(ctx context.Context, first *limpetupstream.Reply) {
	current := &limpetupstream.Reply{Events: first.Events, Close: first.Close}
	last, events, receivedAt := d.request.LastEventID, 0, d.respondedAt
	stop := context.AfterFunc(ctx, d.abandon)
	first.Events = func() (limpetupstream.Event, error) {
		for {
			event, err := current.Events()
			if err == nil {
				err = d.checkPosition(event, last)
			}
			if err == nil {
				if last == 0 {
					d.software = d.server.Software
					d.sender = limpetorigin.Sender{Server: d.server.ID, Incarnation: d.server.Incarnation, Began: d.respondedAt}
				}
				d.recordOrigin()
				last, receivedAt = event.ID, d.forwarder.Now()
				events++
				return event, nil
			}
			if errors.Is(err, io.EOF) {
				d.recordServed(d.server, first)
				return event, err
			}
			current.Close()
			if ctx.Err() != nil {
				d.recordLeft(ctx, err, last, events, receivedAt)
				return event, err
			}
			d.recordBroken(ctx, d.server, err, events)
			if !d.route.Repeatable() || !d.mayGoOn(last, events) {
				return event, err
			}
			next := d.resume(ctx, last)
			if next == nil {
				return event, err
			}
			current, events, receivedAt = next, 0, d.respondedAt
		}
	}
	first.Close = func() {
		stop()
		current.Close()
		d.abandon()
	}
}

// recordLeft records a stream that was ended since its caller has left, or this VM stops.
// That says nothing of the server, unless it had sent nothing for some time.
func (d *dispatch) recordLeft(ctx context.Context, err error, last, events int, receivedAt time.Time) {
	f := d.forwarder
	silent := f.Now().Sub(receivedAt)
	f.Log.Emit(limpetlog.StreamLeft, limpetlog.Request(d.request.ID), limpetlog.Account(d.accountName()), limpetlog.Server(d.server.ID),
		limpetlog.Value("after", last), limpetlog.Value("silent_ms", silent.Milliseconds()), limpetlog.Value("reason", d.expired(ctx).String()))
	if silent >= d.suspectDelay() {
		d.recordBroken(ctx, d.server, err, events)
	}
}

// checkPosition returns an error for an event that does not follow the last one that
// the caller has. Events of a stream that may go on elsewhere are numbered without gaps,
// since a server goes on with the next number; those of another stream increase.
func (d *dispatch) checkPosition(event limpetupstream.Event, last int) error {
	if event.ID <= last || (d.route.Repeatable() && event.ID != last+1) {
		return limpeterror.Unknown.New("event %d does not follow event %d", event.ID, last)
	}
	return nil
}

// findOrigin finds the software that began the stream that the caller comes back
// for. The reason is Served if the request may be sent.
func (d *dispatch) findOrigin(ctx context.Context) Reason {
	f, r := d.forwarder, d.request
	if r.LastEventID == 0 {
		d.origin = limpetorigin.StreamOf(d.accountName(), r.ID)
		return Served
	}
	var source string
	if r.Resumes != "" {
		d.origin = limpetorigin.StreamOf(d.accountName(), r.Resumes)
		d.software, source = f.Origins.Find(ctx, d.origin)
	}
	if d.software == "" {
		d.countContinuation(limpetmetric.UnknownSoftware, r.LastEventID)
		return UnknownOrigin
	}
	if d.service = d.software.Service(); !d.route.LeadsTo(d.service) || len(f.View().ServersOf(d.software)) == 0 {
		d.countContinuation(limpetmetric.NoneLeft, r.LastEventID)
		return OriginGone
	}
	f.Metrics.CountContinuation(limpetmetric.Streams, limpetmetric.SameSoftware)
	f.Log.Emit(limpetlog.StreamTakenUp, limpetlog.Request(r.ID), limpetlog.Account(d.accountName()), limpetlog.Value("origin", r.Resumes),
		limpetlog.Value("after", r.LastEventID), limpetlog.Value("software", d.software), limpetlog.Value("source", source))
	return Served
}

// recordOrigin records which software began the stream, and from time to time that
// it still lasts.
func (d *dispatch) recordOrigin() {
	now := d.forwarder.Now()
	if d.origin == 0 || now.Sub(d.originRecordedAt) < limpetorigin.RefreshInterval {
		return
	}
	first := d.originRecordedAt.IsZero()
	d.originRecordedAt = now
	if first {
		d.forwarder.Origins.Record(limpetorigin.Record{Stream: d.origin, Software: d.software, Sender: d.sender})
		return
	}
	d.forwarder.Origins.Renew(d.origin)
}

// mayGoOn reports whether a broken stream, of which the caller has the events up to
// last, can go on. Events tells how many of them the last server sent. One without
// any may begin anywhere.
func (d *dispatch) mayGoOn(last, events int) bool {
	if last == 0 {
		return true
	}
	view, outcome := d.forwarder.View(), ""
	chosen := limpetsite.Start{Server: d.server.ID, Incarnation: d.server.Incarnation, Software: d.server.Software}
	switch {
	case events > 0 && view.StartedAgain(chosen, d.respondedAt):
		outcome = limpetmetric.UnknownSoftware
	case d.software != "" && len(view.ServersOf(d.software)) == 0:
		outcome = limpetmetric.NoneLeft
	default:
		return true
	}
	d.countContinuation(outcome, last)
	return false
}

// countContinuation records that a stream could not go on after an event.
func (d *dispatch) countContinuation(outcome string, last int) {
	f := d.forwarder
	f.Metrics.CountContinuation(limpetmetric.Streams, outcome)
	f.Log.Emit(limpetlog.StreamNotContinued, limpetlog.Request(d.request.ID), limpetlog.Account(d.accountName()), limpetlog.Value("after", last),
		limpetlog.Value("software", d.software), limpetlog.Value("outcome", outcome), limpetlog.Value("revision", f.View().Revision))
}

// allowTried lets a stream go on at servers of its software that it was on before, if
// there are no others: their connections may have broken for another reason.
func (d *dispatch) allowTried() {
	if d.software == "" {
		return
	}
	servers := d.forwarder.View().ServersOf(d.software)
	for _, s := range servers {
		if !d.tried[s.ID] {
			return
		}
	}
	for _, s := range servers {
		delete(d.tried, s.ID)
	}
}

// resume requests the rest of a stream from another server. It returns nil if
// no server provides it.
func (d *dispatch) resume(ctx context.Context, last int) *limpetupstream.Reply {
	d.request.LastEventID = last
	defer d.keepFailure(nil)
	d.allowTried()
	for d.startAttempt(ctx, retried) {
		r, ok := d.awaitResult(ctx)
		if !ok {
			return nil
		}
		reply, retry := d.handleResult(ctx, r)
		if reply != nil && reply.Events != nil {
			d.forwarder.Metrics.CountContinuation(limpetmetric.Streams, limpetmetric.SameSoftware)
			d.forwarder.Log.Emit(limpetlog.StreamResumed, limpetlog.Request(d.request.ID), limpetlog.Server(r.server.ID),
				limpetlog.Value("after", last), limpetlog.Value("software", r.server.Software), limpetlog.Value("began", d.software))
			return reply
		}
		if reply != nil {
			reply.Close()
			return nil
		}
		if !retry {
			return nil
		}
	}
	return nil
}
