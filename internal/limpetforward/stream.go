package limpetforward

import (
	"context"
	"errors"
	"io"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// followStream records how a stream ends. If the request may be repeated, it
// lets the stream continue on another server when the connection to its own
// breaks. The caller sees one response, with the header of the first server.
func (d *dispatch) followStream(ctx context.Context, first *limpetupstream.Reply) {
	current := &limpetupstream.Reply{Events: first.Events, Close: first.Close}
	last, events, began := d.request.LastEventID, 0, d.server.Software
	first.Events = func() (limpetupstream.Event, error) {
		for {
			event, err := current.Events()
			if err == nil {
				last = event.ID
				events++
				return event, nil
			}
			if errors.Is(err, io.EOF) {
				d.recordServed(d.server, first)
				return event, err
			}
			current.Close()
			d.recordBroken(ctx, d.server, err, events)
			if !d.route.Repeatable() {
				return event, err
			}
			next := d.resume(ctx, last, began)
			if next == nil {
				return event, err
			}
			current, events = next, 0
		}
	}
	first.Close = func() { current.Close() }
}

// resume requests the rest of a stream from another server. It returns nil if
// no server provides it.
func (d *dispatch) resume(ctx context.Context, last int, began limpetsite.Software) *limpetupstream.Reply {
	d.request.LastEventID = last
	defer d.keepFailure(nil)
	for d.startAttempt(ctx, retried) {
		r := <-d.results
		reply, retry := d.handleResult(ctx, r)
		if reply != nil && reply.Events != nil {
			d.forwarder.Log.Emit(limpetlog.StreamResumed, limpetlog.Request(d.request.ID),
				limpetlog.Server(r.server.ID), limpetlog.Value("after", last),
				limpetlog.Value("software", r.server.Software), limpetlog.Value("began", began))
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
