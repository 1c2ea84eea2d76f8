package limpetcrash

import (
	"context"
	"maps"
	"slices"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

const (
	// shareDelay is how long the first crash of a request is kept back from the
	// store: most requests under which a server crashed are served by the next
	// one, which clears them.
	shareDelay = 120 * time.Millisecond
	// minWriteInterval is the time between writes of one VM. After a failed
	// write, it doubles up to maxWriteInterval.
	minWriteInterval = 100 * time.Millisecond
	maxWriteInterval = 2 * time.Second
	writeTimeout     = 1500 * time.Millisecond
)

// A sharedRecord is a record that the store holds or shall hold.
type sharedRecord struct {
	Record
	// revision is that of the store's value; 0 while the store is not known to
	// hold the record.
	revision uint64
	// due is when the record is written.
	due time.Time
}

// sharing holds what a book has to write to the store. All maps are by key.
type sharing struct {
	records map[string]*sharedRecord
	// obsolete holds keys to delete with the next write.
	obsolete map[string]bool
	// deleteNow is set if a deletion must not wait for a record to be written.
	deleteNow bool
	// writing holds the keys of the write in progress; nil if there is none.
	writing   map[string]bool
	writeDue  time.Time
	interval  time.Duration
	failing   bool
	expiredAt time.Time
}

func newSharing() sharing {
	return sharing{records: map[string]*sharedRecord{}, obsolete: map[string]bool{}, interval: minWriteInterval}
}

// add adds a record of this VM. A request's first record waits for shareDelay;
// a further one makes all of them due.
func (s *sharing) add(r Record, now time.Time, further bool) {
	key := Key(r.Fingerprint, r.Server)
	if s.records[key] == nil {
		s.records[key] = &sharedRecord{Record: r, due: now.Add(shareDelay)}
	}
	delete(s.obsolete, key)
	if !further {
		return
	}
	for _, other := range s.records {
		if other.Fingerprint == r.Fingerprint && other.revision == 0 {
			other.due = now
		}
	}
}

// withdraw drops the records of a request. Those that the store may hold are
// deleted: at once, or with the next write.
func (s *sharing) withdraw(fingerprint uint64, atOnce bool) {
	for key, r := range s.records {
		if r.Fingerprint == fingerprint {
			s.withdrawKey(key, atOnce)
		}
	}
}

// withdrawKey drops one record as withdraw does.
func (s *sharing) withdrawKey(key string, atOnce bool) {
	r := s.records[key]
	if r == nil {
		return
	}
	delete(s.records, key)
	if r.revision > 0 || s.writing[key] {
		s.obsolete[key] = true
		s.deleteNow = s.deleteNow || atOnce
	}
}

// nextDue returns when a write is due; zero if none is.
func (s *sharing) nextDue() time.Time {
	if s.writing != nil {
		return time.Time{}
	}
	var next time.Time
	if s.deleteNow {
		next = s.writeDue
	}
	for _, r := range s.records {
		if r.revision == 0 && (next.IsZero() || r.due.Before(next)) {
			next = r.due
		}
	}
	if next.Before(s.writeDue) && !next.IsZero() {
		next = s.writeDue
	}
	return next
}

// share writes what is due to the store, one transaction at a time. All its
// writes are repeatable.
func (b *Book) share(now time.Time) {
	s := &b.shared
	if s.writing != nil || now.Before(s.writeDue) {
		return
	}
	t, keys := s.transaction(now)
	if len(keys) == 0 {
		return
	}
	s.writing = keys
	b.group.Go(func(ctx context.Context) error {
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		revision, err := b.Store.Commit(writeCtx, t)
		select {
		case b.inbox <- written{transaction: t, revision: revision, err: err}:
		case <-ctx.Done():
		}
		return nil
	})
}

// transaction returns the writes that are due and, if there are any or a
// deletion must not wait, deletions. Keys holds the keys of all.
func (s *sharing) transaction(now time.Time) (t limpetstore.Transaction, keys map[string]bool) {
	keys = map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[key]
		if r.revision > 0 || now.Before(r.due) || len(t.Writes) >= limpetstore.MaxTransactionEntries/2 {
			continue
		}
		t.Writes = append(t.Writes, limpetstore.Write{Key: key, Data: r.encode()})
		keys[key] = true
	}
	if len(t.Writes) == 0 && !s.deleteNow {
		return t, nil
	}
	for _, key := range slices.Sorted(maps.Keys(s.obsolete)) {
		if len(t.Writes)+len(t.Deletes) >= limpetstore.MaxTransactionEntries {
			break
		}
		t.Deletes = append(t.Deletes, key)
		keys[key] = true
	}
	if len(t.Deletes) == len(s.obsolete) {
		s.deleteNow = false
	}
	return t, keys
}

// written is the outcome of a write.
type written struct {
	transaction limpetstore.Transaction
	revision    uint64
	err         error
}

func (m written) apply(b *Book) {
	s, now := &b.shared, b.Now()
	s.writing = nil
	if m.err != nil && !limpeterror.Is(m.err, limpeterror.Invalid) && !limpeterror.Is(m.err, limpeterror.Conflict) {
		s.deleteNow = s.deleteNow || len(m.transaction.Deletes) > 0
		s.interval = min(2*s.interval, maxWriteInterval)
		s.writeDue = now.Add(limpettask.Jitter(s.interval))
		if !s.failing {
			s.failing = true
			b.Log.Emit(limpetlog.CrashesNotShared, limpetlog.Value("records", len(m.transaction.Writes)), limpetlog.Error(m.err))
		}
		return
	}
	s.failing, s.interval, s.writeDue = false, minWriteInterval, now.Add(minWriteInterval)
	if m.err != nil {
		// The store will never take these; the records hold on this VM.
		b.Log.Emit(limpetlog.CrashesNotShared, limpetlog.Value("records", len(m.transaction.Writes)), limpetlog.Error(m.err))
	}
	for _, w := range m.transaction.Writes {
		if r := s.records[w.Key]; r != nil {
			r.revision = max(r.revision, m.revision, 1)
		}
	}
	for _, key := range m.transaction.Deletes {
		delete(s.obsolete, key)
	}
}

// ApplyListing applies a complete listing of the records in the store.
func (b *Book) ApplyListing(ctx context.Context, values []limpetstore.Value, revision uint64) {
	b.send(ctx, recordsRead{values: values, complete: true, revision: revision})
}

// ApplyChanges applies changes of the records in the store.
func (b *Book) ApplyChanges(ctx context.Context, values []limpetstore.Value) {
	if len(values) > 0 {
		b.send(ctx, recordsRead{values: values})
	}
}

// send sends a message to Run and waits for room.
func (b *Book) send(ctx context.Context, m message) {
	select {
	case b.inbox <- m:
	case <-ctx.Done():
	}
}

// recordsRead holds changes of the records in the store. Complete marks a full
// listing at a revision.
type recordsRead struct {
	values   []limpetstore.Value
	complete bool
	revision uint64
}

func (m recordsRead) apply(b *Book) {
	present := map[string]bool{}
	for _, v := range m.values {
		present[v.Key] = !v.Deleted
		b.applyValue(v)
	}
	if m.complete {
		for key, r := range b.shared.records {
			if r.revision > 0 && r.revision <= m.revision && !present[key] {
				b.forget(key, r)
			}
		}
		for key := range b.shared.obsolete {
			if !present[key] && !b.shared.writing[key] {
				delete(b.shared.obsolete, key)
			}
		}
	}
	b.publish()
}

// applyValue applies one change of a record.
func (b *Book) applyValue(v limpetstore.Value) {
	known := b.shared.records[v.Key]
	if known != nil && known.revision >= v.Revision {
		return
	}
	r, err := Decode(v)
	switch {
	case err != nil:
		b.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
	case v.Deleted:
		delete(b.shared.obsolete, v.Key)
		// If a write of the record is in progress, its own change follows in
		// case the store still takes it.
		if known != nil && (known.revision > 0 || b.shared.writing[v.Key]) {
			b.forget(v.Key, known)
		}
	case b.shared.obsolete[v.Key]:
		// This VM deletes the record.
	case known != nil:
		known.revision = v.Revision
	case b.Now().Sub(r.At) > Rules.QuarantineTTL:
		// The store still holds a record whose time is over.
		b.shared.obsolete[v.Key] = true
	default:
		if now := b.Now(); r.At.After(now) {
			r.At = now
		}
		b.shared.records[v.Key] = &sharedRecord{Record: r, revision: v.Revision}
		b.learn(r)
	}
}

// learn applies a record that the store holds.
func (b *Book) learn(r Record) {
	if r.Trial > 0 {
		b.state.RecordTrial(r.At, r.Fingerprint, r.Trial)
		return
	}
	b.report(r, r.VM)
}

// forget drops a record that the store no longer holds.
func (b *Book) forget(key string, r *sharedRecord) {
	delete(b.shared.records, key)
	b.state.Withdraw(r.Fingerprint, r.Server)
}

// dropForgotten drops the records of requests that the state had no room for.
func (b *Book) dropForgotten() {
	if b.state.Len() < Rules.MaxRequests {
		return
	}
	for key, r := range b.shared.records {
		if b.state.Has(r.Fingerprint) {
			continue
		}
		delete(b.shared.records, key)
		if r.revision > 0 {
			b.shared.obsolete[key] = true
		}
	}
}
