package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An item is a key of the platform's metadata store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// A store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
// It is sound: it loses nothing, and all its answers are linearizable.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	leases  map[uint64]*lease
	history []item
	changed chan struct{}
	// gate, if set, is asked before each call of a machine; it returns false if the
	// call was answered otherwise.
	gate func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	s := &store{rev: 400, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases whose time is over. The caller holds s.mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.apply(item{Key: key, Rev: s.rev, Tombstone: true})
		}
	}
}

// apply records a change. The caller holds s.mu.
func (s *store) apply(i item) {
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator, a trainer or an engine does.
func (s *store) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.apply(item{Key: key, Value: data, Rev: s.rev, Created: s.rev})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		s.apply(item{Key: key, Rev: s.rev, Tombstone: true})
	}
}

// get returns the value of a key; nil if there is none.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate != nil && !s.gate(w, r) {
		return
	}
	time.Sleep(2 * time.Millisecond)
	switch p := r.URL.Path; {
	case p == "/kv-key":
		s.serveKey(w, r)
	case p == "/kv-range":
		s.serveRange(w, r)
	case p == "/kv-watch":
		s.serveWatch(w, r)
	case p == "/kv-txn":
		s.serveTxn(w, r)
	case p == "/kv-lease":
		var q struct{ TTLMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&q)
		s.mu.Lock()
		s.rev++
		id, ttl := s.rev, time.Duration(q.TTLMs)*time.Millisecond
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttlMs": q.TTLMs})
	case strings.HasPrefix(p, "/kv-keep/"), strings.HasPrefix(p, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(p[strings.LastIndexByte(p, '/')+1:], 10, 64)
		s.mu.Lock()
		s.expire()
		l := s.leases[id]
		if l != nil && strings.HasPrefix(p, "/kv-keep/") {
			l.expires = time.Now().Add(l.ttl)
		} else if l != nil {
			s.endLease(id)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	default:
		reply(w, 400, map[string]any{"error": "no such call"})
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": i.Lease, "currentRev": rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("pathPrefix"), q.Get("after")
	s.mu.Lock()
	s.expire()
	rev := s.rev
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	bytes, n := 0, 0
	for ; n < len(found) && n < 500 && (bytes < 1<<20 || n == 0); n++ {
		bytes += len(found[n].Value)
	}
	reply(w, 200, map[string]any{"items": found[:n], "truncated": n < len(found), "currentRev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		rev, changed := s.rev, s.changed
		events := []item{}
		for n := len(s.history) - 1; n >= 0 && s.history[n].Rev > after; n-- {
			if strings.HasPrefix(s.history[n].Key, q.Get("pathPrefix")) {
				events = append(events, s.history[n])
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			sort.Slice(events, func(a, b int) bool { return events[a].Rev < events[b].Rev })
			reply(w, 200, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Expected []struct {
			Key string
			Rev uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Expected)+len(q.Puts)+len(q.Remove) > 32 {
		reply(w, 400, map[string]any{"error": "bad transaction"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	failed := false
	current := []item{}
	for _, c := range q.Expected {
		i := s.items[c.Key]
		failed = failed || i.Rev != c.Rev
		i.Key = c.Key
		current = append(current, i)
	}
	if failed {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range q.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if len(p.Value) > 1<<20 || len(p.Key) > 200 {
			reply(w, 400, map[string]any{"error": "too large"})
			return
		}
	}
	s.rev++
	for _, p := range q.Puts {
		i := item{Key: p.Key, Value: p.Value, Rev: s.rev, Lease: p.Lease, Created: s.items[p.Key].Created}
		if i.Created == 0 {
			i.Created = s.rev
		}
		s.apply(i)
	}
	for _, key := range q.Remove {
		if _, ok := s.items[key]; ok {
			s.apply(item{Key: key, Rev: s.rev, Tombstone: true})
		}
	}
	reply(w, 200, map[string]any{"rev": s.rev})
}
