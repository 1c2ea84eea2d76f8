// Package limpetrelay owns what VMs tell each other on a prepared platform, so
// that the number of calls to the platform's store does not grow with the
// number of VMs: the director hands on what it follows of the store, answers
// for the results that it listed, and takes other VMs' usage counts.
package limpetrelay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// tombstones is the number of deletions that a board remembers.
const tombstones = 4096

type held struct {
	feed     string
	value    limpetstore.Value
	position uint64
}

// A Board holds the feeds of the store that a VM follows, for others to read.
// It is safe for use by several goroutines.
type Board struct {
	epoch string
	now   func() time.Time

	// waiting counts the VMs that wait for changes.
	waiting atomic.Int64
	// whole bounds the answers under way that hold all that there is.
	whole chan struct{}

	mu       sync.Mutex
	position uint64
	values   map[string]held
	// deleted holds deletions in their order, and pruned the position up to
	// which deletions were forgotten.
	deleted   []held
	pruned    uint64
	feeds     map[string]uint64
	confirmed time.Time
	changed   chan struct{}
}

// NewBoard returns an empty board. The epoch tells it from other boards.
func NewBoard(epoch string, now func() time.Time) *Board {
	return &Board{epoch: epoch, now: now, values: map[string]held{}, feeds: map[string]uint64{}, changed: make(chan struct{}), whole: make(chan struct{}, wholeMost)}
}

// Listed takes a complete listing of a feed.
func (b *Board) Listed(feed string, l limpetstore.Listing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := map[string]bool{}
	for _, v := range l.Values {
		present[v.Key] = true
		b.put(feed, v)
	}
	for key, h := range b.values {
		if h.feed == feed && !present[key] && h.value.Revision <= l.Revision {
			b.put(feed, limpetstore.Value{Key: key, Revision: l.Revision, Deleted: true})
		}
	}
	b.feeds[feed] = max(b.feeds[feed], l.Revision)
	b.wake()
}

// Changed takes changes of a feed.
func (b *Board) Changed(feed string, values []limpetstore.Value) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range values {
		b.put(feed, v)
		b.feeds[feed] = max(b.feeds[feed], v.Revision)
	}
	b.wake()
}

// Confirmed records that the store answered a question that was sent at a
// time.
func (b *Board) Confirmed(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}

func (b *Board) put(feed string, v limpetstore.Value) {
	known, ok := b.values[v.Key]
	if ok && v.Revision <= known.value.Revision {
		return
	}
	b.position++
	h := held{feed: feed, value: v, position: b.position}
	if !v.Deleted {
		b.values[v.Key] = h
		return
	}
	delete(b.values, v.Key)
	if b.deleted = append(b.deleted, h); len(b.deleted) > tombstones {
		b.pruned = b.deleted[0].position
		b.deleted = b.deleted[1:]
	}
}

func (b *Board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// A Change is a value of a feed.
type Change struct {
	Feed  string
	Value limpetstore.Value
}

// An Update is what a board tells of what changed since a position.
type Update struct {
	Epoch    string
	Position uint64
	// Full updates hold all that there is.
	Full    bool
	Changes []Change
	// Feeds holds the revision up to which each feed is known.
	Feeds map[string]uint64
	// Age is the time since the store was last known to answer.
	Age time.Duration
}

// Since returns what changed since the position of an epoch's update. It waits
// up to the given time for a change.
func (b *Board) Since(ctx context.Context, epoch string, position uint64, wait time.Duration) Update {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	gathered := false
	for {
		b.mu.Lock()
		u, changed := b.since(epoch, position), b.changed
		b.mu.Unlock()
		if u.Full && len(u.Changes) > wholeSmall {
			b.pace(ctx)
			return u
		}
		if u.Full || (len(u.Changes) > 0 && gathered) {
			return u
		}
		if len(u.Changes) > 0 {
			limpettask.Sleep(ctx, b.gather())
			gathered = true
			continue
		}
		select {
		case <-ctx.Done():
			return u
		case <-timer.C:
			u.Age = b.age()
			return u
		case <-changed:
		}
	}
}

const (
	// gatherEach is how long a change waits for others, for each VM beyond
	// gatherFree that is to be told, and gatherLongest the bound of it.
	gatherFree    = 8
	gatherEach    = 500 * time.Microsecond
	gatherLongest = 120 * time.Millisecond
)

const (
	// wholeSmall is the number of values up to which an answer with all of them
	// is small, wholeMost how many larger ones are under way at a time, and
	// wholeTime how long one is, about.
	wholeSmall = 200
	wholeMost  = 24
	wholeTime  = 40 * time.Millisecond
)

// pace waits for the turn of a large answer: after a change of directors every
// VM asks for one, and all of them at once would not fit into memory.
func (b *Board) pace(ctx context.Context) {
	select {
	case b.whole <- struct{}{}:
		time.AfterFunc(wholeTime, func() { <-b.whole })
	case <-ctx.Done():
	}
}

// gather returns how long a change waits for others: each answer goes to every
// VM.
func (b *Board) gather() time.Duration {
	return min(gatherLongest, max(0, time.Duration(b.waiting.Load()-gatherFree)*gatherEach))
}

func (b *Board) age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now().Sub(b.confirmed)
}

func (b *Board) since(epoch string, position uint64) Update {
	u := Update{Epoch: b.epoch, Position: b.position, Feeds: map[string]uint64{}, Age: b.now().Sub(b.confirmed)}
	u.Full = epoch != b.epoch || position < b.pruned
	for feed, revision := range b.feeds {
		u.Feeds[feed] = revision
	}
	if !u.Full && position == b.position {
		return u
	}
	for _, h := range b.values {
		if u.Full || h.position > position {
			u.Changes = append(u.Changes, Change{Feed: h.feed, Value: h.value})
		}
	}
	if u.Full {
		return u
	}
	for _, h := range b.deleted {
		if h.position > position {
			u.Changes = append(u.Changes, Change{Feed: h.feed, Value: h.value})
		}
	}
	return u
}
