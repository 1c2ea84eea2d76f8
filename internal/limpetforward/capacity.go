package limpetforward

import (
	"time"

	"limpetmount.org/internal/limpetbalancer"
	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// ended records the end of an attempt for the choice of servers on this VM and for the
// capacity account.
func (d *dispatch) ended(server *limpetsite.Server, outcome limpetbalancer.Outcome, took time.Duration, load *limpetupstream.Load, now time.Time) {
	d.forwarder.Tracker.Done(server.ID, outcome, took, load, now)
	d.observe(server, outcome, took, load)
}

// observe records the end of an attempt for the capacity account.
func (d *dispatch) observe(server *limpetsite.Server, outcome limpetbalancer.Outcome, took time.Duration, load *limpetupstream.Load) {
	a := limpetcapacity.Attempt{Service: server.Service, Server: server.ID, Incarnation: server.Incarnation, Outcome: limpetcapacity.Failed, Took: took}
	switch outcome {
	case limpetbalancer.Answered:
		a.Outcome = limpetcapacity.Answered
	case limpetbalancer.Refused:
		a.Outcome = limpetcapacity.Refused
	}
	if load != nil {
		a.HasLoad, a.Running, a.Waiting, a.Slots, a.Factor = true, load.Running, load.Waiting, load.Slots, load.Factor
	}
	d.forwarder.Capacity.Ended(a)
}
