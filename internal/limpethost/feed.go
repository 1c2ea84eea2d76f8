package limpethost

import (
	"sync"

	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

// A feed is a prefix of the store that this VM follows, itself or through the
// director.
type feed struct {
	prefix string
	// relayedOnly is set if the feed is not in the store.
	relayedOnly bool
	// applyListing applies a complete listing of the prefix, and applyChanges
	// changes of its values. They return the records of the values, or nil if
	// these are not about the deployment.
	applyListing func(l limpetstore.Listing) []limpetsite.Record
	applyChanges func(values []limpetstore.Value) []limpetsite.Record
}

// newFeeds returns the feeds of the deployment, of crash records, and of what VMs get
// from the director only.
func (h *Host) newFeeds() []feed {
	feeds := []feed{h.newLimitFeed(), h.newColdFeed(), h.newRosterFeed(), h.newLeavingFeed(), h.newSilenceFeed(), h.newCapacityFeed(), {
		prefix: limpetcrash.Prefix,
		applyListing: func(l limpetstore.Listing) []limpetsite.Record {
			h.crashes.ApplyListing(h.group.Context(), l.Values, l.Revision)
			return nil
		},
		applyChanges: func(values []limpetstore.Value) []limpetsite.Record {
			h.crashes.ApplyChanges(h.group.Context(), values)
			return nil
		},
	}}
	for _, f := range h.deps.Feeds {
		feeds = append(feeds, feed{
			prefix: f.Prefix,
			applyListing: func(l limpetstore.Listing) []limpetsite.Record {
				records := f.decodeAll(l.Values)
				h.sendUpdate(siteUpdate{records: records, complete: true, revision: l.Revision, feed: f.Prefix})
				return records
			},
			applyChanges: func(values []limpetstore.Value) []limpetsite.Record {
				records := f.decodeAll(values)
				h.sendUpdate(siteUpdate{records: records, feed: f.Prefix})
				return records
			},
		})
	}
	return feeds
}

func (f Feed) decodeAll(values []limpetstore.Value) []limpetsite.Record {
	records := make([]limpetsite.Record, 0, len(values))
	for _, v := range values {
		records = append(records, f.Decode(v))
	}
	return records
}

// relevance tells the mirror which values other VMs need: of backend servers'
// entries only those of services that they send requests to. Engines that only
// run items are named in the director's orders. It is safe for concurrent use.
type relevance struct {
	mu sync.Mutex
	// revision is that of the newest configuration that was mirrored.
	revision uint64
}

// changes returns the changes of the mirror for values of the store with the
// given records. Apply makes the change that applies the values.
func (r *relevance) changes(values []limpetstore.Value, records []limpetsite.Record, apply func([]limpetrelay.Value) limpetrelay.Apply) []limpetrelay.Apply {
	mirrored := make([]limpetrelay.Value, len(values))
	for n, v := range values {
		mirrored[n].Value = v
	}
	var changes []limpetrelay.Apply
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, record := range records {
		switch {
		case record.Server != nil:
			mirrored[n].Topic = record.Server.Service
		case record.Config != nil && record.Revision > r.revision:
			r.revision = record.Revision
			changes = append(changes, limpetrelay.Relevant(requestedServices(record.Config)))
		}
	}
	return append(changes, apply(mirrored))
}

// requestedServices returns the services that VMs other than the director send
// requests to.
func requestedServices(c *limpetsite.Config) map[string]bool {
	services := map[string]bool{}
	for _, route := range c.Routes {
		if route.Kind == limpetsite.Rollout {
			continue
		}
		for _, t := range route.Targets {
			services[t.Service] = true
		}
	}
	return services
}
