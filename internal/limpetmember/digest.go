package limpetmember

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Sign tells when a VM last reported, without its state. In a large system VMs
// exchange the signs of all VMs, and states only where they changed.
type Sign struct {
	// ID identifies the VM's incarnation, see SignID.
	ID uint32
	// Version is that of the state that goes with the sign.
	Version    uint64
	ReportedAt time.Time
}

// SignID returns the ID of an incarnation in signs. Two incarnations may share
// an ID, in which case a VM may count as live for as long as the other one is.
func SignID(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// minSignLead is the least time by which a sign must be newer than that of the
// receiver to be worth sending.
const minSignLead = time.Second

// Signs returns the signs of the VMs that are not down.
func (t *Table) Signs(now time.Time) []Sign {
	signs := make([]Sign, 0, len(t.states))
	timeout := t.downTimeout()
	for _, s := range t.states {
		if now.Sub(s.ReportedAt) <= timeout {
			signs = append(signs, s.sign())
		}
	}
	return signs
}

func (s *State) sign() Sign {
	return Sign{ID: SignID(s.Incarnation), Version: s.Version, ReportedAt: s.ReportedAt}
}

// NextVersion returns the version of a VM's next state, where s is its last one.
func (s *State) NextVersion(next State) uint64 {
	same := s.StoreDown == next.StoreDown && s.Leaving == next.Leaving && slices.Equal(s.Duties, next.Duties)
	if same && (!next.StoreDown || s.Applied == next.Applied) {
		return s.Version
	}
	return s.Version + 1
}

// Refresh applies the signs of another VM to the states that are known. Of a VM
// whose state has changed since, neither its duties nor a lost store are taken
// for granted until the state arrives.
func (t *Table) Refresh(signs []Sign) {
	byID := signsByID(signs)
	for name, s := range t.states {
		if sign, ok := byID[SignID(s.Incarnation)]; ok && sign.ReportedAt.After(s.ReportedAt) {
			s.ReportedAt = sign.ReportedAt
			if sign.Version > s.Version {
				s.Duties, s.StoreDown = nil, false
			}
			t.states[name] = s
		}
	}
}

// Missing compares the table with the signs of another VM. It returns states that
// the VM lacks, at most limit of them chosen at random, and the signs that are
// newer than its own.
func (t *Table) Missing(now time.Time, theirs []Sign, limit int, r *rand.Rand) (states []State, signs []Sign) {
	byID := signsByID(theirs)
	timeout := t.downTimeout()
	for _, s := range t.states {
		if now.Sub(s.ReportedAt) > timeout {
			continue
		}
		own := s.sign()
		known, ok := byID[own.ID]
		switch {
		case !ok || known.Version < own.Version:
			states = append(states, s)
		case own.ReportedAt.Sub(known.ReportedAt) >= minSignLead:
			signs = append(signs, own)
		}
	}
	if len(states) > limit {
		// The order of a map must not decide, so that a seed reproduces a run.
		slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
		r.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
		states = states[:limit]
	}
	return states, signs
}

func signsByID(signs []Sign) map[uint32]Sign {
	byID := make(map[uint32]Sign, len(signs))
	for _, s := range signs {
		byID[s.ID] = s
	}
	return byID
}
