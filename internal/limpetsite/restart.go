package limpetsite

import "time"

// restartSkew allows for the difference between the clocks of a server and of a
// VM.
const restartSkew = 500 * time.Millisecond

// MayHaveSent reports whether a later start of a server with other software, and
// not the one that was chosen, may have sent an answer that began at a time.
func (s *Server) MayHaveSent(chosen *Server, began time.Time) bool {
	return s.ID == chosen.ID && s.Incarnation != chosen.Incarnation && s.Software != chosen.Software &&
		!StartedAfter(s.Incarnation, began)
}

// StartedAfter reports whether a start of a server was certainly later than an answer
// that began at a time.
func StartedAfter(incarnation int64, began time.Time) bool {
	return !began.After(time.UnixMilli(incarnation).Add(-restartSkew))
}

// A Start identifies one start of a server's process and the software that it ran.
type Start struct {
	Server      string
	Incarnation int64
	Software    Software
}

const (
	// formerRetention is how long an earlier start of a server is remembered, which is
	// longer than callers may take up what it began.
	formerRetention = 150 * time.Second
	// maxFormerStarts bounds the servers of which earlier starts are remembered, and
	// maxStartsOfServer those of one server, the latest of which are kept.
	maxFormerStarts   = 4096
	maxStartsOfServer = 8
)

// A formerStart is an earlier start of a server, with the time at which this VM
// learned that it had ended.
type formerStart struct {
	server  *Server
	endedAt time.Time
}

// serverStarts holds the earlier starts of one server, in the order in which they
// ended.
type serverStarts []formerStart

// endedAt returns when the last of the starts ended.
func (s serverStarts) endedAt() time.Time { return s[len(s)-1].endedAt }

// formerStarts holds earlier starts by server ID. It is not modified once it is
// shared.
type formerStarts map[string]serverStarts

// with returns the starts with one more, and without those that are forgotten by now.
func (f formerStarts) with(ended *Server, now time.Time) formerStarts {
	next := make(formerStarts, len(f)+1)
	oldest := ""
	for id, starts := range f {
		if now.Sub(starts.endedAt()) >= formerRetention {
			continue
		}
		next[id] = starts
		if oldest == "" || starts.endedAt().Before(next[oldest].endedAt()) {
			oldest = id
		}
	}
	if len(next) >= maxFormerStarts {
		delete(next, oldest)
	}
	earlier := next[ended.ID]
	earlier = earlier[max(0, len(earlier)-maxStartsOfServer+1):]
	next[ended.ID] = append(earlier[:len(earlier):len(earlier)], formerStart{server: ended, endedAt: now})
	return next
}

// StartedAgain reports whether a later start of a server, with other software than
// the given one, may have sent an answer that began at a time. The server need not be
// registered any more.
func (s *Snapshot) StartedAgain(chosen Start, began time.Time) bool {
	expected := &Server{ID: chosen.Server, Incarnation: chosen.Incarnation, Software: chosen.Software}
	later := func(server *Server) bool {
		return server != nil && server.Incarnation > chosen.Incarnation && server.MayHaveSent(expected, began)
	}
	if later(s.byID[chosen.Server]) {
		return true
	}
	for _, former := range s.former[chosen.Server] {
		if later(former.server) {
			return true
		}
	}
	return false
}
