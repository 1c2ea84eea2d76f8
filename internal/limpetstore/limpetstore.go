// Package limpetstore is a client of the platform's key-value store. Values are
// opaque bytes; the package must not import packages that make decisions.
//
// Each write has one of three outcomes: done (nil error), unknown
// (limpeterror.Unknown) and not done (any other error, such as
// limpeterror.Conflict or limpeterror.Unavailable). Update resolves unknown
// outcomes by reading the key back.
package limpetstore

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

// MaxValue is the store's limit on the size of a value, in bytes.
const MaxValue = 1 << 20

// A Value is the content of a key at a revision. Deleted is set for a deleted
// key that a watch reports.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// A PutRequest is a conditional write. Expect is the revision that the key must
// have, or 0 if it must not exist.
type PutRequest struct {
	Key    string `json:"key"`
	Data   []byte `json:"data"`
	Expect uint64 `json:"expect"`
	// Lease attaches the key to a lease, if it is not 0.
	Lease uint64 `json:"lease,omitempty"`
}

// A Store holds the operations of the platform's store. They are fields so that
// implementations can be substituted: NewHTTP sets most of them to HTTP calls,
// and a test double sets them to its own methods. Revisions increase across all
// keys.
type Store struct {
	// Get returns the value of a key, or an error of type limpeterror.NotFound.
	Get func(ctx context.Context, key string) (Value, error)
	// GetOld and ScanOld are Get and Scan of what the store held at some time in the
	// last seconds, at a fraction of their cost. They suit values that never change:
	// one that is found is valid, one that is not may exist all the same. If nil, the
	// store has no such reads.
	GetOld  func(ctx context.Context, key string) (Value, error)
	ScanOld func(ctx context.Context, prefix, after string) (Listing, error)
	// Put performs a conditional write and returns the new revision.
	Put func(ctx context.Context, r PutRequest) (uint64, error)
	// Delete deletes a key whose current revision is expect.
	Delete func(ctx context.Context, key string, expect uint64) error
	// List returns all values whose keys start with prefix, ordered by key.
	List func(ctx context.Context, prefix string) ([]Value, error)
	// Watch waits up to the given time for changes of keys that start with
	// prefix after a revision. An empty result means that nothing had changed
	// when the store answered.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Value, error)
	// Grant returns the identifier of a new lease.
	Grant func(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease, or returns an error of type limpeterror.NotFound.
	Renew func(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke func(ctx context.Context, lease uint64) error
	// Commit executes a transaction and returns its revision. The error has
	// type Conflict if a check failed and NotFound if a lease has ended.
	Commit func(ctx context.Context, t Transaction) (uint64, error)
	// Scan returns all values whose keys start with prefix and sort after the
	// key after, and a revision from which Follow misses no later change.
	Scan func(ctx context.Context, prefix, after string) (Listing, error)
	// Follow waits up to the given time for changes of keys that start with
	// prefix after a revision. The error has type Compacted if the store no
	// longer has all changes since that revision.
	Follow func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// GetImmutable is Get for a key whose value never changes once it exists.
func (s Store) GetImmutable(ctx context.Context, key string) (Value, error) {
	if s.GetOld != nil {
		v, err := s.GetOld(ctx, key)
		if !limpeterror.Is(err, limpeterror.NotFound) {
			return v, err
		}
	}
	return s.Get(ctx, key)
}

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Update changes a key by compare-and-swap and retries until it succeeds or ctx
// ends. apply computes the new content from the current value, whose Revision
// is 0 if the key does not exist. applied reports whether the current value
// already includes this change; it must look for an operation identifier that
// apply wrote. Both may be called many times.
//
// The error has type Unavailable if the change provably had no effect and
// Unknown if it may have had one. Errors of apply are returned unchanged, and so
// are errors of the write that no retry can resolve, such as Invalid.
func (s Store) Update(ctx context.Context, key string, apply func(Value) ([]byte, error), applied func(Value) bool) (Value, error) {
	unknown := false
	backoff := initialBackoff
	for {
		current, err := s.current(ctx, key)
		if err == nil && applied(current) {
			return current, nil
		}
		if err == nil {
			var next Value
			next, err = s.compareAndSwap(ctx, current, key, apply)
			if err == nil {
				return next, nil
			}
			if !isRetryable(err) {
				return Value{}, err
			}
		}
		unknown = unknown || limpeterror.Is(err, limpeterror.Unknown)
		if limpeterror.Is(err, limpeterror.Conflict) {
			backoff = initialBackoff
		}
		if !limpettask.Sleep(ctx, limpettask.Jitter(backoff)) {
			return Value{}, updateError(key, unknown, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s Store) current(ctx context.Context, key string) (Value, error) {
	v, err := s.Get(ctx, key)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return Value{Key: key}, nil
	}
	return v, err
}

func (s Store) compareAndSwap(ctx context.Context, current Value, key string, apply func(Value) ([]byte, error)) (Value, error) {
	data, err := apply(current)
	if err != nil {
		return Value{}, err
	}
	revision, err := s.Put(ctx, PutRequest{Key: key, Data: data, Expect: current.Revision})
	return Value{Key: key, Data: data, Revision: revision}, err
}

func isRetryable(err error) bool {
	return limpeterror.Is(err, limpeterror.Conflict) ||
		limpeterror.Is(err, limpeterror.Unavailable) ||
		limpeterror.Is(err, limpeterror.Unknown)
}

func updateError(key string, unknown bool, cause error) error {
	if unknown {
		return limpeterror.Unknown.Wrap(cause, "update of %s", key)
	}
	return limpeterror.Unavailable.Wrap(cause, "update of %s", key)
}

// Create writes a key that must not exist and returns the value that the key
// then holds. If another writer was first, that is the other writer's value.
func (s Store) Create(ctx context.Context, key string, data []byte) (Value, error) {
	return s.Update(ctx, key,
		func(Value) ([]byte, error) { return data, nil },
		func(v Value) bool { return v.Revision != 0 })
}

// A Meter counts store calls by the mechanism that makes them, to compare them
// with the store's request budget.
type Meter struct {
	calls *prometheus.CounterVec
}

// NewMeter creates a meter and registers its counter with r.
func NewMeter(r prometheus.Registerer) *Meter {
	m := &Meter{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "limpet_store_calls_total",
		Help: "Calls to the platform's store by mechanism, kind (read, old_read, write, watch) and outcome.",
	}, []string{"mechanism", "kind", "outcome"})}
	r.MustRegister(m.calls)
	return m
}

func (m *Meter) observe(mechanism, kind string, err error) {
	m.calls.WithLabelValues(mechanism, kind, OutcomeOf(err).String()).Inc()
}

// Wrap returns a store that counts each call of s under mechanism.
func (m *Meter) Wrap(s Store, mechanism string) Store {
	w := Store{
		Get: func(ctx context.Context, key string) (Value, error) {
			v, err := s.Get(ctx, key)
			m.observe(mechanism, "read", err)
			return v, err
		},
		Put: func(ctx context.Context, r PutRequest) (uint64, error) {
			v, err := s.Put(ctx, r)
			m.observe(mechanism, "write", err)
			return v, err
		},
		Delete: func(ctx context.Context, key string, expect uint64) error {
			err := s.Delete(ctx, key, expect)
			m.observe(mechanism, "write", err)
			return err
		},
		List: func(ctx context.Context, prefix string) ([]Value, error) {
			v, err := s.List(ctx, prefix)
			m.observe(mechanism, "read", err)
			return v, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Value, error) {
			v, err := s.Watch(ctx, prefix, after, wait)
			m.observe(mechanism, "watch", err)
			return v, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			v, err := s.Grant(ctx, ttl)
			m.observe(mechanism, "write", err)
			return v, err
		},
		Renew: func(ctx context.Context, lease uint64) error {
			err := s.Renew(ctx, lease)
			m.observe(mechanism, "write", err)
			return err
		},
		Revoke: func(ctx context.Context, lease uint64) error {
			err := s.Revoke(ctx, lease)
			m.observe(mechanism, "write", err)
			return err
		},
		Commit: func(ctx context.Context, t Transaction) (uint64, error) {
			v, err := s.Commit(ctx, t)
			m.observe(mechanism, "write", err)
			return v, err
		},
		Scan: func(ctx context.Context, prefix, after string) (Listing, error) {
			v, err := s.Scan(ctx, prefix, after)
			m.observe(mechanism, "read", err)
			return v, err
		},
		Follow: func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
			v, err := s.Follow(ctx, prefix, after, wait)
			m.observe(mechanism, "watch", err)
			return v, err
		},
	}
	if s.GetOld != nil {
		w.GetOld = func(ctx context.Context, key string) (Value, error) {
			v, err := s.GetOld(ctx, key)
			m.observe(mechanism, "old_read", err)
			return v, err
		}
	}
	if s.ScanOld != nil {
		w.ScanOld = func(ctx context.Context, prefix, after string) (Listing, error) {
			v, err := s.ScanOld(ctx, prefix, after)
			m.observe(mechanism, "old_read", err)
			return v, err
		}
	}
	return w
}

// An Outcome says whether a call took effect.
type Outcome int

// Possible outcomes.
const (
	Done Outcome = iota
	NotDone
	Unknown
)

// OutcomeOf classifies the error of a call.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case limpeterror.Is(err, limpeterror.Unknown):
		return Unknown
	default:
		return NotDone
	}
}

// String returns the outcome's label in metrics.
func (o Outcome) String() string {
	return [...]string{"done", "not_done", "unknown"}[o]
}
