package limpetdirector

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetexecutor"
)

// A session is the connection of an executor: a VM that sends runs to engines
// for this director.
type session struct {
	id, vm, zone string
	out          *outbox

	// The fields below are owned by the loop.
	runs map[string]*limpetbatch.Run
	// unmatched holds runs of an earlier director whose job or engine is not
	// known here yet.
	unmatched map[string]*limpetexecutor.HeldRun
	opened    time.Time
	lastHeard time.Time
	// silentEngines holds, by engine, when a run that the executor sent to it last
	// timed out.
	silentEngines map[string]time.Time
	// Until suspectUntil, the executor itself is considered the cause of these
	// timeouts.
	suspectUntil time.Time
}

// canReach reports whether the executor should be used for an engine.
func (s *session) canReach(engine string, now time.Time) bool {
	at, known := s.silentEngines[engine]
	return !now.Before(s.suspectUntil) && (!known || now.Sub(at) > silentEngineBackoff)
}

// markSilent records that an engine was silent to the executor.
func (s *session) markSilent(engine string, now time.Time) {
	s.silentEngines[engine] = now
	recent := 0
	for _, at := range s.silentEngines {
		if now.Sub(at) < silentEngineBackoff {
			recent++
		}
	}
	if recent >= maxSilentEngines {
		s.suspectUntil = now.Add(suspectExecutorBackoff)
	}
}

// An outbox collects what is to be sent to an executor. It is safe for
// concurrent use.
type outbox struct {
	mu     sync.Mutex
	batch  limpetexecutor.Batch
	closed bool
	err    error
	ready  chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

func (b *outbox) update(f func()) {
	b.mu.Lock()
	f()
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *outbox) addOrder(o limpetexecutor.Order) {
	b.update(func() { b.batch.Orders = append(b.batch.Orders, o) })
}

func (b *outbox) cancel(run string) {
	b.update(func() { b.batch.CancelRuns = append(b.batch.CancelRuns, run) })
}

// setUnsure sets whether the director may have a successor.
func (b *outbox) setUnsure(unsure bool) { b.update(func() { b.batch.Unsure = unsure }) }

// close ends the session. A nil error tells the executor that it is not needed.
func (b *outbox) close(err error) { b.update(func() { b.closed, b.err = true, err }) }

func (b *outbox) take() (batch limpetexecutor.Batch, closed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch = b.batch
	b.batch = limpetexecutor.Batch{Unsure: batch.Unsure}
	return batch, b.closed, b.err
}

// sendBatches sends batches until the session is closed, ctx ends or the
// director stops.
func (b *outbox) sendBatches(ctx context.Context, stopped <-chan struct{}, send func(limpetexecutor.Batch) error) error {
	heartbeat := time.NewTicker(limpetexecutor.HeartbeatPeriod)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stopped:
			return limpeterror.Unavailable.New("the director stopped")
		case <-b.ready:
		case <-heartbeat.C:
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

// AcceptOffer serves the session of a VM that offers to run items, and sends it
// batches until the session ends.
func (d *Director) AcceptOffer(ctx context.Context, o limpetexecutor.Offer, send func(limpetexecutor.Batch) error) error {
	s := &session{
		id: o.Session, vm: o.VM, zone: o.Zone, out: newOutbox(),
		runs: map[string]*limpetbatch.Run{}, unmatched: map[string]*limpetexecutor.HeldRun{}, silentEngines: map[string]time.Time{},
	}
	d.post(ctx, sessionOpened{session: s, held: o.Held})
	// ctx may have ended, but the loop must still learn of it.
	defer d.post(context.WithoutCancel(ctx), sessionClosed{session: s})
	return s.out.sendBatches(ctx, d.stopped, send)
}

// Deliver queues the progress of an executor's runs for the loop. It reports
// whether the session is known.
func (d *Director) Deliver(ctx context.Context, m limpetexecutor.Delivery) bool {
	s, known := d.sharedSessions.Load(m.Session)
	if !known {
		return false
	}
	d.post(ctx, progressDelivered{session: s.(*session), delivery: m, at: d.Now()})
	return true
}
