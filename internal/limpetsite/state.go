package limpetsite

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// lapseGrace is how long a server whose entry vanished around an outage of
// the store is kept; a live one has registered again by then.
const lapseGrace = 2200 * time.Millisecond

// A Record is one decoded value of the store. Exactly one of the pointers is
// set, or none when the value names nothing that can be used.
type Record struct {
	Key      string
	Revision uint64
	Deleted  bool
	Config   *Config
	Server   *Server
	Named    *Named
	Retire   *Retirement
}

type serverEntry struct {
	server   *Server
	revision uint64
	// lapsed is set while the entry is gone but the server may still live.
	lapsed time.Time
}

// A State is the owner's side of snapshots. Changes are applied in any order:
// one that is not newer than what is known of its key is ignored.
type State struct {
	config   *Config
	revision uint64
	named    map[string]Named
	seen     map[string]uint64
	retiring map[string]Retirement
	servers  map[string]serverEntry
	// disturbed is until when vanished entries may return.
	disturbed time.Time
}

// NewState returns a state that knows nothing.
func NewState() *State {
	return &State{
		named: map[string]Named{}, seen: map[string]uint64{},
		retiring: map[string]Retirement{}, servers: map[string]serverEntry{},
	}
}

// A Change says what an applied record changed, for the log.
type Change struct {
	What string
	Name string
	// Routine changes are those of weight versions alone, which engines tell of
	// all day.
	Routine bool
}

// Apply takes one change of the store. It reports whether anything changed.
func (s *State) Apply(r Record, now time.Time) (Change, bool) {
	if r.Revision <= s.seen[r.Key] {
		return Change{}, false
	}
	s.seen[r.Key] = r.Revision
	if id, ok := serverOf(r); ok {
		return s.applyServer(id, r, now)
	}
	switch {
	case r.Config != nil:
		if r.Revision > s.revision {
			s.config, s.revision = r.Config, r.Revision
			return Change{What: "configuration", Name: r.Key}, true
		}
	case r.Named != nil:
		if r.Named.Version > s.named[r.Key].Version {
			s.named[r.Key] = *r.Named
			return Change{What: "version", Name: r.Named.Model}, true
		}
	case r.Retire != nil:
		s.retiring[r.Retire.VM] = *r.Retire
		return Change{What: "retirement", Name: r.Retire.VM}, true
	}
	return Change{}, false
}

// ServerKey is the prefix of Record keys that stand for servers, in the
// product's own terms.
const ServerKey = "server/"

func serverOf(r Record) (string, bool) { return strings.CutPrefix(r.Key, ServerKey) }

func (s *State) applyServer(id string, r Record, now time.Time) (Change, bool) {
	entry, known := s.servers[id]
	if r.Deleted {
		if !known {
			return Change{}, false
		}
		if now.Before(s.disturbed) && !entry.server.Draining {
			entry.lapsed, entry.revision = s.disturbed, r.Revision
			s.servers[id] = entry
			return Change{}, false
		}
		delete(s.servers, id)
		return Change{What: "server gone", Name: id}, true
	}
	if r.Server == nil {
		// An entry that cannot be read names no server to use.
		if known {
			delete(s.servers, id)
			return Change{What: "server unreadable", Name: id}, true
		}
		return Change{}, false
	}
	s.servers[id] = serverEntry{server: r.Server, revision: r.Revision}
	return describe(entry, r.Server), !known || !sameServer(entry.server, r.Server) || !entry.lapsed.IsZero()
}

func describe(before serverEntry, after *Server) Change {
	switch {
	case before.server == nil:
		return Change{What: "server added", Name: after.ID}
	case after.Draining && !before.server.Draining:
		return Change{What: "server draining", Name: after.ID}
	case before.lapsed.IsZero() && sameButWeights(before.server, after):
		return Change{What: "weights", Name: after.ID, Routine: true}
	}
	return Change{What: "server changed", Name: after.ID}
}

func sameServer(a, b *Server) bool {
	return sameButWeights(a, b) && maps.Equal(a.Models, b.Models)
}

func sameButWeights(a, b *Server) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.Spot == b.Spot && a.Born == b.Born
}

// Listed takes the servers' keys of a complete listing at a revision: those
// that it lacks have vanished.
func (s *State) Listed(keys map[string]bool, revision uint64, now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		key := ServerKey + id
		if keys[key] || s.seen[key] > revision {
			continue
		}
		if change, ok := s.Apply(Record{Key: key, Revision: revision, Deleted: true}, now); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// Disturbed records that the store did not answer; entries that vanish until
// some time after its return may only have lapsed.
func (s *State) Disturbed(now time.Time) { s.disturbed = now.Add(lapseGrace) }

// Expire drops servers that did not register again. It reports those dropped
// and when to call it next, which is zero when nothing lapses.
func (s *State) Expire(now time.Time) (gone []Change, next time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		entry := s.servers[id]
		if entry.lapsed.IsZero() {
			continue
		}
		until := entry.lapsed
		if s.disturbed.After(until) {
			until = s.disturbed
		}
		if !now.Before(until) {
			delete(s.servers, id)
			gone = append(gone, Change{What: "server gone", Name: id})
			continue
		}
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return gone, next
}

// Snapshot returns an immutable copy of what is known.
func (s *State) Snapshot() *Snapshot {
	view := &Snapshot{
		Revision: s.revision, Config: s.config, Named: map[string]int{}, Retiring: maps.Clone(s.retiring),
		servers: map[string][]*Server{}, byID: map[string]*Server{},
	}
	for _, n := range s.named {
		view.Named[n.Model] = n.Version
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		server := s.servers[id].server
		view.byID[id] = server
		if !server.Draining {
			view.servers[server.Service] = append(view.servers[server.Service], server)
		}
	}
	return index(view)
}
