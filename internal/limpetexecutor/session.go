package limpetexecutor

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

// Serve executes runs for one director until the session ends. Runs continue
// after that. The error says why the session ended; its type is Conflict if the
// director does not need the VM.
func (e *Executor) Serve(ctx context.Context, link Link, session string) error {
	offer := e.openSession(session)
	e.unsure.Store(false)
	group := limpettask.New(ctx)
	var lastBatch atomic.Int64
	lastBatch.Store(e.Now().UnixNano())
	ended, accepted := make(chan error, 1), make(chan struct{}, 1)
	group.Go(func(ctx context.Context) error {
		ended <- link.Offer(ctx, offer, func(b Batch) {
			now := e.Now()
			if now.Sub(time.Unix(0, lastBatch.Load())) > directorTimeout {
				// The batch was in transit while this VM was suspended or
				// disconnected: its orders may be outdated.
				return
			}
			lastBatch.Store(now.UnixNano())
			signal(accepted)
			e.handleBatch(session, b)
		})
		return nil
	})
	err := awaitAcceptance(group.Context(), ended, accepted)
	if err == nil {
		err = e.deliverProgress(group.Context(), link, session, ended, &lastBatch)
	}
	// Any error of the goroutine has been received from ended.
	_ = group.Stop()
	e.closeSession(session)
	return err
}

// awaitAcceptance returns once the director has accepted the offer: it could
// not distinguish earlier deliveries from those of an unknown session.
func awaitAcceptance(ctx context.Context, ended chan error, accepted chan struct{}) error {
	timer := time.NewTimer(directorTimeout)
	defer timer.Stop()
	select {
	case <-accepted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case err := <-ended:
		return sessionError(err)
	case <-timer.C:
		return limpeterror.Unavailable.New("the director did not accept the offer in time")
	}
}

// openSession begins a session and returns an offer that describes all runs
// held.
func (e *Executor) openSession(session string) Offer {
	e.dropExpired()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.session = session
	o := Offer{VM: e.VM, Zone: e.Zone, Session: session}
	for id, r := range e.runs {
		if r.ended && r.text.LastEvent == 0 {
			e.cancel(id, r)
			continue
		}
		o.Held = append(o.Held, r.snapshot(id))
	}
	slices.SortFunc(o.Held, func(a, b HeldRun) int { return cmp.Compare(a.Run, b.Run) })
	return o
}

func (e *Executor) closeSession(session string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != session {
		return
	}
	e.session, e.sessionEndedAt = "", e.Now()
	for id, r := range e.runs {
		// The job of a run that no engine has responded to may end while no
		// director can cancel the run.
		if !r.responded && !r.ended {
			e.cancel(id, r)
		}
	}
}

// handleBatch carries out a message of the director.
func (e *Executor) handleBatch(session string, b Batch) {
	e.unsure.Store(b.Unsure)
	e.mu.Lock()
	for _, id := range b.CancelRuns {
		if r := e.runs[id]; r != nil {
			e.cancel(id, r)
		}
	}
	e.mu.Unlock()
	for _, o := range b.Orders {
		if !slices.Contains(b.CancelRuns, o.Run) {
			e.startRun(session, o)
		}
	}
}

// deliverProgress delivers progress until the session ends.
func (e *Executor) deliverProgress(ctx context.Context, link Link, session string, ended chan error, lastBatch *atomic.Int64) error {
	for {
		if err := e.waitForProgress(ctx, ended); err != nil {
			if ctx.Err() != nil {
				e.notifySuperseded(link, session)
			}
			return err
		}
		if silent := e.Now().Sub(time.Unix(0, lastBatch.Load())); silent > directorTimeout {
			return limpeterror.Unavailable.New("no batch from the director for %s", silent)
		}
		e.dropExpired()
		d := e.nextDelivery(session)
		if err := e.deliver(ctx, link, d); err != nil {
			return err
		}
		if d.Leaving {
			e.cancelAll()
			return nil
		}
	}
}

// waitForProgress returns when there is progress to deliver, or an empty
// delivery is due.
func (e *Executor) waitForProgress(ctx context.Context, ended chan error) error {
	period := idleDeliveryPeriod
	if e.running() {
		period = busyDeliveryPeriod
	}
	ready, err := e.wait(ctx, ended, period, e.progressReady)
	if ready && err == nil {
		_, err = e.wait(ctx, ended, deliveryDelay, nil)
	}
	return err
}

// wait returns after the timeout, or earlier when a delivery is urgent or ready
// is signalled; it reports whether ready was. The error says that the session
// is over.
func (e *Executor) wait(ctx context.Context, ended chan error, timeout time.Duration, ready chan struct{}) (signalled bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case err := <-ended:
		return false, sessionError(err)
	case <-ready:
		return true, nil
	case <-e.deliverNow:
	case <-timer.C:
	}
	return false, nil
}

// sessionError returns the error of a session that ended with err. A director
// that does not need the VM ends it without an error.
func sessionError(err error) error {
	if err == nil {
		return limpeterror.Conflict.New("the director needs no more VMs for runs")
	}
	return err
}

func (e *Executor) nextDelivery(session string) Delivery {
	now := e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	d := Delivery{Session: session, Leaving: e.leaving}
	for id, r := range e.runs {
		if r.hasPending() {
			d.Progress = append(d.Progress, r.takePending(id, now))
		}
	}
	return d
}

func (e *Executor) deliver(ctx context.Context, link Link, d Delivery) error {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	known, err := link.Deliver(ctx, d)
	if err != nil {
		return err
	}
	if !known {
		return limpeterror.NotFound.New("the director does not know the session")
	}
	return nil
}

// notifySuperseded tells a director that this VM has found a later one.
func (e *Executor) notifySuperseded(link Link, session string) {
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	if _, err := link.Deliver(ctx, Delivery{Session: session, Superseded: true}); err != nil {
		e.Log.Emit(limpetlog.ExecutorDetached, limpetlog.Value("cause", "the superseded director could not be notified"), limpetlog.Error(err))
	}
}

// cancelAll cancels all runs after they were handed back to the director.
func (e *Executor) cancelAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, r := range e.runs {
		e.cancel(id, r)
	}
}
