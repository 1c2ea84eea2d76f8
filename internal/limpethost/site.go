package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
)

const (
	siteInbox = 256
	// expireTick is how often lapsed servers are looked at.
	expireTick = 100 * time.Millisecond
)

// A siteMessage holds changes of a feed for the owner of the site's state.
type siteMessage struct {
	feed     string
	records  []limpetsite.Record
	listed   bool
	revision uint64
	// disturbed tells that the store did not answer.
	disturbed bool
}

func (h *Host) tell(m siteMessage) {
	select {
	case h.inbox <- m:
	case <-h.group.Context().Done():
	}
}

// keepSite owns the state of the deployment and publishes views of it.
func (h *Host) keepSite(ctx context.Context) error {
	state := limpetsite.NewState()
	ticker := time.NewTicker(expireTick)
	defer ticker.Stop()
	for {
		var changes []limpetsite.Change
		select {
		case <-ctx.Done():
			return nil
		case m := <-h.inbox:
			changes = append(h.take(state, m), h.takeAll(state)...)
		case <-ticker.C:
			changes, _ = state.Expire(h.deps.Now())
		}
		if len(changes) == 0 {
			continue
		}
		view := state.Snapshot()
		h.view.Store(view)
		for _, c := range changes {
			if c.Routine {
				// All VMs see it; the director's lines tell of the order behind it.
				continue
			}
			h.Log.Emit(limpetlog.SiteChanged, limpetlog.Value("what", c.What), limpetlog.Value("name", c.Name), limpetlog.Value("revision", view.Revision))
		}
		h.Forwarder.Tracker.Forget(func(id string) bool { return view.Server(id) != nil })
	}
}

// takeAll applies the messages that are there already, so that one view answers
// for many.
func (h *Host) takeAll(state *limpetsite.State) []limpetsite.Change {
	var changes []limpetsite.Change
	for range siteInbox {
		select {
		case m := <-h.inbox:
			changes = append(changes, h.take(state, m)...)
		default:
			return changes
		}
	}
	return changes
}

// take applies one message to the state.
func (h *Host) take(state *limpetsite.State, m siteMessage) []limpetsite.Change {
	now := h.deps.Now()
	if m.disturbed {
		state.Disturbed(now)
	}
	var changes []limpetsite.Change
	servers := map[string]bool{}
	for _, r := range m.records {
		if isServer(r) {
			servers[r.Key] = true
		}
		if c, ok := state.Apply(r, now); ok {
			changes = append(changes, c)
		}
	}
	if m.listed && m.feed == h.serversFeed() {
		changes = append(changes, state.Listed(servers, m.revision, now)...)
	}
	return changes
}

// serversFeed returns the prefix under which backend servers register.
func (h *Host) serversFeed() string {
	for _, f := range h.deps.Feeds {
		if f.Servers {
			return f.Prefix
		}
	}
	return ""
}
