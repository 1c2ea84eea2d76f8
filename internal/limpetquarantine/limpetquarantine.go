// Package limpetquarantine decides which requests to quarantine because they
// crash the backend servers that run them. A State belongs to one goroutine;
// View returns an immutable copy for concurrent readers.
package limpetquarantine

import (
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

// Threshold is the number of distinct servers that a request must have crashed
// to be quarantined.
const Threshold = 2

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

// A CrashRecord holds the servers that a request is reported to have crashed.
// At is the time of the last report.
type CrashRecord struct {
	Account string
	Servers map[string]bool
	At      time.Time
}

// IsQuarantined reports whether enough distinct servers are recorded.
func (c CrashRecord) IsQuarantined() bool { return len(c.Servers) >= Threshold }

// A State holds the records of all suspected and quarantined requests.
type State struct {
	records    map[uint64]CrashRecord
	suspectTTL time.Duration
}

// New returns an empty state. It deletes suspects without a new report for
// suspectTTL; quarantined requests stay until they are released.
func New(suspectTTL time.Duration) *State {
	return &State{records: map[uint64]CrashRecord{}, suspectTTL: suspectTTL}
}

// Report records that a request is suspected of crashing a server, and reports
// whether that newly quarantines the request.
func (s *State) Report(now time.Time, fingerprint uint64, account, server string) bool {
	c, ok := s.records[fingerprint]
	before := ok && c.IsQuarantined()
	c.Servers = maps.Clone(c.Servers)
	if c.Servers == nil {
		c.Servers = map[string]bool{}
	}
	c.Servers[server] = true
	c.Account, c.At = account, now
	s.records[fingerprint] = c
	return c.IsQuarantined() && !before
}

// Release deletes the record of a request.
func (s *State) Release(fingerprint uint64) { delete(s.records, fingerprint) }

// Expire deletes suspects whose last report is older than the TTL.
func (s *State) Expire(now time.Time) {
	for f, c := range s.records {
		if !c.IsQuarantined() && now.Sub(c.At) > s.suspectTTL {
			delete(s.records, f)
		}
	}
}

// A View is an immutable copy of a State.
type View struct {
	Suspects    map[uint64]bool
	Quarantined map[uint64]CrashRecord
}

// View returns a copy of the current state.
func (s *State) View() View {
	v := View{Suspects: map[uint64]bool{}, Quarantined: map[uint64]CrashRecord{}}
	for f, c := range s.records {
		if c.IsQuarantined() {
			v.Quarantined[f] = c
		} else {
			v.Suspects[f] = true
		}
	}
	return v
}
