// Package limpethttp owns what the adapters of all HTTP peers share: a
// transport that never repeats a request by itself, JSON calls with typed
// errors, and a server that ends with its group. It must not import a peer's
// package.
package limpethttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

const (
	dialTimeout       = time.Second
	maxReply          = 16 << 20
	readHeaderTimeout = 5 * time.Second
)

// NewTransport returns a transport that keeps up to idle connections for
// each peer. Callers must leave GetBody unset on requests that may run only
// once, which NewRequest does.
func NewTransport(idle int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

const (
	probeAfter    = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// NewWatchfulTransport returns a transport whose connections are probed while
// they are silent, so that one whose peer is gone fails within about two
// seconds instead of at the end of a call's time.
func NewWatchfulTransport(idle int) *http.Transport {
	t := NewTransport(idle)
	t.DialContext = (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount,
	}}).DialContext
	return t
}

// unrepeatable is an empty body that the transport does not know to be empty.
// The transport repeats a request without a body by itself when its method is
// idempotent or when it has an Idempotency-Key header.
type unrepeatable struct{}

func (unrepeatable) Read([]byte) (int, error) { return 0, io.EOF }
func (unrepeatable) Close() error             { return nil }

// NewRequest returns a request that the transport cannot send twice, unless
// its method is GET or HEAD: its body has no GetBody, and the transport repeats
// a request with a body only when it has one.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "request to %s", url)
	}
	request.GetBody = nil
	if len(body) == 0 && method != http.MethodGet && method != http.MethodHead {
		request.Body = unrepeatable{}
	}
	return request, nil
}

// Classify turns a transport error into Unavailable when the request
// provably never left, and into Unknown otherwise.
func Classify(err error, peer string) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return limpeterror.Unavailable.Wrap(err, "%s", peer)
	}
	return limpeterror.Unknown.Wrap(err, "%s", peer)
}

// Exchange sends body as JSON, unless it is nil, and returns the status and the
// whole answer. The error has type Invalid when nothing was sent, Unavailable
// when the call had no effect, and Unknown otherwise. A read has none.
func Exchange(ctx context.Context, client *http.Client, method, url string, header http.Header, body any) (status int, answer []byte, err error) {
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, limpeterror.Invalid.Wrap(err, "request to %s", url)
		}
	}
	request, err := NewRequest(ctx, method, url, data)
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, classify(method, err, url)
	}
	defer response.Body.Close()
	if answer, err = io.ReadAll(io.LimitReader(response.Body, maxReply)); err != nil {
		return 0, nil, classify(method, err, url)
	}
	return response.StatusCode, answer, nil
}

func classify(method string, err error, peer string) error {
	if method == http.MethodGet {
		return limpeterror.Unavailable.Wrap(err, "%s", peer)
	}
	return Classify(err, peer)
}

// Call sends body as JSON and decodes the answer into reply. Either may be
// nil.
func Call(ctx context.Context, client *http.Client, method, url string, body, reply any) error {
	status, answer, err := Exchange(ctx, client, method, url, nil, body)
	if err != nil {
		return err
	}
	if err := statusError(status, url, answer); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return limpeterror.Unknown.Wrap(err, "answer of %s", url)
	}
	return nil
}

func statusError(status int, url string, answer []byte) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return limpeterror.NotFound.New("%s: not found", url)
	case status == http.StatusConflict:
		return limpeterror.Conflict.New("%s: %s", url, bytes.TrimSpace(answer))
	case status == http.StatusPreconditionFailed:
		return limpeterror.Fenced.New("%s: superseded fencing number", url)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return limpeterror.Unavailable.New("%s: status %d", url, status)
	case status < http.StatusInternalServerError:
		return limpeterror.Invalid.New("%s: status %d: %s", url, status, bytes.TrimSpace(answer))
	default:
		return limpeterror.Unknown.New("%s: status %d", url, status)
	}
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Serve serves on listener until the group ends.
func Serve(g *limpettask.Group, listener net.Listener, server *http.Server) {
	if server.ReadHeaderTimeout == 0 {
		server.ReadHeaderTimeout = readHeaderTimeout
	}
	g.Go(func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
}
