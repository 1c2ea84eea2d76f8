package limpetstore

import (
	"context"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

// RetryReads returns a copy of s that makes up to the given number of attempts
// at Get and List when the store does not answer. Reads have no effect, so that
// repeating them is safe. The limit and the jittered backoff prevent
// synchronized retries from overloading the store after an outage.
func RetryReads(s Store, attempts int) Store {
	w := s
	w.Get = func(ctx context.Context, key string) (v Value, err error) {
		err = retryRead(ctx, attempts, func() error {
			v, err = s.Get(ctx, key)
			return err
		})
		return v, err
	}
	w.List = func(ctx context.Context, prefix string) (values []Value, err error) {
		err = retryRead(ctx, attempts, func() error {
			values, err = s.List(ctx, prefix)
			return err
		})
		return values, err
	}
	return w
}

func retryRead(ctx context.Context, attempts int, read func() error) error {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		err := read()
		failed := limpeterror.Is(err, limpeterror.Unavailable) || limpeterror.Is(err, limpeterror.Unknown)
		if !failed || attempt >= attempts || !limpettask.Sleep(ctx, limpettask.Jitter(backoff)) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
