package limpetcaller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetquarantine"
)

// IdempotencyHeader is the name of the request header with the idempotency key
// under which a call that is not idempotent runs at most once.
const IdempotencyHeader = "Idempotency-Key"

// openAccount is the client account of requests to services that need no key. It is
// not a valid name of a configured account.
const openAccount = "(open)"

const (
	openAccountWeight = 1
	// maxIdempotencyKeyLength is in bytes.
	maxIdempotencyKeyLength = 256
)

// servePlain routes a request to a plain service by path prefix.
func (f *Frontend) servePlain(w http.ResponseWriter, r *http.Request) {
	service, ok := plainServiceFor(f.View().Config, r.URL.Path)
	if !ok {
		writeError(w, limpeterror.NotFound.New("no route %s", r.URL.Path), 0)
		return
	}
	if service.Open {
		account := limpetconfig.Account{Name: openAccount, Weight: openAccountWeight, Class: limpetconfig.Live}
		f.callService(w, r, service, account)
		return
	}
	f.authenticated(func(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal) {
		f.callService(w, r, service, f.account(principal))
	})(w, r)
}

// plainServiceFor returns the plain service whose path is a prefix of path. The
// prefix must end at a segment boundary and is case-sensitive.
func plainServiceFor(d *limpetconfig.Document, path string) (limpetconfig.Service, bool) {
	for _, s := range d.Services {
		if s.Kind == limpetconfig.Plain && (path == s.Path || strings.HasPrefix(path, s.Path+"/")) {
			return s, true
		}
	}
	return limpetconfig.Service{}, false
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// forwardableHeaders returns the headers without hop-by-hop headers and without the
// Authorization header.
func forwardableHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(field))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	return out
}

// callService forwards a request to a plain service for a client account.
func (f *Frontend) callService(w http.ResponseWriter, r *http.Request, service limpetconfig.Service, account limpetconfig.Account) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, fmt.Errorf("read body: %w", err), 0)
		return
	}
	findings := &limpeterror.Findings{}
	if token, err := limpetkey.BearerToken(r.Header.Get("Authorization")); err == nil && bytes.Contains(body, []byte(token)) {
		findings.Add("body", "holds the key; remove it there")
	}
	if len(r.Trailer) > 0 {
		findings.Add("trailer", "trailers are not accepted")
	}
	key := r.Header.Get(IdempotencyHeader)
	if len(key) > maxIdempotencyKeyLength {
		findings.Add(IdempotencyHeader, "longer than %d bytes", maxIdempotencyKeyLength)
	}
	deadline := parseDeadline(r, findings)
	if err := findings.Err(); err != nil {
		writeError(w, err, 0)
		return
	}
	response, result, err := f.Dispatcher.Call(r.Context(), limpetdispatch.Call{
		ID: requestID(r.Context()), Account: account, Service: service, Method: r.Method, Target: r.URL.RequestURI(),
		Header: forwardableHeaders(r.Header), Body: body, IdempotencyKey: key, Deadline: deadline,
		Fingerprint: limpetquarantine.Fingerprint(account.Name, r.Method+" "+r.URL.RequestURI(), body), Unbilled: service.Open,
	})
	if err != nil {
		writeError(w, withdrawalError(r.Context(), err), result.RetryAfter)
		return
	}
	writeResponse(w, response)
}

func writeResponse(w http.ResponseWriter, response limpetdispatch.Response) {
	for name, values := range forwardableHeaders(response.Header) {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	if response.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	w.WriteHeader(response.Status)
	// Ignore write errors: a caller that disconnected can get the response again
	// by its idempotency key.
	_, _ = w.Write(response.Body)
}
