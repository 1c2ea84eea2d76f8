// Package limpetengine owns the adapter of model engines: streamed
// completions with version marks, load reports, cache events and orders. It
// takes no routing decisions.
package limpetengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

// Paths of an engine's interface.
const (
	PathText   = "/v1/completions"
	PathChat   = "/v1/chat/completions"
	PathLoad   = "/v1/load"
	PathCache  = "/v1/cache"
	PathOrders = "/v1/orders"
)

// Mark is what an engine states about the weights behind a chunk.
type Mark struct {
	Version     uint64 `json:"version"`
	Incarnation string `json:"incarnation"`
}

// A Delta holds the text of a chat chunk.
type Delta struct {
	Content string `json:"content"`
}

// A Choice holds one chunk's text; Text for text completions, Delta for chat.
type Choice struct {
	Text         string  `json:"text"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// A Chunk holds one event of a stream. Index counts tokens from 0 over the
// whole answer, also after a resume.
type Chunk struct {
	ID      string   `json:"id"`
	Choices []Choice `json:"choices"`
	Weights *Mark    `json:"weights"`
	Index   int      `json:"index"`
}

// Content returns the chunk's text.
func (c Chunk) Content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content
}

// Finished reports whether the chunk ends the answer.
func (c Chunk) Finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// A Load holds an engine's report. It describes the past: At is when the
// engine took it.
type Load struct {
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	Capacity    int       `json:"capacity"`
	Version     uint64    `json:"version"`
	Staged      uint64    `json:"staged"`
	Incarnation string    `json:"incarnation"`
	Draining    bool      `json:"draining"`
	At          time.Time `json:"at"`
}

// OrderKind says what an order to an engine does.
type OrderKind string

// The kinds of order to an engine.
const (
	Stage    OrderKind = "stage"
	Activate OrderKind = "activate"
	Drain    OrderKind = "drain"
)

// An Order holds an order to an engine.
type Order struct {
	ID      string    `json:"id"`
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Version uint64    `json:"version,omitempty"`
}

// A CacheEvent says that an engine has cached a prefix or dropped it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped"`
}

// PrefixBytes is the size of the part of a prompt under whose hash engines
// announce that they have cached it.
const PrefixBytes = 64

// PrefixHash returns the hash under which engines announce a prompt.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Params holds a completion's parameters as the caller sent them. The system
// reads and sets a few of them and passes on the rest unread.
type Params map[string]json.RawMessage

// Names of the parameters that the system sets.
const (
	ParamStream   = "stream"
	ParamPriority = "priority"
	ParamResume   = "resume"
)

// Resume asks an engine to go on after a prefix of the answer.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Set stores a parameter.
func (p Params) Set(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "parameter %s", name)
	}
	p[name] = data
	return nil
}

// An Engine holds the operations of a model engine as seams.
type Engine struct {
	// Stream posts params to path at address, and gives onData each event's
	// payload until the end mark. The payload is valid during the call only.
	// A nil error means that the end mark came. Unavailable means that the
	// engine did not run the request; Unknown that it may have.
	Stream func(ctx context.Context, address, path string, params []byte, onData func([]byte) error) error
	// Load reads the engine's last report.
	Load func(ctx context.Context, address string) (Load, error)
	// Cache reads cache events after a sequence number; gaps are possible.
	Cache func(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	// Order gives the engine an order.
	Order func(ctx context.Context, address string, o Order) error
}

const (
	callTimeout     = 2 * time.Second
	stageTimeout    = 2 * time.Minute
	idlePerEngine   = 64
	maxEvent        = 1 << 20
	scanBuffer      = 4 << 10
	maxRefusalBytes = 4 << 10
)

var (
	dataPrefix = []byte("data: ")
	endMark    = []byte("[DONE]")
)

// NewHTTP returns an adapter that reaches engines over HTTP.
func NewHTTP() Engine {
	h := &httpEngine{
		stream: &http.Client{Transport: limpethttp.NewTransport(idlePerEngine)},
		short:  &http.Client{Transport: limpethttp.NewTransport(1), Timeout: callTimeout},
		stage:  &http.Client{Transport: limpethttp.NewTransport(1), Timeout: stageTimeout},
	}
	return Engine{Stream: h.run, Load: h.load, Cache: h.cache, Order: h.order}
}

type httpEngine struct {
	stream, short, stage *http.Client
}

func (h *httpEngine) run(ctx context.Context, address, path string, params []byte, onData func([]byte) error) error {
	request, err := limpethttp.NewRequest(ctx, http.MethodPost, "http://"+address+path, params)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.stream.Do(request)
	if err != nil {
		return limpethttp.Classify(err, "engine "+address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response, address)
	}
	return scan(response.Body, address, onData)
}

func refusal(response *http.Response, address string) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	text = bytes.TrimSpace(text)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		return limpeterror.Unavailable.New("engine %s: status %d: %s", address, response.StatusCode, text)
	case response.StatusCode < http.StatusInternalServerError:
		return limpeterror.Invalid.New("engine refused the request: %s", text)
	default:
		return limpeterror.Unknown.New("engine %s: status %d", address, response.StatusCode)
	}
}

func scan(body io.Reader, address string, onData func([]byte) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, scanBuffer), maxEvent)
	for scanner.Scan() {
		payload, found := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(payload, endMark) {
			return nil
		}
		if err := onData(payload); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return limpeterror.Unknown.Wrap(err, "engine %s", address)
	}
	return limpeterror.Unknown.New("engine %s: stream ended without its end mark", address)
}

func (h *httpEngine) load(ctx context.Context, address string) (l Load, err error) {
	err = limpethttp.Call(ctx, h.short, http.MethodGet, "http://"+address+PathLoad, nil, &l)
	return l, err
}

func (h *httpEngine) cache(ctx context.Context, address string, after uint64) (events []CacheEvent, err error) {
	body := CacheEvent{Sequence: after}
	err = limpethttp.Call(ctx, h.short, http.MethodPost, "http://"+address+PathCache, body, &events)
	return events, err
}

func (h *httpEngine) order(ctx context.Context, address string, o Order) error {
	client := h.short
	if o.Kind == Stage {
		client = h.stage
	}
	return limpethttp.Call(ctx, client, http.MethodPost, "http://"+address+PathOrders, o, nil)
}
