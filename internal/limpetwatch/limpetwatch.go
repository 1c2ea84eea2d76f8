// Package limpetwatch keeps a VM's copy of a prefix of the store up to date.
// It lists the prefix, watches it for changes, and lists it again when the
// store has compacted the history that the watch needs.
package limpetwatch

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

// A Watcher watches one prefix and passes its contents and changes to
// callbacks, which are all called from one goroutine.
type Watcher struct {
	Store  limpetstore.Store
	Prefix string
	// Wait is how long a watch may block at the store.
	Wait time.Duration
	// OnList receives a complete listing, and OnChange the changes after it.
	OnList   func(limpetstore.Listing)
	OnChange func([]limpetstore.Value)
	// OnOutage and OnRecovery are called once per outage: when the store stops
	// answering, and when it answers again.
	OnOutage   func(error)
	OnRecovery func()
	// OnCompaction, if set, is called when the store has compacted changes that
	// were not seen yet.
	OnCompaction func()

	mu     sync.Mutex
	cancel context.CancelFunc
}

// Restart cancels the watch in progress, so that a new one is sent to the
// store.
func (w *Watcher) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}

// Run follows the prefix until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var revision uint64
	listed, disconnected, delay := false, false, minRetryDelay
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = w.list(ctx)
			listed = err == nil
		} else {
			revision, err = w.watch(ctx, revision)
		}
		switch {
		case err == nil:
			if disconnected {
				disconnected = false
				w.OnRecovery()
			}
			delay = minRetryDelay
			continue
		case limpeterror.Is(err, limpeterror.Compacted):
			listed = false
			if w.OnCompaction != nil {
				w.OnCompaction()
			}
			continue
		case ctx.Err() != nil:
			return nil
		}
		if !disconnected {
			disconnected = true
			w.OnOutage(err)
		}
		limpettask.Sleep(ctx, limpettask.Jitter(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

func (w *Watcher) list(ctx context.Context) (uint64, error) {
	l, err := w.Store.Scan(ctx, w.Prefix, "")
	if err != nil {
		return 0, err
	}
	w.OnList(l)
	return l.Revision, nil
}

func (w *Watcher) watch(ctx context.Context, after uint64) (uint64, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	w.mu.Unlock()
	l, err := w.Store.Follow(watchCtx, w.Prefix, after, w.Wait)
	if err != nil {
		if watchCtx.Err() != nil && ctx.Err() == nil {
			// A watch that Restart cancelled does not indicate an outage.
			return after, nil
		}
		return after, err
	}
	if len(l.Values) > 0 {
		w.OnChange(l.Values)
		limpettask.Sleep(ctx, coalesceDelay)
	}
	return max(after, l.Revision), nil
}
