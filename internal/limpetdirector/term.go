package limpetdirector

import (
	"context"
	"encoding/json"
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
}

func (t Term) encode() []byte {
	// Marshaling a struct of strings cannot fail.
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
	first := ""
	for ctx.Err() == nil {
		previous, err := d.writeTerm(ctx, l.fence)
		if first == "" {
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

func (d *Director) writeTerm(ctx context.Context, fence uint64) (previous string, err error) {
	before, err := ReadTerm(ctx, d.Store)
	if limpeterror.Is(err, limpeterror.Invalid) {
		// The value is overwritten, and the previous director counts as
		// unknown.
		d.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", TermKey), limpetlog.Error(err))
	} else if err != nil {
		return "", err
	}
	own := Term{VM: d.VM, Address: d.RelayAddress}
	if before == own {
		return before.VM, nil
	}
	_, err = d.Store.Commit(ctx, limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: limpetlease.Prefix + DutyName, Revision: fence}},
		Writes: []limpetstore.Write{{Key: TermKey, Data: own.encode()}},
	})
	return before.VM, err
}

// termEntered reports the previous director.
type termEntered struct {
	leadership *leadership
	previous   string
}

func (m termEntered) apply(d *Director) {
	if d.leadership != m.leadership {
		return
	}
	now := d.Now()
	m.leadership.actAfter = now
	if m.previous != d.VM && !d.lastHeldAt.IsZero() {
		// Another VM was the director since: orders and reports of this VM must
		// wait for MinTakeoverInterval.
		m.leadership.actAfter = d.lastHeldAt.Add(d.MinTakeoverInterval + takeoverMargin)
	}
	d.lastHeldAt = now
	m.leadership.termEntered = true
	d.Log.Emit(limpetlog.TermStarted, limpetlog.Value("fence", m.leadership.fence), limpetlog.Value("previous", m.previous),
		limpetlog.Value("wait_ms", m.leadership.actAfter.Sub(now).Milliseconds()))
	d.startDuties()
}

// takeoverMargin is added to MinTakeoverInterval.
const takeoverMargin = 500 * time.Millisecond
