package limpetdirector

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetcarry"
	"limpetmount.org/internal/limpeterror"
)

// A session is a VM that sends runs for this director.
type session struct {
	id, vm, zone string
	out          *outbox

	// Owned by the loop.
	runs map[string]*limpetbatch.Run
	// unmatched are runs of jobs or engines that are not known here yet.
	unmatched map[string]*limpetcarry.Held
	opened    time.Time
	heard     time.Time
	// faults holds when an engine was silent to this VM.
	faults map[string]time.Time
	// doubted is until when the VM itself is taken for the cause.
	doubted time.Time
}

// fit reports whether the VM should send to an engine.
func (s *session) fit(engine string, now time.Time) bool {
	at, known := s.faults[engine]
	return !now.Before(s.doubted) && (!known || now.Sub(at) > faultLife)
}

// fault records that an engine was silent to this VM.
func (s *session) fault(engine string, now time.Time) {
	s.faults[engine] = now
	recent := 0
	for _, at := range s.faults {
		if now.Sub(at) < faultLife {
			recent++
		}
	}
	if recent >= faultsMost {
		s.doubted = now.Add(doubtLife)
	}
}

// An outbox holds what a carrier is to be told. It is safe for use by several
// goroutines.
type outbox struct {
	mu     sync.Mutex
	batch  limpetcarry.Batch
	closed bool
	err    error
	ready  chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

func (b *outbox) change(f func()) {
	b.mu.Lock()
	f()
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *outbox) order(o limpetcarry.Order) {
	b.change(func() { b.batch.Orders = append(b.batch.Orders, o) })
}

func (b *outbox) cut(run string) {
	b.change(func() { b.batch.Cuts = append(b.batch.Cuts, run) })
}

// doubt tells whether the director may have a successor.
func (b *outbox) doubt(unsure bool) { b.change(func() { b.batch.Unsure = unsure }) }

// close ends the offer; without an error the VM is not needed.
func (b *outbox) close(err error) { b.change(func() { b.closed, b.err = true, err }) }

func (b *outbox) take() (batch limpetcarry.Batch, closed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch = b.batch
	b.batch = limpetcarry.Batch{Unsure: batch.Unsure}
	return batch, b.closed, b.err
}

// pump sends batches until the offer, ctx or the director ends.
func (b *outbox) pump(ctx context.Context, over <-chan struct{}, send func(limpetcarry.Batch) error) error {
	beat := time.NewTicker(limpetcarry.BeatPeriod)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-over:
			return limpeterror.Unavailable.New("the director stopped")
		case <-b.ready:
		case <-beat.C:
		}
		batch, closed, err := b.take()
		if closed {
			return err
		}
		if err := send(batch); err != nil {
			return err
		}
	}
}

// Carry takes a VM's offer to send runs, and hands it batches until the offer
// is over.
func (d *Director) Carry(ctx context.Context, o limpetcarry.Opening, send func(limpetcarry.Batch) error) error {
	s := &session{
		id: o.Session, vm: o.VM, zone: o.Zone, out: newOutbox(),
		runs: map[string]*limpetbatch.Run{}, unmatched: map[string]*limpetcarry.Held{}, faults: map[string]time.Time{},
	}
	d.post(ctx, opened{session: s, held: o.Held})
	// The end must be told although ctx ended.
	defer d.post(context.WithoutCancel(ctx), closed{session: s})
	return s.out.pump(ctx, d.over, send)
}

// Deliver takes the progress of a VM's runs. It reports whether the offer is
// known.
func (d *Director) Deliver(ctx context.Context, m limpetcarry.Delivery) bool {
	s, known := d.offers.Load(m.Session)
	if !known {
		return false
	}
	d.post(ctx, delivered{session: s.(*session), delivery: m, at: d.Now()})
	return true
}
