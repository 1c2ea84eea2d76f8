package limpetrelay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetwire"
)

// Link returns the calls to the director that a VM needs to execute runs for
// it.
func (c *Client) Link() limpetexecutor.Link {
	return limpetexecutor.Link{Offer: c.offer, Deliver: c.deliver}
}

func (c *Client) offer(ctx context.Context, o limpetexecutor.Offer, handle func(limpetexecutor.Batch)) error {
	request := &limpetwire.CarryRequest{Vm: o.VM, Zone: o.Zone, Session: o.Session}
	for _, h := range o.Held {
		request.Held = append(request.Held, &limpetwire.HeldRun{
			Run: h.Run, Job: h.Job, Server: h.Server, Running: h.Running, Text: textMessage(h.Text), Final: int64(h.LastStreamed),
		})
	}
	stream, err := c.relay.Carry(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	for stream.Receive() {
		handle(batchOf(stream.Msg()))
	}
	err = stream.Err()
	// Close returns the error of stream.Err again.
	_ = stream.Close()
	return err
}

func (c *Client) deliver(ctx context.Context, d limpetexecutor.Delivery) (bool, error) {
	request := &limpetwire.DeliverRequest{Session: d.Session, Leaving: d.Leaving, Superseded: d.Superseded}
	for _, p := range d.Progress {
		request.Progress = append(request.Progress, progressMessage(p))
	}
	r, err := c.relay.Deliver(ctx, connect.NewRequest(request))
	if err != nil {
		return false, err
	}
	return r.Msg.Known, nil
}

// Carry implements limpetwire.RelayHandler.
func (s server) Carry(ctx context.Context, r *connect.Request[limpetwire.CarryRequest], stream *connect.ServerStream[limpetwire.CarryReply]) error {
	o := limpetexecutor.Offer{VM: r.Msg.Vm, Zone: r.Msg.Zone, Session: r.Msg.Session}
	for _, h := range r.Msg.Held {
		o.Held = append(o.Held, limpetexecutor.HeldRun{Run: h.Run, Job: h.Job, Server: h.Server, Running: h.Running, Text: textOf(h.Text), LastStreamed: int(h.Final)})
	}
	return s.handlers.AcceptOffer(ctx, o, func(b limpetexecutor.Batch) error { return stream.Send(batchMessage(b)) })
}

// Deliver implements limpetwire.RelayHandler.
func (s server) Deliver(ctx context.Context, r *connect.Request[limpetwire.DeliverRequest]) (*connect.Response[limpetwire.DeliverReply], error) {
	d := limpetexecutor.Delivery{Session: r.Msg.Session, Leaving: r.Msg.Leaving, Superseded: r.Msg.Superseded}
	for _, p := range r.Msg.Progress {
		d.Progress = append(d.Progress, progressOf(p))
	}
	return connect.NewResponse(&limpetwire.DeliverReply{Known: s.handlers.Deliver(ctx, d)}), nil
}

func batchMessage(b limpetexecutor.Batch) *limpetwire.CarryReply {
	m := &limpetwire.CarryReply{Cuts: b.CancelRuns, Unsure: b.Unsure}
	for _, o := range b.Orders {
		header := make(map[string]string, len(o.Call.Header))
		for name := range o.Call.Header {
			header[name] = o.Call.Header.Get(name)
		}
		m.Orders = append(m.Orders, &limpetwire.RunOrder{
			Run: o.Run, Job: o.Job, Server: o.Call.Server.ID, Address: o.Call.Server.Address, Software: string(o.Call.Server.Software), Incarnation: o.Call.Server.Incarnation, Zone: o.Call.Server.Zone, HomesBound: o.Call.Homes.Bound(), Homes: o.Call.Homes.String(), Target: o.Call.Target,
			Host: o.Call.Host, Header: header, Body: o.Call.Body, Account: o.Call.Account,
			RemainingMs: o.Call.Remaining.Milliseconds(), Version: int64(o.Call.Version), Begun: textMessage(o.PartialText),
		})
	}
	return m
}

func batchOf(m *limpetwire.CarryReply) limpetexecutor.Batch {
	b := limpetexecutor.Batch{CancelRuns: m.Cuts, Unsure: m.Unsure}
	for _, o := range m.Orders {
		header := make(http.Header, len(o.Header))
		for name, value := range o.Header {
			header.Set(name, value)
		}
		partialText := textOf(o.Begun)
		b.Orders = append(b.Orders, limpetexecutor.Order{Run: o.Run, Job: o.Job, PartialText: partialText, Call: limpetupstream.Call{
			Purpose: limpetupstream.ForItem,
			Server:  &limpetsite.Server{ID: o.Server, Address: o.Address, Software: limpetsite.Software(o.Software), Incarnation: o.Incarnation, Zone: o.Zone}, ID: partialText.Item, Method: http.MethodPost,
			Target: o.Target, Host: o.Host, Header: header, Body: o.Body, Account: o.Account,
			Remaining: time.Duration(o.RemainingMs) * time.Millisecond, LastEventID: partialText.LastEvent, Version: int(o.Version), Priority: -1, Homes: limpetsite.ParseHomes(o.HomesBound, o.Homes),
		}})
	}
	return b
}

func textMessage(d limpetjob.Draft) *limpetwire.CarriedText {
	return &limpetwire.CarriedText{
		Item: d.Item, Pieces: d.Pieces, Last: int64(d.LastEvent), Versions: int64s(d.Versions), Version: int64(d.Version), Whole: d.Complete, Software: string(d.Software),
	}
}

func textOf(m *limpetwire.CarriedText) limpetjob.Draft {
	return limpetjob.Draft{
		Item: m.GetItem(), Pieces: m.GetPieces(), LastEvent: int(m.GetLast()), Versions: ints(m.GetVersions()), Version: int(m.GetVersion()), Complete: m.GetWhole(), Software: limpetsite.Software(m.GetSoftware()),
	}
}

func progressMessage(p limpetexecutor.Progress) *limpetwire.RunProgress {
	m := &limpetwire.RunProgress{
		Run: p.Run, Headed: p.Responded, Version: int64(p.Version), Ended: p.Ended,
		Ending: int64(p.End.Ending), Status: int64(p.End.Status), Cause: causeText(p.End.Cause), Final: int64(p.End.LastEvent),
	}
	for _, e := range p.Events {
		m.Events = append(m.Events, &limpetwire.CarriedEvent{
			Id: int64(e.ID), Data: e.Data, Changed: int64(e.Version), Under: int64(e.WeightVersion), AgeUs: e.Age.Microseconds(),
		})
	}
	return m
}

func progressOf(m *limpetwire.RunProgress) limpetexecutor.Progress {
	p := limpetexecutor.Progress{
		Run: m.Run, Responded: m.Headed, Version: int(m.Version), Ended: m.Ended,
		End: limpetexecutor.End{Ending: limpetbatch.Ending(m.Ending), Status: int(m.Status), Cause: m.Cause, LastEvent: int(m.Final)},
	}
	for _, e := range m.Events {
		p.Events = append(p.Events, limpetexecutor.Event{
			Event:         limpetupstream.Event{ID: int(e.Id), Data: e.Data, Version: int(e.Changed)},
			WeightVersion: int(e.Under), Age: time.Duration(e.AgeUs) * time.Microsecond,
		})
	}
	return p
}

func int64s(values []int) []int64 {
	out := make([]int64, 0, len(values))
	for _, v := range values {
		out = append(out, int64(v))
	}
	return out
}

func ints(values []int64) []int {
	out := make([]int, 0, len(values))
	for _, v := range values {
		out = append(out, int(v))
	}
	return out
}
