package limpetforward

import (
	"errors"
	"io"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetupstream"
)

// resumable makes a stream go on at another server when its own breaks. The
// caller sees one answer: the headers are the first server's.
func (e *effort) resumable(first *limpetupstream.Reply) {
	current := &limpetupstream.Reply{Events: first.Events, Close: first.Close}
	last := e.request.After
	first.Events = func() (limpetupstream.Event, error) {
		for {
			event, err := current.Events()
			if err == nil {
				last = event.ID
				return event, nil
			}
			if errors.Is(err, io.EOF) {
				return event, err
			}
			current.Close()
			next := e.resume(last)
			if next == nil {
				return event, err
			}
			current = next
		}
	}
	first.Close = func() { current.Close() }
}

// resume asks another server for the rest of a stream; nil when none gives it.
func (e *effort) resume(last int) *limpetupstream.Reply {
	e.request.After = last
	e.failure = nil
	for e.launch() {
		r := <-e.results
		reply, again := e.judge(r)
		if reply != nil && reply.Events != nil {
			e.forwarder.Log.Emit(limpetlog.StreamResumed, limpetlog.Request(e.request.ID),
				limpetlog.Server(r.server.ID), limpetlog.Value("after", last))
			return reply
		}
		if reply != nil {
			reply.Close()
			return nil
		}
		if !again {
			return nil
		}
	}
	return nil
}
