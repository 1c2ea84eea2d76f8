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

// Store keys and key prefixes of the log.
const (
	LogKey         = "config/log"
	snapshotPrefix = "config/snapshot/"
	auditPrefix    = "config/audit/"
)

const (
	// maxSegmentEntries is the number of entries at which the log is compacted.
	// Segments are kept short because a watch transfers the whole segment for
	// each change.
	maxSegmentEntries = 32
	// maxSegmentBytes is the size above which the log is compacted.
	maxSegmentBytes = limpetstore.MaxValue / 4
	// retainedEntries is the number of entries that compaction leaves in the
	// segment for VMs that lag.
	retainedEntries = 8
	// snapshotPartBytes is the largest size of one part of a snapshot.
	snapshotPartBytes = limpetstore.MaxValue / 2
)

// A Segment holds the newest entries of the log; the first has index Base+1.
// Snapshot is the index of the newest snapshot, which is stored in Parts parts.
// Previous and PreviousParts describe the snapshot before it, which is kept for
// readers of an older segment.
type Segment struct {
	Base          uint64  `json:"base"`
	Snapshot      uint64  `json:"snapshot"`
	Parts         int     `json:"parts"`
	Previous      uint64  `json:"previous"`
	PreviousParts int     `json:"previous_parts"`
	Entries       []Entry `json:"entries"`
}

// LastIndex returns the index of the newest entry.
func (s Segment) LastIndex() uint64 { return s.Base + uint64(len(s.Entries)) }

// EntriesAfter returns the entries after an index, or false if some of them are no
// longer in the segment.
func (s Segment) EntriesAfter(index uint64) ([]Entry, bool) {
	if index < s.Base {
		return nil, false
	}
	if index >= s.LastIndex() {
		return nil, true
	}
	return s.Entries[index-s.Base:], true
}

// DecodeSegment decodes a stored segment. Empty data gives an empty segment. Its
// errors have type Invalid.
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

// DecodeDocument decodes a document from a snapshot. Its errors have type Invalid.
func DecodeDocument(data []byte) (*Document, error) {
	d := NewDocument()
	if err := json.Unmarshal(data, d); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "configuration snapshot")
	}
	return d, nil
}

// A Log reads and appends to the configuration log in the store.
type Log struct {
	store limpetstore.Store
	now   func() time.Time
}

// NewLog returns the log stored in s.
func NewLog(s limpetstore.Store, now func() time.Time) *Log {
	return &Log{store: s, now: now}
}

// Read brings d up to date with the log. It returns the newest document and the
// store revision of the log. The returned document is never older than d; on an
// error it is d.
func (l *Log) Read(ctx context.Context, d *Document) (*Document, uint64, error) {
	v, err := l.store.Get(ctx, LogKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return d, 0, nil
	}
	if err != nil {
		return d, 0, fmt.Errorf("read configuration log: %w", err)
	}
	next, _, err := l.ApplySegment(ctx, d, v.Data)
	return next, v.Revision, err
}

// Watch waits up to the given time for changes of the log after a store revision
// and returns the changed values in order. After revision 0 it returns the current
// value at once if there is one. No values and no error mean that the log was
// unchanged when the call was sent. The error has type Conflict if the store no
// longer has the events after the revision.
func (l *Log) Watch(ctx context.Context, after uint64, wait time.Duration) ([]limpetstore.Value, error) {
	if after > 0 {
		return l.store.Watch(ctx, LogKey, after, wait)
	}
	// Without a revision to start from, read the current value: the store keeps
	// only a limited history of events.
	v, err := l.store.Get(ctx, LogKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return l.store.Watch(ctx, LogKey, 0, wait)
	}
	return []limpetstore.Value{v}, err
}

// ApplySegment applies a stored segment to d and returns the new document and
// the applied entries. A segment that ends before the index of d comes from a
// stale read and changes nothing.
func (l *Log) ApplySegment(ctx context.Context, d *Document, data []byte) (*Document, []Entry, error) {
	s, err := DecodeSegment(data)
	if err != nil {
		return d, nil, err
	}
	next := d
	entries, ok := s.EntriesAfter(d.Index)
	if !ok {
		if next, err = l.readSnapshot(ctx, s); err != nil {
			return d, nil, err
		}
		entries, _ = s.EntriesAfter(next.Index)
	}
	for _, e := range entries {
		if next, err = Apply(next, e); err != nil {
			return d, nil, err
		}
	}
	return next, entries, nil
}

func snapshotPartKey(index uint64, part int) string {
	return fmt.Sprintf("%s%020d/%d", snapshotPrefix, index, part)
}

// auditKey returns the store key of an archive of entries first to last. Archives
// of concurrent writers may overlap; readers tell entries apart by their index.
func auditKey(first, last uint64) string {
	return fmt.Sprintf("%s%020d-%020d", auditPrefix, first, last)
}

// readSnapshot reads the newest snapshot of a segment.
func (l *Log) readSnapshot(ctx context.Context, s Segment) (*Document, error) {
	var data []byte
	for part := range s.Parts {
		v, err := l.store.Get(ctx, snapshotPartKey(s.Snapshot, part))
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

// Append validates a batch against the newest document and appends it to the log.
// It returns the document that includes the batch and the entries from d to that
// document. A batch whose operation is still in the segment is not appended again.
// The error is *limpeterror.Findings if the batch is invalid, and has type
// Unavailable or Unknown if the store failed.
func (l *Log) Append(ctx context.Context, d *Document, operation, author string, changes []Change) (*Document, []Entry, error) {
	var next *Document
	apply := func(current limpetstore.Value) ([]byte, error) {
		base, _, err := l.ApplySegment(ctx, d, current.Data)
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
		if len(s.Entries) >= maxSegmentEntries || len(current.Data) > maxSegmentBytes {
			if s, err = l.compact(ctx, s, base); err != nil {
				return nil, err
			}
		}
		s.Entries = append(s.Entries, Entry{
			Index: next.Index, Operation: operation, Author: author, At: l.now().UTC(), Changes: changes,
		})
		return json.Marshal(s)
	}
	appended := func(current limpetstore.Value) bool {
		s, err := DecodeSegment(current.Data)
		return err == nil && slices.ContainsFunc(s.Entries, func(e Entry) bool { return e.Operation == operation })
	}
	v, err := l.store.Update(ctx, LogKey, apply, appended)
	if err != nil {
		return d, nil, err
	}
	return l.ApplySegment(ctx, d, v.Data)
}

// deletePreviousSnapshot deletes the snapshot before the newest one of s. It only
// frees space, so it is not retried on errors.
func (l *Log) deletePreviousSnapshot(ctx context.Context, s Segment) {
	for part := range s.PreviousParts {
		key := snapshotPartKey(s.Previous, part)
		if v, err := l.store.Get(ctx, key); err == nil {
			_ = l.store.Delete(ctx, key, v.Revision)
		}
	}
}

// compact writes a snapshot of d, the document at the end of s, archives the oldest
// entries, and returns the segment without them. Both writes only add keys, so
// that a crash between them loses nothing.
func (l *Log) compact(ctx context.Context, s Segment, d *Document) (Segment, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return s, limpeterror.Invalid.Wrap(err, "snapshot %d", d.Index)
	}
	parts := 0
	for part := range slices.Chunk(data, snapshotPartBytes) {
		if _, err := l.store.Create(ctx, snapshotPartKey(d.Index, parts), part); err != nil {
			return s, fmt.Errorf("snapshot %d: %w", d.Index, err)
		}
		parts++
	}
	archivedCount := max(len(s.Entries)-retainedEntries, 0)
	archived, err := json.Marshal(s.Entries[:archivedCount])
	if err != nil {
		return s, limpeterror.Invalid.Wrap(err, "audit archive")
	}
	if _, err := l.store.Create(ctx, auditKey(s.Base+1, s.Base+uint64(archivedCount)), archived); err != nil {
		return s, fmt.Errorf("audit archive %d: %w", s.Base+1, err)
	}
	l.deletePreviousSnapshot(ctx, s)
	return Segment{
		Base: s.Base + uint64(archivedCount), Snapshot: d.Index, Parts: parts,
		Previous: s.Snapshot, PreviousParts: s.Parts, Entries: slices.Clone(s.Entries[archivedCount:]),
	}, nil
}
