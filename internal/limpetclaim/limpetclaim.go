// Package limpetclaim deduplicates calls by idempotency key. Before a call that
// must not run twice is sent, its attempt is recorded as a claim in the
// platform's store, and only the recorded attempt may run. At-most-once
// execution relies on the store's compare-and-swap alone. Claims of one shard
// go through one VM only to batch their writes.
package limpetclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// State is the state of a claimed call.
type State string

// The states of a claim.
const (
	// Claimed means that the attempt may run the call or is running it.
	Claimed State = "claimed"
	// Ran means that the call ran and its response is known.
	Ran State = "ran"
	// Unknown means that the call may have run.
	Unknown State = "unknown"
	// NotRun means that the call is known not to have run. Another attempt may
	// claim it.
	NotRun State = "not_run"
)

const (
	// Shards is the number of shards. Each is stored under its own key.
	Shards = 8
	// MaxResponseBytes is the largest response body that is stored, in bytes.
	MaxResponseBytes = 4 << 10
	// commitInterval is the least time between two commits of a shard.
	commitInterval = 100 * time.Millisecond
	commitTimeout  = 3 * time.Second
	// maxSegmentBytes bounds a stored segment.
	maxSegmentBytes = limpetstore.MaxValue * 3 / 4
)

// An Entry is a stored claim. Digest is the hash of the request body; Status and
// Body hold the response.
type Entry struct {
	Attempt   string    `json:"attempt"`
	Digest    string    `json:"digest"`
	State     State     `json:"state"`
	UpdatedAt time.Time `json:"at"`
	Status    int       `json:"status,omitempty"`
	Body      []byte    `json:"body,omitempty"`
}

// A Request requests a claim for an attempt if State is Claimed. Otherwise it
// records the outcome of the attempt. Claim is the claim's name, as returned by
// Name.
type Request struct {
	Claim   string
	Attempt string
	Digest  string
	State   State
	Status  int
	Body    []byte
}

// A Segment is the stored form of a shard.
type Segment struct {
	Entries map[string]Entry `json:"entries"`
}

// Name returns the claim name of an idempotency key, which is scoped to the
// client account and the service.
func Name(account, service, key string) string {
	h := sha256.New()
	for _, s := range []string{account, service, key} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Digest returns the hash of a request body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// Decode decodes a stored segment. Empty data gives an empty segment. Its errors
// have type Invalid.
func Decode(data []byte) (Segment, error) {
	s := Segment{Entries: map[string]Entry{}}
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, limpeterror.Invalid.Wrap(err, "claims")
	}
	if s.Entries == nil {
		s.Entries = map[string]Entry{}
	}
	return s, nil
}

// Apply applies r to s and reports whether s changed. A claim is granted if there
// is none yet, or if the present one is of another attempt that is known not to
// have run. An outcome is recorded only over a claim of the same attempt. Apply is
// idempotent, so that a write whose response was lost can be repeated.
func Apply(s Segment, r Request, now time.Time) bool {
	old, exists := s.Entries[r.Claim]
	sameAttempt := exists && old.Attempt == r.Attempt
	switch {
	case r.State == Claimed && (!exists || (old.State == NotRun && !sameAttempt)):
		s.Entries[r.Claim] = Entry{Attempt: r.Attempt, Digest: r.Digest, State: Claimed, UpdatedAt: now}
		return true
	case r.State != Claimed && sameAttempt && old.State == Claimed:
		old.State, old.Status, old.UpdatedAt = r.State, r.Status, now
		if len(r.Body) <= MaxResponseBytes {
			old.Body = r.Body
		}
		s.Entries[r.Claim] = old
		return true
	}
	return false
}

// A Committer writes claims to the store by group commit. Several VMs may commit
// claims of the same shard.
type Committer struct {
	group     *limpettask.Group
	store     limpetstore.Store
	retention time.Duration
	now       func() time.Time
	shards    [Shards]shard
}

// A shard queues the requests for the next group commit.
type shard struct {
	mu    sync.Mutex
	queue []*pendingRequest
	// running is set while a task commits the queue.
	running bool
	// lastCommit is the start time of the latest commit.
	lastCommit time.Time
}

// A pendingRequest is a queued request. Its entry and err are set before done
// is closed.
type pendingRequest struct {
	request Request
	done    chan struct{}
	entry   Entry
	err     error
}

// New returns a Committer that removes entries once they have been unchanged for
// the retention time. Group commits run as tasks of group.
func New(group *limpettask.Group, store limpetstore.Store, retention time.Duration, now func() time.Time) *Committer {
	return &Committer{group: group, store: store, retention: retention, now: now}
}

// ShardOf returns the index of a claim's shard.
func ShardOf(claim string) int { return int(xxhash.Sum64String(claim) % Shards) }

// Do commits r and returns the stored entry after the commit. A claim is granted
// if the entry has the attempt of r and the state Claimed. On an error, also one
// of type Unknown, the attempt must not run. The error has type Overloaded if the
// shard is full.
func (c *Committer) Do(ctx context.Context, r Request) (Entry, error) {
	p := &pendingRequest{request: r, done: make(chan struct{})}
	sh := &c.shards[ShardOf(r.Claim)]
	sh.mu.Lock()
	sh.queue = append(sh.queue, p)
	start := !sh.running
	sh.running = true
	sh.mu.Unlock()
	if start {
		// One task commits for all requests that are queued while it runs.
		c.group.Go(func(context.Context) error {
			c.commit(ShardOf(r.Claim))
			return nil
		})
	}
	select {
	case <-p.done:
		return p.entry, p.err
	case <-ctx.Done():
		return Entry{}, limpeterror.Unknown.Wrap(ctx.Err(), "claim %s", r.Claim)
	}
}

// commit writes the shard's queued requests in batches, at least
// commitInterval apart, until the queue is empty.
func (c *Committer) commit(index int) {
	sh := &c.shards[index]
	for {
		sh.mu.Lock()
		pause := commitInterval - c.now().Sub(sh.lastCommit)
		sh.mu.Unlock()
		if pause > 0 {
			time.Sleep(min(pause, commitInterval))
		}
		sh.mu.Lock()
		batch := sh.queue
		sh.queue = nil
		sh.lastCommit = c.now()
		if len(batch) == 0 {
			sh.running = false
			sh.mu.Unlock()
			return
		}
		sh.mu.Unlock()
		c.writeBatch(index, batch)
	}
}

// writeBatch commits a batch to the store and completes its requests.
func (c *Committer) writeBatch(index int, batch []*pendingRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	v, err := c.store.Update(ctx, fmt.Sprintf("claim/%d", index),
		func(current limpetstore.Value) ([]byte, error) { return c.updateSegment(current.Data, batch) },
		func(current limpetstore.Value) bool {
			s, err := Decode(current.Data)
			return err == nil && !c.applyBatch(s, batch)
		})
	var s Segment
	if err == nil {
		s, err = Decode(v.Data)
	}
	for _, p := range batch {
		p.entry, p.err = s.Entries[p.request.Claim], err
		close(p.done)
	}
}

// applyBatch applies a batch to s and reports whether s changed.
func (c *Committer) applyBatch(s Segment, batch []*pendingRequest) bool {
	now, changed := c.now().UTC(), false
	for _, p := range batch {
		changed = Apply(s, p.request, now) || changed
	}
	return changed
}

// updateSegment removes expired entries from a stored segment, applies a batch to
// it and returns the encoded result.
func (c *Committer) updateSegment(data []byte, batch []*pendingRequest) ([]byte, error) {
	s, err := Decode(data)
	if err != nil {
		return nil, err
	}
	now := c.now().UTC()
	for claim, e := range s.Entries {
		if now.Sub(e.UpdatedAt) > c.retention {
			delete(s.Entries, claim)
		}
	}
	c.applyBatch(s, batch)
	next, err := json.Marshal(s)
	if err == nil && len(next) > maxSegmentBytes {
		return nil, limpeterror.Overloaded.New("claim shard is full")
	}
	return next, err
}
