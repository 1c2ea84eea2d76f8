// Package limpetcaller implements the HTTP API for callers and trainers. Its
// handlers authenticate and authorize requests, decode them, call the package that
// implements the operation, and encode the response. They contain no other logic.
package limpetcaller

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetview"
)

// Dependencies holds the dependencies of a Frontend.
type Dependencies struct {
	View       func() *limpetview.View
	Dispatcher *limpetdispatch.Dispatcher
	// CallJob runs a trainer's call on the VM that owns the job and returns the
	// status and the body of the response.
	CallJob func(ctx context.Context, account, job string, operation limpetrollout.Operation, body []byte) (int, []byte, error)
	Metrics *limpetmetric.Set
	Log     *limpetlog.Logger
	// NewRequestID returns a new request identifier.
	NewRequestID func() string
}

// A Frontend serves the HTTP API of one VM.
type Frontend struct {
	Dependencies
	limits limpetsettings.Limits
	timing limpetsettings.Timing

	mu sync.Mutex
	// requestsByKey holds the open requests of each key, so that they can be
	// canceled when the key is withdrawn.
	requestsByKey map[string]map[*openRequest]bool
	// openByAccount counts the open requests of each client account.
	openByAccount map[string]int
}

// An openRequest is an open request of a key.
type openRequest struct {
	account string
	cancel  context.CancelCauseFunc
}

// The causes for which a request is canceled because its key is not accepted any
// more.
var (
	errWithdrawn   = limpeterror.Denied.New("the key was withdrawn")
	errUnconfirmed = limpeterror.Unavailable.New("this VM cannot confirm its configuration")
)

// New returns a Frontend.
func New(deps Dependencies, limits limpetsettings.Limits, timing limpetsettings.Timing) *Frontend {
	return &Frontend{Dependencies: deps, limits: limits, timing: timing, requestsByKey: map[string]map[*openRequest]bool{}, openByAccount: map[string]int{}}
}

// Handler returns the handler of all routes.
func (f *Frontend) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/ready", f.serveReady)
	authenticated := func(path, method string, h authenticatedHandler) {
		router.HandleFunc(path, f.authenticated(h)).Methods(method)
	}
	authenticated("/v1/completions", http.MethodPost, f.completeText)
	authenticated("/v1/chat/completions", http.MethodPost, f.completeChat)
	authenticated("/v1/models", http.MethodGet, f.listModels)
	authenticated("/v1/jobs/{job}", http.MethodGet, f.jobStatus)
	authenticated("/v1/jobs/{job}/samples", http.MethodGet, f.jobSamples)
	authenticated("/v1/jobs/{job}/{operation:session|steps|weights|cancel}", http.MethodPost, f.jobCall)
	router.PathPrefix("/").HandlerFunc(f.servePlain)
	return f.restrict(router)
}

func (f *Frontend) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.View().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// restrict wraps a handler. It assigns request identifiers, rejects ambiguous paths
// and keys outside the Authorization header, and bounds the size of the body and the
// time to read it.
func (f *Frontend) restrict(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := f.NewRequestID()
		w.Header().Set("X-Request-Id", id)
		if ambiguousPath(r.URL) {
			writeError(w, limpeterror.Invalid.New("path: empty and dot segments and encoded separators are not allowed"), 0)
			return
		}
		if hasMisplacedKey(r) {
			writeError(w, limpeterror.Invalid.New("a key stands outside the Authorization header; send it as Authorization: Bearer <key> only, and withdraw it if others may have read it"), 0)
			return
		}
		limpethttp.EndBodyAt(w, r, time.Now().Add(f.timing.BodyTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, int64(f.limits.MaxBodyBytes))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

type requestIDKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// ambiguousPath reports whether a backend server might interpret a path differently
// from the router.
func ambiguousPath(u *url.URL) bool {
	escaped := strings.ToLower(u.EscapedPath())
	for _, bad := range []string{"//", "/./", "/../", "%2f", "%5c", "%2e", "%25", "%00", "\\", ";"} {
		if strings.Contains(escaped, bad) {
			return true
		}
	}
	return strings.HasSuffix(escaped, "/.") || strings.HasSuffix(escaped, "/..")
}

// hasMisplacedKey reports whether the URL or a header other than Authorization
// contains the prefix of keys, the query cannot be decoded, or there are several
// Authorization headers.
func hasMisplacedKey(r *http.Request) bool {
	if strings.Contains(r.URL.String(), limpetkey.Prefix) {
		return true
	}
	if query, err := url.QueryUnescape(r.URL.RawQuery); err != nil || strings.Contains(query, limpetkey.Prefix) {
		return true
	}
	for name, values := range r.Header {
		if name != "Authorization" && strings.Contains(strings.Join(values, " "), limpetkey.Prefix) {
			return true
		}
	}
	return len(r.Header["Authorization"]) > 1
}

// An authenticatedHandler serves a request that was authenticated by a key.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal)

// authenticated authenticates requests before calling h, limits the open requests of
// each client account, and cancels requests when their key is withdrawn.
func (f *Frontend) authenticated(h authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		principal, err := f.authenticate(r)
		if err != nil {
			f.Log.Emit(limpetlog.RequestRefused, limpetlog.Request(requestID(r.Context())), limpetlog.Error(err))
			writeError(w, err, shortRetryAfter)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		open := &openRequest{account: principal.Account, cancel: cancel}
		if !f.addOpen(principal, open) {
			writeError(w, limpeterror.Overloaded.New("client account %s has too many open requests", principal.Account), shortRetryAfter)
			return
		}
		defer f.removeOpen(principal, open)
		// Authenticate again: CancelWithdrawn does not cancel this request if
		// the key was withdrawn after the first authentication and before
		// addOpen.
		again, err := f.authenticate(r)
		if err == nil && again != principal {
			err = errWithdrawn
		}
		if err != nil {
			writeError(w, err, shortRetryAfter)
			return
		}
		h(w, r.WithContext(ctx), principal)
	}
}

func (f *Frontend) authenticate(r *http.Request) (limpetkey.Principal, error) {
	token, err := limpetkey.BearerToken(r.Header.Get("Authorization"))
	if err != nil {
		return limpetkey.Principal{}, err
	}
	v := f.View()
	if !v.KeysAccepted {
		return limpetkey.Principal{}, limpeterror.Unavailable.Wrap(errUnconfirmed, "the request was not run")
	}
	principal, err := limpetkey.Authenticate(v.Config, v.Suspended, token)
	if err == nil && principal.Role != limpetconfig.Caller && principal.Role != limpetconfig.Trainer {
		return principal, limpeterror.Denied.New("key %s is an operator's key; it works with limpetctl only", principal.Key)
	}
	return principal, err
}

// addOpen adds an open request, or returns false if its client account has too many.
func (f *Frontend) addOpen(principal limpetkey.Principal, open *openRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openByAccount[principal.Account] >= f.View().Config.Accounts[principal.Account].MaxOpenRequests {
		return false
	}
	f.openByAccount[principal.Account]++
	if f.requestsByKey[principal.Key] == nil {
		f.requestsByKey[principal.Key] = map[*openRequest]bool{}
	}
	f.requestsByKey[principal.Key][open] = true
	f.Metrics.AddOpenRequests(1)
	return true
}

// removeOpen removes an open request that addOpen added.
func (f *Frontend) removeOpen(principal limpetkey.Principal, open *openRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Metrics.AddOpenRequests(-1)
	f.openByAccount[principal.Account]--
	if f.openByAccount[principal.Account] == 0 {
		delete(f.openByAccount, principal.Account)
	}
	delete(f.requestsByKey[principal.Key], open)
	if len(f.requestsByKey[principal.Key]) == 0 {
		delete(f.requestsByKey, principal.Key)
	}
}

// CancelWithdrawn cancels the open requests of keys that are not accepted under
// the new view, because they were withdrawn or because this VM cannot confirm its
// configuration.
func (f *Frontend) CancelWithdrawn(v *limpetview.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, requests := range f.requestsByKey {
		k, exists := v.Config.Keys[key]
		canceled := 0
		for open := range requests {
			switch {
			case !exists || v.Suspended[key] || k.Account != open.account:
				open.cancel(errWithdrawn)
			case !v.KeysAccepted:
				open.cancel(errUnconfirmed)
			default:
				continue
			}
			canceled++
		}
		if canceled > 0 {
			f.Log.Emit(limpetlog.KeyStreamsEnded, limpetlog.Value("key", key), limpetlog.Value("streams", canceled))
		}
	}
}

// OpenRequests returns the number of open requests of each client account.
func (f *Frontend) OpenRequests() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int, len(f.openByAccount))
	for account, n := range f.openByAccount {
		counts[account] = n
	}
	return counts
}

func (f *Frontend) account(principal limpetkey.Principal) limpetconfig.Account {
	return f.View().Config.Accounts[principal.Account]
}

func (f *Frontend) listModels(w http.ResponseWriter, _ *http.Request, _ limpetkey.Principal) {
	list := modelList{Object: "list", Data: []model{}}
	for _, o := range f.View().Config.Objects(limpetconfig.Services) {
		if f.View().Config.Services[o.Name].Kind == limpetconfig.Engine {
			list.Data = append(list.Data, model{ID: o.Name, Object: "model", OwnedBy: "limpetmount"})
		}
	}
	limpethttp.WriteJSON(w, http.StatusOK, list)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
