// Package limpetlease owns the leases under which a VM carries out duties. A
// Holder believes in its lease for a shorter time than the store does, on the
// monotonic and on the wall clock, so that a paused process, a suspended VM
// or a stepped clock ends the belief early and never late.
package limpetlease

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// Prefix is where duties stand in the store.
const Prefix = "duty/"

// A Record holds what the store keeps for a duty. Lease is the one that the
// key is tied to: a holder that lost its lease and got another must not take
// the key of the former one for its own.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Lease       uint64 `json:"lease"`
}

// A Holder holds one VM's lease and the duties tied to it. The store's lease
// carries all duties, so that renewals cost one write a period for each VM.
type Holder struct {
	store       limpetstore.Store
	vm          string
	incarnation string
	ttl         time.Duration
	margin      time.Duration
	now         func() time.Time

	mu    sync.Mutex
	lease uint64
	// last is the lease that was held last.
	last   uint64
	sent   time.Time
	duties map[string]uint64
}

// marginFraction of the lease's duration is given up for clock drift.
const marginFraction = 8

// New returns a holder without duties. The margin for clock drift is an
// eighth of ttl.
func New(store limpetstore.Store, vm, incarnation string, ttl time.Duration, now func() time.Time) *Holder {
	return &Holder{
		store: store, vm: vm, incarnation: incarnation, ttl: ttl, margin: ttl / marginFraction,
		now: now, duties: map[string]uint64{},
	}
}

// valid reports whether the lease is still believed in at t, which is now or
// later. The belief counts from before the last successful renewal was sent.
func (h *Holder) valid(t time.Time) bool {
	if h.lease == 0 {
		return false
	}
	limit := h.ttl - h.margin
	wall := t.Round(0).Sub(h.sent.Round(0))
	return t.Sub(h.sent) < limit && wall >= 0 && wall < limit
}

// Holds returns the fencing number of a duty and whether the belief in it
// lasts from now until the given time ahead. Call it right before each order
// with the order's own time limit.
func (h *Holder) Holds(duty string, ahead time.Duration) (fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	fence, held := h.duties[duty]
	return fence, held && h.valid(now) && h.valid(now.Add(ahead))
}

// Duties returns the duties that the VM believes it holds.
func (h *Holder) Duties() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.valid(h.now()) {
		return map[string]uint64{}
	}
	return maps.Clone(h.duties)
}

// Acquire takes a duty that nobody holds. The fencing number is the store's
// revision of the acquisition. A Conflict means that another VM holds it.
func (h *Holder) Acquire(ctx context.Context, duty string) (uint64, error) {
	lease, err := h.ensure(ctx)
	if err != nil {
		return 0, fmt.Errorf("duty %s: %w", duty, err)
	}
	data, err := json.Marshal(Record{Holder: h.vm, Incarnation: h.incarnation, Lease: lease})
	if err != nil {
		return 0, limpeterror.Invalid.Wrap(err, "duty %s", duty)
	}
	fence, err := h.store.Put(ctx, limpetstore.PutRequest{Key: Prefix + duty, Data: data, Lease: lease})
	if limpeterror.Is(err, limpeterror.NotFound) {
		h.drop(lease)
	}
	if limpeterror.Is(err, limpeterror.Unknown) || limpeterror.Is(err, limpeterror.Conflict) {
		fence, err = h.readBack(ctx, duty, lease, err)
	}
	if err != nil {
		return 0, fmt.Errorf("duty %s: %w", duty, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease != lease {
		return 0, limpeterror.Conflict.New("duty %s: the lease changed meanwhile", duty)
	}
	h.duties[duty] = fence
	return fence, nil
}

// readBack resolves an acquisition whose answer was lost.
func (h *Holder) readBack(ctx context.Context, duty string, lease uint64, cause error) (uint64, error) {
	v, err := h.store.Get(ctx, Prefix+duty)
	if err != nil {
		return 0, err
	}
	var r Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return 0, limpeterror.Invalid.Wrap(err, "duty %s", duty)
	}
	if r.Incarnation != h.incarnation || r.Lease != lease {
		return 0, limpeterror.Conflict.Wrap(cause, "held by %s", r.Holder)
	}
	return v.Revision, nil
}

func (h *Holder) ensure(ctx context.Context) (uint64, error) {
	h.mu.Lock()
	lease, ok := h.lease, h.valid(h.now())
	h.mu.Unlock()
	if ok {
		return lease, nil
	}
	sent := h.now()
	lease, err := h.store.Grant(ctx, h.ttl)
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease, h.last, h.sent = lease, lease, sent
	h.duties = map[string]uint64{}
	return lease, nil
}

// Renew extends the lease when there are duties. It returns the duties that
// were lost: because the store ended the lease, or because the belief in it
// ran out before a renewal succeeded.
func (h *Holder) Renew(ctx context.Context) (lost []string, err error) {
	h.mu.Lock()
	lease, held, ok := h.lease, len(h.duties) > 0, h.valid(h.now())
	h.mu.Unlock()
	if !held {
		return nil, nil
	}
	if !ok {
		return h.drop(lease), nil
	}
	sent := h.now()
	err = h.store.Renew(ctx, lease)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return h.drop(lease), nil
	}
	if err != nil {
		return nil, fmt.Errorf("renew lease: %w", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == lease {
		h.sent = sent
	}
	return nil, nil
}

func (h *Holder) drop(lease uint64) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease != lease {
		return nil
	}
	lost := make([]string, 0, len(h.duties))
	for d := range h.duties {
		lost = append(lost, d)
	}
	h.lease, h.duties = 0, map[string]uint64{}
	return lost
}

// Handle forgets the lease and returns what ends it at the store, for a
// holder that cannot be sure of it any more. It may be called again until it
// returns nil; a lease that has ended by itself is no error.
func (h *Holder) Handle() func(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	lease := h.lease
	if lease == 0 {
		lease = h.last
	}
	h.lease, h.duties = 0, map[string]uint64{}
	return func(ctx context.Context) error {
		if lease == 0 {
			return nil
		}
		err := h.store.Revoke(ctx, lease)
		if limpeterror.Is(err, limpeterror.NotFound) {
			return nil
		}
		return err
	}
}

// Release gives all duties up at once, so that others need not wait.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	lease := h.lease
	h.lease, h.duties = 0, map[string]uint64{}
	h.mu.Unlock()
	if lease == 0 {
		return nil
	}
	if err := h.store.Revoke(ctx, lease); err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}

// Leave gives one duty up.
func (h *Holder) Leave(ctx context.Context, duty string) error {
	h.mu.Lock()
	fence, ok := h.duties[duty]
	delete(h.duties, duty)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	return h.store.Delete(ctx, Prefix+duty, fence)
}
