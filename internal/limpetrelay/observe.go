package limpetrelay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetwire"
)

// Bounds of a report that is accepted.
const (
	maxObservedServers = 256
	maxObservedDemands = 64
	// maxObserveSpan bounds the times of a report.
	maxObserveSpan = 5 * time.Minute
)

// Observe tells the VM what this one saw of servers. The error has type Unavailable
// if the VM is not the director. VMs of earlier releases do not know the call.
func (c *Client) Observe(ctx context.Context, r limpetcapacity.Report) error {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	request := &limpetwire.ObserveRequest{Vm: r.VM, SpanMs: r.Span.Milliseconds()}
	for _, o := range r.Observations {
		request.Servers = append(request.Servers, &limpetwire.ObservedServer{
			Server: o.Server, Incarnation: o.Incarnation, Running: int64(o.Running), Waiting: int64(o.Waiting), Slots: int64(o.Slots),
			AgeMs: o.Age.Milliseconds(), Factor: o.Factor, Started: int64(o.Started), Answered: int64(o.Answered),
			Refused: int64(o.Refused), RefusedFull: int64(o.RefusedFull), LatencyUs: o.Latency.Microseconds(),
		})
	}
	for _, d := range r.Demands {
		request.Demands = append(request.Demands, &limpetwire.ServiceDemand{Service: d.Service, Arrived: int64(d.Arrived), Waiting: int64(d.Waiting)})
	}
	reply, err := c.relay.Observe(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	if !reply.Msg.Directing {
		return limpeterror.Unavailable.New("the VM is not the director")
	}
	return nil
}

// Observe implements limpetwire.RelayHandler.
func (s server) Observe(_ context.Context, r *connect.Request[limpetwire.ObserveRequest]) (*connect.Response[limpetwire.ObserveReply], error) {
	report := limpetcapacity.Report{VM: r.Msg.Vm, Span: time.Duration(max(0, min(maxObserveSpan.Milliseconds(), r.Msg.SpanMs))) * time.Millisecond}
	for _, o := range r.Msg.Servers[:min(maxObservedServers, len(r.Msg.Servers))] {
		report.Observations = append(report.Observations, limpetcapacity.Observation{
			Server: o.Server, Incarnation: o.Incarnation, Running: count(o.Running), Waiting: count(o.Waiting), Slots: count(o.Slots),
			Age: time.Duration(max(0, min(maxObserveSpan.Milliseconds(), o.AgeMs))) * time.Millisecond, Factor: o.Factor, Started: count(o.Started), Answered: count(o.Answered),
			Refused: count(o.Refused), RefusedFull: count(o.RefusedFull), Latency: time.Duration(max(0, min(maxObserveSpan.Microseconds(), o.LatencyUs))) * time.Microsecond,
		})
	}
	for _, d := range r.Msg.Demands[:min(maxObservedDemands, len(r.Msg.Demands))] {
		report.Demands = append(report.Demands, limpetcapacity.Demand{Service: d.Service, Arrived: count(d.Arrived), Waiting: count(d.Waiting)})
	}
	return connect.NewResponse(&limpetwire.ObserveReply{Directing: s.handlers.Observe(report)}), nil
}

// maxCount bounds the counts of a report.
const maxCount = 1 << 24

func count(n int64) int { return int(max(0, min(maxCount, n))) }
