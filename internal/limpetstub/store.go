// Package limpetstub provides stubs of the platform and of backend servers for
// tests, the demo and experiments. The product reaches each of them through the
// client that it also uses for the real service. Product packages must not import
// limpetstub.
package limpetstub

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetstore"
)

// A Fault is what goes wrong with a call to the store.
type Fault int

// Faults of a call.
const (
	NoFault Fault = iota
	// Refused makes the call fail with limpeterror.Unavailable.
	Refused
	// RequestLost loses the request: the call has no effect, and the caller gets
	// limpeterror.Unknown.
	RequestLost
	// ReplyLost loses the reply: the call takes effect, and the caller gets
	// limpeterror.Unknown.
	ReplyLost
)

// A Store is a stub of the platform's key-value store. Hold Lock to change the
// exported fields while it runs.
type Store struct {
	sync.Mutex
	// Down makes all calls fail with limpeterror.Unavailable.
	Down bool
	// Delay delays every call.
	Delay time.Duration
	// Fault, if set, returns the fault of each call from its kind (get, put,
	// delete, commit, list, watch, grant, renew or revoke) and key. Scan is a
	// call of kind list, and Follow one of kind watch. For list and watch the
	// key is the prefix, for renew and revoke the lease, for commit the first
	// key written, and for grant it is empty.
	Fault func(kind, key string) Fault

	revision uint64
	values   map[string]limpetstore.Value
	leases   map[uint64]*storeLease
	events   []limpetstore.Value
	// compacted is the revision up to which events were discarded.
	compacted uint64
	changed   chan struct{}
	writes    int
	reads     int
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

const (
	// eventsKept is the number of newest events that stay readable. Older events
	// are discarded once twice as many are stored.
	eventsKept = 4096
	// watchPollPeriod is the longest time after which a watch checks for expired
	// leases.
	watchPollPeriod = 200 * time.Millisecond
)

// NewStore returns a store without values.
func NewStore() *Store {
	return &Store{
		values:  map[string]limpetstore.Value{},
		leases:  map[uint64]*storeLease{},
		changed: make(chan struct{}),
	}
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.Lock()
	defer s.Unlock()
	s.Down = down
}

// Calls returns the numbers of writes and reads so far.
func (s *Store) Calls() (writes, reads int) {
	s.Lock()
	defer s.Unlock()
	return s.writes, s.reads
}

// Client returns a client that calls the stub without HTTP.
func (s *Store) Client() limpetstore.Store {
	return limpetstore.Store{
		Get: s.get, Put: s.put, Delete: s.remove, List: s.list, Watch: s.watch,
		Grant: s.grant, Renew: s.renew, Revoke: s.revoke,
		Commit: s.commit, Scan: s.scan, Follow: s.follow,
	}
}

// call applies the delay and fault of a call, and runs apply under the lock
// unless the fault prevents it.
func (s *Store) call(ctx context.Context, kind, key string, apply func() error) error {
	s.Lock()
	delay, fault := s.Delay, NoFault
	if s.Fault != nil {
		fault = s.Fault(kind, key)
	}
	if s.Down {
		fault = Refused
	}
	s.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return limpeterror.Unknown.Wrap(ctx.Err(), "store")
		}
	}
	s.Lock()
	defer s.Unlock()
	s.expire()
	if kind == "get" || kind == "list" || kind == "watch" {
		s.reads++
	} else {
		s.writes++
	}
	switch fault {
	case Refused:
		return limpeterror.Unavailable.New("store: out of service")
	case RequestLost:
		return limpeterror.Unknown.New("store: answer lost")
	}
	err := apply()
	if fault == ReplyLost {
		return limpeterror.Unknown.New("store: answer lost")
	}
	return err
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id, l)
		}
	}
}

func (s *Store) endLease(id uint64, l *storeLease) {
	delete(s.leases, id)
	for key := range l.keys {
		if _, ok := s.values[key]; ok {
			s.record(limpetstore.Value{Key: key, Deleted: true})
		}
	}
}

// record stores v under the next revision and wakes all watches.
func (s *Store) record(v limpetstore.Value) uint64 {
	s.revision++
	v.Revision = s.revision
	if v.Deleted {
		delete(s.values, v.Key)
	} else {
		s.values[v.Key] = v
	}
	s.events = append(s.events, v)
	if len(s.events) > 2*eventsKept {
		s.compacted = s.events[eventsKept-1].Revision
		s.events = append([]limpetstore.Value(nil), s.events[eventsKept:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *Store) get(ctx context.Context, key string) (v limpetstore.Value, err error) {
	err = s.call(ctx, "get", key, func() error {
		found := false
		if v, found = s.values[key]; !found {
			return limpeterror.NotFound.New("store: no key %s", key)
		}
		return nil
	})
	return v, err
}

func (s *Store) put(ctx context.Context, r limpetstore.PutRequest) (revision uint64, err error) {
	err = s.call(ctx, "put", r.Key, func() error {
		if len(r.Data) > limpetstore.MaxValue {
			return limpeterror.Invalid.New("store: value of %d bytes for %s", len(r.Data), r.Key)
		}
		if s.values[r.Key].Revision != r.Expect {
			return limpeterror.Conflict.New("store: %s is at revision %d", r.Key, s.values[r.Key].Revision)
		}
		if r.Lease != 0 {
			l, ok := s.leases[r.Lease]
			if !ok {
				return limpeterror.NotFound.New("store: no lease %d", r.Lease)
			}
			l.keys[r.Key] = true
		}
		revision = s.record(limpetstore.Value{Key: r.Key, Data: r.Data})
		return nil
	})
	return revision, err
}

func (s *Store) remove(ctx context.Context, key string, expect uint64) error {
	return s.call(ctx, "delete", key, func() error {
		if s.values[key].Revision != expect {
			return limpeterror.Conflict.New("store: %s is at revision %d", key, s.values[key].Revision)
		}
		s.record(limpetstore.Value{Key: key, Deleted: true})
		return nil
	})
}

func (s *Store) list(ctx context.Context, prefix string) (values []limpetstore.Value, err error) {
	err = s.call(ctx, "list", prefix, func() error {
		for key, v := range s.values {
			if strings.HasPrefix(key, prefix) {
				values = append(values, v)
			}
		}
		return nil
	})
	sort.Slice(values, func(i, j int) bool { return values[i].Key < values[j].Key })
	return values, err
}

func (s *Store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (values []limpetstore.Value, err error) {
	deadline := time.Now().Add(wait)
	for first := true; ; first = false {
		var changed chan struct{}
		collect := func() error {
			changed = s.changed
			if after < s.compacted {
				return limpeterror.Conflict.New("store: the events after revision %d are gone", after)
			}
			for _, e := range s.events {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					values = append(values, e)
				}
			}
			return nil
		}
		if first {
			err = s.call(ctx, "watch", prefix, collect)
		} else {
			s.Lock()
			s.expire()
			err = collect()
			if s.Down {
				err = limpeterror.Unavailable.New("store: out of service")
			}
			s.Unlock()
		}
		if err != nil || len(values) > 0 || !time.Now().Before(deadline) {
			return values, err
		}
		select {
		case <-ctx.Done():
			return nil, limpeterror.Unavailable.Wrap(ctx.Err(), "store watch")
		case <-changed:
		case <-time.After(min(watchPollPeriod, time.Until(deadline))):
		}
	}
}

func (s *Store) grant(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	err = s.call(ctx, "grant", "", func() error {
		s.revision++
		id = s.revision
		s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
		return nil
	})
	return id, err
}

func (s *Store) renew(ctx context.Context, lease uint64) error {
	return s.call(ctx, "renew", strconv.FormatUint(lease, 10), func() error {
		l, ok := s.leases[lease]
		if !ok {
			return limpeterror.NotFound.New("store: no lease %d", lease)
		}
		l.expires = time.Now().Add(l.ttl)
		return nil
	})
}

func (s *Store) revoke(ctx context.Context, lease uint64) error {
	return s.call(ctx, "revoke", strconv.FormatUint(lease, 10), func() error {
		if l, ok := s.leases[lease]; ok {
			s.endLease(lease, l)
		}
		return nil
	})
}

// Handler returns a handler for the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/kv", func(w http.ResponseWriter, q *http.Request) {
		v, err := s.get(q.Context(), q.URL.Query().Get("key"))
		writeReply(w, v, err)
	}).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", func(w http.ResponseWriter, q *http.Request) {
		var p limpetstore.PutRequest
		if !decodeBody(w, q, &p) {
			return
		}
		revision, err := s.put(q.Context(), p)
		writeReply(w, limpetstore.RevisionReply{Revision: revision}, err)
	}).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv", func(w http.ResponseWriter, q *http.Request) {
		writeReply(w, struct{}{}, s.remove(q.Context(), q.URL.Query().Get("key"), queryUint(q, "expect")))
	}).Methods(http.MethodDelete)
	r.HandleFunc("/v1/list", func(w http.ResponseWriter, q *http.Request) {
		v, err := s.list(q.Context(), q.URL.Query().Get("prefix"))
		writeReply(w, v, err)
	})
	r.HandleFunc("/v1/watch", func(w http.ResponseWriter, q *http.Request) {
		v, err := s.watch(q.Context(), q.URL.Query().Get("prefix"), queryUint(q, "after"), time.Duration(queryUint(q, "wait_ms"))*time.Millisecond)
		writeReply(w, v, err)
	})
	r.HandleFunc("/v1/lease", func(w http.ResponseWriter, q *http.Request) {
		var g limpetstore.GrantRequest
		if !decodeBody(w, q, &g) {
			return
		}
		id, err := s.grant(q.Context(), time.Duration(g.TTLMillis)*time.Millisecond)
		writeReply(w, limpetstore.LeaseReply{Lease: id}, err)
	}).Methods(http.MethodPost)
	r.HandleFunc("/v1/lease/{id}", func(w http.ResponseWriter, q *http.Request) {
		id, _ := strconv.ParseUint(mux.Vars(q)["id"], 10, 64)
		if q.Method == http.MethodDelete {
			writeReply(w, struct{}{}, s.revoke(q.Context(), id))
			return
		}
		writeReply(w, struct{}{}, s.renew(q.Context(), id))
	})
	return r
}

func queryUint(q *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(q.URL.Query().Get(name), 10, 64)
	return n
}

func decodeBody(w http.ResponseWriter, q *http.Request, v any) bool {
	if err := json.NewDecoder(q.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeReply writes v, or the status code from which the clients restore the type
// of err. For limpeterror.Unknown it closes the connection without a reply.
func writeReply(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		limpethttp.WriteJSON(w, http.StatusOK, v)
	case limpeterror.Is(err, limpeterror.NotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case limpeterror.Is(err, limpeterror.Conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case limpeterror.Is(err, limpeterror.Fenced):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case limpeterror.Is(err, limpeterror.Invalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case limpeterror.Is(err, limpeterror.Unavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
