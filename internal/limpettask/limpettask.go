// Package limpettask runs goroutines in groups. It imports no other package of
// the project.
package limpettask

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// A Group runs the goroutines of one component. Stop cancels them and waits for
// them.
type Group struct {
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	stopped bool
}

// New returns a group whose context is canceled when parent is, when a goroutine
// returns an error, or by Stop.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	g, ctx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: ctx, cancel: cancel}
}

// Context returns the context of the group's goroutines.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine of the group, unless the group was stopped.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	g.group.Go(func() error { return f(g.ctx) })
}

// RunEvery runs f at once and then repeatedly, pausing for Jitter(period) after
// each run, so that nodes that were started together do not stay in step. It
// ends with the group.
func (g *Group) RunEvery(period time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			f(ctx)
			Sleep(ctx, Jitter(period))
		}
		return nil
	})
}

// Stop cancels the group's context and waits for its goroutines. It returns the
// first error of a goroutine.
func (g *Group) Stop() error {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
	return g.group.Wait()
}

// Wait waits for the group's goroutines without canceling them, and returns the first
// error of one. No more may be started.
func (g *Group) Wait() error {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	defer g.cancel()
	return g.group.Wait()
}

const jitterFraction = 0.2

// Jitter returns a random duration between 0.8 and 1.2 times d.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}

// Sleep waits for d or until ctx is done, and reports whether d has passed.
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

// RandomInt returns a random number in [0, n). It panics if n <= 0.
func RandomInt(n int) int { return rand.IntN(n) }
