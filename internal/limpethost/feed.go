package limpethost

import (
	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

// A feed is a prefix of the store that this VM follows, itself or through the
// director.
type feed struct {
	prefix string
	// applyListing applies a complete listing of the prefix, and applyChanges
	// changes of its values.
	applyListing func(l limpetstore.Listing)
	applyChanges func(values []limpetstore.Value)
}

// newFeeds returns the feeds of the deployment and that of crash records.
func (h *Host) newFeeds() []feed {
	feeds := []feed{{
		prefix: limpetcrash.Prefix,
		applyListing: func(l limpetstore.Listing) {
			h.crashes.ApplyListing(h.group.Context(), l.Values, l.Revision)
		},
		applyChanges: func(values []limpetstore.Value) { h.crashes.ApplyChanges(h.group.Context(), values) },
	}}
	for _, f := range h.deps.Feeds {
		feeds = append(feeds, feed{
			prefix: f.Prefix,
			applyListing: func(l limpetstore.Listing) {
				h.sendUpdate(siteUpdate{records: f.decodeAll(l.Values), complete: true, revision: l.Revision, feed: f.Prefix})
			},
			applyChanges: func(values []limpetstore.Value) {
				h.sendUpdate(siteUpdate{records: f.decodeAll(values), feed: f.Prefix})
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
