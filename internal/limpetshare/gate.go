package limpetshare

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
)

// Limits bound a gate's queues.
type Limits struct {
	// Queue is the largest number of tickets that an account may have waiting.
	Queue int
	// Wait is the longest time in a queue.
	Wait time.Duration
}

// A Gate holds the admission of one service on this VM. Traffic goroutines
// share it under its lock.
type Gate struct {
	mu        sync.Mutex
	scheduler *Scheduler
	limits    Limits
	places    int
	running   int
	now       func() time.Time
	// service is the moving mean of a request's time at work.
	service time.Duration
}

// A Refusal holds when a refused caller should come back.
type Refusal struct {
	RetryAfter time.Duration
}

const (
	firstService   = time.Second
	serviceShift   = 8
	retryAtLeast   = time.Second
	retryAtMost    = 30 * time.Second
	forgetAccounts = 256
)

// NewGate returns a gate with no places that admits in the scheduler's order;
// SetPlaces opens it.
func NewGate(limits Limits, scheduler *Scheduler, now func() time.Time) *Gate {
	return &Gate{scheduler: scheduler, limits: limits, now: now, service: firstService}
}

// SetPlaces changes the number of requests that may be at work.
func (g *Gate) SetPlaces(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.places = n
	g.dispatch()
}

// Remote charges an account with tokens that other VMs served.
func (g *Gate) Remote(account string, tokens, weight float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Remote(account, tokens, weight)
}

// Waiting returns the number of tickets in the queues and at work.
func (g *Gate) Waiting() (waiting, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Waiting(""), g.running
}

// MeanService returns the moving mean of a request's time at work.
func (g *Gate) MeanService() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service
}

// Enter waits until the ticket may go to work. An error of type Overloaded
// is a refusal; nothing was run.
func (g *Gate) Enter(ctx context.Context, t *Ticket) (Refusal, error) {
	t.admitted = make(chan struct{})
	if refusal, err := g.push(t); err != nil {
		return refusal, err
	}
	limit := g.limits.Wait
	if !t.Deadline.IsZero() {
		limit = min(limit, t.Deadline.Sub(g.now()))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.admitted:
		return Refusal{}, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.scheduler.Remove(t) {
		// Admitted at the same moment: the place is the caller's.
		return Refusal{}, nil
	}
	if ctx.Err() != nil {
		return Refusal{}, limpeterror.Overloaded.Wrap(ctx.Err(), "left the queue")
	}
	return g.refuse(), limpeterror.Overloaded.New("no free place within %v", limit)
}

func (g *Gate) push(t *Ticket) (Refusal, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := g.scheduler.Waiting(t.Account)
	if ahead >= g.limits.Queue {
		return g.refuse(), limpeterror.Overloaded.New("client account %s has %d requests waiting", t.Account, ahead)
	}
	if !t.Deadline.IsZero() && g.running >= g.places {
		if wait := ExpectedWait(ahead+1, g.places, g.service); g.now().Add(wait).After(t.Deadline) {
			return g.refuse(), limpeterror.Overloaded.New("expected wait of %v passes the deadline", wait)
		}
	}
	g.scheduler.Push(t)
	g.dispatch()
	return Refusal{}, nil
}

func (g *Gate) refuse() Refusal {
	wait := ExpectedWait(g.scheduler.Waiting("")+1, g.places, g.service)
	return Refusal{RetryAfter: min(max(wait, retryAtLeast), retryAtMost)}
}

// dispatch admits tickets while there are places.
func (g *Gate) dispatch() {
	for g.running < g.places {
		t := g.scheduler.Next()
		if t == nil {
			return
		}
		g.running++
		close(t.admitted)
	}
}

// Leave ends a ticket's work, which took so long and used so many tokens.
func (g *Gate) Leave(t *Ticket, took time.Duration, used float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.service += (took - g.service) / serviceShift
	g.scheduler.Settle(t, used)
	if len(g.scheduler.accounts) > forgetAccounts {
		g.scheduler.Forget()
	}
	g.dispatch()
}
