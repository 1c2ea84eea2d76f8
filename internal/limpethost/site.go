package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
)

const (
	updateQueueSize = 256
	// expireInterval is how often servers that did not register again in time
	// are removed.
	expireInterval = 100 * time.Millisecond
	// viewIntervalPerServer is the least time after a view for each server in it, during which
	// changes are gathered: a view costs time in proportion to the servers.
	viewIntervalPerServer = 20 * time.Microsecond
	maxViewInterval       = 100 * time.Millisecond
)

// viewInterval returns the least time after a view of a number of servers.
func viewInterval(servers int) time.Duration {
	return min(maxViewInterval, time.Duration(servers)*viewIntervalPerServer)
}

// A siteUpdate holds changes of a feed for the goroutine that owns the state
// of the deployment.
type siteUpdate struct {
	feed    string
	records []limpetsite.Record
	// complete is set if records is a complete listing of the feed at revision.
	complete bool
	revision uint64
	// outage is set if the store did not respond, and again when it has
	// recovered. Servers whose entries expired then have time to register
	// again.
	outage bool
	// leaving holds servers that said that they are leaving, and source who was told.
	leaving []limpetsite.Leaving
	source  string
}

func (h *Host) sendUpdate(m siteUpdate) {
	select {
	case h.updates <- m:
	case <-h.group.Context().Done():
	}
}

// runSite owns the state of the deployment and publishes views of it.
func (h *Host) runSite(ctx context.Context) error {
	state := limpetsite.NewState()
	state.LeavingGrace, state.Regions = h.Settings.Bounds.Drain, h.Settings.Regions
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		var changes []limpetsite.Change
		select {
		case <-ctx.Done():
			return nil
		case m := <-h.updates:
			changes = append(h.applyUpdate(state, m), h.applyPending(state)...)
		case <-ticker.C:
			changes, _ = state.Expire(h.deps.Now())
		}
		h.limits.ExpireCold()
		changes = append(changes, state.TakeEnded()...)
		if len(changes) == 0 {
			continue
		}
		view := state.Snapshot()
		// Before requests find a server that may be cold.
		h.limits.See(view)
		h.view.Store(view)
		for _, c := range changes {
			if c.Routine {
				// All VMs see this change; the director logs the order that
				// caused it.
				continue
			}
			fields := []limpetlog.Field{limpetlog.Value("what", c.What), limpetlog.Value("name", c.Name), limpetlog.Value("revision", view.Revision)}
			if s := view.Server(c.Name); s != nil {
				fields = append(fields, limpetlog.Value("software", s.Software), limpetlog.Value("incarnation", s.Incarnation))
			}
			if c.Source != "" {
				fields = append(fields, limpetlog.Value("source", c.Source))
			}
			h.Log.Emit(limpetlog.DeploymentChanged, fields...)
			h.countLeaving(c)
		}
		h.Forwarder.Tracker.Forget(func(id string) bool { return view.Server(id) != nil })
		h.limits.Forget(view)
		h.capacity.forgetServices(view)
		limpettask.Sleep(ctx, viewInterval(len(view.AllServers())))
	}
}

// applyPending applies the updates that are already queued, so that many
// updates share one view.
func (h *Host) applyPending(state *limpetsite.State) []limpetsite.Change {
	var changes []limpetsite.Change
	for range updateQueueSize {
		select {
		case m := <-h.updates:
			changes = append(changes, h.applyUpdate(state, m)...)
		default:
			return changes
		}
	}
	return changes
}

// applyUpdate applies one update to the state.
func (h *Host) applyUpdate(state *limpetsite.State, m siteUpdate) []limpetsite.Change {
	now := h.deps.Now()
	if m.outage {
		state.RecordOutage(now)
	}
	changes := h.applyLeaving(state, m, now)
	servers := map[string]bool{}
	for _, r := range m.records {
		if isServer(r) {
			servers[r.Key] = true
		}
		if c, ok := state.Apply(r, now); ok {
			changes = append(changes, c)
		}
	}
	if m.complete && m.feed == h.serverFeedPrefix() {
		changes = append(changes, state.ApplyListing(servers, m.revision, now)...)
	}
	if m.complete && m.feed != h.serverFeedPrefix() {
		changes = append(changes, state.EndEvacuations(keysOf(m.records), m.revision)...)
	}
	return changes
}

func keysOf(records []limpetsite.Record) map[string]bool {
	keys := make(map[string]bool, len(records))
	for _, r := range records {
		keys[r.Key] = true
	}
	return keys
}

// serverFeedPrefix returns the prefix of backend server registrations.
func (h *Host) serverFeedPrefix() string {
	for _, f := range h.deps.Feeds {
		if f.Servers {
			return f.Prefix
		}
	}
	return ""
}
