package limpetrelay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetcarry"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetwindow"
	"limpetmount.org/internal/limpetwire"
)

// longestWait bounds the time that a caller is kept waiting.
const longestWait = 2 * time.Second

// An Handlers holds what the director answers other VMs.
type Handlers struct {
	Mirror *Mirror
	// Met is told the address at which an asking VM says whether it is ready.
	Met func(address string)
	// Directing reports whether the VM is the director at this moment.
	Directing func() bool
	// Results returns the listed results of a job. Known is false when the VM
	// may not speak for the job.
	Results func(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool)
	// Count takes another VM's usage counts.
	Count func(counter string, windows map[int64]limpetwindow.Counts) bool
	// Carry takes a VM's offer to send runs, and hands it batches until the
	// offer is over.
	Carry func(ctx context.Context, o limpetcarry.Opening, send func(limpetcarry.Batch) error) error
	// Deliver takes the progress of a VM's runs. It reports whether the offer
	// is known.
	Deliver func(ctx context.Context, d limpetcarry.Delivery) bool
}

// Handler serves the handlers to other VMs.
func (o *Handlers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(limpetwire.NewRelayHandler(server{o}))
	return mux
}

type server struct{ handlers *Handlers }

func waitOf(millis int64) time.Duration {
	return min(longestWait, max(0, time.Duration(millis)*time.Millisecond))
}

// Follow implements limpetwire.RelayHandler.
func (s server) Follow(ctx context.Context, r *connect.Request[limpetwire.FollowRequest]) (*connect.Response[limpetwire.FollowReply], error) {
	if r.Msg.Ready != "" {
		s.handlers.Met(r.Msg.Ready)
	}
	u := s.handlers.Mirror.Since(ctx, r.Msg.Epoch, r.Msg.Position, waitOf(r.Msg.WaitMs))
	reply := &limpetwire.FollowReply{
		Epoch: u.Epoch, Position: u.Position, Full: u.Full, AgeMs: u.Age.Milliseconds(), Directing: s.handlers.Directing(),
	}
	for _, c := range u.Changes {
		reply.Values = append(reply.Values, &limpetwire.RelayedValue{
			Feed: c.Feed, Key: c.Value.Key, Data: c.Value.Data, Revision: c.Value.Revision, Deleted: c.Value.Deleted,
		})
	}
	for feed, revision := range u.Feeds {
		reply.Feeds = append(reply.Feeds, &limpetwire.RelayedFeed{Feed: feed, Revision: revision})
	}
	return connect.NewResponse(reply), nil
}

// Results implements limpetwire.RelayHandler.
func (s server) Results(ctx context.Context, r *connect.Request[limpetwire.ResultsRequest]) (*connect.Response[limpetwire.ResultsReply], error) {
	page, denied, known := s.handlers.Results(ctx, r.Msg.Job, r.Msg.Account, int(r.Msg.After), waitOf(r.Msg.WaitMs))
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
