package limpetrelay

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetsilence"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetwindow"
	"limpetmount.org/internal/limpetwire"
)

// maxWait bounds the time for which a request is held.
const maxWait = 2 * time.Second

// Handlers holds the functions that answer the requests of other VMs.
type Handlers struct {
	Mirror *Mirror
	// OnFollower is called for each VM that follows this one.
	OnFollower func(f Follower)
	// OnLeaving is called with the backend servers that said to another VM that they
	// are leaving.
	OnLeaving func(leaving []limpetsite.Leaving)
	// Origins knows which software began streams.
	Origins *limpetorigin.Book
	// IsDirector reports whether this VM is the director at the moment.
	IsDirector func() bool
	// Results returns the listed results of a job. Known is false if this VM
	// cannot answer for the job; denied is set if the job belongs to another
	// account.
	Results func(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool)
	// Count accepts the usage counts of another VM. It reports whether they
	// were accepted.
	Count func(counter string, windows map[int64]limpetwindow.Counts) bool
	// Permit answers a request for a permit to send to a limited server. Directing
	// is false if this VM is not the director.
	Permit func(r limpetlimit.Request) (grant limpetlimit.Grant, directing bool)
	// Silence accepts what another VM found of a backend server that takes no
	// connections.
	Silence func(f limpetsilence.Finding)
	// Observe accepts what another VM saw of servers. It reports whether this VM is the
	// director.
	Observe func(r limpetcapacity.Report) (directing bool)
	// Term returns the VM that the store recorded as the director lately, and its
	// address. An error says that the store did not answer.
	Term func(ctx context.Context) (vm, address string, err error)
	// IsOwn reports whether a secret proves that the calling VM is one of the system.
	IsOwn func(secret []byte) bool
	// CarryCall sends a call of a VM that reaches no backend server. It calls taken
	// before the call may be sent. The error has type Overloaded if it was not.
	CarryCall func(ctx context.Context, c limpetupstream.Call, taken func() error) (*limpetupstream.Reply, error)
	// CheckServer checks a backend server. The error says that this VM reaches none.
	CheckServer func(ctx context.Context, s *limpetsite.Server, healthPath string) (limpetupstream.Condition, error)
	// AcceptOffer accepts the offer of a VM to execute runs, and sends it
	// batches until the offer ends.
	AcceptOffer func(ctx context.Context, o limpetexecutor.Offer, send func(limpetexecutor.Batch) error) error
	// Deliver accepts the progress of the runs of a VM. It reports whether the
	// session is known.
	Deliver func(ctx context.Context, d limpetexecutor.Delivery) bool
}

// Handler returns an HTTP handler for the calls of other VMs.
func (h *Handlers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(limpetwire.NewRelayHandler(server{h}, uncompressed, noPackedMessages))
	return mux
}

type server struct{ handlers *Handlers }

// noPackedMessages refuses compressed messages, which no VM sends, and which unpack to
// many times their size.
var noPackedMessages = connect.WithCompression("gzip", nil, nil)

// uncompressed turns off the compression of messages, which costs more than all else
// that is done for a message. Large values are packed once for all VMs.
var uncompressed = connect.WithCompressMinBytes(math.MaxInt)

func waitTime(millis int64) time.Duration {
	return min(maxWait, max(0, time.Duration(millis)*time.Millisecond))
}

// Follow implements limpetwire.RelayHandler.
func (s server) Follow(ctx context.Context, r *connect.Request[limpetwire.FollowRequest]) (*connect.Response[limpetwire.FollowReply], error) {
	if r.Msg.Ready != "" {
		s.handlers.OnFollower(Follower{VM: r.Msg.Vm, Zone: r.Msg.Zone, Ready: r.Msg.Ready, Relay: r.Msg.Relay})
	}
	if len(r.Msg.Leaving) > 0 {
		leaving := make([]limpetsite.Leaving, 0, len(r.Msg.Leaving))
		for _, l := range r.Msg.Leaving {
			leaving = append(leaving, limpetsite.Leaving{Server: l.Id, Incarnation: l.Incarnation})
		}
		s.handlers.OnLeaving(leaving)
	}
	u := s.handlers.Mirror.Since(ctx, r.Msg.Epoch, r.Msg.Position, waitTime(r.Msg.WaitMs))
	reply := &limpetwire.FollowReply{
		Epoch: u.Epoch, Position: u.Position, Full: u.Full, AgeMs: u.Age.Milliseconds(), Directing: s.handlers.IsDirector(),
	}
	for _, c := range u.Changes {
		v := &limpetwire.RelayedValue{Feed: c.Feed, Key: c.Value.Key, Data: c.Value.Data, Revision: c.Value.Revision, Deleted: c.Value.Deleted}
		if r.Msg.Unpacks && c.packed != nil {
			v.Data, v.Packed = nil, c.packed
		}
		reply.Values = append(reply.Values, v)
	}
	for feed, revision := range u.Feeds {
		reply.Feeds = append(reply.Feeds, &limpetwire.RelayedFeed{Feed: feed, Revision: revision})
	}
	return connect.NewResponse(reply), nil
}

// Results implements limpetwire.RelayHandler.
func (s server) Results(ctx context.Context, r *connect.Request[limpetwire.ResultsRequest]) (*connect.Response[limpetwire.ResultsReply], error) {
	page, denied, known := s.handlers.Results(ctx, r.Msg.Job, r.Msg.Account, int(r.Msg.After), waitTime(r.Msg.WaitMs))
	reply := &limpetwire.ResultsReply{Known: known, Denied: denied, Total: int64(page.Total)}
	for _, x := range page.Results {
		reply.Results = append(reply.Results, &limpetwire.RelayedResult{
			Id: x.ID, State: string(x.State), Text: x.Text, Versions: int64s(x.Versions), Score: x.Score,
		})
	}
	return connect.NewResponse(reply), nil
}

// Count implements limpetwire.RelayHandler.
func (s server) Count(_ context.Context, r *connect.Request[limpetwire.CountRequest]) (*connect.Response[limpetwire.CountReply], error) {
	windows := map[int64]limpetwindow.Counts{}
	for _, w := range r.Msg.Windows {
		counts := limpetwindow.Counts{}
		for account, n := range w.Counts {
			counts[account] = int(n)
		}
		windows[w.Window] = counts
	}
	return connect.NewResponse(&limpetwire.CountReply{Taken: s.handlers.Count(r.Msg.Counter, windows)}), nil
}

// Origin implements limpetwire.RelayHandler.
func (s server) Origin(_ context.Context, r *connect.Request[limpetwire.OriginRequest]) (*connect.Response[limpetwire.OriginReply], error) {
	var records []limpetorigin.Record
	for _, batch := range r.Msg.Records {
		for n, stream := range batch.Streams {
			r := limpetorigin.Record{Stream: limpetorigin.Stream(stream), Software: limpetsite.Software(batch.Software)}
			if batch.Server != "" && n < len(batch.BeganMs) {
				r.Sender = limpetorigin.Sender{Server: batch.Server, Incarnation: batch.Incarnation, Began: time.UnixMilli(batch.BeganMs[n])}
			}
			records = append(records, r)
		}
	}
	reply := &limpetwire.OriginReply{Taken: len(records) > 0 && s.handlers.Origins.Accept(records)}
	if r.Msg.Asked != 0 {
		found := s.handlers.Origins.Lookup(limpetorigin.Stream(r.Msg.Asked))
		reply.Software, reply.Sure = string(found.Software), found.Sure
		if found.Sender.Server != "" {
			reply.Server, reply.Incarnation, reply.BeganMs = found.Sender.Server, found.Sender.Incarnation, found.Sender.Began.UnixMilli()
		}
	}
	return connect.NewResponse(reply), nil
}

// Term implements limpetwire.RelayHandler.
func (s server) Term(ctx context.Context, _ *connect.Request[limpetwire.TermRequest]) (*connect.Response[limpetwire.TermReply], error) {
	vm, address, err := s.handlers.Term(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&limpetwire.TermReply{Vm: vm, Address: address}), nil
}

// Silence implements limpetwire.RelayHandler.
func (s server) Silence(_ context.Context, r *connect.Request[limpetwire.SilenceRequest]) (*connect.Response[limpetwire.SilenceReply], error) {
	if s.handlers.Silence != nil {
		s.handlers.Silence(limpetsilence.Finding{Server: r.Msg.Server, Incarnation: r.Msg.Incarnation})
	}
	return connect.NewResponse(&limpetwire.SilenceReply{}), nil
}

// maxColdReports bounds what one request tells of cold servers.
const maxColdReports = 4096

// Permit implements limpetwire.RelayHandler.
func (s server) Permit(_ context.Context, r *connect.Request[limpetwire.PermitRequest]) (*connect.Response[limpetwire.PermitReply], error) {
	now := time.Now()
	request := limpetlimit.Request{
		Servers:  r.Msg.Servers[:min(limpetlimit.MaxServers, len(r.Msg.Servers))],
		MaxDelay: time.Duration(r.Msg.MaxDelayUs) * time.Microsecond, Look: r.Msg.Look,
	}
	for _, l := range r.Msg.Limits {
		request.Limits = append(request.Limits, limpetlimit.Limit{
			Server: l.Server, Incarnation: l.Incarnation, Rate: l.Rate, At: now.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		})
	}
	for _, f := range r.Msg.Cold[:min(maxColdReports, len(r.Msg.Cold))] {
		at, until := now.Add(-time.Duration(f.AgeMs)*time.Millisecond), now.Add(time.Duration(f.LeftMs)*time.Millisecond)
		if f.LeftMs <= 0 {
			until = at
		}
		request.Cold = append(request.Cold, limpetlimit.Cold{Server: f.Server, Service: f.Service, Incarnation: f.Incarnation, Until: until, At: at, Presumed: f.Presumed})
	}
	grant, directing := s.handlers.Permit(request)
	return connect.NewResponse(&limpetwire.PermitReply{
		Directing: directing, Server: grant.Server, DelayUs: grant.Delay.Microseconds(), RetryAfterUs: grant.RetryAfter.Microseconds(), Vms: int64(grant.VMs), KnowsCold: grant.KnowsCold,
	}), nil
}
