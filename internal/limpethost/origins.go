package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

const (
	// originTimeout bounds a question to another VM for a stream.
	originTimeout = 300 * time.Millisecond
	// maxOriginAsked is the number of VMs that are asked at once for a stream that no
	// director answers for.
	maxOriginAsked = 32
)

// newOrigins returns the book of which software began streams.
func (h *Host) newOrigins(store limpetstore.Store) *limpetorigin.Book {
	return limpetorigin.New(limpetorigin.Deps{
		VM: h.Settings.VM, Incarnation: h.deps.Incarnation, Store: store, Send: h.sendOrigins, Ask: h.askOrigin,
		View: h.View, Confirmed: h.viewConfirmed, IncarnationOf: h.incarnationOf,
		Directing: func() bool { return h.director.IsDirector() }, VMs: h.roster.size, Log: h.Log, Metrics: h.Metrics.Registry, Now: h.deps.Now,
	})
}

// viewConfirmed returns up to when the view is known to hold what the store held, by
// the director or by this VM's own contact with the store.
func (h *Host) viewConfirmed() time.Time {
	if at := h.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirmView records that the view holds what the store held at a time.
func (h *Host) confirmView(at time.Time) {
	if at.After(h.viewConfirmed()) {
		h.confirmedAt.Store(&at)
	}
}

// incarnationOf asks a server for the start of its process.
func (h *Host) incarnationOf(ctx context.Context, s *limpetsite.Server) (int64, error) {
	if h.deps.Upstream.Report == nil {
		return 0, limpeterror.Unavailable.New("servers give no reports")
	}
	r, err := h.deps.Upstream.Report(ctx, s)
	return r.Incarnation, err
}

// sendOrigins hands records to the director.
func (h *Host) sendOrigins(ctx context.Context, records []limpetorigin.Record) error {
	client := h.relay.Load()
	if client == nil {
		return limpeterror.Unavailable.New("there is no director")
	}
	return client.SendOrigins(ctx, records)
}

// askOrigin asks for a stream: the director, the last one if there is none now, and
// then, if nobody is sure, other VMs, one of which may have begun it.
func (h *Host) askOrigin(ctx context.Context, s limpetorigin.Stream) limpetorigin.Found {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	clients := []*limpetrelay.Client{h.lastDirector.Load()}
	if client := h.relay.Load(); client != nil {
		clients[0] = client
	}
	if found, _ := firstOrigin(ctx, clients, s); found.Sure {
		return found
	}
	clients = clients[:0]
	for _, f := range h.roster.others(h.Settings.VM) {
		if len(clients) < maxOriginAsked {
			clients = append(clients, limpetrelay.NewClient(h.peerClient, f.Relay, h.self()))
		}
	}
	found, _ := firstOrigin(ctx, clients, s)
	return found
}

// firstOrigin asks VMs at once, and returns the first sure answer.
func firstOrigin(ctx context.Context, clients []*limpetrelay.Client, s limpetorigin.Stream) (limpetorigin.Found, error) {
	group := limpettask.New(ctx)
	answers := make(chan limpetorigin.Found, len(clients))
	for _, client := range clients {
		group.Go(func(ctx context.Context) error {
			found := limpetorigin.Found{}
			if client != nil {
				// A VM that does not answer knows nothing; another one may.
				found, _ = client.Origin(ctx, s)
			}
			answers <- found
			return nil
		})
	}
	for range clients {
		if found := <-answers; found.Sure {
			return found, group.Stop()
		}
	}
	return limpetorigin.Found{}, group.Stop()
}
