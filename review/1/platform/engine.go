package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A run is a request that an engine began to work on.
type run struct {
	id, engine, service, tenant string
	after                       int
	began, ended                time.Time
	whole                       bool
}

// An engine is a stand-in of one engine of a service.
type engine struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	born    int64
	slots   int
	// events returns the number of events of an item's text; 0 for a plain service.
	events func(id string) int
	// pause is the time of one event, or of a plain request.
	pause time.Duration

	mu       sync.Mutex
	draining bool
	gone     bool
	spot     bool
	// leaves is when a spot engine is taken away; zero if that is not known.
	leaves  time.Time
	running int
	version int
	loading int
	loaded  time.Time
	seq     int
	fence   uint64
	server  *http.Server
	beats   atomic.Int64
}

// start serves, and registers the engine in the store.
func (e *engine) start() {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fail("engine: %v", err)
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	e.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.mu.Lock()
			gone := e.gone
			e.mu.Unlock()
			if gone {
				return
			}
			e.beat()
		}
	}()
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.finishLoad()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": state, "coldLeftMs": 0, "stage": "both", "seq": e.beats.Add(1), "born": e.born,
	}
	if e.spot {
		entry["spot"] = true
	}
	if !e.leaves.IsZero() {
		entry["leaves_ms"] = max(0, time.Until(e.leaves).Milliseconds())
	}
	if e.events != nil {
		entry["models"] = []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}}
	}
	e.mu.Unlock()
	e.d.store.put("servers/"+e.id, entry)
}

// drain reports that the engine is draining, goes on for a time, and then exits.
func (e *engine) drain(after time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.beat()
	e.d.note("engine %s of %s reports draining", e.id, e.service)
	go func() {
		time.Sleep(after)
		e.exit()
		e.d.store.remove("servers/" + e.id)
		e.d.note("engine %s of %s has left", e.id, e.service)
	}()
}

// reclaim takes a spot engine away after a notice.
func (e *engine) reclaim(notice time.Duration) {
	e.mu.Lock()
	e.leaves = time.Now().Add(notice)
	e.mu.Unlock()
	e.drain(notice)
}

// exit ends the engine's process: nothing listens at its address any more.
func (e *engine) exit() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// crash ends the engine at once; its entry lapses after three heartbeats.
func (e *engine) crash() {
	e.exit()
	e.d.note("engine %s of %s crashes for good", e.id, e.service)
	go func() {
		time.Sleep(3 * 1200 * time.Millisecond)
		e.d.store.remove("servers/" + e.id)
		e.d.note("the entry of engine %s has lapsed", e.id)
	}()
}

// finishLoad completes a change of the weights. The caller holds e.mu.
func (e *engine) finishLoad() {
	if e.loading > 0 && time.Now().After(e.loaded) {
		e.version, e.loading = e.loading, 0
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		e.finishLoad()
		v := map[string]any{
			"stage": "both", "models": []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}}, "busy": e.loading > 0,
			"seq": e.seq, "numWaiting": 0, "numRunning": e.running, "kvUsed": 1000, "kvTotal": 90000, "handles": 0, "born": e.born,
		}
		e.mu.Unlock()
		reply(w, 200, v)
	case "/order":
		e.order(w, r)
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		e.mu.Lock()
		draining := e.draining
		e.mu.Unlock()
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		e.work(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version                 int
		Fence                   uint64
		Expected                *int
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.d.note("engine %s gets order version %d from %s with fence %d", e.id, o.Version, o.Holder, o.Fence)
	e.d.acted("order "+e.id, o.Holder, o.Fence)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoad()
	switch {
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
	case e.loading > 0 || (o.Expected != nil && *o.Expected != e.seq):
		w.WriteHeader(http.StatusConflict)
	default:
		e.seq++
		e.loading, e.loaded = o.Version, time.Now().Add(900*time.Millisecond)
		w.WriteHeader(http.StatusAccepted)
	}
}

// memoryTokens is the memory of an engine, in tokens.
const memoryTokens = 90000

// tooLarge reports whether a request is larger than the engine's memory.
func (e *engine) tooLarge(r *http.Request) bool {
	var in, out int
	_, _ = fmt.Sscanf(r.Header.Get("X-Token-Counts"), "%d,%d", &in, &out)
	return in+out > memoryTokens
}

// work runs a request.
func (e *engine) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	e.mu.Lock()
	e.finishLoad()
	full, version := e.running >= e.slots+4, e.version
	if e.tooLarge(r) {
		full = true
		e.d.note("engine %s rejects %s, which is larger than its memory", e.id, id)
	}
	if want := r.Header.Get("X-Expect-Version"); want != "" && want != strconv.Itoa(version) {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full || e.loading > 0 {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	x := &run{id: id, engine: e.id, service: e.service, tenant: r.Header.Get("X-Tenant"), after: after, began: time.Now()}
	e.d.began(x, r, body)
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		e.d.ended(x)
	}()
	w.Header().Set("X-Response-Seal", "seal."+e.id+"."+id)
	if e.events == nil {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		x.whole = true
		text := "answer to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for n := after + 1; n <= e.events(id); n++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		mark := ""
		e.mu.Lock()
		e.finishLoad()
		if e.version != version {
			version = e.version
			mark = fmt.Sprintf("x-weight-versions: %d\n", version)
		}
		e.mu.Unlock()
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", mark, n, eventText(id, n)); err != nil || flush.Flush() != nil {
			return
		}
	}
	x.whole = true
}

func eventText(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// wholeText returns the text of an item with a number of events.
func wholeText(id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, eventText(id, n))
	}
	return strings.Join(lines, "\n")
}
