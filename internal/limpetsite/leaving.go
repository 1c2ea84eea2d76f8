package limpetsite

import (
	"time"
)

// A Leaving is the word of a server, in one of its answers, that it is leaving. It
// holds for one start of the server, whatever its registration says.
type Leaving struct {
	Server      string
	Incarnation int64
}

const (
	// maxLeaving bounds the words that are remembered. Those of servers without a
	// registration go first.
	maxLeaving = 4096
	// leavingMargin is the part of the time for which a service goes on with leaving
	// servers, if it has no others, that is left for requests under way.
	leavingMargin = 300 * time.Millisecond
)

// A leavingServer is a server that said that it is leaving.
type leavingServer struct {
	incarnation int64
	// at is when this VM first learned of it.
	at time.Time
}

// MarkLeaving records that a server said that it is leaving, and reports whether that
// is new.
func (s *State) MarkLeaving(l Leaving, now time.Time) (Change, bool) {
	entry, registered := s.servers[l.Server]
	if registered && l.Incarnation == 0 {
		l.Incarnation = entry.server.Incarnation
	}
	if _, known := s.leaving[l.Server]; known && s.leaving[l.Server].incarnation == l.Incarnation {
		return Change{}, false
	}
	if registered && entry.server.Incarnation > l.Incarnation {
		// The word of an earlier start.
		return Change{}, false
	}
	if len(s.leaving) >= maxLeaving {
		s.evictLeaving()
	}
	s.leaving[l.Server] = leavingServer{incarnation: l.Incarnation, at: now}
	s.clock = now
	return Change{What: ServerLeaving, Name: l.Server}, true
}

// The changes of what servers say of their leaving.
const (
	ServerLeaving = "server leaving"
	LeavingOver   = "server leaving over"
	// LeavingForgotten is the end of a word that was dropped because there are too
	// many.
	LeavingForgotten = "server leaving forgotten"
)

// evictLeaving forgets one word: the oldest of servers without a registration, or of
// all if there are none.
func (s *State) evictLeaving() {
	oldest := ""
	better := func(id string) bool {
		if oldest == "" {
			return true
		}
		_, a := s.servers[id]
		_, b := s.servers[oldest]
		if a != b {
			return b
		}
		return s.leaving[id].at.Before(s.leaving[oldest].at)
	}
	for id := range s.leaving {
		if better(id) {
			oldest = id
		}
	}
	delete(s.leaving, oldest)
	s.ended = append(s.ended, Change{What: LeavingForgotten, Name: oldest})
}

// endLeaving forgets the words of servers of which a later start is registered, with
// the same ID or address.
func (s *State) endLeaving(registered *Server) (ended []Change) {
	if l, known := s.leaving[registered.ID]; known && l.incarnation != registered.Incarnation {
		delete(s.leaving, registered.ID)
		ended = append(ended, Change{What: LeavingOver, Name: registered.ID})
	}
	for id := range s.leaving {
		entry, known := s.servers[id]
		if id != registered.ID && known && entry.server.Address == registered.Address && entry.server.Incarnation < registered.Incarnation {
			delete(s.leaving, id)
			ended = append(ended, Change{What: LeavingOver, Name: id})
		}
	}
	return ended
}

// isLeaving reports whether a registered server said that it is leaving.
func (s *State) isLeaving(server *Server) bool {
	l, known := s.leaving[server.ID]
	return known && l.incarnation == server.Incarnation
}

// leavingServers returns copies, marked as draining, of the registered servers that
// said that they are leaving. If a service has no others, they take work for
// LeavingGrace less leavingMargin, in case that is a mistake.
func (s *State) leavingServers() map[string]*Server {
	if len(s.leaving) == 0 {
		return nil
	}
	staying := map[string]bool{}
	for _, entry := range s.servers {
		if !entry.server.Draining && !s.isLeaving(entry.server) {
			staying[entry.server.Service] = true
		}
	}
	marked := map[string]*Server{}
	for id := range s.leaving {
		entry, known := s.servers[id]
		if !known || entry.server.Draining || !s.isLeaving(entry.server) {
			continue
		}
		if !staying[entry.server.Service] && s.clock.Before(s.leavingDue(id)) {
			continue
		}
		draining := *entry.server
		draining.Draining = true
		marked[id] = &draining
	}
	return marked
}

func (s *State) leavingDue(id string) time.Time {
	return s.leaving[id].at.Add(max(0, s.LeavingGrace-leavingMargin))
}

// passLeavingDue advances the clock, and returns the servers whose time has ended
// meanwhile.
func (s *State) passLeavingDue(now time.Time) (ended []Change) {
	for id := range s.leaving {
		if due := s.leavingDue(id); s.clock.Before(due) && !now.Before(due) {
			ended = append(ended, Change{What: "server draining", Name: id})
		}
	}
	s.clock = now
	return ended
}

// IsLeaving reports whether a start of a server said that it is leaving, also if the
// server is not in the view. An unknown incarnation is 0.
func (s *Snapshot) IsLeaving(id string, incarnation int64) bool {
	said, known := s.leaving[id]
	return known && (incarnation == 0 || said == incarnation)
}

// Leaving returns the number of servers of a service that said that they are leaving.
func (s *Snapshot) Leaving(service string) int {
	n := 0
	for id := range s.leaving {
		if server := s.byID[id]; server != nil && server.Service == service {
			n++
		}
	}
	return n
}
