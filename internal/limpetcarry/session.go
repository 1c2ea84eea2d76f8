package limpetcarry

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

// Serve carries runs for one director until the session ends. Runs go on after
// that. The error says why it ended; its type is Conflict when the director has
// no use for the VM.
func (c *Carrier) Serve(ctx context.Context, link Link, session string) error {
	opening := c.open(session)
	c.unsure.Store(false)
	group := limpettask.New(ctx)
	var beat atomic.Int64
	beat.Store(c.Now().UnixNano())
	over, accepted := make(chan error, 1), make(chan struct{}, 1)
	group.Go(func(ctx context.Context) error {
		over <- link.Carry(ctx, opening, func(b Batch) {
			now := c.Now()
			if now.Sub(time.Unix(0, beat.Load())) > beatLife {
				// It was on its way while this VM stood still or was cut off: what
				// it orders may be over.
				return
			}
			beat.Store(now.UnixNano())
			signal(accepted)
			c.take(session, b)
		})
		return nil
	})
	err := awaitAcceptance(group.Context(), over, accepted)
	if err == nil {
		err = c.deliverAll(group.Context(), link, session, over, &beat)
	}
	// The goroutine's end is in err already.
	_ = group.Stop()
	c.close(session)
	return err
}

// awaitAcceptance returns once the director took the offer: what came before
// could not be told from an unknown session's.
func awaitAcceptance(ctx context.Context, over chan error, accepted chan struct{}) error {
	timer := time.NewTimer(beatLife)
	defer timer.Stop()
	select {
	case <-accepted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case err := <-over:
		return orEnded(err)
	case <-timer.C:
		return limpeterror.Unavailable.New("no answer to the offer")
	}
}

// open begins a session: what is held is told as a whole.
func (c *Carrier) open(session string) Opening {
	c.Tend()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
	o := Opening{VM: c.VM, Zone: c.Zone, Session: session}
	for id, r := range c.runs {
		if r.ended && r.text.Last == 0 {
			c.drop(id, r)
			continue
		}
		o.Held = append(o.Held, r.held(id))
	}
	slices.SortFunc(o.Held, func(a, b Held) int { return cmp.Compare(a.Run, b.Run) })
	return o
}

func (c *Carrier) close(session string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return
	}
	c.session, c.lost = "", c.Now()
	for id, r := range c.runs {
		// What no engine answered yet may be of a job that ends while nobody can
		// tell this VM.
		if !r.headed && !r.ended {
			c.drop(id, r)
		}
	}
}

// take carries out what the director wants.
func (c *Carrier) take(session string, b Batch) {
	c.unsure.Store(b.Unsure)
	c.mu.Lock()
	for _, id := range b.Cuts {
		if r := c.runs[id]; r != nil {
			c.drop(id, r)
		}
	}
	c.mu.Unlock()
	for _, o := range b.Orders {
		c.begin(session, o)
	}
}

// deliverAll delivers news until the session ends.
func (c *Carrier) deliverAll(ctx context.Context, link Link, session string, over chan error, beat *atomic.Int64) error {
	for {
		if err := c.waitForNews(ctx, over); err != nil {
			if ctx.Err() != nil {
				c.turnAway(link, session)
			}
			return err
		}
		if silent := c.Now().Sub(time.Unix(0, beat.Load())); silent > beatLife {
			return limpeterror.Unavailable.New("no batch for %s", silent)
		}
		c.Tend()
		d := c.delivery(session)
		if err := c.deliver(ctx, link, d); err != nil {
			return err
		}
		if d.Leaving {
			c.abandon()
			return nil
		}
	}
}

// waitForNews returns when there is something to deliver, or it is time for a
// sign of life.
func (c *Carrier) waitForNews(ctx context.Context, over chan error) error {
	woken, err := c.pause(ctx, over, idlePeriod, c.news)
	if woken && err == nil {
		_, err = c.pause(ctx, over, deliverPeriod, nil)
	}
	return err
}

// pause waits for a time, or until something is urgent, and reports whether
// news ended it. The error says that the session is over.
func (c *Carrier) pause(ctx context.Context, over chan error, longest time.Duration, news chan struct{}) (woken bool, err error) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case err := <-over:
		return false, orEnded(err)
	case <-news:
		return true, nil
	case <-c.urgent:
	case <-timer.C:
	}
	return false, nil
}

// orEnded names the end of an offer that a director did not need.
func orEnded(err error) error {
	if err == nil {
		return limpeterror.Conflict.New("the director has carriers enough")
	}
	return err
}

func (c *Carrier) delivery(session string) Delivery {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delivery{Session: session, Leaving: c.leaving}
	for id, r := range c.runs {
		if r.news() {
			d.Progress = append(d.Progress, r.take(id, now))
		}
	}
	return d
}

func (c *Carrier) deliver(ctx context.Context, link Link, d Delivery) error {
	ctx, cancel := context.WithTimeout(ctx, deliverTime)
	defer cancel()
	known, err := link.Deliver(ctx, d)
	if err != nil {
		return err
	}
	if !known {
		return limpeterror.NotFound.New("the director does not know the offer")
	}
	return nil
}

// turnAway tells a director that this VM has found a later one.
func (c *Carrier) turnAway(link Link, session string) {
	ctx, cancel := context.WithTimeout(context.Background(), deliverTime)
	defer cancel()
	if _, err := link.Deliver(ctx, Delivery{Session: session, Superseded: true}); err != nil {
		c.Log.Emit(limpetlog.CarryLost, limpetlog.Value("cause", "the former director was not told"), limpetlog.Error(err))
	}
}

// abandon breaks off all runs, which were given back.
func (c *Carrier) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.runs {
		c.drop(id, r)
	}
}
