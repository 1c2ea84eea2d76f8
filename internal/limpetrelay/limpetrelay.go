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

// tombstones is the number of deletions that a mirror remembers.
const tombstones = 4096

type held struct {
	feed     string
	value    limpetstore.Value
	position uint64
}

// A Mirror holds the feeds of the store that a VM follows, for others to read.
// It is safe for use by several goroutines.
type Mirror struct {
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

// NewMirror returns an empty mirror. The epoch tells it from other mirrors.
func NewMirror(epoch string, now func() time.Time) *Mirror {
	return &Mirror{epoch: epoch, now: now, values: map[string]held{}, feeds: map[string]uint64{}, changed: make(chan struct{}), whole: make(chan struct{}, wholeMost)}
}

// Listed takes a complete listing of a feed.
func (m *Mirror) Listed(feed string, l limpetstore.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := map[string]bool{}
	for _, v := range l.Values {
		present[v.Key] = true
		m.put(feed, v)
	}
	for key, h := range m.values {
		if h.feed == feed && !present[key] && h.value.Revision <= l.Revision {
			m.put(feed, limpetstore.Value{Key: key, Revision: l.Revision, Deleted: true})
		}
	}
	m.feeds[feed] = max(m.feeds[feed], l.Revision)
	m.wake()
}

// Changed takes changes of a feed.
func (m *Mirror) Changed(feed string, values []limpetstore.Value) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range values {
		m.put(feed, v)
		m.feeds[feed] = max(m.feeds[feed], v.Revision)
	}
	m.wake()
}

// Confirmed records that the store answered a question that was sent at a
// time.
func (m *Mirror) Confirmed(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

func (m *Mirror) put(feed string, v limpetstore.Value) {
	known, ok := m.values[v.Key]
	if ok && v.Revision <= known.value.Revision {
		return
	}
	m.position++
	h := held{feed: feed, value: v, position: m.position}
	if !v.Deleted {
		m.values[v.Key] = h
		return
	}
	delete(m.values, v.Key)
	if m.deleted = append(m.deleted, h); len(m.deleted) > tombstones {
		m.pruned = m.deleted[0].position
		m.deleted = m.deleted[1:]
	}
}

func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// A Change is a value of a feed.
type Change struct {
	Feed  string
	Value limpetstore.Value
}

// An Update is what a mirror tells of what changed since a position.
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
func (m *Mirror) Since(ctx context.Context, epoch string, position uint64, wait time.Duration) Update {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.waiting.Add(1)
	defer m.waiting.Add(-1)
	gathered := false
	for {
		m.mu.Lock()
		u, changed := m.since(epoch, position), m.changed
		m.mu.Unlock()
		if u.Full && len(u.Changes) > wholeSmall {
			m.pace(ctx)
			return u
		}
		if u.Full || (len(u.Changes) > 0 && gathered) {
			return u
		}
		if len(u.Changes) > 0 {
			limpettask.Sleep(ctx, m.gather())
			gathered = true
			continue
		}
		select {
		case <-ctx.Done():
			return u
		case <-timer.C:
			u.Age = m.age()
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
func (m *Mirror) pace(ctx context.Context) {
	select {
	case m.whole <- struct{}{}:
		time.AfterFunc(wholeTime, func() { <-m.whole })
	case <-ctx.Done():
	}
}

// gather returns how long a change waits for others: each answer goes to every
// VM.
func (m *Mirror) gather() time.Duration {
	return min(gatherLongest, max(0, time.Duration(m.waiting.Load()-gatherFree)*gatherEach))
}

func (m *Mirror) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now().Sub(m.confirmed)
}

func (m *Mirror) since(epoch string, position uint64) Update {
	u := Update{Epoch: m.epoch, Position: m.position, Feeds: map[string]uint64{}, Age: m.now().Sub(m.confirmed)}
	u.Full = epoch != m.epoch || position < m.pruned
	for feed, revision := range m.feeds {
		u.Feeds[feed] = revision
	}
	if !u.Full && position == m.position {
		return u
	}
	for _, h := range m.values {
		if u.Full || h.position > position {
			u.Changes = append(u.Changes, Change{Feed: h.feed, Value: h.value})
		}
	}
	if u.Full {
		return u
	}
	for _, h := range m.deleted {
		if h.position > position {
			u.Changes = append(u.Changes, Change{Feed: h.feed, Value: h.value})
		}
	}
	return u
}
