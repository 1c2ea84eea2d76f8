// Package limpetrelay implements the calls between VMs on a prepared platform.
// They keep the number of calls to the platform's store independent of the
// number of VMs: the director relays the changes that it follows in the store,
// serves the results that it has listed, and accepts the usage counts of other
// VMs.
package limpetrelay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// maxTombstones is the number of deletions that a mirror remembers.
const maxTombstones = 4096

type entry struct {
	feed     string
	value    limpetstore.Value
	position uint64
}

// A Mirror holds a copy of the store's feeds that a VM follows, for other VMs
// to read. It is safe for concurrent use.
type Mirror struct {
	epoch string
	now   func() time.Time

	// waiters counts the calls of Since that wait for changes, one per VM.
	waiters atomic.Int64
	// fullUpdates limits the large full updates in progress.
	fullUpdates chan struct{}

	mu       sync.Mutex
	position uint64
	values   map[string]entry
	// deleted holds deletions, oldest first. Deletions up to prunedPosition
	// have been dropped.
	deleted        []entry
	prunedPosition uint64
	// feeds holds the revision up to which each feed is known.
	feeds map[string]uint64
	// confirmedAt is when the last request that the store answered was sent.
	confirmedAt time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

// NewMirror returns an empty mirror. The epoch distinguishes it from other
// mirrors.
func NewMirror(epoch string, now func() time.Time) *Mirror {
	return &Mirror{epoch: epoch, now: now, values: map[string]entry{}, feeds: map[string]uint64{}, changed: make(chan struct{}), fullUpdates: make(chan struct{}, maxFullUpdates)}
}

// ApplyListing applies a complete listing of a feed.
func (m *Mirror) ApplyListing(feed string, l limpetstore.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := map[string]bool{}
	for _, v := range l.Values {
		present[v.Key] = true
		m.put(feed, v)
	}
	for key, e := range m.values {
		if e.feed == feed && !present[key] && e.value.Revision <= l.Revision {
			m.put(feed, limpetstore.Value{Key: key, Revision: l.Revision, Deleted: true})
		}
	}
	m.feeds[feed] = max(m.feeds[feed], l.Revision)
	m.notify()
}

// ApplyChanges applies changes of a feed.
func (m *Mirror) ApplyChanges(feed string, values []limpetstore.Value) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range values {
		m.put(feed, v)
		m.feeds[feed] = max(m.feeds[feed], v.Revision)
	}
	m.notify()
}

// MarkConfirmed records that the store answered a request that was sent at the
// given time.
func (m *Mirror) MarkConfirmed(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// put applies a value, unless a newer one is known. The caller holds m.mu.
func (m *Mirror) put(feed string, v limpetstore.Value) {
	known, ok := m.values[v.Key]
	if ok && v.Revision <= known.value.Revision {
		return
	}
	m.position++
	e := entry{feed: feed, value: v, position: m.position}
	if !v.Deleted {
		m.values[v.Key] = e
		return
	}
	delete(m.values, v.Key)
	if m.deleted = append(m.deleted, e); len(m.deleted) > maxTombstones {
		m.prunedPosition = m.deleted[0].position
		m.deleted = m.deleted[1:]
	}
}

// notify wakes the calls of Since that wait. The caller holds m.mu.
func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// A Change is a new value of a feed, or a deletion.
type Change struct {
	Feed  string
	Value limpetstore.Value
}

// An Update describes what changed in a mirror since a position.
type Update struct {
	Epoch    string
	Position uint64
	// Full updates hold all values.
	Full    bool
	Changes []Change
	// Feeds holds the revision up to which each feed is known.
	Feeds map[string]uint64
	// Age is the time since the store was last known to respond.
	Age time.Duration
}

// Since returns what changed since the position of an update with the given
// epoch. It waits up to the given time for a change. If the epoch is that of
// another mirror, or deletions after the position have been dropped, the update
// is full.
func (m *Mirror) Since(ctx context.Context, epoch string, position uint64, wait time.Duration) Update {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.waiters.Add(1)
	defer m.waiters.Add(-1)
	coalesced := false
	for {
		m.mu.Lock()
		u, changed := m.since(epoch, position), m.changed
		m.mu.Unlock()
		if u.Full && len(u.Changes) > smallFullUpdate {
			m.limitFullUpdates(ctx)
			return u
		}
		if u.Full || (len(u.Changes) > 0 && coalesced) {
			return u
		}
		if len(u.Changes) > 0 {
			limpettask.Sleep(ctx, m.coalesceDelay())
			coalesced = true
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
	// A change waits coalescePerWaiter for further changes for each waiting VM
	// beyond freeWaiters, up to maxCoalesceDelay.
	freeWaiters       = 8
	coalescePerWaiter = 500 * time.Microsecond
	maxCoalesceDelay  = 120 * time.Millisecond
)

const (
	// Full updates of up to smallFullUpdate values are not limited. Of larger
	// ones, up to maxFullUpdates are in progress at once, each for about
	// fullUpdateTime.
	smallFullUpdate = 200
	maxFullUpdates  = 24
	fullUpdateTime  = 40 * time.Millisecond
)

// limitFullUpdates waits until a large full update may be sent. After a change
// of directors every VM asks for one, and all of them at once would not fit
// into memory.
func (m *Mirror) limitFullUpdates(ctx context.Context) {
	select {
	case m.fullUpdates <- struct{}{}:
		time.AfterFunc(fullUpdateTime, func() { <-m.fullUpdates })
	case <-ctx.Done():
	}
}

// coalesceDelay returns how long a change waits for further changes. It grows
// with the number of waiting VMs, because each update is sent to all of them.
func (m *Mirror) coalesceDelay() time.Duration {
	return min(maxCoalesceDelay, max(0, time.Duration(m.waiters.Load()-freeWaiters)*coalescePerWaiter))
}

func (m *Mirror) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now().Sub(m.confirmedAt)
}

// since is Since without waiting. The caller holds m.mu.
func (m *Mirror) since(epoch string, position uint64) Update {
	u := Update{Epoch: m.epoch, Position: m.position, Feeds: map[string]uint64{}, Age: m.now().Sub(m.confirmedAt)}
	u.Full = epoch != m.epoch || position < m.prunedPosition
	for feed, revision := range m.feeds {
		u.Feeds[feed] = revision
	}
	if !u.Full && position == m.position {
		return u
	}
	for _, e := range m.values {
		if u.Full || e.position > position {
			u.Changes = append(u.Changes, Change{Feed: e.feed, Value: e.value})
		}
	}
	if u.Full {
		return u
	}
	for _, e := range m.deleted {
		if e.position > position {
			u.Changes = append(u.Changes, Change{Feed: e.feed, Value: e.value})
		}
	}
	return u
}
