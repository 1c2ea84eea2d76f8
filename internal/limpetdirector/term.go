package limpetdirector

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// TermKey names the last director. Unlike the lease's key, it persists after
// the lease has ended.
const TermKey = "term/" + DutyName

// A Term names the last director and the address at which other VMs reach it.
type Term struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// OverloadedMs is when a director last gave the duty up because its event loop
	// lagged, in Unix time; 0 if none did.
	OverloadedMs int64 `json:"overloaded_ms,omitempty"`
	// Former lists the VMs that were the director before, the latest first and each
	// once. It is nil in a term of an earlier release, which did not record them.
	Former []string `json:"former"`
}

// maxFormer bounds Term.Former.
const maxFormer = 8

// next returns the term of a VM that follows t.
func (t Term) next(vm, address string) Term {
	next := Term{VM: vm, Address: address, OverloadedMs: t.OverloadedMs, Former: []string{}}
	for _, former := range append([]string{t.VM}, t.Former...) {
		if former != "" && former != vm && len(next.Former) < maxFormer {
			next.Former = append(next.Former, former)
		}
	}
	return next
}

// mayFollow reports whether a VM may have been the director before the term, so that
// it would return to the duty after it.
func (t Term) mayFollow(vm string) bool {
	return t.VM != "" && t.VM != vm && (t.Former == nil || slices.Contains(t.Former, vm))
}

func (t Term) encode() []byte {
	// Marshaling strings and numbers cannot fail.
	data, _ := json.Marshal(t)
	return data
}

// ReadTerm returns the last director, or a zero Term if there was none. The
// error has type Invalid if the stored value cannot be decoded.
func ReadTerm(ctx context.Context, store limpetstore.Store) (Term, error) {
	v, err := store.Get(ctx, TermKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return Term{}, nil
	}
	if err != nil {
		return Term{}, err
	}
	var t Term
	if err := json.Unmarshal(v.Data, &t); err != nil {
		return Term{}, limpeterror.Invalid.Wrap(err, "value of %s", TermKey)
	}
	return t, nil
}

// recordTerm records this VM as the director and learns the previous one. Until
// that has succeeded, the VM sends no orders and makes no reports.
func (d *Director) recordTerm(ctx context.Context, l *leadership) {
	first := Term{}
	for ctx.Err() == nil {
		previous, err := d.writeTerm(ctx, l.fence)
		if first.VM == "" {
			// Keep the first answer: after a write whose answer was lost, the
			// store already names this VM.
			first = previous
		}
		if err == nil {
			d.post(ctx, termEntered{leadership: l, previous: first})
			return
		}
		d.Log.Emit(limpetlog.DutyNotAcquired, limpetlog.Error(err))
		limpettask.Sleep(ctx, limpettask.Jitter(leaseRetryDelay))
	}
}

func (d *Director) writeTerm(ctx context.Context, fence uint64) (previous Term, err error) {
	before, err := ReadTerm(ctx, d.Store)
	if limpeterror.Is(err, limpeterror.Invalid) {
		// The value is overwritten, and the previous director counts as
		// unknown.
		d.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", TermKey), limpetlog.Error(err))
	} else if err != nil {
		return Term{}, err
	}
	if before.VM == d.VM && before.Address == d.RelayAddress {
		return before, nil
	}
	return before, d.putTerm(ctx, before.next(d.VM, d.RelayAddress), fence)
}

// putTerm writes a term while the duty is held under a fencing token.
func (d *Director) putTerm(ctx context.Context, t Term, fence uint64) error {
	_, err := d.Store.Commit(ctx, limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: limpetlease.Prefix + DutyName, Revision: fence}},
		Writes: []limpetstore.Write{{Key: TermKey, Data: t.encode()}},
	})
	return err
}

// recordOverload records that this VM gives the duty up because its loop lags.
func (d *Director) recordOverload(l *leadership, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	t := l.term
	t.OverloadedMs = now.UnixMilli()
	if err := d.putTerm(ctx, t, l.fence); err != nil {
		d.Log.Emit(limpetlog.DutyNotAcquired, limpetlog.Value("cause", "the overload could not be recorded"), limpetlog.Error(err))
	}
}

// termEntered reports the previous director.
type termEntered struct {
	leadership *leadership
	previous   Term
}

func (m termEntered) apply(d *Director) {
	if d.leadership != m.leadership {
		return
	}
	now := d.Now()
	m.leadership.actAfter = now
	if m.previous.OverloadedMs != 0 {
		m.leadership.keepUntil = time.UnixMilli(m.previous.OverloadedMs).Add(overloadMemory)
	}
	m.leadership.term = m.previous.next(d.VM, d.RelayAddress)
	acted := d.lastHeldAt
	if acted.IsZero() && m.previous.mayFollow(d.VM) {
		// An earlier process of this VM may have acted until it ended.
		acted = d.startedAt
	}
	if m.previous.VM != d.VM && !acted.IsZero() {
		// Another VM was the director since: orders and reports of this VM must
		// wait for MinTakeoverInterval.
		m.leadership.actAfter = acted.Add(d.MinTakeoverInterval + takeoverMargin)
	}
	d.lastHeldAt = now
	m.leadership.termEntered = true
	d.Log.Emit(limpetlog.TermStarted, limpetlog.Value("fence", m.leadership.fence), limpetlog.Value("previous", m.previous.VM),
		limpetlog.Value("wait_ms", m.leadership.actAfter.Sub(now).Milliseconds()))
	d.startDuties()
}

// takeoverMargin is added to MinTakeoverInterval.
const takeoverMargin = 500 * time.Millisecond
