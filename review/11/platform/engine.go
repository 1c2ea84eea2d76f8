package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	modelName     = "daka510000"
	modelService  = "huvo11a"
	plainService  = "wuno96b"
	heartbeat     = 1200 * time.Millisecond
	siteHost      = "ficu95.example"
	modelSlots    = 8
	eventInterval = 40 * time.Millisecond
)

// An engine is a server of either service.
type engine struct {
	site    *site
	id      string
	service string
	address string
	zone    string
	server  *http.Server
	stopped chan struct{}

	mu      sync.Mutex
	born    int64
	state   string
	version int
	seq     int
	busy    bool
	// waits is set if an order waits until runs have ended.
	waits   bool
	fence   uint64
	running int
	// interval is the time between two events.
	interval time.Duration
	// events returns the number of events of a text.
	events func(id string) int
	// seal returns the seal of an answer as it is sent.
	seal func(id string) string
	// silent is set while the engine is dark: it takes connections, answers nothing and
	// writes nothing to the store.
	silent chan struct{}
	// beatAt is when it wrote to the store last.
	beatAt time.Time
	// crashes is closed when the engine crashes.
	crashed chan struct{}
	// fails returns the status with which the engine answers an item; 0 for none.
	fails func(id string) int
}

func (s *site) startEngine(id, service, zone string) *engine {
	e := &engine{
		site: s, id: id, service: service, zone: zone, state: "ready", version: 1, interval: eventInterval, stopped: make(chan struct{}),
		born: time.Now().UnixMilli(), crashed: make(chan struct{}), fails: func(string) int { return 0 }, events: func(string) int { return 25 }, seal: sealOf,
	}
	listener, err := net.Listen("tcp", s.address(3)+":0")
	must(err)
	e.address = listener.Addr().String()
	e.serve(listener)
	s.mu.Lock()
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	go func() {
		for {
			select {
			case <-e.stopped:
				return
			case <-time.After(heartbeat):
				e.beat()
			}
		}
	}()
	e.beat()
	return e
}

func (e *engine) serve(listener net.Listener) {
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	server := e.server
	go func() { _ = server.Serve(listener) }()
}

// eventData is what a sound engine makes as event n of a text.
func eventData(id string, n int) string { return fmt.Sprintf("piece %d of %s", n, id) }

// sealOf is the seal that a sound engine gives to an answer.
func sealOf(id string) string { return "3e1b.07.5a2.600." + id }

func (e *engine) beat() {
	e.mu.Lock()
	if e.silent != nil {
		e.mu.Unlock()
		return
	}
	e.beatAt = time.Now()
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": modelSlots, "state": e.state, "coldLeftMs": 0,
		"stage": "both", "seq": e.seq, "born": e.born, "models": []map[string]any{},
	}
	if e.service == modelService {
		entry["models"] = []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}}
	}
	e.mu.Unlock()
	e.site.store.put("servers/"+e.id, entry)
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	down := e.silent
	e.mu.Unlock()
	if down != nil {
		select {
		case <-r.Context().Done():
		case <-down:
		}
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"stage": "both", "models": []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}}, "busy": e.busy, "seq": e.seq,
			"numWaiting": 0, "numRunning": e.running, "kvUsed": 0, "kvTotal": 140874, "handles": 0, "born": e.born,
		})
		return
	case "/order":
		e.order(w, body)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if expected := r.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.Itoa(e.version) {
		e.mu.Unlock()
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running >= modelSlots || (e.busy && e.service == modelService) {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Attempt-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	version, interval, silent, crashed := e.version, e.interval, e.silent, e.crashed
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := e.site.record.begin(e.id, id, after)
	defer e.site.record.end(run)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", e.seal(id))
	if status := e.fails(id); status != 0 {
		w.WriteHeader(status)
		return
	}
	if e.service != modelService {
		select {
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-time.After(25 * time.Millisecond):
		}
		_, _ = w.Write([]byte("answer to " + id))
		return
	}
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for n := after + 1; n <= e.events(id); n++ {
		select {
		case <-r.Context().Done():
			return
		case <-e.stopped:
			panic(http.ErrAbortHandler)
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-time.After(interval):
		}
		if silent != nil {
			select {
			case <-r.Context().Done():
				return
			case <-silent:
				panic(http.ErrAbortHandler)
			}
		}
		e.mu.Lock()
		silent = e.silent
		now, loading := e.version, e.busy && !e.waits
		e.mu.Unlock()
		if silent != nil || loading {
			n--
			continue
		}
		mark := ""
		if now != version {
			version, mark = now, fmt.Sprintf("x-weight-versions: %d\n", now)
		}
		e.site.record.event(run, n, version)
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", mark, n, eventData(id, n)); err != nil {
			return
		}
		flusher.Flush()
	}
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var d struct {
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int   `json:"expected"`
		Mode     string `json:"mode"`
	}
	if err := json.Unmarshal(body, &d); err != nil || d.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case d.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.busy || (d.Expected != nil && *d.Expected != e.seq):
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence, e.busy = d.Fence, true
	e.seq++
	e.waits = d.Mode == "wait"
	crashed := e.crashed
	go func() {
		for d.Mode == "wait" {
			e.mu.Lock()
			running := e.running
			e.mu.Unlock()
			if running == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(900 * time.Millisecond)
		e.mu.Lock()
		if e.crashed == crashed {
			e.version, e.busy, e.waits = d.Version, false, false
		}
		e.mu.Unlock()
		e.beat()
	}()
	w.WriteHeader(http.StatusAccepted)
}

// crash ends all that the engine does. It starts again after a time, with the weights
// that it had.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	server := e.server
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.busy, e.waits, e.seq, e.fence = false, false, 0, 0
	e.mu.Unlock()
	_ = server.Close()
	e.site.record.printf("engine %s crashes for %s", e.id, down)
	time.Sleep(down)
	for {
		listener, err := net.Listen("tcp", e.address)
		if err == nil {
			e.mu.Lock()
			e.born = time.Now().UnixMilli()
			e.serve(listener)
			e.mu.Unlock()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.beat()
}

// dark has the engine send nothing for a time, to anyone. Its entry is removed after three
// heartbeats. Then it starts again, which resets its connections.
func (e *engine) dark(down time.Duration) {
	silent := make(chan struct{})
	e.mu.Lock()
	e.silent = silent
	expires := e.beatAt.Add(3 * heartbeat)
	e.mu.Unlock()
	e.site.record.printf("engine %s goes dark for %s", e.id, down)
	back := time.Now().Add(down)
	if expires.Before(back) {
		time.Sleep(time.Until(expires))
		e.site.store.remove("servers/" + e.id)
		e.site.record.printf("the entry of engine %s is removed", e.id)
	}
	time.Sleep(time.Until(back))
	e.mu.Lock()
	e.silent, e.born, e.busy, e.waits, e.seq, e.fence = nil, time.Now().UnixMilli(), false, false, 0, 0
	e.mu.Unlock()
	e.site.record.printf("engine %s starts again", e.id)
	close(silent)
	e.beat()
}
