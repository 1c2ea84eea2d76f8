package limpetnode

import "time"

// An event is a change of the control state. Only the control goroutine applies
// events.
type event interface {
	apply(c *control, now time.Time)
}

// A mailbox passes events to the control goroutine, which receives from events
// and closes ended when it has applied its last one.
type mailbox struct {
	events chan event
	// stopping is closed when the node stops, from when on events may be lost.
	stopping <-chan struct{}
	ended    chan struct{}
}

func newMailbox(size int, stopping <-chan struct{}) mailbox {
	return mailbox{events: make(chan event, size), stopping: stopping, ended: make(chan struct{})}
}

// send passes an event to the control goroutine. Nothing is sent while the node
// stops.
func (m *mailbox) send(e event) {
	select {
	case m.events <- e:
	case <-m.stopping:
	}
}

// withControl calls f in the control goroutine. It returns once a snapshot has
// been published that includes the effects of f and of all events sent before.
// While the node stops, f may not be called. In either case f does not run any
// more when withControl returns.
func (m *mailbox) withControl(f func(c *control)) {
	done := make(chan struct{})
	m.send(callEvent{f: f, done: done})
	select {
	case <-done:
	case <-m.ended:
	}
}

type callEvent struct {
	f    func(c *control)
	done chan struct{}
}

func (e callEvent) apply(c *control, _ time.Time) {
	e.f(c)
	c.waiters = append(c.waiters, e.done)
}
