// Package limpetstore owns the client of the platform's key-value store. It
// must not import decision packages: callers give it bytes.
//
// Each write has one of three outcomes: done (nil error), not done
// (limpeterror.Conflict or limpeterror.Unavailable) and unknown
// (limpeterror.Unknown). Update resolves unknown outcomes by reading back.
package limpetstore

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

// MaxValue is the largest value that the store holds, in bytes.
const MaxValue = 1 << 20

// A Value holds a key's content at a revision. A deleted key that a watch
// reports has Deleted set.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// A PutRequest holds a conditional write. Expect is the revision that the key
// must have, 0 for a key that must not exist.
type PutRequest struct {
	Key    string `json:"key"`
	Data   []byte `json:"data"`
	Expect uint64 `json:"expect"`
	// Lease ties the key to a lease; 0 for none.
	Lease uint64 `json:"lease,omitempty"`
}

// A Store holds the operations of the platform's store. The fields are seams:
// NewHTTP fills them with calls over HTTP, a stand-in with its own methods.
// Revisions grow over all keys.
type Store struct {
	// Get returns a key's value, or limpeterror.NotFound.
	Get func(ctx context.Context, key string) (Value, error)
	// Put writes conditionally and returns the new revision.
	Put func(ctx context.Context, r PutRequest) (uint64, error)
	// Delete removes a key that has revision expect.
	Delete func(ctx context.Context, key string, expect uint64) error
	// List returns all values below prefix, ordered by key.
	List func(ctx context.Context, prefix string) ([]Value, error)
	// Watch waits for changes below prefix after a revision, for at most the
	// given time. No values mean that there was no change when it was sent.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Value, error)
	// Grant returns the identifier of a new lease.
	Grant func(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease, or returns limpeterror.NotFound.
	Renew func(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease uint64) error
	// Commit carries out a transaction and returns its revision. A Conflict
	// means that a check did not hold, NotFound that a lease has ended.
	Commit func(ctx context.Context, t Transaction) (uint64, error)
	// Scan returns all values below prefix whose keys follow on after, and a
	// revision from which Follow misses no later change.
	Scan func(ctx context.Context, prefix, after string) (Listing, error)
	// Follow waits for changes below prefix after a revision, for at most the
	// given time. Compacted means that the store no longer knows them all.
	Follow func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

const (
	backoffFirst = 20 * time.Millisecond
	backoffLast  = 2 * time.Second
)

// Update changes a key by compare-and-swap until the change is done or ctx
// ends. Apply computes the next content from the current one, whose Revision
// is 0 when the key does not exist. Landed reports whether the current
// content already includes this change; it must look for an operation
// identifier that apply wrote. Both may be called many times.
//
// The error has type Unavailable when the change provably had no effect and
// Unknown when it may still have one; errors of apply are returned as they are.
func (s Store) Update(ctx context.Context, key string, apply func(Value) ([]byte, error), landed func(Value) bool) (Value, error) {
	unknown := false
	pause := backoffFirst
	for {
		current, err := s.current(ctx, key)
		if err == nil && landed(current) {
			return current, nil
		}
		if err == nil {
			var next Value
			next, err = s.swap(ctx, current, key, apply)
			if err == nil {
				return next, nil
			}
			if !isStoreError(err) {
				return Value{}, err
			}
		}
		unknown = unknown || limpeterror.Is(err, limpeterror.Unknown)
		if limpeterror.Is(err, limpeterror.Conflict) {
			pause = backoffFirst
		}
		if !limpettask.Sleep(ctx, limpettask.Jitter(pause)) {
			return Value{}, ended(key, unknown, err)
		}
		pause = min(2*pause, backoffLast)
	}
}

func (s Store) current(ctx context.Context, key string) (Value, error) {
	v, err := s.Get(ctx, key)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return Value{Key: key}, nil
	}
	return v, err
}

func (s Store) swap(ctx context.Context, current Value, key string, apply func(Value) ([]byte, error)) (Value, error) {
	data, err := apply(current)
	if err != nil {
		return Value{}, err
	}
	revision, err := s.Put(ctx, PutRequest{Key: key, Data: data, Expect: current.Revision})
	return Value{Key: key, Data: data, Revision: revision}, err
}

func isStoreError(err error) bool {
	return limpeterror.Is(err, limpeterror.Conflict) ||
		limpeterror.Is(err, limpeterror.Unavailable) ||
		limpeterror.Is(err, limpeterror.Unknown)
}

func ended(key string, unknown bool, cause error) error {
	if unknown {
		return limpeterror.Unknown.Wrap(cause, "update of %s", key)
	}
	return limpeterror.Unavailable.Wrap(cause, "update of %s", key)
}

// Create writes a key that must not exist yet and returns the value that the
// key then holds, which is another writer's when that one was first.
func (s Store) Create(ctx context.Context, key string, data []byte) (Value, error) {
	return s.Update(ctx, key,
		func(Value) ([]byte, error) { return data, nil },
		func(v Value) bool { return v.Revision != 0 })
}

// A Meter counts the calls of each mechanism against the store's budget.
type Meter struct {
	calls *prometheus.CounterVec
}

// NewMeter registers the counter.
func NewMeter(r prometheus.Registerer) *Meter {
	m := &Meter{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "limpet_store_calls_total",
		Help: "Calls to the platform's store by mechanism, kind (read, write, watch) and outcome.",
	}, []string{"mechanism", "kind", "outcome"})}
	r.MustRegister(m.calls)
	return m
}

func (m *Meter) count(mechanism, kind string, err error) {
	m.calls.WithLabelValues(mechanism, kind, OutcomeOf(err).String()).Inc()
}

// Wrap returns s with each call counted under mechanism.
func (m *Meter) Wrap(s Store, mechanism string) Store {
	return Store{
		Get: func(ctx context.Context, key string) (Value, error) {
			v, err := s.Get(ctx, key)
			m.count(mechanism, "read", err)
			return v, err
		},
		Put: func(ctx context.Context, r PutRequest) (uint64, error) {
			v, err := s.Put(ctx, r)
			m.count(mechanism, "write", err)
			return v, err
		},
		Delete: func(ctx context.Context, key string, expect uint64) error {
			err := s.Delete(ctx, key, expect)
			m.count(mechanism, "write", err)
			return err
		},
		List: func(ctx context.Context, prefix string) ([]Value, error) {
			v, err := s.List(ctx, prefix)
			m.count(mechanism, "read", err)
			return v, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Value, error) {
			v, err := s.Watch(ctx, prefix, after, wait)
			m.count(mechanism, "watch", err)
			return v, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			v, err := s.Grant(ctx, ttl)
			m.count(mechanism, "write", err)
			return v, err
		},
		Renew: func(ctx context.Context, lease uint64) error {
			err := s.Renew(ctx, lease)
			m.count(mechanism, "write", err)
			return err
		},
		Revoke: func(ctx context.Context, lease uint64) error {
			err := s.Revoke(ctx, lease)
			m.count(mechanism, "write", err)
			return err
		},
		Commit: func(ctx context.Context, t Transaction) (uint64, error) {
			v, err := s.Commit(ctx, t)
			m.count(mechanism, "write", err)
			return v, err
		},
		Scan: func(ctx context.Context, prefix, after string) (Listing, error) {
			v, err := s.Scan(ctx, prefix, after)
			m.count(mechanism, "read", err)
			return v, err
		},
		Follow: func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
			v, err := s.Follow(ctx, prefix, after, wait)
			m.count(mechanism, "watch", err)
			return v, err
		},
	}
}

// An Outcome says whether a call had its effect.
type Outcome int

// The three outcomes.
const (
	Done Outcome = iota
	NotDone
	Uncertain
)

// OutcomeOf classifies the error of a call.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case limpeterror.Is(err, limpeterror.Unknown):
		return Uncertain
	default:
		return NotDone
	}
}

// String returns the outcome as it stands in metrics.
func (o Outcome) String() string {
	return [...]string{"done", "not_done", "unknown"}[o]
}
