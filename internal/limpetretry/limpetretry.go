// Package limpetretry decides whether and when a failed request is retried:
// which errors allow a retry, the retry budget of each service, and the
// backoff.
package limpetretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
)

// Allowed reports whether a request may be retried after an attempt that failed
// with err: either the attempt provably did not run, or the request is
// idempotent and its outcome is unknown. Rejections and invalid requests are
// final.
func Allowed(err error, idempotent bool) bool {
	if limpeterror.Is(err, limpeterror.Unavailable) {
		return true
	}
	return idempotent && limpeterror.Is(err, limpeterror.Unknown)
}

// Backoff returns the delay after attempt n, counted from 1: exponential with
// full jitter (Brooker: Exponential backoff and jitter, 2015).
func Backoff(n int, base, ceiling time.Duration) time.Duration {
	const maxShift = 20
	limit := min(base<<min(n-1, maxShift), ceiling)
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// A Budget limits the retries of one service. It is a token bucket that each
// success refills by a fraction of a token, so that retries stay below that
// fraction of the traffic when all requests fail. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	tokens   float64
	ratio    float64
	capacity float64
}

// NewBudget returns a full budget of capacity retries. Each success adds ratio
// of a retry.
func NewBudget(ratio, capacity float64) *Budget {
	return &Budget{tokens: capacity, ratio: ratio, capacity: capacity}
}

// Success adds to the budget after a successful request.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// Take consumes one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
