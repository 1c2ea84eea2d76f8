package limpethost

import (
	"encoding/json"
	"strings"
	"time"

	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

// coldPrefix is the prefix of the cold servers in the mirror. They are not in the
// store.
const coldPrefix = "cold/"

// coldDocument holds times in milliseconds since 1970, since a value may be read long
// after it was written.
type coldDocument struct {
	Service     string `json:"service,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Until       int64  `json:"until"`
	At          int64  `json:"at"`
	Presumed    bool   `json:"presumed,omitempty"`
}

// publishCold passes changes of cold servers on to the VMs that follow this one. What
// a server said last is kept while it is registered: a VM that learns of a newer
// presumption late must know that the server is warm.
func (h *Host) publishCold(facts []limpetlimit.Cold) {
	values := make([]limpetrelay.Value, 0, len(facts))
	for _, f := range facts {
		v := limpetrelay.Value{Value: limpetstore.Value{Key: coldPrefix + f.Server, Revision: h.coldRevision.Add(1)}, Topic: f.Service}
		if v.Deleted = f.Forgotten; !v.Deleted {
			// Encoding cannot fail for this type.
			v.Data, _ = json.Marshal(coldDocument{
				Service: f.Service, Incarnation: f.Incarnation, Until: f.Until.UnixMilli(), At: f.At.UnixMilli(), Presumed: f.Presumed,
			})
		}
		values = append(values, v)
	}
	h.mirror.Apply(limpetrelay.Changes(coldPrefix, values))
}

// newColdFeed returns the feed of cold servers, which VMs get from the director only.
func (h *Host) newColdFeed() feed {
	apply := func(values []limpetstore.Value) []limpetsite.Record {
		facts := make([]limpetlimit.Cold, 0, len(values))
		for _, v := range values {
			if v.Deleted {
				// The time that was named is over here, too.
				continue
			}
			var d coldDocument
			if err := json.Unmarshal(v.Data, &d); err != nil {
				h.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
				continue
			}
			facts = append(facts, limpetlimit.Cold{
				Server: strings.TrimPrefix(v.Key, coldPrefix), Service: d.Service, Incarnation: d.Incarnation,
				Until: time.UnixMilli(d.Until), At: time.UnixMilli(d.At), Presumed: d.Presumed,
			})
		}
		h.limits.MergeCold(facts)
		return nil
	}
	return feed{
		prefix: coldPrefix, relayedOnly: true,
		applyListing: func(l limpetstore.Listing) []limpetsite.Record { return apply(l.Values) },
		applyChanges: apply,
	}
}
