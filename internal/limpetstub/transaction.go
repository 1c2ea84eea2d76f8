package limpetstub

import (
	"context"
	"errors"
	"sort"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

func (s *Store) commit(ctx context.Context, t limpetstore.Transaction) (revision uint64, err error) {
	err = s.call(ctx, "commit", firstKey(t), func() error {
		if err := s.validate(t); err != nil {
			return err
		}
		for _, w := range t.Writes {
			if w.Lease != 0 {
				s.leases[w.Lease].keys[w.Key] = true
			}
			revision = s.record(limpetstore.Value{Key: w.Key, Data: w.Data})
		}
		for _, key := range t.Deletes {
			if _, ok := s.values[key]; ok {
				revision = s.record(limpetstore.Value{Key: key, Deleted: true})
			}
		}
		return nil
	})
	return revision, err
}

func firstKey(t limpetstore.Transaction) string {
	if len(t.Writes) > 0 {
		return t.Writes[0].Key
	}
	return ""
}

func (s *Store) validate(t limpetstore.Transaction) error {
	if len(t.Checks)+len(t.Writes)+len(t.Deletes) > limpetstore.MaxTransactionEntries {
		return limpeterror.Invalid.New("store: too many entries")
	}
	for _, c := range t.Checks {
		if s.values[c.Key].Revision != c.Revision {
			return limpeterror.Conflict.New("store: %s is at revision %d", c.Key, s.values[c.Key].Revision)
		}
	}
	for _, w := range t.Writes {
		if len(w.Data) > limpetstore.MaxValue {
			return limpeterror.Invalid.New("store: value of %d bytes for %s", len(w.Data), w.Key)
		}
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return limpeterror.NotFound.New("store: no lease %d", w.Lease)
		}
	}
	return nil
}

func (s *Store) scan(ctx context.Context, prefix, after string) (l limpetstore.Listing, err error) {
	err = s.call(ctx, "list", prefix, func() error {
		l.Revision = s.revision
		for key, v := range s.values {
			if strings.HasPrefix(key, prefix) && key > after {
				l.Values = append(l.Values, v)
			}
		}
		return nil
	})
	sort.Slice(l.Values, func(i, j int) bool { return l.Values[i].Key < l.Values[j].Key })
	return l, err
}

func (s *Store) follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (limpetstore.Listing, error) {
	values, err := s.watch(ctx, prefix, after, wait)
	if limpeterror.Is(err, limpeterror.Conflict) {
		return limpetstore.Listing{}, limpeterror.Compacted.Wrap(err, "store watch")
	}
	l := limpetstore.Listing{Values: values, Revision: after}
	for _, v := range values {
		l.Revision = max(l.Revision, v.Revision)
	}
	return l, err
}

// Compact discards the history of changes, as the platform's store may do at any
// time.
func (s *Store) Compact() {
	s.Lock()
	defer s.Unlock()
	s.events, s.compacted = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Set writes a value unconditionally, as an operator or an engine does.
func (s *Store) Set(key string, data []byte) {
	s.Lock()
	defer s.Unlock()
	s.record(limpetstore.Value{Key: key, Data: data})
}

// Remove deletes a value unconditionally.
func (s *Store) Remove(key string) error {
	s.Lock()
	defer s.Unlock()
	if _, ok := s.values[key]; !ok {
		return errors.New("store: no key " + key)
	}
	s.record(limpetstore.Value{Key: key, Deleted: true})
	return nil
}

// ErrNoAnswer is an error of type limpeterror.Unavailable, for a call to a store
// that does not answer.
var ErrNoAnswer = limpeterror.Unavailable.New("store: no answer")

// ResetLeases resets every lease to its full TTL, as a platform does on which
// leases do not expire during an outage.
func (s *Store) ResetLeases() {
	s.Lock()
	defer s.Unlock()
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
}
