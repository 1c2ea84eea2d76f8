// Package limpethttp holds what all HTTP adapters share: a transport that does
// not retry requests on its own, JSON calls with typed errors, and a server
// that stops with its task group. It must not import an adapter's package.
package limpethttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

const (
	dialTimeout       = time.Second
	maxReplyBytes     = 16 << 20
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
)

// NewTransport returns a transport that keeps up to maxIdle idle connections
// per host. Callers must leave GetBody unset on requests that must not be sent
// twice; NewRequest does so.
func NewTransport(maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext:         dialWith(&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}),
		MaxIdleConnsPerHost: maxIdle,
		// A peer in trouble may send a header without end.
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
	}
}

const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// NewKeepAliveTransport returns a transport that sends TCP keep-alive probes on
// silent connections. A call to a host that disappeared thus fails within about
// two seconds instead of at its deadline.
func NewKeepAliveTransport(maxIdle int) *http.Transport {
	t := NewTransport(maxIdle)
	t.DialContext = dialWith(&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}})
	return t
}

// nonRetryableBody is an empty body that net/http does not recognize as empty.
// The transport retries a request without a body on its own when the method is
// idempotent or the request has an Idempotency-Key header.
type nonRetryableBody struct{}

func (nonRetryableBody) Read([]byte) (int, error) { return 0, io.EOF }
func (nonRetryableBody) Close() error             { return nil }

// NewRequest returns a request that the transport cannot send twice, unless the
// method is GET or HEAD. It leaves GetBody unset, without which the transport
// does not retry a request that has a body.
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
		request.Body = nonRetryableBody{}
	}
	return request, nil
}

// Classify turns a transport error into Unavailable when the request was
// certainly not sent, because dialing failed, and into Unknown otherwise.
func Classify(err error, peer string) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return limpeterror.Unavailable.Wrap(err, "%s", peer)
	}
	return limpeterror.Unknown.Wrap(err, "%s", peer)
}

type answerHeaderKey struct{}

// WithAnswerHeader returns a context with which ExchangeUpTo copies the header of the
// answer into h.
func WithAnswerHeader(ctx context.Context, h http.Header) context.Context {
	return context.WithValue(ctx, answerHeaderKey{}, h)
}

// Exchange sends body as JSON, unless it is nil, and returns the status and the
// answer, which may have maxReplyBytes. The error has type Invalid when the
// request could not be built, Unavailable when the call had no effect, and
// Unknown otherwise. A failed GET is always Unavailable, since reads have no
// effect.
func Exchange(ctx context.Context, client *http.Client, method, url string, header http.Header, body any) (status int, answer []byte, err error) {
	return ExchangeUpTo(ctx, client, maxReplyBytes, method, url, header, body)
}

// ExchangeUpTo is Exchange with a limit of the answer in bytes.
func ExchangeUpTo(ctx context.Context, client *http.Client, limit int64, method, url string, header http.Header, body any) (status int, answer []byte, err error) {
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
		return 0, nil, classifyForMethod(method, err, url)
	}
	defer response.Body.Close()
	if err := CheckStatus(response.StatusCode); err != nil {
		return 0, nil, classifyForMethod(method, err, url)
	}
	if h, ok := ctx.Value(answerHeaderKey{}).(http.Header); ok {
		maps.Copy(h, response.Header)
	}
	if answer, err = io.ReadAll(io.LimitReader(response.Body, limit+1)); err != nil {
		return 0, nil, classifyForMethod(method, err, url)
	}
	if int64(len(answer)) > limit {
		return 0, nil, classifyForMethod(method, fmt.Errorf("an answer of more than %d bytes", limit), url)
	}
	return response.StatusCode, answer, nil
}

// classifyForMethod is Classify for a call with a method; a failed GET has no
// effect.
func classifyForMethod(method string, err error, peer string) error {
	if method == http.MethodGet {
		return limpeterror.Unavailable.Wrap(err, "%s", peer)
	}
	return Classify(err, peer)
}

// Call sends body as JSON, decodes the answer into reply, and turns an error
// status into a typed error. Both body and reply may be nil.
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
	if err := DecodeJSON(answer, reply); err != nil {
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

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller disconnected; nobody can be told.
	_ = json.NewEncoder(w).Encode(v)
}

// Serve runs server on listener in the group, and closes it when the group is
// cancelled.
func Serve(g *limpettask.Group, listener net.Listener, server *http.Server) {
	NewServer(server, listener, nil).Run(g)
}
