// Package limpetfollow keeps a VM's copy of a prefix of the store up to date.
// It lists the prefix, watches it for changes, and lists it again when the
// store has compacted the history that the watch needs.
package limpetfollow

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// coalesceDelay is the pause after a change, so that one call returns
	// changes that follow each other quickly.
	coalesceDelay = 120 * time.Millisecond
)

// A Follower watches one prefix and passes its contents and changes to
// callbacks, which are all called from one goroutine.
type Follower struct {
	Store  limpetstore.Store
	Prefix string
	// Wait is how long a watch may block at the store.
	Wait time.Duration
	// Listed receives a complete listing, Changed the changes after it.
	Listed  func(limpetstore.Listing)
	Changed func([]limpetstore.Value)
	// Lost and Back are called once per outage: when the store stops
	// answering, and when it answers again.
	Lost func(error)
	Back func()
	// Relisted, if set, is called when the store has compacted changes that
	// were not seen yet.
	Relisted func()

	mu     sync.Mutex
	cancel context.CancelFunc
}

// Kick cancels the watch in progress, so that a new one is sent to the store.
func (f *Follower) Kick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var revision uint64
	listed, disconnected, delay := false, false, minRetryDelay
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = f.list(ctx)
			listed = err == nil
		} else {
			revision, err = f.watch(ctx, revision)
		}
		switch {
		case err == nil:
			if disconnected {
				disconnected = false
				f.Back()
			}
			delay = minRetryDelay
			continue
		case limpeterror.Is(err, limpeterror.Compacted):
			listed = false
			if f.Relisted != nil {
				f.Relisted()
			}
			continue
		case ctx.Err() != nil:
			return nil
		}
		if !disconnected {
			disconnected = true
			f.Lost(err)
		}
		limpettask.Sleep(ctx, limpettask.Jitter(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	l, err := f.Store.Scan(ctx, f.Prefix, "")
	if err != nil {
		return 0, err
	}
	f.Listed(l)
	return l.Revision, nil
}

func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	l, err := f.Store.Follow(watchCtx, f.Prefix, after, f.Wait)
	if err != nil {
		if watchCtx.Err() != nil && ctx.Err() == nil {
			// A watch that Kick cancelled does not indicate an outage.
			return after, nil
		}
		return after, err
	}
	if len(l.Values) > 0 {
		f.Changed(l.Values)
		limpettask.Sleep(ctx, coalesceDelay)
	}
	return max(after, l.Revision), nil
}
