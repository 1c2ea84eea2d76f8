package limpetcarry

import (
	"context"
	"slices"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

// A run is one attempt at an item that this VM sends.
type run struct {
	job, server string
	cancel      context.CancelFunc
	text        limpetjob.Draft
	// headed is set once the engine answered.
	headed  bool
	ended   bool
	endedAt time.Time
	// pending was not delivered to the director of the session yet, and
	// arrived holds when its events came.
	pending Progress
	arrived []time.Time
}

func (r *run) news() bool { return r.pending.Headed || r.pending.Ended || len(r.pending.Events) > 0 }

// begin carries out an order of a session.
func (c *Carrier) begin(session string, o Order) {
	ctx, cancel := context.WithCancel(c.group.Context())
	r := &run{job: o.Job, server: o.Call.Server.ID, cancel: cancel, text: o.Begun}
	r.text.Item = o.Call.ID
	c.mu.Lock()
	if c.session != session || c.leaving || c.runs[o.Run] != nil {
		c.mu.Unlock()
		cancel()
		return
	}
	c.runs[o.Run] = r
	c.mu.Unlock()
	if c.Refuses(o.Call.Server.ID) {
		c.note(true, func() { r.end(End{Ending: limpetbatch.NotRun, Cause: "the server must get no work"}, c.Now()) })
		return
	}
	c.group.Go(func(context.Context) error {
		defer cancel()
		Read(ctx, c.Send, o.Call, Sink{
			Head:  func(version int) { c.note(false, func() { r.head(version) }) },
			Event: func(e limpetupstream.Event, version int) { c.note(false, func() { r.event(e, version, c.Now()) }) },
			End:   func(e End) { c.note(true, func() { r.end(e, c.Now()) }) },
		})
		return nil
	})
}

// note changes a run and wakes the delivery.
func (c *Carrier) note(urgent bool, change func()) {
	c.mu.Lock()
	change()
	c.mu.Unlock()
	if urgent {
		signal(c.urgent)
	}
	signal(c.news)
}

func (r *run) head(version int) {
	r.headed = true
	r.pending.Headed, r.pending.Version = true, version
}

func (r *run) event(e limpetupstream.Event, version int, now time.Time) {
	e.Raw = nil
	r.pending.Events = append(r.pending.Events, Event{Event: e, Under: version})
	r.arrived = append(r.arrived, now)
	extend(&r.text, e, version)
}

// extend adds the event that follows on a text. The director decides about a
// stream with a gap; the text ends before it.
func extend(text *limpetjob.Draft, e limpetupstream.Event, version int) {
	if e.ID != text.Last+1 {
		return
	}
	text.Pieces = append(text.Pieces, e.Data)
	text.Last, text.Version = e.ID, version
	if !slices.Contains(text.Versions, version) {
		text.Versions = append(text.Versions, version)
	}
}

// Take adds the progress of a run that nobody has use for yet.
func (h *Held) Take(p Progress) {
	for _, e := range p.Events {
		extend(&h.Text, e.Event, e.Under)
	}
	if p.Ended {
		h.Running = false
		h.Text.Whole = p.End.Ending == limpetbatch.Whole
	}
}

func (r *run) end(e End, now time.Time) {
	r.ended, r.endedAt = true, now
	r.text.Whole = e.Ending == limpetbatch.Whole
	r.pending.Ended, r.pending.End = true, e
}

// held describes a run to the next director, which then needs no more than
// what comes after.
func (r *run) held(id string) Held {
	r.pending, r.arrived = Progress{}, nil
	text := r.text
	text.Pieces = slices.Clone(text.Pieces)
	text.Versions = slices.Clone(text.Versions)
	return Held{Run: id, Job: r.job, Server: r.server, Running: !r.ended, Text: text}
}

// take returns what is to be delivered of a run, with the ages of its events.
func (r *run) take(id string, now time.Time) Progress {
	p := r.pending
	p.Run = id
	for n := range p.Events {
		p.Events[n].Age = now.Sub(r.arrived[n])
	}
	r.pending, r.arrived = Progress{}, nil
	return p
}
