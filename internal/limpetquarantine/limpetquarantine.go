// Package limpetquarantine decides which requests to quarantine because they
// crash the backend servers that run them. A State belongs to one goroutine;
// View returns an immutable copy for concurrent readers.
package limpetquarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
)

// Rules decide when a request is quarantined and for how long.
type Rules struct {
	// Threshold is the number of distinct servers that a request must have
	// crashed to be quarantined. A crash after the run had brought a part of the
	// answer counts half.
	Threshold int
	// SuspectTTL and QuarantineTTL are how long after its last crash a suspect
	// and a quarantined request are remembered. Without QuarantineTTL, a
	// quarantined request stays until it is released.
	SuspectTTL, QuarantineTTL time.Duration
	// MaxRequests bounds the number of requests that are remembered. Beyond it,
	// the suspect with the oldest crash is dropped, or the quarantined request
	// with the oldest one if there is no suspect.
	MaxRequests int
}

// Fingerprint identifies a request by its client account, its target (what is
// asked of whom, without the body) and its body. Callers cannot compute a
// request with the fingerprint of another one, since the hash is cryptographic.
func Fingerprint(account, target string, body []byte) uint64 {
	d := sha256.New()
	for _, part := range []string{account, target} {
		_, _ = io.WriteString(d, part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return binary.BigEndian.Uint64(d.Sum(nil))
}

// Name returns the name of a fingerprint in logs, tables and commands.
func Name(fingerprint uint64) string { return fmt.Sprintf("%s%016x", namePrefix, fingerprint) }

const (
	namePrefix = "q"
	// nameDigits is the number of hexadecimal digits after the prefix.
	nameDigits = 16
)

// ParseName parses the result of Name. The error has type Invalid.
func ParseName(name string) (uint64, error) {
	digits, ok := strings.CutPrefix(name, namePrefix)
	fingerprint, err := strconv.ParseUint(digits, 16, 64)
	if !ok || err != nil || len(digits) != nameDigits {
		return 0, limpeterror.Invalid.New("%q is not the name of a request, such as %s", name, Name(0))
	}
	return fingerprint, nil
}

// Blame returns the requests to report for the crash of a server, given those
// that ran on it. If suspects of an earlier crash are among them, only those
// are reported, so that requests of the same batch are not.
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

// A Crash is the crash of one server under a request.
type Crash struct {
	Fingerprint uint64
	Account     string
	// Server identifies the server and its incarnation.
	Server string
	// Partial is set if the run had brought a part of the answer.
	Partial bool
}

// Weights of crashes, in halves.
const (
	partialWeight = 1
	fullWeight    = 2
)

func (c Crash) weight() int {
	if c.Partial {
		return partialWeight
	}
	return fullWeight
}

// A CrashRecord holds the servers that a request is reported to have crashed,
// with the weight of each crash. At is the time of the last report or trial.
type CrashRecord struct {
	Account string
	Servers map[string]int
	At      time.Time
	// Trials counts how often the request was sent although it was quarantined.
	Trials int
}

// firstTrialDelay is the time from the last crash of a quarantined request until
// it may be sent once more, in case it was not the cause. The delay grows by
// trialDelayFactor with each trial.
const (
	firstTrialDelay  = 30 * time.Second
	trialDelayFactor = 4
)

// NextTrial returns when a quarantined request may be sent once more.
func (c CrashRecord) NextTrial() time.Time {
	delay := firstTrialDelay
	for range c.Trials {
		delay *= trialDelayFactor
	}
	return c.At.Add(delay)
}

// isQuarantined reports whether enough distinct servers are recorded.
func (r Rules) isQuarantined(c CrashRecord) bool {
	weight := 0
	for _, w := range c.Servers {
		weight += w
	}
	return weight >= r.Threshold*fullWeight
}

// ttl returns how long a record is kept, and whether it expires at all.
func (r Rules) ttl(c CrashRecord) (time.Duration, bool) {
	if r.isQuarantined(c) {
		return r.QuarantineTTL, r.QuarantineTTL > 0
	}
	return r.SuspectTTL, true
}

// A State holds the records of all suspected and quarantined requests.
type State struct {
	rules   Rules
	records map[uint64]CrashRecord
}

// New returns an empty state.
func New(rules Rules) *State { return &State{rules: rules, records: map[uint64]CrashRecord{}} }

// Report records a crash at a time, and reports whether that newly quarantines
// the request.
func (s *State) Report(at time.Time, crash Crash) bool {
	c, known := s.records[crash.Fingerprint]
	before := known && s.rules.isQuarantined(c)
	c.Servers = maps.Clone(c.Servers)
	if c.Servers == nil {
		c.Servers = map[string]int{}
	}
	c.Servers[crash.Server] = max(c.Servers[crash.Server], crash.weight())
	c.Account = crash.Account
	if at.After(c.At) {
		c.At = at
	}
	s.records[crash.Fingerprint] = c
	s.limit()
	return s.rules.isQuarantined(c) && !before
}

// RecordTrial records that a request is sent for the given number of times
// although it is quarantined. The crashes may be reported later.
func (s *State) RecordTrial(at time.Time, fingerprint uint64, trials int) {
	c := s.records[fingerprint]
	if trials <= c.Trials {
		return
	}
	c.Trials = trials
	if at.After(c.At) {
		c.At = at
	}
	s.records[fingerprint] = c
}

// limit drops records beyond the maximum number.
func (s *State) limit() {
	for s.rules.MaxRequests > 0 && len(s.records) > s.rules.MaxRequests {
		victim, found := uint64(0), false
		for f, c := range s.records {
			if !found || s.dropsBefore(f, c, victim) {
				victim, found = f, true
			}
		}
		delete(s.records, victim)
	}
}

// dropsBefore reports whether a record is dropped before that of other.
func (s *State) dropsBefore(f uint64, c CrashRecord, other uint64) bool {
	o := s.records[other]
	a, b := s.rules.isQuarantined(c), s.rules.isQuarantined(o)
	if a != b {
		return b
	}
	return cmp.Or(c.At.Compare(o.At), cmp.Compare(f, other)) < 0
}

// Withdraw deletes the crash of one server from a request's record.
func (s *State) Withdraw(fingerprint uint64, server string) {
	c, known := s.records[fingerprint]
	if !known {
		return
	}
	c.Servers = maps.Clone(c.Servers)
	delete(c.Servers, server)
	s.records[fingerprint] = c
	if len(c.Servers) == 0 {
		delete(s.records, fingerprint)
	}
}

// Release deletes the record of a request.
func (s *State) Release(fingerprint uint64) { delete(s.records, fingerprint) }

// Expire deletes the records whose time is over, and returns their fingerprints.
func (s *State) Expire(now time.Time) []uint64 {
	var expired []uint64
	for f, c := range s.records {
		if ttl, expires := s.rules.ttl(c); expires && now.Sub(c.At) > ttl {
			delete(s.records, f)
			expired = append(expired, f)
		}
	}
	return expired
}

// All returns all crashes that are remembered, in a fixed order.
func (s *State) All() []Crash {
	var all []Crash
	for f, c := range s.records {
		for server, weight := range c.Servers {
			all = append(all, Crash{Fingerprint: f, Account: c.Account, Server: server, Partial: weight < fullWeight})
		}
	}
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), strings.Compare(a.Server, b.Server))
	})
	return all
}

// Has reports whether a request is remembered.
func (s *State) Has(fingerprint uint64) bool {
	_, known := s.records[fingerprint]
	return known
}

// Crashes returns the number of servers that a request is known to have crashed.
func (s *State) Crashes(fingerprint uint64) int { return len(s.records[fingerprint].Servers) }

// Len returns the number of requests that are remembered.
func (s *State) Len() int { return len(s.records) }

// A View is an immutable copy of a State.
type View struct {
	Suspects    map[uint64]bool
	Quarantined map[uint64]CrashRecord
}

// View returns a copy of the current state.
func (s *State) View() View {
	v := View{Suspects: map[uint64]bool{}, Quarantined: map[uint64]CrashRecord{}}
	for f, c := range s.records {
		if len(c.Servers) == 0 {
			continue
		}
		if s.rules.isQuarantined(c) {
			v.Quarantined[f] = c
		} else {
			v.Suspects[f] = true
		}
	}
	return v
}
