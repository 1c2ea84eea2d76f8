package limpetconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// Keys of the log in the store.
const (
	LogKey         = "config/log"
	snapshotPrefix = "config/snapshot/"
	auditPrefix    = "config/audit/"
)

const (
	// segmentEntries is the number of entries at which the log is compacted.
	// A watch transfers the whole segment for each change, so that it is kept
	// short.
	segmentEntries = 32
	// segmentBytes is the size at which the log is compacted.
	segmentBytes = limpetstore.MaxValue / 4
	// keptEntries stay in the segment after compaction, for VMs that lag.
	keptEntries = 8
	// partBytes is the size of a snapshot's parts.
	partBytes = limpetstore.MaxValue / 2
)

// A Segment holds the newest entries of the log. Entries follow index Base.
// Snapshot is the index of the newest snapshot, stored in Parts parts; the one
// before it is kept for readers of an older segment.
type Segment struct {
	Base          uint64  `json:"base"`
	Snapshot      uint64  `json:"snapshot"`
	Parts         int     `json:"parts"`
	Previous      uint64  `json:"previous"`
	PreviousParts int     `json:"previous_parts"`
	Entries       []Entry `json:"entries"`
}

// Last returns the index of the newest accepted entry.
func (s Segment) Last() uint64 { return s.Base + uint64(len(s.Entries)) }

// After returns the entries that follow an index, or false when the segment
// no longer reaches back so far.
func (s Segment) After(index uint64) ([]Entry, bool) {
	if index < s.Base {
		return nil, false
	}
	if index >= s.Last() {
		return nil, true
	}
	return s.Entries[index-s.Base:], true
}

// DecodeSegment reads a stored segment; empty data is the empty log.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, limpeterror.Invalid.Wrap(err, "configuration log")
	}
	for i, e := range s.Entries {
		if e.Index != s.Base+uint64(i)+1 {
			return s, limpeterror.Invalid.New("configuration log: entry %d at place %d after %d", e.Index, i, s.Base)
		}
	}
	return s, nil
}

// DecodeDocument reads a document from a snapshot.
func DecodeDocument(data []byte) (*Document, error) {
	d := NewDocument()
	if err := json.Unmarshal(data, d); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "configuration snapshot")
	}
	return d, nil
}

// A Log holds the configuration log in the store.
type Log struct {
	store limpetstore.Store
	now   func() time.Time
}

// NewLog returns the log that s holds.
func NewLog(s limpetstore.Store, now func() time.Time) *Log {
	return &Log{store: s, now: now}
}

// Read returns the newest document, given one that was read before, and the
// store revision of the log. It never returns an older document than d.
func (l *Log) Read(ctx context.Context, d *Document) (*Document, uint64, error) {
	v, err := l.store.Get(ctx, LogKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return d, 0, nil
	}
	if err != nil {
		return d, 0, fmt.Errorf("read configuration log: %w", err)
	}
	next, _, err := l.Follow(ctx, d, v.Data)
	return next, v.Revision, err
}

// Watch waits for a change of the log after a store revision, for at most the
// given time, and returns the changed values in order. None means that the
// log had no change when the call was sent.
func (l *Log) Watch(ctx context.Context, after uint64, wait time.Duration) ([]limpetstore.Value, error) {
	if after > 0 {
		return l.store.Watch(ctx, LogKey, after, wait)
	}
	// The store keeps the events of a limited past only.
	v, err := l.store.Get(ctx, LogKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return l.store.Watch(ctx, LogKey, 0, wait)
	}
	return []limpetstore.Value{v}, err
}

// Follow applies a stored segment to d and returns the applied entries too. A
// segment that ends before d's index is a stale read and changes nothing.
func (l *Log) Follow(ctx context.Context, d *Document, data []byte) (*Document, []Entry, error) {
	s, err := DecodeSegment(data)
	if err != nil {
		return d, nil, err
	}
	next := d
	entries, ok := s.After(d.Index)
	if !ok {
		if next, err = l.snapshot(ctx, s); err != nil {
			return d, nil, err
		}
		entries, _ = s.After(next.Index)
	}
	for _, e := range entries {
		if next, err = Apply(next, e); err != nil {
			return d, nil, err
		}
	}
	return next, entries, nil
}

func partKey(index uint64, part int) string {
	return fmt.Sprintf("%s%020d/%d", snapshotPrefix, index, part)
}

// auditKey names an archive by its range. Archives of racing writers may
// overlap; entries are told apart by their index.
func auditKey(first, last uint64) string {
	return fmt.Sprintf("%s%020d-%020d", auditPrefix, first, last)
}

func (l *Log) snapshot(ctx context.Context, s Segment) (*Document, error) {
	var data []byte
	for part := range s.Parts {
		v, err := l.store.Get(ctx, partKey(s.Snapshot, part))
		if err != nil {
			return nil, fmt.Errorf("snapshot %d part %d: %w", s.Snapshot, part, err)
		}
		data = append(data, v.Data...)
	}
	d, err := DecodeDocument(data)
	if err == nil && d.Index != s.Snapshot {
		err = limpeterror.Invalid.New("snapshot %d holds index %d", s.Snapshot, d.Index)
	}
	return d, err
}

// Append plans a batch on the newest document and appends it. It returns the
// document that includes the batch and the entries that led to it from d. An operation that the log holds already
// is not appended again. The error is *limpeterror.Findings when the batch is
// not acceptable, and has type Unavailable or Unknown when the store failed.
func (l *Log) Append(ctx context.Context, d *Document, operation, who string, changes []Change) (*Document, []Entry, error) {
	var next *Document
	apply := func(current limpetstore.Value) ([]byte, error) {
		base, _, err := l.Follow(ctx, d, current.Data)
		if err != nil {
			return nil, err
		}
		if next, err = Plan(base, changes); err != nil {
			return nil, err
		}
		s, err := DecodeSegment(current.Data)
		if err != nil {
			return nil, err
		}
		if len(s.Entries) >= segmentEntries || len(current.Data) > segmentBytes {
			if s, err = l.compact(ctx, s, base); err != nil {
				return nil, err
			}
		}
		s.Entries = append(s.Entries, Entry{
			Index: next.Index, Operation: operation, Who: who, At: l.now().UTC(), Changes: changes,
		})
		return json.Marshal(s)
	}
	landed := func(current limpetstore.Value) bool {
		s, err := DecodeSegment(current.Data)
		return err == nil && slices.ContainsFunc(s.Entries, func(e Entry) bool { return e.Operation == operation })
	}
	v, err := l.store.Update(ctx, LogKey, apply, landed)
	if err != nil {
		return d, nil, err
	}
	return l.Follow(ctx, d, v.Data)
}

// removeSnapshot deletes the snapshot before the one that is being replaced.
// It is not needed for correctness and so not repeated on errors.
func (l *Log) removeSnapshot(ctx context.Context, s Segment) {
	for part := range s.PreviousParts {
		key := partKey(s.Previous, part)
		if v, err := l.store.Get(ctx, key); err == nil {
			_ = l.store.Delete(ctx, key, v.Revision)
		}
	}
}

// compact writes a snapshot of d, which is the document at the segment's end,
// archives the entries that leave the segment, and returns the shorter one.
// Both writes only add keys, so that a crash between them loses nothing.
func (l *Log) compact(ctx context.Context, s Segment, d *Document) (Segment, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return s, limpeterror.Invalid.Wrap(err, "snapshot %d", d.Index)
	}
	parts := 0
	for part := range slices.Chunk(data, partBytes) {
		if _, err := l.store.Create(ctx, partKey(d.Index, parts), part); err != nil {
			return s, fmt.Errorf("snapshot %d: %w", d.Index, err)
		}
		parts++
	}
	cut := max(len(s.Entries)-keptEntries, 0)
	archived, err := json.Marshal(s.Entries[:cut])
	if err != nil {
		return s, limpeterror.Invalid.Wrap(err, "audit archive")
	}
	if _, err := l.store.Create(ctx, auditKey(s.Base+1, s.Base+uint64(cut)), archived); err != nil {
		return s, fmt.Errorf("audit archive %d: %w", s.Base+1, err)
	}
	l.removeSnapshot(ctx, s)
	return Segment{
		Base: s.Base + uint64(cut), Snapshot: d.Index, Parts: parts,
		Previous: s.Snapshot, PreviousParts: s.Parts, Entries: slices.Clone(s.Entries[cut:]),
	}, nil
}
