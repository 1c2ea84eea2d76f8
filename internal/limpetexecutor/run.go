package limpetexecutor

import (
	"context"
	"slices"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

// A run is one attempt at an item that this VM sends to an engine.
type run struct {
	job, server string
	cancel      context.CancelFunc
	text        limpetjob.Draft
	// responded is set once the engine has started to respond.
	responded bool
	ended     bool
	endedAt   time.Time
	// lastStreamed is the last event of the stream once that ended as complete.
	lastStreamed int
	// pending is the progress that has not been delivered to the director yet,
	// and arrivedAt holds the times at which its events arrived.
	pending   Progress
	arrivedAt []time.Time
}

func (r *run) hasPending() bool {
	return r.pending.Responded || r.pending.Ended || len(r.pending.Events) > 0
}

// startRun executes an order of a session.
func (e *Executor) startRun(session string, o Order) {
	ctx, cancel := context.WithCancel(e.group.Context())
	r := &run{job: o.Job, server: o.Call.Server.ID, cancel: cancel, text: o.PartialText}
	r.text.Item = o.Call.ID
	if r.text.LastEvent == 0 {
		r.text.Software = o.Call.Server.Software
	}
	e.mu.Lock()
	if e.session != session || e.leaving || e.runs[o.Run] != nil {
		e.mu.Unlock()
		cancel()
		return
	}
	e.runs[o.Run] = r
	e.mu.Unlock()
	if e.Refuses(o.Call.Server) {
		e.apply(true, func() { r.onEnd(End{Ending: limpetbatch.Rejected, Cause: "the server must get no work"}, e.Now()) })
		return
	}
	e.group.Go(func(context.Context) error {
		defer cancel()
		Execute(ctx, e.Send, o.Call, Sink{
			Header: func(version int) { e.apply(false, func() { r.onHeader(version) }) },
			Event: func(event limpetupstream.Event, version int) {
				e.apply(false, func() { r.onEvent(event, version, e.Now()) })
			},
			End: func(end End) { e.apply(true, func() { r.onEnd(end, e.Now()) }) },
		})
		return nil
	})
}

// apply calls change with the lock held and wakes the delivery loop.
func (e *Executor) apply(deliverNow bool, change func()) {
	e.mu.Lock()
	change()
	e.mu.Unlock()
	if deliverNow {
		signal(e.deliverNow)
	}
	signal(e.progressReady)
}

func (r *run) onHeader(version int) {
	r.responded = true
	r.pending.Responded, r.pending.Version = true, version
}

func (r *run) onEvent(e limpetupstream.Event, version int, now time.Time) {
	e.Raw = nil
	r.pending.Events = append(r.pending.Events, Event{Event: e, WeightVersion: version})
	r.arrivedAt = append(r.arrivedAt, now)
	// Execute passes only events that follow the ones before.
	appendEvent(&r.text, e, version)
}

// appendEvent adds an event to a text if it directly follows it, and reports whether it
// does.
func appendEvent(text *limpetjob.Draft, e limpetupstream.Event, version int) bool {
	if e.ID != text.LastEvent+1 {
		return false
	}
	text.Pieces = append(text.Pieces, e.Data)
	text.LastEvent, text.Version = e.ID, version
	if !slices.Contains(text.Versions, version) {
		text.Versions = append(text.Versions, version)
	}
	return true
}

// Apply applies progress to a held run that the director has not matched to a
// job yet. After an event that does not follow the text, the run is of no further use.
func (h *HeldRun) Apply(p Progress) {
	for _, e := range p.Events {
		if h.Broken || !appendEvent(&h.Text, e.Event, e.WeightVersion) {
			h.Broken = true
			break
		}
	}
	if p.Ended {
		h.Running = false
		h.Text.Complete, h.LastStreamed = p.End.Ending == limpetbatch.Complete, p.End.LastEvent
	}
}

// Complete reports whether the text is shown to be complete: the run's stream ended as
// complete, and the text has all events up to the last one of the stream. What the VM
// says of the text alone does not show it: releases without LastStreamed left out events.
func (h *HeldRun) Complete() bool {
	return h.Text.Complete && !h.Broken && len(h.Text.Pieces) == h.Text.LastEvent && h.LastStreamed == h.Text.LastEvent
}

func (r *run) onEnd(e End, now time.Time) {
	r.ended, r.endedAt = true, now
	r.text.Complete, r.lastStreamed = e.Ending == limpetbatch.Complete, e.LastEvent
	r.pending.Ended, r.pending.End = true, e
}

// snapshot describes a run to the next director, and discards the pending
// progress that the description covers.
func (r *run) snapshot(id string) HeldRun {
	r.pending, r.arrivedAt = Progress{}, nil
	text := r.text
	text.Pieces = slices.Clone(text.Pieces)
	text.Versions = slices.Clone(text.Versions)
	return HeldRun{Run: id, Job: r.job, Server: r.server, Running: !r.ended, Text: text, LastStreamed: r.lastStreamed}
}

// takePending returns and clears the pending progress of a run, with the ages
// of its events.
func (r *run) takePending(id string, now time.Time) Progress {
	p := r.pending
	p.Run = id
	for n := range p.Events {
		p.Events[n].Age = now.Sub(r.arrivedAt[n])
	}
	r.pending, r.arrivedAt = Progress{}, nil
	return p
}
