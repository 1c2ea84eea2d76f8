// Package limpetlease manages the store lease under which a VM performs duties.
// A duty is a task that at most one VM performs at a time, such as to run a job.
// A Holder treats its lease as expired earlier than the store does and checks
// both the monotonic and the wall clock, so that a paused process, a suspended
// VM or a stepped clock makes it stop early and never late.
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

// Prefix is the key prefix of duties in the store.
const Prefix = "duty/"

// A Record is the stored value of a duty. Lease is the lease that the key is
// attached to. A holder that lost its lease and was granted another one uses it
// to recognize a key of the former lease, which it must not take for its own.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Lease       uint64 `json:"lease"`
}

// A Holder manages the lease of one VM and the duties attached to it. All
// duties share one lease, so that renewals cost one write per period and VM. It
// is safe for concurrent use.
type Holder struct {
	store       limpetstore.Store
	vm          string
	incarnation string
	ttl         time.Duration
	margin      time.Duration
	now         func() time.Time

	mu    sync.Mutex
	lease uint64
	// lastLease is the most recently granted lease; it is kept when the lease
	// is lost.
	lastLease uint64
	// renewedAt is the time before the last successful grant or renewal was
	// sent.
	renewedAt time.Time
	// duties maps each duty that is held to its fencing token.
	duties map[string]uint64
}

// marginDivisor is the reciprocal of the fraction of the TTL that is reserved
// for clock drift.
const marginDivisor = 8

// New returns a holder without duties. Its safety margin for clock drift is an
// eighth of ttl.
func New(store limpetstore.Store, vm, incarnation string, ttl time.Duration, now func() time.Time) *Holder {
	return &Holder{
		store: store, vm: vm, incarnation: incarnation, ttl: ttl, margin: ttl / marginDivisor,
		now: now, duties: map[string]uint64{},
	}
}

// valid reports whether the lease is still safe to rely on at t, which must not
// be in the past. Validity counts from renewedAt. The caller holds h.mu.
func (h *Holder) valid(t time.Time) bool {
	if h.lease == 0 {
		return false
	}
	limit := h.ttl - h.margin
	wall := t.Round(0).Sub(h.renewedAt.Round(0))
	return t.Sub(h.renewedAt) < limit && wall >= 0 && wall < limit
}

// Holds returns the fencing token of a duty and whether the holder may rely on
// the duty from now until the duration ahead has passed. Call it immediately
// before each order, with the time limit of the order as ahead.
func (h *Holder) Holds(duty string, ahead time.Duration) (fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	fence, held := h.duties[duty]
	return fence, held && h.valid(now) && h.valid(now.Add(ahead))
}

// Call prepares one call under a duty, for receivers that may not check fencing
// tokens. It returns the fencing token, and a context that ends after timeout, or
// earlier if the holder may not rely on the duty any more: a call that is still
// waiting for its connection then must not be sent. Ok is false if the holder cannot
// rely on the duty for the duration ahead.
func (h *Holder) Call(ctx context.Context, duty string, ahead, timeout time.Duration) (call context.Context, cancel context.CancelFunc, fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	fence, held := h.duties[duty]
	if !held || !h.valid(now) || !h.valid(now.Add(ahead)) {
		return ctx, func() {}, 0, false
	}
	remaining := h.ttl - h.margin - now.Sub(h.renewedAt)
	call, cancel = context.WithTimeout(ctx, min(timeout, remaining))
	return call, cancel, fence, true
}

// Duties returns the duties that are held under a valid lease, with their
// fencing tokens.
func (h *Holder) Duties() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.valid(h.now()) {
		return map[string]uint64{}
	}
	return maps.Clone(h.duties)
}

// Acquire acquires a duty that nobody holds. The fencing token is the store's
// revision of the write. An error of type limpeterror.Conflict means that the
// duty is held under another lease, or that the holder's lease changed
// meanwhile.
func (h *Holder) Acquire(ctx context.Context, duty string) (uint64, error) {
	lease, err := h.ensureLease(ctx)
	if err != nil {
		return 0, fmt.Errorf("duty %s: %w", duty, err)
	}
	data, err := json.Marshal(Record{Holder: h.vm, Incarnation: h.incarnation, Lease: lease})
	if err != nil {
		return 0, limpeterror.Invalid.Wrap(err, "duty %s", duty)
	}
	fence, err := h.store.Put(ctx, limpetstore.PutRequest{Key: Prefix + duty, Data: data, Lease: lease})
	if limpeterror.Is(err, limpeterror.NotFound) {
		h.dropLease(lease)
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
		return 0, limpeterror.Conflict.New("duty %s: the lease changed during the acquisition", duty)
	}
	h.duties[duty] = fence
	return fence, nil
}

// readBack reads the key of a duty after a write with an unknown outcome or a
// conflict, and returns its revision if the key belongs to this holder and
// lease.
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

// ensureLease returns the current lease, or a new one if it is no longer valid.
func (h *Holder) ensureLease(ctx context.Context) (uint64, error) {
	h.mu.Lock()
	lease, ok := h.lease, h.valid(h.now())
	h.mu.Unlock()
	if ok {
		return lease, nil
	}
	renewedAt := h.now()
	lease, err := h.store.Grant(ctx, h.ttl)
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease, h.lastLease, h.renewedAt = lease, lease, renewedAt
	h.duties = map[string]uint64{}
	return lease, nil
}

// Renew extends the lease if there are duties. It returns the duties that were
// lost because the store ended the lease or because the lease became invalid
// locally before a renewal succeeded.
func (h *Holder) Renew(ctx context.Context) (lost []string, err error) {
	h.mu.Lock()
	lease, held, ok := h.lease, len(h.duties) > 0, h.valid(h.now())
	h.mu.Unlock()
	if !held {
		return nil, nil
	}
	if !ok {
		return h.dropLease(lease), nil
	}
	renewedAt := h.now()
	err = h.store.Renew(ctx, lease)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return h.dropLease(lease), nil
	}
	if err != nil {
		return nil, fmt.Errorf("renew lease: %w", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == lease {
		h.renewedAt = renewedAt
	}
	return nil, nil
}

// dropLease forgets a lease, if it is still the current one, and returns its
// duties.
func (h *Holder) dropLease(lease uint64) []string {
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

// Detach forgets the lease and returns a function that revokes it in the store,
// for a holder that cannot tell whether the lease is still valid. The function
// may be called again until it returns nil; a lease that has already ended is
// not an error.
func (h *Holder) Detach() func(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	lease := h.lease
	if lease == 0 {
		lease = h.lastLease
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

// Release revokes the lease and thus releases all duties, so that other VMs
// need not wait for its expiry.
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

// ReleaseDuty releases one duty. It has no effect if the duty is not held.
func (h *Holder) ReleaseDuty(ctx context.Context, duty string) error {
	h.mu.Lock()
	fence, ok := h.duties[duty]
	delete(h.duties, duty)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	return h.store.Delete(ctx, Prefix+duty, fence)
}
