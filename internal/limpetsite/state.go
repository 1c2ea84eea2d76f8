package limpetsite

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// registrationGrace is how long a server is kept whose entry disappeared
// around an outage of the store; a live server registers again within this
// time.
const registrationGrace = 2200 * time.Millisecond

// A Record is a decoded value of the store. At most one of its pointers is
// set; none is if the value was deleted or cannot be used.
type Record struct {
	Key              string
	Revision         uint64
	Deleted          bool
	Config           *Config
	Server           *Server
	PublishedVersion *PublishedVersion
	Retirement       *Retirement
	Evacuation       *Evacuation
}

type serverEntry struct {
	server   *Server
	revision uint64
	// removalDue is set while the entry is missing although the server may
	// still be alive; the server is removed at that time unless it registers
	// again.
	removalDue time.Time
}

// A State is the mutable state that snapshots are taken of. Changes may arrive
// in any order: one that is not newer than the last change of its key is
// ignored.
type State struct {
	config *Config
	// revision is the store revision of config.
	revision  uint64
	published map[string]PublishedVersion
	// revisions holds the revision of the last change of each key.
	revisions map[string]uint64
	retiring  map[string]Retirement
	// evacuations holds the open requests to evacuate an availability zone, by key.
	evacuations map[string]Evacuation
	servers     map[string]serverEntry
	// graceEnds is the time until which servers whose entries disappear are
	// kept.
	graceEnds time.Time
	// leaving holds the servers that said that they are leaving, by ID. A service that
	// has no others goes on with them for LeavingGrace.
	leaving      map[string]leavingServer
	LeavingGrace time.Duration
	// Regions holds the region of each availability zone, by which homes are judged.
	Regions map[string]string
	// ended holds the changes that came with registrations and were not returned yet.
	ended []Change
	// clock is the time up to which the passing of LeavingGrace was considered.
	clock time.Time
	// former holds earlier starts of servers; it is replaced and never modified, since
	// snapshots share it.
	former formerStarts
	// ids holds the IDs of servers in order; nil if it must be made anew.
	ids []string
	// indexed is the last snapshot, whose tables of the configuration the next one
	// shares.
	indexed *Snapshot
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		published: map[string]PublishedVersion{}, revisions: map[string]uint64{},
		retiring: map[string]Retirement{}, servers: map[string]serverEntry{}, leaving: map[string]leavingServer{},
		evacuations: map[string]Evacuation{},
	}
}

// A Change describes, for the log, what a record changed.
type Change struct {
	What string
	Name string
	// Source says where a server's word that it is leaving came from.
	Source string
	// Routine is set for changes of weight versions alone, which engines
	// report continually.
	Routine bool
}

// Apply applies one change of the store, and reports whether it changed the
// state.
func (s *State) Apply(r Record, now time.Time) (Change, bool) {
	if r.Revision <= s.revisions[r.Key] {
		return Change{}, false
	}
	s.revisions[r.Key] = r.Revision
	if id, ok := serverID(r); ok {
		return s.applyServer(id, r, now)
	}
	switch {
	case r.Evacuation != nil:
		return s.beginEvacuation(r)
	case r.Deleted:
		return s.endEvacuation(r.Key)
	case r.Config != nil:
		if r.Revision > s.revision {
			s.config, s.revision = r.Config, r.Revision
			return Change{What: "configuration", Name: r.Key}, true
		}
	case r.PublishedVersion != nil:
		if r.PublishedVersion.Version > s.published[r.Key].Version {
			s.published[r.Key] = *r.PublishedVersion
			return Change{What: "version", Name: r.PublishedVersion.Model}, true
		}
	case r.Retirement != nil:
		s.retiring[r.Retirement.VM] = *r.Retirement
		return Change{What: "retirement", Name: r.Retirement.VM}, true
	}
	return Change{}, false
}

// ServerKey is the prefix of the keys of server records. It does not depend on
// the platform's own key scheme.
const ServerKey = "server/"

func serverID(r Record) (string, bool) { return strings.CutPrefix(r.Key, ServerKey) }

func (s *State) applyServer(id string, r Record, now time.Time) (Change, bool) {
	entry, known := s.servers[id]
	if r.Deleted {
		if !known {
			return Change{}, false
		}
		if now.Before(s.graceEnds) && !entry.server.Draining {
			entry.removalDue, entry.revision = s.graceEnds, r.Revision
			s.servers[id] = entry
			return Change{}, false
		}
		s.remove(id, now)
		return Change{What: "server gone", Name: id}, true
	}
	if r.Server == nil {
		// A server whose entry cannot be decoded must not be used.
		if known {
			s.remove(id, now)
			return Change{What: "server unreadable", Name: id}, true
		}
		return Change{}, false
	}
	s.ended = append(s.ended, s.endLeaving(r.Server)...)
	if !known {
		s.ids = nil
	} else if entry.server.Incarnation != r.Server.Incarnation {
		s.former = s.former.with(entry.server, now)
	}
	s.servers[id] = serverEntry{server: r.Server, revision: r.Revision}
	return serverChange(entry, r.Server), !known || !equalServers(entry.server, r.Server) || !entry.removalDue.IsZero() || s.reportsCold(entry.server, r.Server)
}

func (s *State) remove(id string, now time.Time) {
	s.former = s.former.with(s.servers[id].server, now)
	delete(s.servers, id)
	s.ids = nil
}

// serverIDs returns the IDs of servers in order.
func (s *State) serverIDs() []string {
	if s.ids == nil {
		s.ids = slices.Sorted(maps.Keys(s.servers))
	}
	return s.ids
}

func serverChange(before serverEntry, after *Server) Change {
	switch {
	case before.server == nil:
		return Change{What: "server added", Name: after.ID}
	case after.Draining && !before.server.Draining:
		return Change{What: "server draining", Name: after.ID}
	case before.removalDue.IsZero() && equalIgnoringWeights(before.server, after):
		return Change{What: "weights", Name: after.ID, Routine: true}
	}
	return Change{What: "server changed", Name: after.ID}
}

// reportsCold reports whether an entry has a report that matters about its server's
// being cold. Entries of other services may have reports, which are ignored.
func (s *State) reportsCold(before, after *Server) bool {
	if before.Cold == after.Cold || s.config == nil {
		return false
	}
	return slices.ContainsFunc(s.config.Services, func(service Service) bool {
		return service.Name == after.Service && service.MayBeCold()
	})
}

func equalServers(a, b *Server) bool {
	return equalIgnoringWeights(a, b) && maps.Equal(a.Models, b.Models)
}

func equalIgnoringWeights(a, b *Server) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.Spot == b.Spot && a.Incarnation == b.Incarnation && a.Software == b.Software
}

// ApplyListing applies a complete listing at a revision: servers whose keys are
// not in it are removed.
func (s *State) ApplyListing(keys map[string]bool, revision uint64, now time.Time) []Change {
	var changes []Change
	for _, id := range s.serverIDs() {
		key := ServerKey + id
		if keys[key] || s.revisions[key] > revision {
			continue
		}
		if change, ok := s.Apply(Record{Key: key, Revision: revision, Deleted: true}, now); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// RecordOutage records that the store did not respond. Server entries that
// disappear from now until some time after the outage may only have expired,
// although their servers are alive.
func (s *State) RecordOutage(now time.Time) { s.graceEnds = now.Add(registrationGrace) }

// TakeEnded returns the servers whose word that they are leaving is over, since the
// last call.
func (s *State) TakeEnded() []Change {
	ended := s.ended
	s.ended = nil
	return ended
}

// Expire removes the servers that did not register again in time. It returns
// those removed, and when to call it next, which is zero if no removal is
// pending.
func (s *State) Expire(now time.Time) (removed []Change, next time.Time) {
	removed = s.passLeavingDue(now)
	for _, id := range s.serverIDs() {
		entry := s.servers[id]
		if entry.removalDue.IsZero() {
			continue
		}
		due := entry.removalDue
		if s.graceEnds.After(due) {
			due = s.graceEnds
		}
		if !now.Before(due) {
			s.remove(id, now)
			removed = append(removed, Change{What: "server gone", Name: id})
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return removed, next
}

// Snapshot returns an immutable copy of the state.
func (s *State) Snapshot() *Snapshot {
	evacuated := s.evacuatedZones()
	view := &Snapshot{
		Revision: s.revision, Config: s.config, PublishedVersions: map[string]int{}, Retiring: maps.Clone(s.retiring),
		servers: map[string][]*Server{}, byID: make(map[string]*Server, len(s.servers)), latest: make(map[string]*Server, len(s.servers)),
		lasting: map[string][]*Server{}, leaving: map[string]int64{}, former: s.former, evacuated: evacuated, regions: s.Regions,
	}
	for _, p := range s.published {
		view.PublishedVersions[p.Model] = p.Version
	}
	leaving := s.leavingServers()
	for _, id := range s.serverIDs() {
		server := s.servers[id].server
		if marked := leaving[id]; marked != nil {
			server = marked
		}
		if !server.Draining && evacuated[server.Zone] {
			server = evacuate(server)
		}
		view.byID[id] = server
		if latest := view.latest[server.Address]; latest == nil || server.Incarnation > latest.Incarnation {
			view.latest[server.Address] = server
		}
		if !server.Draining {
			view.servers[server.Service] = append(view.servers[server.Service], server)
		}
	}
	for id, l := range s.leaving {
		view.leaving[id] = l.incarnation
	}
	view.indexLasting()
	if s.indexed != nil && s.indexed.Config == view.Config {
		view.hosts, view.named, view.keys, view.services = s.indexed.hosts, s.indexed.named, s.indexed.keys, s.indexed.services
	} else {
		index(view)
	}
	s.indexed = view
	return view
}
