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

// An Engine is a stub of a model engine. The exported fields are settings,
// faults and counters; hold Lock to access them while the engine runs.
type Engine struct {
	sync.Mutex
	// ID identifies the engine. Its incarnations are ID/1, ID/2 and so on.
	ID string
	// Capacity is the maximum number of sequences in the running batch.
	Capacity int
	// TokenTime is the time to generate a token with an empty batch. It grows
	// with the batch and doubles when the batch is full.
	TokenTime time.Duration
	// PrefillTime is the prefill time of an uncached prompt of 1,000 bytes.
	PrefillTime time.Duration
	// ReportLag is the time for which a load report is reused.
	ReportLag time.Duration
	// CheckFence makes the engine refuse orders with an outdated fencing token.
	CheckFence bool
	// CrashOn, if not empty, crashes the engine when a prompt contains it.
	CrashOn string
	// IgnoreActivations makes activations report success without taking effect.
	IgnoreActivations bool
	// OmitWeights omits the weights from chunks.
	OmitWeights bool
	// Stalled stalls all streams without closing them.
	Stalled bool
	// TruncateAfter, if positive, ends streams after that many tokens without
	// an end marker.
	TruncateAfter int
	// CacheSize is the maximum number of cached prefixes; 0 means no limit.
	CacheSize int
	// DropEveryNthEvent, if positive, drops every n-th cache event.
	DropEveryNthEvent int
	// CacheHits counts the prompts whose prefix was cached.
	CacheHits int
	// FetchWeights, if set, is called when a version is staged. It returns
	// when the weights were fetched.
	FetchWeights func(ctx context.Context, version uint64) error

	version, staged uint64
	starts          int
	// Software names the version of the engine's software.
	Software        string
	fence           uint64
	draining        bool
	running, queued int
	slots           chan struct{}
	crashed         chan struct{}
	cached          map[uint64]bool
	cacheOrder      []uint64
	sequence        uint64
	events          []limpetengine.CacheEvent
	report          limpetengine.LoadReport
	// Runs counts started generations by prompt.
	Runs map[string]int
	// RequestsWithKey counts requests with an Authorization header, which must
	// not reach an engine.
	RequestsWithKey int
}

// NewEngine returns an engine with version 1 of the weights.
func NewEngine(id string, capacity int, tokenTime time.Duration) *Engine {
	return &Engine{
		ID: id, Capacity: capacity, TokenTime: tokenTime, version: 1, staged: 1, starts: 1,
		slots: make(chan struct{}, capacity), crashed: make(chan struct{}),
		cached: map[uint64]bool{}, Runs: map[string]int{},
	}
}

// Token returns token i of the answer to prompt. It depends on the prompt, so
// that tests can check that an answer belongs to its request.
func Token(prompt string, i int) string {
	return fmt.Sprintf("w%x-%d ", xxhash.Sum64String(prompt)&0xffff, i)
}

// Answer returns the complete answer to prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// Crash breaks all streams and restarts the engine with version 1 of the weights
// and an empty cache.
func (e *Engine) Crash() {
	e.Lock()
	defer e.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.version, e.staged = 1, 1
	e.starts++
	e.cached, e.cacheOrder, e.events = map[uint64]bool{}, nil, nil
}

// tokenState returns what a token depends on: the weights, the channel that is
// closed when the engine crashes, and the time per token.
func (e *Engine) tokenState() (weights *limpetengine.WeightsInfo, crashed chan struct{}, tokenTime time.Duration) {
	e.Lock()
	defer e.Unlock()
	if !e.OmitWeights {
		weights = &limpetengine.WeightsInfo{Version: e.version, Incarnation: fmt.Sprintf("%s/%d", e.ID, e.starts)}
	}
	return weights, e.crashed, e.TokenTime + e.TokenTime*time.Duration(e.running)/time.Duration(e.Capacity)
}

type chatMessage struct {
	Content string `json:"content"`
}

type completionParams struct {
	Prompt    string              `json:"prompt"`
	Messages  []chatMessage       `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Resume    limpetengine.Resume `json:"resume"`
}

func (p completionParams) fullPrompt() string {
	fullPrompt := p.Prompt
	for _, m := range p.Messages {
		fullPrompt += m.Content
	}
	return fullPrompt
}

// Handler returns a handler for the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(limpetengine.PathCompletions, e.handleCompletion)
	r.HandleFunc(limpetengine.PathChatCompletions, e.handleCompletion)
	r.HandleFunc(limpetengine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		limpethttp.WriteJSON(w, http.StatusOK, e.loadReport())
	})
	r.HandleFunc(limpetengine.PathCache, func(w http.ResponseWriter, q *http.Request) {
		var after limpetengine.CacheEvent
		if decodeBody(w, q, &after) {
			limpethttp.WriteJSON(w, http.StatusOK, e.eventsAfter(after.Sequence))
		}
	})
	r.HandleFunc(limpetengine.PathOrders, func(w http.ResponseWriter, q *http.Request) {
		var o limpetengine.Order
		if decodeBody(w, q, &o) {
			writeReply(w, struct{}{}, e.handleOrder(q.Context(), o))
		}
	})
	return r
}

func (e *Engine) loadReport() limpetengine.LoadReport {
	e.Lock()
	defer e.Unlock()
	if time.Since(e.report.At) >= e.ReportLag {
		e.report = limpetengine.LoadReport{
			Running: e.running, Queued: e.queued, Capacity: e.Capacity, Version: e.version,
			Staged: e.staged, Incarnation: fmt.Sprintf("%s/%d", e.ID, e.starts),
			Draining: e.draining, At: time.Now(), Software: e.Software,
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

func (e *Engine) handleOrder(ctx context.Context, o limpetengine.Order) error {
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
		if !e.IgnoreActivations {
			e.version = o.Version
		}
	}
	return nil
}

// acquireSlot waits for a slot in the batch and returns the prefill time. Ok is
// false if ctx was done first.
func (e *Engine) acquireSlot(ctx context.Context, prompt string) (prefill time.Duration, ok bool) {
	e.Lock()
	e.queued++
	e.Unlock()
	select {
	case e.slots <- struct{}{}:
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
		e.CacheHits++
		return 0, true
	}
	e.addToCache(hash)
	return e.PrefillTime * time.Duration(len(prompt)) / 1000, true
}

// addToCache caches a prefix and evicts the oldest one if the cache is full.
func (e *Engine) addToCache(hash uint64) {
	addEvent := func(prefix uint64, dropped bool) {
		e.sequence++
		if e.DropEveryNthEvent == 0 || e.sequence%uint64(e.DropEveryNthEvent) != 0 {
			e.events = append(e.events, limpetengine.CacheEvent{Sequence: e.sequence, Prefix: prefix, Dropped: dropped})
		}
	}
	e.cached[hash] = true
	e.cacheOrder = append(e.cacheOrder, hash)
	addEvent(hash, false)
	if e.CacheSize > 0 && len(e.cacheOrder) > e.CacheSize {
		delete(e.cached, e.cacheOrder[0])
		addEvent(e.cacheOrder[0], true)
		e.cacheOrder = e.cacheOrder[1:]
	}
}

func (e *Engine) releaseSlot() {
	e.Lock()
	e.running--
	e.Unlock()
	<-e.slots
}

func (e *Engine) handleCompletion(w http.ResponseWriter, q *http.Request) {
	var p completionParams
	if !decodeBody(w, q, &p) {
		return
	}
	prompt := p.fullPrompt()
	e.Lock()
	if q.Header.Get("Authorization") != "" {
		e.RequestsWithKey++
	}
	crash, draining := e.CrashOn != "" && strings.Contains(prompt, e.CrashOn), e.draining
	e.Unlock()
	if draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, crashed, _ := e.tokenState()
	prefill, ok := e.acquireSlot(q.Context(), prompt)
	if !ok {
		return
	}
	defer e.releaseSlot()
	if crash {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(prefill)
	w.Header().Set("Content-Type", "text/event-stream")
	e.streamTokens(w, q, p, prompt, crashed)
}

func (e *Engine) streamTokens(w http.ResponseWriter, q *http.Request, p completionParams, prompt string, crashed chan struct{}) {
	chat := q.URL.Path == limpetengine.PathChatCompletions
	flusher := w.(http.Flusher)
	stop := "stop"
	for i := p.Resume.Tokens; i < p.MaxTokens; i++ {
		weights, _, tokenTime := e.tokenState()
		select {
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		case <-time.After(tokenTime):
		}
		e.Lock()
		stalled, truncated := e.Stalled, e.TruncateAfter > 0 && i >= e.TruncateAfter
		e.Unlock()
		if stalled {
			<-q.Context().Done()
			return
		}
		if truncated {
			return
		}
		c := limpetengine.Chunk{ID: "cmpl", Weights: weights, Index: i, Choices: make([]limpetengine.Choice, 1)}
		if chat {
			c.Choices[0].Delta.Content = Token(prompt, i)
		} else {
			c.Choices[0].Text = Token(prompt, i)
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

// Busy returns the number of sequences in the running batch.
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
