package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A kvItem is a key of the store with its value, or its removal.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

// A store is the platform's metadata store: linearizable, with leases, transactions and
// watches, as the pages describe it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]kvItem
	leases  map[uint64]*kvLease
	history []kvItem
	changed chan struct{}
	// refuse, if set, is asked for each call whether it is refused with 503.
	refuse func(r *http.Request) bool
	// lose, if set, is asked for each change whether its answer is lost, and after which
	// time it is made.
	lose func(r *http.Request) (lost bool, after time.Duration)
}

func newStore() *store {
	s := &store{rev: 100, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

// put writes a key, for the operator and for engines.
func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[key]; ok && bytes.Equal(old.Value, data) {
		return s.rev
	}
	s.rev++
	s.set(key, data, 0)
	s.notify()
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.unset(key)
	s.notify()
}

// set and unset change a key at the current revision. The caller holds the lock.
func (s *store) set(key string, data []byte, lease uint64) {
	i := kvItem{Key: key, Value: data, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, kvItem{Key: key, Rev: s.rev, Tombstone: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.unset(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuse != nil && s.refuse(r) {
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	switch {
	case r.URL.Path == "/kv-key":
		s.get(w, r)
	case r.URL.Path == "/kv-range":
		s.list(w, r)
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.loseOrCommit(w, r)
	case r.URL.Path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.mu.Lock()
		known := s.leases[id] != nil
		if known {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !known {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"currentRev": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		kvItem
		Current uint64 `json:"currentRev"`
	}{i, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items     []kvItem `json:"items"`
		Truncated bool     `json:"truncated"`
		Current   uint64   `json:"currentRev"`
	}{Items: []kvItem{}, Current: s.rev}
	size := 0
	for _, key := range keys {
		if len(page.Items) >= 500 || (size > 900<<10 && len(page.Items) > 0) {
			page.Truncated = true
			break
		}
		size += len(s.items[key].Value)
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("pathPrefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, rev := s.changed, s.rev
		events := []kvItem{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i kvItem, rev uint64) int {
			if i.Rev < rev {
				return -1
			}
			return 1
		})
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
		return
	}
}

// loseOrCommit commits, or loses the answer.
func (s *store) loseOrCommit(w http.ResponseWriter, r *http.Request) {
	if s.lose != nil {
		if lost, after := s.lose(r); lost {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			time.AfterFunc(after, func() {
				late := &http.Request{Body: io.NopCloser(bytes.NewReader(body))}
				s.commit(discard{http.Header{}}, late)
			})
			time.Sleep(after)
			panic(http.ErrAbortHandler)
		}
	}
	s.commit(w, r)
}

// A discard drops an answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Expected {
		if s.items[c.Key].Rev != c.Rev {
			now := []kvItem{}
			for _, c := range t.Expected {
				if i, ok := s.items[c.Key]; ok {
					now = append(now, i)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if len(p.Value) > 1048576 || len(p.Key) > 200 {
			reply(w, http.StatusRequestEntityTooLarge, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	if len(t.Puts)+len(t.Remove) > 0 {
		s.rev++
	}
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]uint64{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var d struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(max(d.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	s.rev++
	id := s.rev
	s.leases[id] = &kvLease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"lease": int64(id), "ttlMs": ttl.Milliseconds()})
}
