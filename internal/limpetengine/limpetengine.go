// Package limpetengine is a client for model engines: streamed completions,
// load reports, cache events and orders. It makes no routing decisions.
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

// Paths of an engine's HTTP interface.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathLoad            = "/v1/load"
	PathCache           = "/v1/cache"
	PathOrders          = "/v1/orders"
)

// WeightsInfo identifies the weights with which an engine generated a chunk.
type WeightsInfo struct {
	Version     uint64 `json:"version"`
	Incarnation string `json:"incarnation"`
}

// A Delta is the text of a chunk of a chat completion.
type Delta struct {
	Content string `json:"content"`
}

// A Choice is the text of one chunk: in Text for text completions, in Delta for
// chat completions.
type Choice struct {
	Text         string  `json:"text"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// A Chunk is one event of a stream. Index counts tokens from 0 over the whole
// answer, also when the stream was resumed.
type Chunk struct {
	ID      string       `json:"id"`
	Choices []Choice     `json:"choices"`
	Weights *WeightsInfo `json:"weights"`
	Index   int          `json:"index"`
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

// A LoadReport describes an engine's load and weights at the time At. It can be
// out of date. Running and Queued count requests, and Capacity is the number of
// requests that the engine can run at once. Version is the version of the active
// weights, and Staged the version that was staged last.
type LoadReport struct {
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Capacity    int    `json:"capacity"`
	Version     uint64 `json:"version"`
	Staged      uint64 `json:"staged"`
	Incarnation string `json:"incarnation"`
	Draining    bool   `json:"draining"`
	// Software names the version of the engine's software, which is that of this
	// incarnation; empty if the engine names none.
	Software string    `json:"software,omitempty"`
	At       time.Time `json:"at"`
}

// An OrderKind says what an engine is to do.
type OrderKind string

// Kinds of orders.
const (
	Stage    OrderKind = "stage"
	Activate OrderKind = "activate"
	Drain    OrderKind = "drain"
)

// An Order tells an engine to load weights, switch to them or drain. ID
// identifies it, and Fence is the fencing token of the lease under which it is
// sent.
type Order struct {
	ID      string    `json:"id"`
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Version uint64    `json:"version,omitempty"`
}

// A CacheEvent reports that an engine cached a prefix or evicted it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped"`
}

// PrefixBytes is the length of the part of a prompt that is hashed to identify
// it in cache events.
const PrefixBytes = 64

// PrefixHash returns the hash that identifies prompt in cache events.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Params are a completion's parameters as the caller sent them. The system
// reads and sets a few of them and forwards the others undecoded.
type Params map[string]json.RawMessage

// Names of the parameters that the system sets.
const (
	ParamStream   = "stream"
	ParamPriority = "priority"
	ParamResume   = "resume"
)

// Resume asks an engine to continue after the given prefix of the answer.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Set sets the named parameter to the JSON encoding of v.
func (p Params) Set(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "parameter %s", name)
	}
	p[name] = data
	return nil
}

// An Engine is a client for model engines. The operations are function fields,
// so that tests can replace them.
type Engine struct {
	// Stream posts params to path at address and calls onData with the payload
	// of each event until the end marker. The payload is valid only during
	// the call. A nil error means that the end marker was received,
	// Unavailable that the engine did not run the request, and Unknown that it
	// may have run it.
	Stream func(ctx context.Context, address, path string, params []byte, onData func([]byte) error) error
	// Load returns the engine's latest load report.
	Load func(ctx context.Context, address string) (LoadReport, error)
	// Cache returns the cache events after a sequence number. Events can be
	// missing.
	Cache func(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	// Order sends an order to the engine.
	Order func(ctx context.Context, address string, o Order) error
}

const (
	callTimeout        = 2 * time.Second
	stageTimeout       = 2 * time.Minute
	idleConnsPerEngine = 64
	maxEventBytes      = 1 << 20
	scanBufferBytes    = 4 << 10
	maxErrorBytes      = 4 << 10
)

var (
	dataPrefix = []byte("data: ")
	endMarker  = []byte("[DONE]")
)

// NewHTTP returns a client that reaches engines over HTTP.
func NewHTTP() Engine {
	h := &httpClient{
		streamClient: &http.Client{Transport: limpethttp.NewTransport(idleConnsPerEngine)},
		callClient:   &http.Client{Transport: limpethttp.NewTransport(1), Timeout: callTimeout},
		stageClient:  &http.Client{Transport: limpethttp.NewTransport(1), Timeout: stageTimeout},
	}
	return Engine{Stream: h.stream, Load: h.load, Cache: h.cache, Order: h.order}
}

type httpClient struct {
	streamClient, callClient, stageClient *http.Client
}

func (h *httpClient) stream(ctx context.Context, address, path string, params []byte, onData func([]byte) error) error {
	request, err := limpethttp.NewRequest(ctx, http.MethodPost, "http://"+address+path, params)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.streamClient.Do(request)
	if err != nil {
		return limpethttp.Classify(err, "engine "+address)
	}
	defer response.Body.Close()
	if err := limpethttp.CheckStatus(response.StatusCode); err != nil {
		return limpeterror.Unknown.Wrap(err, "engine %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response, address)
	}
	return readEvents(response.Body, address, onData)
}

func statusError(response *http.Response, address string) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
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

func readEvents(body io.Reader, address string, onData func([]byte) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, scanBufferBytes), maxEventBytes)
	for scanner.Scan() {
		payload, found := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(payload, endMarker) {
			return nil
		}
		if err := limpethttp.CheckBytes("chunk of engine "+address, payload); err != nil {
			return err
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

func (h *httpClient) load(ctx context.Context, address string) (l LoadReport, err error) {
	err = limpethttp.Call(ctx, h.callClient, http.MethodGet, "http://"+address+PathLoad, nil, &l)
	return l, err
}

func (h *httpClient) cache(ctx context.Context, address string, after uint64) (events []CacheEvent, err error) {
	body := CacheEvent{Sequence: after}
	err = limpethttp.Call(ctx, h.callClient, http.MethodPost, "http://"+address+PathCache, body, &events)
	return events, err
}

func (h *httpClient) order(ctx context.Context, address string, o Order) error {
	client := h.callClient
	if o.Kind == Stage {
		client = h.stageClient
	}
	return limpethttp.Call(ctx, client, http.MethodPost, "http://"+address+PathOrders, o, nil)
}
