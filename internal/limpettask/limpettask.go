// Package limpettask owns the groups in which goroutines run. It imports no
// other package of the project.
package limpettask

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// A Group holds the goroutines of one component. Stop cancels them and waits.
type Group struct {
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	stopped bool
}

// New returns a group whose context ends with parent, with the first failing
// goroutine, or with Stop.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	g, ctx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: ctx, cancel: cancel}
}

// Context returns the context that the group's goroutines run under.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in the group, unless the group was stopped.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	g.group.Go(func() error { return f(g.ctx) })
}

// Every runs f at once and then with pauses of period, spread by up to a
// fifth so that nodes started together drift apart. It ends with the group.
func (g *Group) Every(period time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			f(ctx)
			Sleep(ctx, Jitter(period))
		}
		return nil
	})
}

// Stop cancels the group and waits for its goroutines.
func (g *Group) Stop() error {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
	return g.group.Wait()
}

const jitterFraction = 0.2

// Jitter returns d changed at random by up to a fifth either way.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}

// Sleep waits for d or until ctx ends, and reports whether d passed in full.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Draw returns a random number from 0 to below n, which must be positive.
func Draw(n int) int { return rand.IntN(n) }
