package limpetcaller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetserve"
)

// IdempotencyHeader carries the caller's key under which a call that is not
// idempotent runs at most once.
const IdempotencyHeader = "Idempotency-Key"

// openAccount is the account of requests on open routes. No configured
// account can have this name.
const openAccount = "(open)"

const (
	openWeight         = 1
	idempotencyLongest = 256
)

// plain routes a request to a plain service by path prefix.
func (f *Front) plain(w http.ResponseWriter, q *http.Request) {
	service, ok := serviceOf(f.View().Config, q.URL.Path)
	if !ok {
		fail(w, limpeterror.NotFound.New("no route %s", q.URL.Path), 0)
		return
	}
	if service.Open {
		account := limpetconfig.Account{Name: openAccount, Weight: openWeight, Class: limpetconfig.Live}
		f.call(w, q, service, account)
		return
	}
	f.keyed(func(w http.ResponseWriter, q *http.Request, who limpetkey.Principal) {
		f.call(w, q, service, f.account(who))
	})(w, q)
}

// serviceOf returns the plain service whose prefix a path has, on a segment's
// boundary and with the same case.
func serviceOf(d *limpetconfig.Document, path string) (limpetconfig.Service, bool) {
	for _, s := range d.Services {
		if s.Kind == limpetconfig.Plain && (path == s.Path || strings.HasPrefix(path, s.Path+"/")) {
			return s, true
		}
	}
	return limpetconfig.Service{}, false
}

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// forwardable returns the headers that a backend server may see.
func forwardable(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(field))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	return out
}

func (f *Front) call(w http.ResponseWriter, q *http.Request, service limpetconfig.Service, account limpetconfig.Account) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		fail(w, fmt.Errorf("read body: %w", err), 0)
		return
	}
	findings := &limpeterror.Findings{}
	if token, err := limpetkey.Bearer(q.Header.Get("Authorization")); err == nil && bytes.Contains(body, []byte(token)) {
		findings.Add("body", "holds the key; remove it there")
	}
	if len(q.Trailer) > 0 {
		findings.Add("trailer", "trailers are not accepted")
	}
	key := q.Header.Get(IdempotencyHeader)
	if len(key) > idempotencyLongest {
		findings.Add(IdempotencyHeader, "longer than %d bytes", idempotencyLongest)
	}
	deadline := parseDeadline(q, findings)
	if err := findings.Err(); err != nil {
		fail(w, err, 0)
		return
	}
	answer, result, err := f.Serve.Call(q.Context(), limpetserve.Call{
		ID: requestID(q.Context()), Account: account, Service: service, Method: q.Method, Target: q.URL.RequestURI(),
		Header: forwardable(q.Header), Body: body, IdempotencyKey: key, Deadline: deadline,
		Fingerprint: limpetquarantine.Fingerprint(account.Name, service.Name, body), Unbilled: service.Open,
	})
	if err != nil {
		fail(w, endCause(q.Context(), err), result.RetryAfter)
		return
	}
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, a limpetserve.Answer) {
	for name, values := range forwardable(a.Header) {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	if a.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	w.WriteHeader(a.Status)
	// The caller may be gone; the answer is kept under its idempotency key.
	_, _ = w.Write(a.Body)
}
