package limpetcrash

import (
	"context"
	"slices"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetstore"
)

// A Suspect is a request with crash records in the store.
type Suspect struct {
	// Name is that of the request's fingerprint, and Account its client account.
	Name, Account string
	Quarantined   bool
	// Trials counts how often the request was sent although it was quarantined.
	Trials int
	// Servers holds the servers that crashed, Last the time of the last crash,
	// and Request the ID of the attempt under which it happened.
	Servers []string
	Last    time.Time
	Request string
}

// ReadSuspects returns the requests with crash records in the store that have not
// expired, the last crash first.
func ReadSuspects(ctx context.Context, store limpetstore.Store, now time.Time) ([]Suspect, error) {
	l, err := store.Scan(ctx, Prefix, "")
	if err != nil {
		return nil, err
	}
	state := limpetquarantine.New(Rules)
	suspects := map[uint64]*Suspect{}
	for _, v := range l.Values {
		r, err := Decode(v)
		if err != nil {
			return nil, err
		}
		if now.Sub(r.At) > Rules.QuarantineTTL {
			continue
		}
		s := suspects[r.Fingerprint]
		if s == nil {
			s = &Suspect{Name: limpetquarantine.Name(r.Fingerprint), Account: r.Account}
			suspects[r.Fingerprint] = s
		}
		if r.Trial > 0 {
			s.Trials = max(s.Trials, r.Trial)
			continue
		}
		state.Report(r.At, r.Crash)
		s.Servers = append(s.Servers, r.Server)
		if r.At.After(s.Last) {
			s.Last, s.Request = r.At, r.Request
		}
	}
	view := state.View()
	all := []Suspect{}
	for fingerprint, s := range suspects {
		_, s.Quarantined = view.Quarantined[fingerprint]
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		if order := b.Last.Compare(a.Last); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all, nil
}

// Release deletes the records of the request of a given name, so that all VMs
// send it again. The error has type Invalid for a text that is no name, and
// NotFound if the store has no record of the request.
func Release(ctx context.Context, store limpetstore.Store, name string) error {
	fingerprint, err := limpetquarantine.ParseName(name)
	if err != nil {
		return err
	}
	l, err := store.Scan(ctx, Prefix+limpetquarantine.Name(fingerprint)+"/", "")
	if err != nil {
		return err
	}
	if len(l.Values) == 0 {
		return limpeterror.NotFound.New("no crash is recorded for request %s", name)
	}
	for keys := range slices.Chunk(l.Values, limpetstore.MaxTransactionEntries) {
		var t limpetstore.Transaction
		for _, v := range keys {
			t.Deletes = append(t.Deletes, v.Key)
		}
		if _, err := store.Commit(ctx, t); err != nil {
			return err
		}
	}
	return nil
}
