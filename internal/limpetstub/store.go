// Package limpetstub owns the small stand-ins of the platform and of backend
// servers, for tests, the demo and experiments. Each stands behind the same
// adapter that the product uses. Product packages must not import it.
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

// Fault is what goes wrong with one call to the store.
type Fault int

// The faults of a call.
const (
	None Fault = iota
	// Refused answers at once that the store is unavailable.
	Refused
	// LostBefore drops the call before its effect; the caller cannot tell.
	LostBefore
	// LostAfter has the effect and loses the answer.
	LostAfter
)

// A Store holds the stand-in of the platform's key-value service. The fault
// fields may be changed under Lock while it runs.
type Store struct {
	sync.Mutex
	// Down refuses all calls.
	Down bool
	// Delay slows every call.
	Delay time.Duration
	// Fault decides on a fault for each call, by kind (get, put, delete,
	// list, watch, grant, renew, revoke) and key.
	Fault func(kind, key string) Fault

	revision uint64
	values   map[string]limpetstore.Value
	leases   map[uint64]*storeLease
	events   []limpetstore.Value
	// dropped is the revision up to which events were dropped.
	dropped uint64
	changed chan struct{}
	writes  int
	reads   int
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

const (
	eventsKept = 4096
	watchCheck = 200 * time.Millisecond
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		values:  map[string]limpetstore.Value{},
		leases:  map[uint64]*storeLease{},
		changed: make(chan struct{}),
	}
}

// SetDown switches an outage on or off.
func (s *Store) SetDown(down bool) {
	s.Lock()
	defer s.Unlock()
	s.Down = down
}

// Calls returns the counts of writes and reads so far.
func (s *Store) Calls() (writes, reads int) {
	s.Lock()
	defer s.Unlock()
	return s.writes, s.reads
}

// Client returns an adapter that calls the stand-in directly.
func (s *Store) Client() limpetstore.Store {
	return limpetstore.Store{
		Get: s.get, Put: s.put, Delete: s.remove, List: s.list, Watch: s.watch,
		Grant: s.grant, Renew: s.renew, Revoke: s.revoke,
		Commit: s.commit, Scan: s.scan, Follow: s.follow,
	}
}

// call runs effect under the lock with the call's fault.
func (s *Store) call(ctx context.Context, kind, key string, effect func() error) error {
	s.Lock()
	delay, fault := s.Delay, None
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
	case LostBefore:
		return limpeterror.Unknown.New("store: answer lost")
	}
	err := effect()
	if fault == LostAfter {
		return limpeterror.Unknown.New("store: answer lost")
	}
	return err
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
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

// record gives v the next revision, stores it and wakes the watches.
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
		s.dropped = s.events[eventsKept-1].Revision
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
	ends := time.Now().Add(wait)
	for first := true; ; first = false {
		var changed chan struct{}
		look := func() error {
			changed = s.changed
			if after < s.dropped {
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
			err = s.call(ctx, "watch", prefix, look)
		} else {
			s.Lock()
			s.expire()
			err = look()
			if s.Down {
				err = limpeterror.Unavailable.New("store: out of service")
			}
			s.Unlock()
		}
		if err != nil || len(values) > 0 || !time.Now().Before(ends) {
			return values, err
		}
		select {
		case <-ctx.Done():
			return nil, limpeterror.Unavailable.Wrap(ctx.Err(), "store watch")
		case <-changed:
		case <-time.After(min(watchCheck, time.Until(ends))):
		}
	}
}

func (s *Store) grant(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	err = s.call(ctx, "grant", "", func() error {
		s.revision++
		id = s.revision
		s.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl), keys: map[string]bool{}}
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
		l.ends = time.Now().Add(l.ttl)
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

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/kv", func(w http.ResponseWriter, q *http.Request) {
		v, err := s.get(q.Context(), q.URL.Query().Get("key"))
		answer(w, v, err)
	}).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", func(w http.ResponseWriter, q *http.Request) {
		var p limpetstore.PutRequest
		if !decode(w, q, &p) {
			return
		}
		revision, err := s.put(q.Context(), p)
		answer(w, limpetstore.RevisionReply{Revision: revision}, err)
	}).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv", func(w http.ResponseWriter, q *http.Request) {
		answer(w, struct{}{}, s.remove(q.Context(), q.URL.Query().Get("key"), number(q, "expect")))
	}).Methods(http.MethodDelete)
	r.HandleFunc("/v1/list", func(w http.ResponseWriter, q *http.Request) {
		v, err := s.list(q.Context(), q.URL.Query().Get("prefix"))
		answer(w, v, err)
	})
	r.HandleFunc("/v1/watch", func(w http.ResponseWriter, q *http.Request) {
		v, err := s.watch(q.Context(), q.URL.Query().Get("prefix"), number(q, "after"), time.Duration(number(q, "wait_ms"))*time.Millisecond)
		answer(w, v, err)
	})
	r.HandleFunc("/v1/lease", func(w http.ResponseWriter, q *http.Request) {
		var g limpetstore.GrantRequest
		if !decode(w, q, &g) {
			return
		}
		id, err := s.grant(q.Context(), time.Duration(g.TTLMillis)*time.Millisecond)
		answer(w, limpetstore.LeaseReply{Lease: id}, err)
	}).Methods(http.MethodPost)
	r.HandleFunc("/v1/lease/{id}", func(w http.ResponseWriter, q *http.Request) {
		id, _ := strconv.ParseUint(mux.Vars(q)["id"], 10, 64)
		if q.Method == http.MethodDelete {
			answer(w, struct{}{}, s.revoke(q.Context(), id))
			return
		}
		answer(w, struct{}{}, s.renew(q.Context(), id))
	})
	return r
}

func number(q *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(q.URL.Query().Get(name), 10, 64)
	return n
}

func decode(w http.ResponseWriter, q *http.Request, v any) bool {
	if err := json.NewDecoder(q.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// answer writes v, or the status that the adapters read as err's type. A
// lost answer breaks the connection.
func answer(w http.ResponseWriter, v any, err error) {
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
