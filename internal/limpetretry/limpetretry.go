// Package limpetretry owns the decisions whether and when a request is tried
// again: which outcomes allow it, the budget of each service, and the pause.
package limpetretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
)

// Allowed reports whether an attempt that failed with err may be followed by
// another: when it provably did not run, or when running twice is harmless.
// Refusals and invalid requests are final.
func Allowed(err error, idempotent bool) bool {
	if limpeterror.Is(err, limpeterror.Unavailable) {
		return true
	}
	return idempotent && limpeterror.Is(err, limpeterror.Unknown)
}

// Pause returns the time before attempt n, counted from 1: exponential with
// full jitter (Brooker: Exponential backoff and jitter, 2015).
func Pause(n int, first, most time.Duration) time.Duration {
	const largestShift = 20
	limit := min(first<<min(n-1, largestShift), most)
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// A Budget holds the retries of one service. Each success adds a fraction of
// a retry, so that retries stay below that fraction of the traffic when
// everything fails.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	most   float64
}

// NewBudget returns a full budget of most retries that refills by ratio for
// each success.
func NewBudget(ratio, most float64) *Budget {
	return &Budget{tokens: most, ratio: ratio, most: most}
}

// Success refills the budget.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.most)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
