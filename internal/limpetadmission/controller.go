package limpetadmission

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
)

// Limits bounds the queues of a Controller.
type Limits struct {
	// MaxQueued is the largest number of requests that one client account may
	// have waiting.
	MaxQueued int
	// QueueTimeout is the longest time that a request may wait for a slot.
	QueueTimeout time.Duration
}

// A Controller limits the concurrent requests of one service on this VM and
// queues the others. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex
	scheduler *Scheduler
	limits    Limits
	slots     int
	running   int
	now       func() time.Time
	// serviceTime is the exponentially weighted moving average of the time from
	// admission to release.
	serviceTime time.Duration
}

// A Rejection says when a rejected caller should try again.
type Rejection struct {
	RetryAfter time.Duration
}

const (
	initialServiceTime = time.Second
	// serviceTimeDivisor is the reciprocal of the weight that a new duration has
	// in the moving average.
	serviceTimeDivisor = 8
	minRetryAfter      = time.Second
	maxRetryAfter      = 30 * time.Second
	// evictThreshold is the number of accounts above which Release evicts idle
	// ones.
	evictThreshold = 256
)

// NewController returns a controller that admits requests in the scheduler's
// order. It has no slots until SetSlots is called.
func NewController(limits Limits, scheduler *Scheduler, now func() time.Time) *Controller {
	return &Controller{scheduler: scheduler, limits: limits, now: now, serviceTime: initialServiceTime}
}

// SetSlots changes the number of requests that may run at the same time. If the
// number shrinks, running requests continue and no new ones are admitted until
// enough of them are released.
func (c *Controller) SetSlots(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots = n
	c.dispatch()
}

// ChargeRemote charges an account for tokens that other VMs served.
func (c *Controller) ChargeRemote(account string, tokens, weight float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.ChargeRemote(account, tokens, weight)
}

// Waiting returns the numbers of queued and of running requests.
func (c *Controller) Waiting() (waiting, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Waiting(""), c.running
}

// MeanServiceTime returns the moving average of the time from admission to
// release.
func (c *Controller) MeanServiceTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serviceTime
}

// Acquire queues a request and waits until it is admitted, ctx ends, or the
// queue timeout or the deadline of the request passes. An error means that the
// request was not admitted and did not run; it has type limpeterror.Overloaded.
func (c *Controller) Acquire(ctx context.Context, e *Entry) (Rejection, error) {
	e.admitted = make(chan struct{})
	if rejection, err := c.enqueue(e); err != nil {
		return rejection, err
	}
	limit := c.limits.QueueTimeout
	if !e.Deadline.IsZero() {
		limit = min(limit, e.Deadline.Sub(c.now()))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-e.admitted:
		return Rejection{}, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.scheduler.Remove(e) {
		// The request was admitted concurrently, so it owns a slot.
		return Rejection{}, nil
	}
	if ctx.Err() != nil {
		return Rejection{}, limpeterror.Overloaded.Wrap(ctx.Err(), "left the queue")
	}
	return c.reject(), limpeterror.Overloaded.New("no free place within %v", limit)
}

func (c *Controller) enqueue(e *Entry) (Rejection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := c.scheduler.Waiting(e.Account)
	if ahead >= c.limits.MaxQueued {
		return c.reject(), limpeterror.Overloaded.New("client account %s has %d requests waiting", e.Account, ahead)
	}
	if !e.Deadline.IsZero() && c.running >= c.slots {
		if wait := ExpectedWait(ahead+1, c.slots, c.serviceTime); c.now().Add(wait).After(e.Deadline) {
			return c.reject(), limpeterror.Overloaded.New("expected wait of %v passes the deadline", wait)
		}
	}
	c.scheduler.Push(e)
	c.dispatch()
	return Rejection{}, nil
}

func (c *Controller) reject() Rejection {
	wait := ExpectedWait(c.scheduler.Waiting("")+1, c.slots, c.serviceTime)
	return Rejection{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// dispatch admits queued requests while there are free slots.
func (c *Controller) dispatch() {
	for c.running < c.slots {
		e := c.scheduler.Next()
		if e == nil {
			return
		}
		c.running++
		close(e.admitted)
	}
}

// Release frees the slot of a request. took is how long the request ran, and
// used is the number of tokens that it used.
func (c *Controller) Release(e *Entry, took time.Duration, used float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	c.serviceTime += (took - c.serviceTime) / serviceTimeDivisor
	c.scheduler.CorrectCost(e, used)
	if len(c.scheduler.accounts) > evictThreshold {
		c.scheduler.EvictIdle()
	}
	c.dispatch()
}
