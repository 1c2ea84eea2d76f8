package limpetcarry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetupstream"
)

// An End says how a run ended.
type End struct {
	Ending limpetbatch.Ending
	// Status is the engine's status; 0 without an answer.
	Status int
	// Cause is empty when the engine's answer is all that there is to say.
	Cause string
}

// A Sink takes what comes of a run, in its order.
type Sink struct {
	// Head takes the version that the engine named at the start.
	Head func(version int)
	// Event takes an event and the version that made it.
	Event func(e limpetupstream.Event, version int)
	End   func(e End)
}

// headTime bounds the time until an engine answers at all. A connection that
// comes about late must not bring an item to an engine whose job has ended
// meanwhile.
const headTime = 2 * time.Second

// Read sends a call to an engine and hands on what comes of it until the run
// ends.
func Read(ctx context.Context, send func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error), call limpetupstream.Call, to Sink) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(headTime, cancel)
	reply, err := send(ctx, call)
	late.Stop()
	if err != nil {
		to.End(End{Ending: limpetbatch.Broken, Cause: err.Error()})
		return
	}
	defer reply.Close()
	if ending, refused := refusal(reply); refused {
		to.End(End{Ending: ending, Status: reply.Status})
		return
	}
	if reply.Events == nil {
		to.End(End{Ending: limpetbatch.Broken, Status: reply.Status})
		return
	}
	version := reply.Version
	to.Head(version)
	for {
		event, err := reply.Events()
		if errors.Is(err, io.EOF) {
			to.End(End{Ending: limpetbatch.Whole})
			return
		}
		if err != nil {
			to.End(End{Ending: limpetbatch.Broken, Cause: err.Error()})
			return
		}
		if event.Version > 0 {
			version = event.Version
		}
		to.Event(event, version)
	}
}

// refusal classifies answers that are no stream.
func refusal(reply *limpetupstream.Reply) (limpetbatch.Ending, bool) {
	switch {
	case reply.Misdirected:
		return limpetbatch.Misdirected, true
	case reply.NotRun:
		return limpetbatch.NotRun, true
	case reply.Status == http.StatusUnprocessableEntity:
		return limpetbatch.Impossible, true
	case reply.Status == http.StatusInternalServerError:
		return limpetbatch.Failed, true
	case reply.Status != http.StatusOK:
		return limpetbatch.Broken, true
	}
	return 0, false
}
