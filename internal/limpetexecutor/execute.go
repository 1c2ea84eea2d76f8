package limpetexecutor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

// An End describes how a run ended.
type End struct {
	Ending limpetbatch.Ending
	// Status is the HTTP status of the engine; 0 without a response.
	Status int
	// Cause is empty if Ending and Status say everything.
	Cause string
	// LastEvent is the ID of the last event of a complete stream; 0 if the VM that
	// read it is of a release that does not say.
	LastEvent int
}

// A Sink receives what a run produces, in order.
type Sink struct {
	// Header receives the weight version that the engine named at the start.
	Header func(version int)
	// Event receives an event and the weight version that generated it.
	Event func(e limpetupstream.Event, version int)
	// End receives the end of the run, once.
	End func(e End)
}

// responseTimeout limits the time until an engine starts to respond. Without
// it, a connection that is established late could bring an item to an engine
// after its job has ended.
const responseTimeout = 2 * time.Second

// Execute sends a call to an engine and passes the response to the sink until
// the run ends. Each event that the sink receives directly follows the one before;
// the first one follows the call's last event.
func Execute(ctx context.Context, send func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error), call limpetupstream.Call, sink Sink) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(responseTimeout, cancel)
	reply, err := send(ctx, call)
	timer.Stop()
	if err != nil {
		sink.End(End{Ending: limpetbatch.Interrupted, Cause: err.Error()})
		return
	}
	defer reply.Close()
	if ending, refused := refusal(reply); refused {
		sink.End(End{Ending: ending, Status: reply.Status})
		return
	}
	if reply.Events == nil {
		sink.End(End{Ending: limpetbatch.Interrupted, Status: reply.Status})
		return
	}
	version, last, size := reply.Version, call.LastEventID, 0
	sink.Header(version)
	for {
		event, err := reply.Events()
		if errors.Is(err, io.EOF) {
			sink.End(End{Ending: limpetbatch.Complete, LastEvent: last})
			return
		}
		if err != nil {
			sink.End(End{Ending: limpetbatch.Interrupted, Cause: err.Error()})
			return
		}
		if event.ID != last+1 {
			// An event is missing or was spoiled; the rest of the stream is no
			// part of the text either.
			sink.End(End{Ending: limpetbatch.Interrupted, Cause: fmt.Sprintf("event %d does not follow event %d", event.ID, last)})
			return
		}
		if size += limpetjob.EventBytes(event.Data); size > limpetjob.MaxTextBytes {
			sink.End(End{Ending: limpetbatch.Interrupted, Cause: fmt.Sprintf("more than %d bytes of events", limpetjob.MaxTextBytes)})
			return
		}
		last = event.ID
		if event.Version > 0 {
			version = event.Version
		}
		sink.Event(event, version)
	}
}

// refusal returns the ending of a run whose response has a status other than 200
// or says that the engine did not run it, and reports whether it is such a
// response.
func refusal(reply *limpetupstream.Reply) (limpetbatch.Ending, bool) {
	switch {
	case reply.Misdirected:
		return limpetbatch.Misdirected, true
	case reply.NotRun:
		return limpetbatch.Rejected, true
	case reply.Status == http.StatusUnprocessableEntity:
		return limpetbatch.Unprocessable, true
	case reply.Status == http.StatusInternalServerError:
		return limpetbatch.Failed, true
	case reply.Status != http.StatusOK:
		return limpetbatch.Interrupted, true
	}
	return 0, false
}
