package limpetstub

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

// An Engine holds the stand-in of a model engine. The exported fields are
// settings and faults; change them under Lock while it runs.
type Engine struct {
	sync.Mutex
	// ID names the engine in its incarnations.
	ID string
	// Capacity is the number of sequences in the running batch.
	Capacity int
	// TokenTime is the time of one step with an empty batch; a full batch
	// doubles it.
	TokenTime time.Duration
	// PrefillTime is the time of an uncached prompt of 1,000 bytes.
	PrefillTime time.Duration
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// CheckFence refuses orders with an older fencing number.
	CheckFence bool
	// CrashOn crashes the engine when a prompt contains it.
	CrashOn string
	// FailSwaps makes activations answer success without effect.
	FailSwaps bool
	// DropMarks leaves out version marks.
	DropMarks bool
	// Silent stops all streams without closing them.
	Silent bool
	// Truncate ends streams after so many tokens without an end mark.
	Truncate int
	// CacheSize is the number of prefixes that the cache holds; 0 for all.
	CacheSize int
	// LoseEvents loses every so many-th cache event; 0 for none.
	LoseEvents int
	// Hits counts prompts whose prefix was cached.
	Hits int
	// FetchWeights waits for the weight store when a version is staged.
	FetchWeights func(ctx context.Context, version uint64) error

	version, staged uint64
	starts          int
	fence           uint64
	draining        bool
	running, queued int
	batch           chan struct{}
	down            chan struct{}
	cached          map[uint64]bool
	oldest          []uint64
	sequence        uint64
	events          []limpetengine.CacheEvent
	report          limpetengine.Load
	// Runs counts generations that began, by prompt.
	Runs map[string]int
	// Authorized counts requests that arrived with a caller's key.
	Authorized int
}

// NewEngine returns an engine at version 1.
func NewEngine(id string, capacity int, tokenTime time.Duration) *Engine {
	return &Engine{
		ID: id, Capacity: capacity, TokenTime: tokenTime, version: 1, staged: 1, starts: 1,
		batch: make(chan struct{}, capacity), down: make(chan struct{}),
		cached: map[uint64]bool{}, Runs: map[string]int{},
	}
}

// Word returns token i of the answer to prompt, so that an answer can be
// checked against its request.
func Word(prompt string, i int) string {
	return fmt.Sprintf("w%x-%d ", xxhash.Sum64String(prompt)&0xffff, i)
}

// Answer returns the whole answer to prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Word(prompt, i))
	}
	return b.String()
}

// Crash ends all streams and restarts the engine with the weights that it
// first had.
func (e *Engine) Crash() {
	e.Lock()
	defer e.Unlock()
	close(e.down)
	e.down = make(chan struct{})
	e.version, e.staged = 1, 1
	e.starts++
	e.cached, e.oldest, e.events = map[uint64]bool{}, nil, nil
}

func (e *Engine) mark() (m *limpetengine.Mark, down chan struct{}, step time.Duration) {
	e.Lock()
	defer e.Unlock()
	if !e.DropMarks {
		m = &limpetengine.Mark{Version: e.version, Incarnation: fmt.Sprintf("%s/%d", e.ID, e.starts)}
	}
	return m, e.down, e.TokenTime + e.TokenTime*time.Duration(e.running)/time.Duration(e.Capacity)
}

type stubMessage struct {
	Content string `json:"content"`
}

type stubParams struct {
	Prompt    string              `json:"prompt"`
	Messages  []stubMessage       `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Resume    limpetengine.Resume `json:"resume"`
}

func (p stubParams) text() string {
	text := p.Prompt
	for _, m := range p.Messages {
		text += m.Content
	}
	return text
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(limpetengine.PathText, e.stream)
	r.HandleFunc(limpetengine.PathChat, e.stream)
	r.HandleFunc(limpetengine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		limpethttp.WriteJSON(w, http.StatusOK, e.load())
	})
	r.HandleFunc(limpetengine.PathCache, func(w http.ResponseWriter, q *http.Request) {
		var after limpetengine.CacheEvent
		if decode(w, q, &after) {
			limpethttp.WriteJSON(w, http.StatusOK, e.eventsAfter(after.Sequence))
		}
	})
	r.HandleFunc(limpetengine.PathOrders, func(w http.ResponseWriter, q *http.Request) {
		var o limpetengine.Order
		if decode(w, q, &o) {
			answer(w, struct{}{}, e.order(q.Context(), o))
		}
	})
	return r
}

func (e *Engine) load() limpetengine.Load {
	e.Lock()
	defer e.Unlock()
	if time.Since(e.report.At) >= e.ReportLag {
		e.report = limpetengine.Load{
			Running: e.running, Queued: e.queued, Capacity: e.Capacity, Version: e.version,
			Staged: e.staged, Incarnation: fmt.Sprintf("%s/%d", e.ID, e.starts),
			Draining: e.draining, At: time.Now(),
		}
	}
	return e.report
}

func (e *Engine) eventsAfter(sequence uint64) []limpetengine.CacheEvent {
	e.Lock()
	defer e.Unlock()
	events := []limpetengine.CacheEvent{}
	for _, c := range e.events {
		if c.Sequence > sequence {
			events = append(events, c)
		}
	}
	return events
}

func (e *Engine) order(ctx context.Context, o limpetengine.Order) error {
	e.Lock()
	fetch, stale := e.FetchWeights, e.CheckFence && o.Fence < e.fence
	e.fence = max(e.fence, o.Fence)
	e.Unlock()
	if stale {
		return limpeterror.Fenced.New("engine %s: fence %d is old", e.ID, o.Fence)
	}
	if o.Kind == limpetengine.Stage && fetch != nil {
		if err := fetch(ctx, o.Version); err != nil {
			return err
		}
	}
	e.Lock()
	defer e.Unlock()
	switch o.Kind {
	case limpetengine.Stage:
		e.staged = o.Version
	case limpetengine.Drain:
		e.draining = true
	case limpetengine.Activate:
		if e.staged != o.Version {
			return limpeterror.Conflict.New("engine %s: version %d is not staged", e.ID, o.Version)
		}
		if !e.FailSwaps {
			e.version = o.Version
		}
	}
	return nil
}

// enter waits for a place in the batch and returns the prefill time.
func (e *Engine) enter(ctx context.Context, prompt string) (prefill time.Duration, ok bool) {
	e.Lock()
	e.queued++
	e.Unlock()
	select {
	case e.batch <- struct{}{}:
		ok = true
	case <-ctx.Done():
	}
	e.Lock()
	defer e.Unlock()
	e.queued--
	if !ok {
		return 0, false
	}
	e.running++
	e.Runs[prompt]++
	hash := limpetengine.PrefixHash(prompt)
	if e.cached[hash] {
		e.Hits++
		return 0, true
	}
	e.remember(hash)
	return e.PrefillTime * time.Duration(len(prompt)) / 1000, true
}

// remember caches a prefix and drops the oldest beyond the cache's size.
func (e *Engine) remember(hash uint64) {
	announce := func(prefix uint64, dropped bool) {
		e.sequence++
		if e.LoseEvents == 0 || e.sequence%uint64(e.LoseEvents) != 0 {
			e.events = append(e.events, limpetengine.CacheEvent{Sequence: e.sequence, Prefix: prefix, Dropped: dropped})
		}
	}
	e.cached[hash] = true
	e.oldest = append(e.oldest, hash)
	announce(hash, false)
	if e.CacheSize > 0 && len(e.oldest) > e.CacheSize {
		delete(e.cached, e.oldest[0])
		announce(e.oldest[0], true)
		e.oldest = e.oldest[1:]
	}
}

func (e *Engine) leave() {
	e.Lock()
	e.running--
	e.Unlock()
	<-e.batch
}

func (e *Engine) stream(w http.ResponseWriter, q *http.Request) {
	var p stubParams
	if !decode(w, q, &p) {
		return
	}
	prompt := p.text()
	e.Lock()
	if q.Header.Get("Authorization") != "" {
		e.Authorized++
	}
	crash, draining := e.CrashOn != "" && strings.Contains(prompt, e.CrashOn), e.draining
	e.Unlock()
	if draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, down, _ := e.mark()
	prefill, ok := e.enter(q.Context(), prompt)
	if !ok {
		return
	}
	defer e.leave()
	if crash {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(prefill)
	w.Header().Set("Content-Type", "text/event-stream")
	e.emit(w, q, p, prompt, down)
}

func (e *Engine) emit(w http.ResponseWriter, q *http.Request, p stubParams, prompt string, down chan struct{}) {
	chat := q.URL.Path == limpetengine.PathChat
	flusher := w.(http.Flusher)
	stop := "stop"
	for i := p.Resume.Tokens; i < p.MaxTokens; i++ {
		m, _, step := e.mark()
		select {
		case <-down:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		case <-time.After(step):
		}
		e.Lock()
		silent, cut := e.Silent, e.Truncate > 0 && i >= e.Truncate
		e.Unlock()
		if silent {
			<-q.Context().Done()
			return
		}
		if cut {
			return
		}
		c := limpetengine.Chunk{ID: "cmpl", Weights: m, Index: i, Choices: make([]limpetengine.Choice, 1)}
		if chat {
			c.Choices[0].Delta.Content = Word(prompt, i)
		} else {
			c.Choices[0].Text = Word(prompt, i)
		}
		if i == p.MaxTokens-1 {
			c.Choices[0].FinishReason = &stop
		}
		data, _ := json.Marshal(c)
		fmt.Fprintf(w, "data: %s\n\n", data)
		flusher.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// Busy returns the number of sequences in the batch.
func (e *Engine) Busy() int {
	e.Lock()
	defer e.Unlock()
	return e.running
}

// Version returns the version of the active weights.
func (e *Engine) Version() uint64 {
	e.Lock()
	defer e.Unlock()
	return e.version
}
