// Package limpetrelay implements the calls between VMs on a prepared platform.
// They keep the number of calls to the platform's store independent of the
// number of VMs: the director relays the changes that it follows in the store,
// serves the results that it has listed, and accepts the usage counts of other
// VMs.
package limpetrelay

import (
	"context"
	"strconv"
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
	// topic is what the value is about; empty if all VMs need it.
	topic string
	// packed is the value's data as sent to VMs that unpack it; nil if that would not
	// be smaller.
	packed []byte
}

// A Value is a value of the store with its topic, which is empty if all VMs need
// the value.
type Value struct {
	limpetstore.Value
	Topic string
}

// A Mirror holds a copy of the store's feeds that a VM follows, for other VMs
// to read. Other VMs get the values of relevant topics only. It is safe for
// concurrent use.
type Mirror struct {
	name string
	now  func() time.Time

	// waiters counts the calls of Since that wait for changes, one per VM.
	waiters atomic.Int64
	// fullUpdates limits the large full updates in progress.
	fullUpdates chan struct{}

	mu       sync.Mutex
	position uint64
	values   map[string]entry
	// relevant holds the relevant topics; nil if all are. generation counts its
	// changes that affected a value, after which each VM gets a full update.
	relevant   map[string]bool
	generation int
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

// NewMirror returns an empty mirror in which all topics are relevant. The name
// distinguishes it from other mirrors.
func NewMirror(name string, now func() time.Time) *Mirror {
	return &Mirror{name: name, now: now, values: map[string]entry{}, feeds: map[string]uint64{}, changed: make(chan struct{}), fullUpdates: make(chan struct{}, maxFullUpdates)}
}

// An Apply changes a mirror. All changes of one call of Mirror.Apply reach other
// VMs together.
type Apply func(m *Mirror)

// Apply applies changes.
func (m *Mirror) Apply(changes ...Apply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.position
	generation := m.generation
	for _, apply := range changes {
		apply(m)
	}
	if m.position != before || m.generation != generation {
		m.notify()
	}
}

// Listing applies a complete listing of a feed at a revision.
func Listing(feed string, values []Value, revision uint64) Apply {
	return func(m *Mirror) {
		present := map[string]bool{}
		for _, v := range values {
			present[v.Key] = true
			m.put(feed, v)
		}
		for key, e := range m.values {
			if e.feed == feed && !present[key] && e.value.Revision <= revision {
				m.put(feed, Value{Value: limpetstore.Value{Key: key, Revision: revision, Deleted: true}})
			}
		}
		m.feeds[feed] = max(m.feeds[feed], revision)
	}
}

// Changes applies changes of a feed.
func Changes(feed string, values []Value) Apply {
	return func(m *Mirror) {
		for _, v := range values {
			m.put(feed, v)
			m.feeds[feed] = max(m.feeds[feed], v.Revision)
		}
	}
}

// Relevant sets the topics that other VMs need.
func Relevant(topics map[string]bool) Apply {
	return func(m *Mirror) {
		before := m.relevant
		m.relevant = topics
		for _, e := range m.values {
			if isRelevant(before, e.topic) != isRelevant(topics, e.topic) {
				m.generation++
				return
			}
		}
	}
}

func isRelevant(topics map[string]bool, topic string) bool {
	return topic == "" || topics == nil || topics[topic]
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

// put applies a value, unless a newer one is known. The position advances only
// if other VMs need the change. The caller holds m.mu.
func (m *Mirror) put(feed string, v Value) {
	known, ok := m.values[v.Key]
	if ok && v.Revision <= known.value.Revision {
		return
	}
	wasRelevant := ok && isRelevant(m.relevant, known.topic)
	if !v.Deleted {
		e := entry{feed: feed, value: v.Value, position: m.position, topic: v.Topic}
		if isRelevant(m.relevant, v.Topic) {
			m.position++
			e.position, e.packed = m.position, pack(v.Data)
		} else if wasRelevant {
			m.addTombstone(feed, limpetstore.Value{Key: v.Key, Revision: v.Revision, Deleted: true})
		}
		m.values[v.Key] = e
		return
	}
	delete(m.values, v.Key)
	if wasRelevant {
		m.addTombstone(feed, v.Value)
	}
}

// addTombstone records a deletion for other VMs. The caller holds m.mu.
func (m *Mirror) addTombstone(feed string, v limpetstore.Value) {
	m.position++
	if m.deleted = append(m.deleted, entry{feed: feed, value: v, position: m.position}); len(m.deleted) > maxTombstones {
		m.prunedPosition = m.deleted[0].position
		m.deleted = m.deleted[1:]
	}
}

// epoch identifies the mirror and the relevant topics. The caller holds m.mu.
func (m *Mirror) epoch() string { return m.name + "." + strconv.Itoa(m.generation) }

// notify wakes the calls of Since that wait. The caller holds m.mu.
func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// A Change is a new value of a feed, or a deletion.
type Change struct {
	Feed  string
	Value limpetstore.Value
	// packed is the value's data in gzip format; nil if it was not packed.
	packed []byte
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
	u := Update{Epoch: m.epoch(), Position: m.position, Feeds: map[string]uint64{}, Age: m.now().Sub(m.confirmedAt)}
	u.Full = epoch != u.Epoch || position < m.prunedPosition
	for feed, revision := range m.feeds {
		u.Feeds[feed] = revision
	}
	if !u.Full && position == m.position {
		return u
	}
	for _, e := range m.values {
		if isRelevant(m.relevant, e.topic) && (u.Full || e.position > position) {
			u.Changes = append(u.Changes, Change{Feed: e.feed, Value: e.value, packed: e.packed})
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
