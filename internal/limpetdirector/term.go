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

// TermKey holds the VM that was the director last. Unlike the lease's key it
// stays when the lease ends.
const TermKey = "term/" + Duty

// A Term names the VM that was the director last, and where others reach it.
type Term struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

func (t Term) encode() []byte {
	// Strings always encode.
	data, _ := json.Marshal(t)
	return data
}

// ReadTerm returns who was the director last; its zero value when nobody was.
// The error has type Invalid when what is stored cannot be read.
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

// enterTerm records this VM as the director, and learns who was before. Until
// then it gives no orders and makes no reports.
func (d *Director) enterTerm(ctx context.Context, l *lead) {
	first := ""
	for ctx.Err() == nil {
		previous, err := d.writeTerm(ctx, l.fence)
		if first == "" {
			// A write whose answer was lost shows this VM the next time.
			first = previous
		}
		if err == nil {
			d.post(ctx, entered{lead: l, previous: first})
			return
		}
		d.Log.Emit(limpetlog.DutyNotTaken, limpetlog.Error(err))
		limpettask.Sleep(ctx, limpettask.Jitter(tryPause))
	}
}

func (d *Director) writeTerm(ctx context.Context, fence uint64) (previous string, err error) {
	before, err := ReadTerm(ctx, d.Store)
	if limpeterror.Is(err, limpeterror.Invalid) {
		// It is written over; the one before counts as unknown.
		d.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", TermKey), limpetlog.Error(err))
	} else if err != nil {
		return "", err
	}
	own := Term{VM: d.VM, Address: d.RelayAddress}
	if before == own {
		return before.VM, nil
	}
	_, err = d.Store.Commit(ctx, limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: limpetlease.Prefix + Duty, Revision: fence}},
		Writes: []limpetstore.Write{{Key: TermKey, Data: own.encode()}},
	})
	return before.VM, err
}

// entered tells who was the director before.
type entered struct {
	lead     *lead
	previous string
}

func (m entered) apply(d *Director) {
	if d.lead != m.lead {
		return
	}
	now := d.Now()
	m.lead.actAfter = now
	if m.previous != d.VM && !d.heldAt.IsZero() {
		// Another VM acted since this one did: a turn back must not be quick.
		m.lead.actAfter = d.heldAt.Add(d.Turn + turnSlack)
	}
	d.heldAt = now
	m.lead.entered = true
	d.Log.Emit(limpetlog.TermEntered, limpetlog.Value("fence", m.lead.fence), limpetlog.Value("previous", m.previous),
		limpetlog.Value("wait_ms", m.lead.actAfter.Sub(now).Milliseconds()))
	d.startDuties()
}

const turnSlack = 500 * time.Millisecond
