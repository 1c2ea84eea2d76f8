// Package limpetquarantine owns the decision which requests crash the backend
// servers that run them. A State is changed by one owner; View returns what
// traffic reads.
package limpetquarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Threshold is the number of distinct servers that a request must crash
// before it is quarantined.
const Threshold = 2

// Fingerprint identifies a request by account, service and body.
func Fingerprint(account, service string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(account)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Blame returns which of the requests that ran on a crashed server are blamed
// for it. When suspects of an earlier crash ran there, only they are, so that
// requests which merely shared the batch are not.
func Blame(running []uint64, suspects map[uint64]bool) []uint64 {
	var blamed []uint64
	for _, f := range running {
		if suspects[f] {
			blamed = append(blamed, f)
		}
	}
	if len(blamed) > 0 {
		return blamed
	}
	return slices.Clone(running)
}

// A Case holds what is known against one request. At is the last report.
type Case struct {
	Account string
	Servers map[string]bool
	At      time.Time
}

// Guilty reports whether the request is quarantined.
func (c Case) Guilty() bool { return len(c.Servers) >= Threshold }

// A State holds all cases.
type State struct {
	cases map[uint64]Case
	keep  time.Duration
}

// New returns a state that drops suspects that were not blamed again for so
// long. Quarantined requests stay until they are released.
func New(keep time.Duration) *State {
	return &State{cases: map[uint64]Case{}, keep: keep}
}

// Report records that a request is blamed for the crash of a server, and
// reports whether it is now quarantined and was not before.
func (s *State) Report(now time.Time, fingerprint uint64, account, server string) bool {
	c, ok := s.cases[fingerprint]
	was := ok && c.Guilty()
	c.Servers = maps.Clone(c.Servers)
	if c.Servers == nil {
		c.Servers = map[string]bool{}
	}
	c.Servers[server] = true
	c.Account, c.At = account, now
	s.cases[fingerprint] = c
	return c.Guilty() && !was
}

// Release drops a case.
func (s *State) Release(fingerprint uint64) { delete(s.cases, fingerprint) }

// Expire drops suspects whose last report is too old.
func (s *State) Expire(now time.Time) {
	for f, c := range s.cases {
		if !c.Guilty() && now.Sub(c.At) > s.keep {
			delete(s.cases, f)
		}
	}
}

// A View holds an immutable copy of a state for traffic to read.
type View struct {
	Suspects    map[uint64]bool
	Quarantined map[uint64]Case
}

// View returns a copy.
func (s *State) View() View {
	v := View{Suspects: map[uint64]bool{}, Quarantined: map[uint64]Case{}}
	for f, c := range s.cases {
		if c.Guilty() {
			v.Quarantined[f] = c
		} else {
			v.Suspects[f] = true
		}
	}
	return v
}
