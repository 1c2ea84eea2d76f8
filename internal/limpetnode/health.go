package limpetnode

import (
	"context"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// A storeHealth tracks whether calls to the store succeed.
type storeHealth struct {
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
}

// storeDownAfter is the time since the last successful call after which the
// store counts as down if the most recent call failed.
const storeDownAfter = 1500 * time.Millisecond

// record records the outcome of a call. Only errors of type Unavailable or Unknown
// count as failures; others, such as Conflict, are answers of the store.
func (h *storeHealth) record(err error) {
	now := time.Now().UnixNano()
	if limpeterror.Is(err, limpeterror.Unavailable) || limpeterror.Is(err, limpeterror.Unknown) {
		h.lastFailure.Store(now)
		return
	}
	h.lastSuccess.Store(now)
}

func (h *storeHealth) isDown(now time.Time) bool {
	success, failure := h.lastSuccess.Load(), h.lastFailure.Load()
	return failure > success && now.UnixNano()-success > int64(storeDownAfter)
}

// wrap returns a store that records the outcome of each Get, Put and Watch call
// to s.
func (h *storeHealth) wrap(s limpetstore.Store) limpetstore.Store {
	w := s
	w.Get = func(ctx context.Context, key string) (limpetstore.Value, error) {
		v, err := s.Get(ctx, key)
		h.record(err)
		return v, err
	}
	w.Put = func(ctx context.Context, r limpetstore.PutRequest) (uint64, error) {
		v, err := s.Put(ctx, r)
		h.record(err)
		return v, err
	}
	w.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]limpetstore.Value, error) {
		v, err := s.Watch(ctx, prefix, after, wait)
		if ctx.Err() == nil {
			h.record(err)
		}
		return v, err
	}
	return w
}
