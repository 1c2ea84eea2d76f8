package limpethost

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetupstream"
)

// limitPrefix is the prefix of the limits of servers in the mirror. They are not
// in the store.
const limitPrefix = "limit/"

// startLimits prepares what keeps servers within the request rates that they name.
func (h *Host) startLimits() {
	h.limits = limpetlimit.NewLimits(h.deps.Now, h.Log, h.Metrics.Registry, h.publishLimit)
	h.limits.Bound = limpetlimit.ColdBound{Overage: h.Settings.Bounds.ColdOverage, Slack: h.Settings.Bounds.ColdSlack}
	h.limits.PublishCold = h.publishCold
	h.gate = limpetlimit.NewGate(limpetlimit.Deps{
		Limits: h.limits, Ask: h.askPermit, VMs: func() int { return 1 + h.roster.size() },
		Fence: func() uint64 { return h.director.Fence() }, SendsAlone: func(server string) bool { return h.roster.owns(h.Settings.VM, server) },
		Log: h.Log, Metrics: h.Metrics.Registry, Now: h.deps.Now,
	})
	h.deps.Upstream.Check, h.deps.Upstream.Probe = h.checkWithPermit(h.deps.Upstream.Check), h.checkWithPermit(h.deps.Upstream.Probe)
	h.startDetour()
	h.deps.Upstream = h.limitUpstream(h.deps.Upstream)
}

// limitUpstream returns a client that records the request rates that servers name
// in their answers, whichever part of the system sent the request, and that keeps
// its checks of servers within these rates.
func (h *Host) limitUpstream(client limpetupstream.Client) limpetupstream.Client {
	if send := client.Send; send != nil {
		client.Send = func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			reply, err := send(ctx, c)
			if err == nil && reply.Leaving && !reply.Misdirected {
				h.markLeaving(c.Server)
			}
			// A misdirected request was answered by another server.
			if err == nil && !reply.Misdirected && (reply.Limit > 0 || reply.ProvesRun()) {
				h.limits.Observe(c.Server, reply.Limit)
			}
			return reply, err
		}
	}
	if check := client.Check; check != nil {
		client.Check = func(ctx context.Context, s *limpetsite.Server, path string) limpetupstream.Condition {
			// Checks of cold servers get their permits in checkWithPermit.
			if h.gate.Limited(s.ID) && !h.gate.Cold(s.ID) && !h.permitNow(ctx, s.ID) {
				return limpetupstream.Undetermined
			}
			return check(ctx, s, path)
		}
	}
	return client
}

// checkWithPermit keeps all checks over this VM's own links, also those for other VMs,
// within the rates of cold servers.
func (h *Host) checkWithPermit(check checkFunc) checkFunc {
	if check == nil {
		return nil
	}
	return func(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition {
		if !h.permitIfCold(ctx, s.ID) {
			return limpetupstream.Undetermined
		}
		return check(ctx, s, healthPath)
	}
}

// permitIfCold obtains a permit to send a request to a server at once if it is cold.
func (h *Host) permitIfCold(ctx context.Context, server string) bool {
	return !h.gate.Cold(server) || h.permitNow(ctx, server)
}

// permitNow obtains a permit to send a request to a limited server at once.
func (h *Host) permitNow(ctx context.Context, server string) bool {
	_, _, ok := h.gate.Permit(ctx, "", []string{server}, 0)
	return ok
}

// askPermit asks the director for a permit, which may be this VM.
func (h *Host) askPermit(ctx context.Context, r limpetlimit.Request) (limpetlimit.Grant, error) {
	if h.director.IsDirector() {
		return h.gate.Decide(r), nil
	}
	client := h.relay.Load()
	if client == nil {
		return limpetlimit.Grant{}, limpeterror.Unavailable.New("there is no director")
	}
	return client.Permit(ctx, r, h.deps.Now())
}

// decidePermit answers the request of another VM for a permit.
func (h *Host) decidePermit(r limpetlimit.Request) (grant limpetlimit.Grant, directing bool) {
	if !h.director.IsDirector() {
		return limpetlimit.Grant{}, false
	}
	return h.gate.Decide(r), true
}

type limitDocument struct {
	Incarnation int64   `json:"incarnation,omitempty"`
	Rate        float64 `json:"rate"`
}

// publishLimit passes a limit that has changed on to the VMs that follow this
// one.
func (h *Host) publishLimit(l limpetlimit.Limit) {
	v := limpetrelay.Value{Value: limpetstore.Value{Key: limitPrefix + l.Server, Revision: h.limitRevision.Add(1), Deleted: l.Rate == 0}}
	if !v.Deleted {
		// Encoding cannot fail for this type.
		v.Data, _ = json.Marshal(limitDocument{Incarnation: l.Incarnation, Rate: l.Rate})
	}
	h.mirror.Apply(limpetrelay.Changes(limitPrefix, []limpetrelay.Value{v}))
}

// fullUpdateAge is the assumed age of the limits in a full update of the mirror;
// those in other updates have just changed.
const fullUpdateAge = time.Second

// newLimitFeed returns the feed of limits, which VMs get from the director only.
func (h *Host) newLimitFeed() feed {
	apply := func(values []limpetstore.Value, at time.Time) {
		limits := make([]limpetlimit.Limit, 0, len(values))
		for _, v := range values {
			l := limpetlimit.Limit{Server: strings.TrimPrefix(v.Key, limitPrefix), At: at}
			var d limitDocument
			if !v.Deleted {
				if err := json.Unmarshal(v.Data, &d); err != nil {
					h.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
					continue
				}
			}
			l.Incarnation, l.Rate = d.Incarnation, d.Rate
			limits = append(limits, l)
		}
		h.limits.Merge(limits)
	}
	return feed{
		prefix: limitPrefix, relayedOnly: true,
		applyListing: func(l limpetstore.Listing) []limpetsite.Record {
			apply(l.Values, h.deps.Now().Add(-fullUpdateAge))
			return nil
		},
		applyChanges: func(values []limpetstore.Value) []limpetsite.Record {
			apply(values, h.deps.Now())
			return nil
		},
	}
}

// newRelayClient returns the HTTP client for calls to other VMs.
func (h *Host) newRelayClient() *http.Client {
	if h.deps.RelayTransport != nil {
		return &http.Client{Transport: h.deps.RelayTransport}
	}
	return limpetrelay.NewHTTPClient()
}
