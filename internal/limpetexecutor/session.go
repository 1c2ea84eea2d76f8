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
func (c *Executor) Serve(ctx context.Context, link Link, session string) error {
	offer := c.openSession(session)
	c.unsure.Store(false)
	group := limpettask.New(ctx)
	var lastBatch atomic.Int64
	lastBatch.Store(c.Now().UnixNano())
	ended, accepted := make(chan error, 1), make(chan struct{}, 1)
	group.Go(func(ctx context.Context) error {
		ended <- link.Offer(ctx, offer, func(b Batch) {
			now := c.Now()
			if now.Sub(time.Unix(0, lastBatch.Load())) > directorTimeout {
				// The batch was in transit while this VM was suspended or
				// disconnected: its orders may be outdated.
				return
			}
			lastBatch.Store(now.UnixNano())
			signal(accepted)
			c.handleBatch(session, b)
		})
		return nil
	})
	err := awaitAcceptance(group.Context(), ended, accepted)
	if err == nil {
		err = c.deliverProgress(group.Context(), link, session, ended, &lastBatch)
	}
	// Any error of the goroutine has been received from ended.
	_ = group.Stop()
	c.closeSession(session)
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
func (c *Executor) openSession(session string) Offer {
	c.dropExpired()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
	o := Offer{VM: c.VM, Zone: c.Zone, Session: session}
	for id, r := range c.runs {
		if r.ended && r.text.LastEvent == 0 {
			c.cancel(id, r)
			continue
		}
		o.Held = append(o.Held, r.snapshot(id))
	}
	slices.SortFunc(o.Held, func(a, b HeldRun) int { return cmp.Compare(a.Run, b.Run) })
	return o
}

func (c *Executor) closeSession(session string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return
	}
	c.session, c.sessionEndedAt = "", c.Now()
	for id, r := range c.runs {
		// The job of a run that no engine has responded to may end while no
		// director can cancel the run.
		if !r.responded && !r.ended {
			c.cancel(id, r)
		}
	}
}

// handleBatch carries out a message of the director.
func (c *Executor) handleBatch(session string, b Batch) {
	c.unsure.Store(b.Unsure)
	c.mu.Lock()
	for _, id := range b.CancelRuns {
		if r := c.runs[id]; r != nil {
			c.cancel(id, r)
		}
	}
	c.mu.Unlock()
	for _, o := range b.Orders {
		c.startRun(session, o)
	}
}

// deliverProgress delivers progress until the session ends.
func (c *Executor) deliverProgress(ctx context.Context, link Link, session string, ended chan error, lastBatch *atomic.Int64) error {
	for {
		if err := c.waitForProgress(ctx, ended); err != nil {
			if ctx.Err() != nil {
				c.notifySuperseded(link, session)
			}
			return err
		}
		if silent := c.Now().Sub(time.Unix(0, lastBatch.Load())); silent > directorTimeout {
			return limpeterror.Unavailable.New("no batch from the director for %s", silent)
		}
		c.dropExpired()
		d := c.nextDelivery(session)
		if err := c.deliver(ctx, link, d); err != nil {
			return err
		}
		if d.Leaving {
			c.cancelAll()
			return nil
		}
	}
}

// waitForProgress returns when there is progress to deliver, or an empty
// delivery is due.
func (c *Executor) waitForProgress(ctx context.Context, ended chan error) error {
	ready, err := c.wait(ctx, ended, idleDeliveryPeriod, c.progressReady)
	if ready && err == nil {
		_, err = c.wait(ctx, ended, deliveryDelay, nil)
	}
	return err
}

// wait returns after the timeout, or earlier when a delivery is urgent or ready
// is signalled; it reports whether ready was. The error says that the session
// is over.
func (c *Executor) wait(ctx context.Context, ended chan error, timeout time.Duration, ready chan struct{}) (signalled bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case err := <-ended:
		return false, sessionError(err)
	case <-ready:
		return true, nil
	case <-c.deliverNow:
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

func (c *Executor) nextDelivery(session string) Delivery {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delivery{Session: session, Leaving: c.leaving}
	for id, r := range c.runs {
		if r.dirty() {
			d.Progress = append(d.Progress, r.takePending(id, now))
		}
	}
	return d
}

func (c *Executor) deliver(ctx context.Context, link Link, d Delivery) error {
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
func (c *Executor) notifySuperseded(link Link, session string) {
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	if _, err := link.Deliver(ctx, Delivery{Session: session, Superseded: true}); err != nil {
		c.Log.Emit(limpetlog.ExecutorDetached, limpetlog.Value("cause", "the superseded director could not be notified"), limpetlog.Error(err))
	}
}

// cancelAll cancels all runs after they were handed back to the director.
func (c *Executor) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.runs {
		c.cancel(id, r)
	}
}
