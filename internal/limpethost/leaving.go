package limpethost

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

// leavingPrefix is the prefix, in the mirror, of servers that said that they are
// leaving. They are not in the store.
const leavingPrefix = "leaving/"

// Sources of a server's word that it is leaving, as named in logs.
const (
	toldThisVM  = "this_vm"
	toldOtherVM = "other_vm"
)

// maxLeavingReports bounds the servers that a VM tells the director of.
const maxLeavingReports = 4096

// A leavingReports holds the servers that said to this VM that they are leaving, of
// which it tells the director. It is safe for concurrent use.
type leavingReports struct {
	mu sync.Mutex
	// own holds all of them, and unsent those that the director was not told of.
	own, unsent map[limpetsite.Leaving]bool
}

func (r *leavingReports) add(l limpetsite.Leaving) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own == nil {
		r.own, r.unsent = map[limpetsite.Leaving]bool{}, map[limpetsite.Leaving]bool{}
	}
	if r.own[l] {
		return false
	}
	if len(r.own) >= maxLeavingReports {
		for other := range r.own {
			delete(r.own, other)
			delete(r.unsent, other)
			break
		}
	}
	r.own[l], r.unsent[l] = true, true
	return true
}

// take returns what the director must be told.
func (r *leavingReports) take() []limpetsite.Leaving {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []limpetsite.Leaving
	for l := range r.unsent {
		all = append(all, l)
	}
	clear(r.unsent)
	return all
}

// resend makes all servers unknown to the director, because it may not have been
// told, or is a new one.
func (r *leavingReports) resend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.own {
		r.unsent[l] = true
	}
}

// markLeaving records that a server said in an answer to this VM that it is leaving.
func (h *Host) markLeaving(s *limpetsite.Server) {
	l := limpetsite.Leaving{Server: s.ID, Incarnation: s.Incarnation}
	if h.leaving.add(l) {
		h.sendUpdate(siteUpdate{leaving: []limpetsite.Leaving{l}, source: toldThisVM})
	}
}

// mergeLeaving records what other VMs were told.
func (h *Host) mergeLeaving(leaving []limpetsite.Leaving) {
	h.sendUpdate(siteUpdate{leaving: leaving, source: toldOtherVM})
}

// applyLeaving applies the servers of an update that leave, and passes them on to the
// VMs that follow this one.
func (h *Host) applyLeaving(state *limpetsite.State, m siteUpdate, now time.Time) []limpetsite.Change {
	var changes []limpetsite.Change
	for _, l := range m.leaving {
		c, ok := state.MarkLeaving(l, now)
		if !ok {
			continue
		}
		c.Source = m.source
		changes = append(changes, c)
		h.publishLeaving(l.Server, l.Incarnation, false)
	}
	return changes
}

// countLeaving counts a change of a server's word that it is leaving.
func (h *Host) countLeaving(c limpetsite.Change) {
	switch c.What {
	case limpetsite.ServerLeaving:
		h.leavingChanges.WithLabelValues(c.Source).Inc()
	case limpetsite.LeavingOver:
		h.leavingChanges.WithLabelValues("over").Inc()
		h.publishLeaving(c.Name, 0, true)
	case limpetsite.LeavingForgotten:
		h.leavingChanges.WithLabelValues("forgotten").Inc()
		h.publishLeaving(c.Name, 0, true)
	}
}

type leavingDocument struct {
	Incarnation int64 `json:"incarnation"`
}

func (h *Host) publishLeaving(server string, incarnation int64, over bool) {
	v := limpetrelay.Value{Value: limpetstore.Value{Key: leavingPrefix + server, Revision: h.leavingRevision.Add(1), Deleted: over}}
	if !over {
		// Encoding cannot fail for this type.
		v.Data, _ = json.Marshal(leavingDocument{Incarnation: incarnation})
	}
	h.mirror.Apply(limpetrelay.Changes(leavingPrefix, []limpetrelay.Value{v}))
}

// newLeavingFeed returns the feed of servers that leave, which VMs get from the
// director only. A server's word is over by its registration, on each VM by itself.
func (h *Host) newLeavingFeed() feed {
	apply := func(values []limpetstore.Value) {
		var leaving []limpetsite.Leaving
		for _, v := range values {
			if v.Deleted {
				continue
			}
			var d leavingDocument
			if err := json.Unmarshal(v.Data, &d); err != nil {
				h.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
				continue
			}
			leaving = append(leaving, limpetsite.Leaving{Server: strings.TrimPrefix(v.Key, leavingPrefix), Incarnation: d.Incarnation})
		}
		if len(leaving) > 0 {
			h.mergeLeaving(leaving)
		}
	}
	return feed{
		prefix: leavingPrefix, relayedOnly: true,
		applyListing: func(l limpetstore.Listing) []limpetsite.Record { apply(l.Values); return nil },
		applyChanges: func(values []limpetstore.Value) []limpetsite.Record { apply(values); return nil },
	}
}
