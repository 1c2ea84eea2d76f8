package limpetexecutor

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// busyRetryDelay is the delay between attempts to find a director while
	// runs are held, and idleRetryDelay the delay otherwise.
	busyRetryDelay = 150 * time.Millisecond
	idleRetryDelay = 500 * time.Millisecond
	// declinedRetryDelay is how long a VM that the director did not need waits
	// before it offers itself again.
	declinedRetryDelay = 8 * time.Second
)

// A Connector offers a VM to the director, and to its successor when the
// director is lost.
type Connector struct {
	Executor *Executor
	// Session is the prefix of the session IDs of this VM.
	Session string
	// DirectorAddress reads the director's address from the store; it is empty
	// if there is no director other than this VM.
	DirectorAddress func(ctx context.Context) (address string, err error)
	// Link returns the calls to the director at an address.
	Link func(address string) Link
	// Enabled reports whether this VM may execute runs for another one.
	Enabled func() bool

	mu sync.Mutex
	// seen is the address of the director that responded last, at seenAt.
	seen   string
	seenAt time.Time
	// current is the address of the director that the offer is open with, and
	// cancel ends the offer.
	current string
	cancel  context.CancelFunc
}

// DirectorSeen records that the VM at an address responded as the director. An
// offer that is open with another address ends.
func (c *Connector) DirectorSeen(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen, c.seenAt = address, c.Executor.Now()
	if c.cancel != nil && c.current != address {
		c.cancel()
	}
}

// Withdraw ends the offer that is open, if there is one, and cancels all runs, which
// the director starts elsewhere.
func (c *Connector) Withdraw() {
	c.mu.Lock()
	if c.cancel != nil {
		c.cancel()
	}
	c.mu.Unlock()
	c.Executor.cancelAll()
}

// Run offers the VM to directors until ctx is done.
func (c *Connector) Run(ctx context.Context) error {
	var last string
	var failedAt time.Time
	for number := 0; ctx.Err() == nil; number++ {
		c.Executor.dropExpired()
		var err error
		if address := c.findDirector(ctx, last, failedAt); address != "" && c.Enabled() {
			err = c.offer(ctx, address, number)
			last, failedAt = address, c.Executor.Now()
		}
		limpettask.Sleep(ctx, limpettask.Jitter(c.retryDelay(err)))
	}
	return nil
}

// retryDelay returns the time until the next attempt to find a director, given
// the error of the last offer; nil if none was made.
func (c *Connector) retryDelay(err error) time.Duration {
	switch {
	case errors.Is(err, context.Canceled):
		// The offer ended because another director was found.
		return 0
	case c.Executor.Busy():
		return busyRetryDelay
	case limpeterror.Is(err, limpeterror.Conflict):
		return declinedRetryDelay
	default:
		return idleRetryDelay
	}
}

// findDirector returns the address of the director to offer this VM to, or an
// empty address if there is none. That is the director that responded last, if
// it did so after failedAt, when the offer to last ended. Otherwise, while runs
// are held, it is the one that the store names, unless that is last.
func (c *Connector) findDirector(ctx context.Context, last string, failedAt time.Time) string {
	c.mu.Lock()
	seen, lastSeen := c.seen, c.seenAt
	c.mu.Unlock()
	if seen != "" && lastSeen.After(failedAt) {
		return seen
	}
	if !c.Executor.Busy() {
		return ""
	}
	if address, err := c.DirectorAddress(ctx); err == nil && address != last {
		return address
	}
	return ""
}

// offer executes runs for a director until either side ends the offer.
func (c *Connector) offer(ctx context.Context, address string, number int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCurrent(address, cancel)
	defer c.setCurrent("", nil)
	c.Executor.group.Go(func(context.Context) error { return c.watchForSuccessor(ctx, address, cancel) })
	err := c.Executor.Serve(ctx, c.Link(address), c.Session+"."+strconv.Itoa(number))
	if err != nil && !limpeterror.Is(err, limpeterror.Conflict) {
		c.Executor.Log.Emit(limpetlog.ExecutorDetached, limpetlog.Value("address", address), limpetlog.Error(err))
	}
	return err
}

func (c *Connector) setCurrent(address string, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.cancel = address, cancel
}

// watchForSuccessor ends an offer once another VM is the director. It looks for
// one only while the current director is unsure of its lease.
func (c *Connector) watchForSuccessor(ctx context.Context, address string, onFound func()) error {
	for limpettask.Sleep(ctx, limpettask.Jitter(busyRetryDelay)) {
		if !c.Executor.Unsure() {
			continue
		}
		if other, err := c.DirectorAddress(ctx); err == nil && other != "" && other != address {
			onFound()
		}
	}
	return nil
}
