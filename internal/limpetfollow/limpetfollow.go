// Package limpetfollow owns the copy of the store's prefixes that a VM keeps
// by watching. It lists a prefix, follows its changes, and lists again when
// the store has forgotten the history.
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
	retryFirst = 100 * time.Millisecond
	retryLast  = 500 * time.Millisecond
	// gather is the pause after a change, so that changes in quick succession
	// share a call.
	gather = 120 * time.Millisecond
)

// A Follower holds the prefix that it follows and where its changes go. The
// functions are called from one goroutine.
type Follower struct {
	Store  limpetstore.Store
	Prefix string
	// Wait is the longest time that a watch waits at the store.
	Wait time.Duration
	// Listed takes a complete listing, Changed the changes after it.
	Listed  func(limpetstore.Listing)
	Changed func([]limpetstore.Value)
	// Lost and Back are told once for each time that the store stops and
	// starts to answer.
	Lost func(error)
	Back func()
	// Relisted is told, when it is set, that the store has forgotten changes.
	Relisted func()

	mu     sync.Mutex
	cancel context.CancelFunc
}

// Kick ends a watch that waits, so that the store is asked anew.
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
	listed, lost, pause := false, false, retryFirst
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = f.list(ctx)
			listed = err == nil
		} else {
			revision, err = f.follow(ctx, revision)
		}
		switch {
		case err == nil:
			if lost {
				lost = false
				f.Back()
			}
			pause = retryFirst
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
		if !lost {
			lost = true
			f.Lost(err)
		}
		limpettask.Sleep(ctx, limpettask.Jitter(pause))
		pause = min(2*pause, retryLast)
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

func (f *Follower) follow(ctx context.Context, after uint64) (uint64, error) {
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	l, err := f.Store.Follow(watch, f.Prefix, after, f.Wait)
	if err != nil {
		if watch.Err() != nil && ctx.Err() == nil {
			// A kicked watch is no sign of an outage.
			return after, nil
		}
		return after, err
	}
	if len(l.Values) > 0 {
		f.Changed(l.Values)
		limpettask.Sleep(ctx, gather)
	}
	return max(after, l.Revision), nil
}
