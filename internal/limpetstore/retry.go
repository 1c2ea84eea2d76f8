package limpetstore

import (
	"context"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

// RetryReads returns s with Get and List tried up to so many times when the
// store does not answer. Reads have no effect, so that a second try is safe;
// the bound and the jittered pauses keep an outage from becoming a stampede.
func RetryReads(s Store, tries int) Store {
	w := s
	w.Get = func(ctx context.Context, key string) (v Value, err error) {
		err = retryRead(ctx, tries, func() error {
			v, err = s.Get(ctx, key)
			return err
		})
		return v, err
	}
	w.List = func(ctx context.Context, prefix string) (values []Value, err error) {
		err = retryRead(ctx, tries, func() error {
			values, err = s.List(ctx, prefix)
			return err
		})
		return values, err
	}
	return w
}

func retryRead(ctx context.Context, tries int, read func() error) error {
	pause := backoffFirst
	for try := 1; ; try++ {
		err := read()
		failed := limpeterror.Is(err, limpeterror.Unavailable) || limpeterror.Is(err, limpeterror.Unknown)
		if !failed || try >= tries || !limpettask.Sleep(ctx, limpettask.Jitter(pause)) {
			return err
		}
		pause = min(2*pause, backoffLast)
	}
}
