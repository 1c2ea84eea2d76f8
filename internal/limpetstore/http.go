package limpetstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

const (
	// callTimeout limits each call. For Watch it is added to the time to wait.
	callTimeout  = 2 * time.Second
	maxIdleConns = 16
)

// A LeaseReply is the response to a GrantRequest.
type LeaseReply struct {
	Lease uint64 `json:"lease"`
}

// A RevisionReply is the response to a write.
type RevisionReply struct {
	Revision uint64 `json:"revision"`
}

// A GrantRequest requests a new lease.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// NewHTTP returns a client of the store at the URL base, for example
// "http://127.0.0.1:7000". It does not set Commit, Scan and Follow.
func NewHTTP(base string) Store {
	h := &httpStore{base: base, client: &http.Client{Transport: limpethttp.NewTransport(maxIdleConns)}}
	return Store{
		Get: h.get, Put: h.put, Delete: h.remove, List: h.list, Watch: h.watch,
		Grant: h.grant, Renew: h.renew, Revoke: h.revoke,
	}
}

type httpStore struct {
	base   string
	client *http.Client
}

func (h *httpStore) get(ctx context.Context, key string) (v Value, err error) {
	err = h.call(ctx, http.MethodGet, "/v1/kv?key="+url.QueryEscape(key), nil, &v)
	return v, err
}

func (h *httpStore) put(ctx context.Context, r PutRequest) (uint64, error) {
	var reply RevisionReply
	err := h.call(ctx, http.MethodPut, "/v1/kv", r, &reply)
	return reply.Revision, err
}

func (h *httpStore) remove(ctx context.Context, key string, expect uint64) error {
	path := "/v1/kv?key=" + url.QueryEscape(key) + "&expect=" + strconv.FormatUint(expect, 10)
	return h.call(ctx, http.MethodDelete, path, nil, nil)
}

func (h *httpStore) list(ctx context.Context, prefix string) (values []Value, err error) {
	err = h.call(ctx, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, &values)
	return values, err
}

func (h *httpStore) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (values []Value, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	path := fmt.Sprintf("/v1/watch?prefix=%s&after=%d&wait_ms=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	err = h.roundTrip(ctx, http.MethodGet, path, nil, &values)
	return values, err
}

func (h *httpStore) grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var reply LeaseReply
	err := h.call(ctx, http.MethodPost, "/v1/lease", GrantRequest{TTLMillis: ttl.Milliseconds()}, &reply)
	return reply.Lease, err
}

func (h *httpStore) renew(ctx context.Context, lease uint64) error {
	return h.call(ctx, http.MethodPost, fmt.Sprintf("/v1/lease/%d", lease), nil, nil)
}

func (h *httpStore) revoke(ctx context.Context, lease uint64) error {
	return h.call(ctx, http.MethodDelete, fmt.Sprintf("/v1/lease/%d", lease), nil, nil)
}

func (h *httpStore) call(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.roundTrip(ctx, method, path, body, reply)
}

func (h *httpStore) roundTrip(ctx context.Context, method, path string, body, reply any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return limpeterror.Invalid.Wrap(err, "store request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, reader)
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "store request")
	}
	// Without GetBody the transport cannot resend a write.
	request.GetBody = nil
	response, err := h.client.Do(request)
	if err != nil {
		return classify(method, err)
	}
	defer response.Body.Close()
	return decode(method, response, reply)
}

// classify maps a transport error to Unavailable if the request was provably
// not sent, and to Unknown if it may have had an effect. Reads have no effect,
// so they are always Unavailable.
func classify(method string, err error) error {
	var dial *net.OpError
	if method == http.MethodGet || (errors.As(err, &dial) && dial.Op == "dial") {
		return limpeterror.Unavailable.Wrap(err, "store")
	}
	return limpeterror.Unknown.Wrap(err, "store")
}

func decode(method string, response *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, 64*MaxValue))
	if err != nil {
		return classify(method, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		if reply == nil {
			return nil
		}
		if err := json.Unmarshal(data, reply); err != nil {
			return classify(method, err)
		}
		return nil
	case http.StatusNotFound:
		return limpeterror.NotFound.New("store: no such key or lease")
	case http.StatusConflict:
		return limpeterror.Conflict.New("store: revision does not match")
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return limpeterror.Unavailable.New("store: status %d", response.StatusCode)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return limpeterror.Invalid.New("store: %s", bytes.TrimSpace(data))
	default:
		return limpeterror.Unknown.New("store: status %d", response.StatusCode)
	}
}
