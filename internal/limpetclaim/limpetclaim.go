// Package limpetclaim owns claims on idempotency keys: before a call that must
// not run twice goes out, its attempt is recorded in the platform's store,
// and only the recorded attempt may run. Safety rests on compare-and-swap
// alone; sending the claims of a shard through one VM only lets them share
// writes.
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

// State says how far a claimed call came.
type State string

// The states of a claim.
const (
	// Claimed means that the holder may run the call, or is running it.
	Claimed State = "claimed"
	// Ran means that the call ran and its answer is known.
	Ran State = "ran"
	// Uncertain means that the call may have run.
	Uncertain State = "unknown"
	// NotRun means that the call provably did not run; it may be claimed again.
	NotRun State = "not_run"
)

const (
	// Shards is the number of store keys over which claims are spread.
	Shards = 8
	// AnswerLargest is the size up to which an answer is kept, in bytes.
	AnswerLargest = 4 << 10
	flushPause    = 100 * time.Millisecond
	flushTimeout  = 3 * time.Second
	shardLargest  = limpetstore.MaxValue * 3 / 4
)

// An Entry holds one claim. Digest is the hash of the request's body.
type Entry struct {
	Attempt string    `json:"attempt"`
	Digest  string    `json:"digest"`
	State   State     `json:"state"`
	At      time.Time `json:"at"`
	Status  int       `json:"status,omitempty"`
	Body    []byte    `json:"body,omitempty"`
}

// A Request claims, when State is Claimed, or records what became of the
// attempt.
type Request struct {
	Claim   string
	Attempt string
	Digest  string
	State   State
	Status  int
	Body    []byte
}

// A Segment holds a shard's claims as the store keeps them.
type Segment struct {
	Entries map[string]Entry `json:"entries"`
}

// Name returns the claim of an idempotency key.
func Name(account, service, key string) string {
	h := sha256.New()
	for _, s := range []string{account, service, key} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Digest returns the hash of a request's body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// Decode reads a stored segment; empty data is the empty segment.
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

// Apply records r in s. A claim is granted when none stands, or when the one
// that stands is known not to have run. An attempt's outcome is recorded only
// over its own claim. It reports whether s changed; applying a request twice
// changes nothing, so that a write whose answer was lost may be repeated.
func Apply(s Segment, r Request, now time.Time) bool {
	old, exists := s.Entries[r.Claim]
	own := exists && old.Attempt == r.Attempt
	switch {
	case r.State == Claimed && (!exists || (old.State == NotRun && !own)):
		s.Entries[r.Claim] = Entry{Attempt: r.Attempt, Digest: r.Digest, State: Claimed, At: now}
		return true
	case r.State != Claimed && own && old.State == Claimed:
		old.State, old.Status, old.At = r.State, r.Status, now
		if len(r.Body) <= AnswerLargest {
			old.Body = r.Body
		}
		s.Entries[r.Claim] = old
		return true
	}
	return false
}

// Claims holds the group commits of one VM.
type Claims struct {
	group  *limpettask.Group
	store  limpetstore.Store
	keep   time.Duration
	now    func() time.Time
	shards [Shards]shard
}

// A shard holds the requests that wait for the next group commit.
type shard struct {
	mu      sync.Mutex
	waiting []*pending
	running bool
	last    time.Time
}

type pending struct {
	request Request
	done    chan struct{}
	entry   Entry
	err     error
}

// New returns claims that are kept for a time after their last change. Group
// commits run in group.
func New(group *limpettask.Group, store limpetstore.Store, keep time.Duration, now func() time.Time) *Claims {
	return &Claims{group: group, store: store, keep: keep, now: now}
}

// ShardOf returns a claim's shard.
func ShardOf(claim string) int { return int(xxhash.Sum64String(claim) % Shards) }

// Do claims or records r and returns the entry that then stands. The claim is
// granted when the entry's attempt is the request's and its state is Claimed.
// On an error of type Unavailable, and of type Unknown too, the attempt must
// not run.
func (c *Claims) Do(ctx context.Context, r Request) (Entry, error) {
	p := &pending{request: r, done: make(chan struct{})}
	sh := &c.shards[ShardOf(r.Claim)]
	sh.mu.Lock()
	sh.waiting = append(sh.waiting, p)
	start := !sh.running
	sh.running = true
	sh.mu.Unlock()
	if start {
		// The first waiter commits for all that join meanwhile.
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

// commit writes the shard's waiting requests, batch after batch, until none
// is left. Batches are at least flushPause apart.
func (c *Claims) commit(index int) {
	sh := &c.shards[index]
	for {
		sh.mu.Lock()
		pause := flushPause - c.now().Sub(sh.last)
		sh.mu.Unlock()
		if pause > 0 {
			time.Sleep(min(pause, flushPause))
		}
		sh.mu.Lock()
		batch := sh.waiting
		sh.waiting = nil
		sh.last = c.now()
		if len(batch) == 0 {
			sh.running = false
			sh.mu.Unlock()
			return
		}
		sh.mu.Unlock()
		c.write(index, batch)
	}
}

func (c *Claims) write(index int, batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	v, err := c.store.Update(ctx, fmt.Sprintf("claim/%d", index),
		func(current limpetstore.Value) ([]byte, error) { return c.encode(current.Data, batch) },
		func(current limpetstore.Value) bool {
			s, err := Decode(current.Data)
			return err == nil && !c.apply(s, batch)
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

// apply applies a batch and reports whether the segment changed.
func (c *Claims) apply(s Segment, batch []*pending) bool {
	now, changed := c.now().UTC(), false
	for _, p := range batch {
		changed = Apply(s, p.request, now) || changed
	}
	return changed
}

func (c *Claims) encode(data []byte, batch []*pending) ([]byte, error) {
	s, err := Decode(data)
	if err != nil {
		return nil, err
	}
	now := c.now().UTC()
	for claim, e := range s.Entries {
		if now.Sub(e.At) > c.keep {
			delete(s.Entries, claim)
		}
	}
	c.apply(s, batch)
	next, err := json.Marshal(s)
	if err == nil && len(next) > shardLargest {
		return nil, limpeterror.Overloaded.New("claim shard is full")
	}
	return next, err
}
