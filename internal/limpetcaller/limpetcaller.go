// Package limpetcaller owns the HTTP interface for callers and trainers.
// Handlers decode, call the feature, and encode; they take no decisions
// beyond who may ask.
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
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetserve"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetview"
)

// Seams holds what the front uses of the rest of the system.
type Seams struct {
	View  func() *limpetview.View
	Serve *limpetserve.Server
	// CallJob runs a trainer's call at the VM that owns the job and returns
	// the status and body of the answer.
	CallJob func(ctx context.Context, account, job string, operation limpetrollout.Operation, body []byte) (int, []byte, error)
	Metrics *limpetmetric.Set
	Log     *limpetlog.Logger
	Unique  func() string
}

// A Front holds the callers' interface of one VM.
type Front struct {
	Seams
	limits limpetsettings.Limits
	timing limpetsettings.Timing

	mu sync.Mutex
	// open holds the cancel functions of open requests by key, so that a
	// withdrawal ends them.
	open map[string]map[*session]bool
	// streams counts open requests by client account.
	streams map[string]int
}

// A session holds one open request of a key.
type session struct {
	account string
	cancel  context.CancelCauseFunc
}

// errWithdrawn is the cause of a request's end when its key was withdrawn.
var errWithdrawn = limpeterror.Denied.New("the key was withdrawn")

// New returns the front of a VM.
func New(seams Seams, limits limpetsettings.Limits, timing limpetsettings.Timing) *Front {
	return &Front{Seams: seams, limits: limits, timing: timing, open: map[string]map[*session]bool{}, streams: map[string]int{}}
}

// Handler returns the routes.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/ready", f.ready)
	keyed := func(path, method string, h keyedHandler) {
		r.HandleFunc(path, f.keyed(h)).Methods(method)
	}
	keyed("/v1/completions", http.MethodPost, f.completeText)
	keyed("/v1/chat/completions", http.MethodPost, f.completeChat)
	keyed("/v1/models", http.MethodGet, f.listModels)
	keyed("/v1/jobs/{job}", http.MethodGet, f.jobStatus)
	keyed("/v1/jobs/{job}/samples", http.MethodGet, f.jobSamples)
	keyed("/v1/jobs/{job}/{operation:session|steps|weights|cancel}", http.MethodPost, f.jobCall)
	r.PathPrefix("/").HandlerFunc(f.plain)
	return f.limit(r)
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if !f.View().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// limit refuses ambiguous paths and keys in wrong places, bounds the body and
// its time, and gives each request an identifier.
func (f *Front) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := f.Unique()
		w.Header().Set("X-Request-Id", id)
		if ambiguousPath(q.URL) {
			fail(w, limpeterror.Invalid.New("path: empty and dot segments and encoded separators are not allowed"), 0)
			return
		}
		if keyOutside(q) {
			fail(w, limpeterror.Invalid.New("a key stands outside the Authorization header; send it as Authorization: Bearer <key> only, and withdraw it if others may have read it"), 0)
			return
		}
		deadline := time.Now().Add(f.timing.Body)
		// Not every ResponseWriter has deadlines; the server's own has.
		_ = http.NewResponseController(w).SetReadDeadline(deadline)
		q.Body = http.MaxBytesReader(w, q.Body, int64(f.limits.Body))
		next.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), requestIDKey{}, id)))
	})
}

type requestIDKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// ambiguousPath reports whether backend servers might read a path otherwise
// than the router does.
func ambiguousPath(u *url.URL) bool {
	escaped := strings.ToLower(u.EscapedPath())
	for _, bad := range []string{"//", "/./", "/../", "%2f", "%5c", "%2e", "%25", "%00", "\\", ";"} {
		if strings.Contains(escaped, bad) {
			return true
		}
	}
	return strings.HasSuffix(escaped, "/.") || strings.HasSuffix(escaped, "/..")
}

// keyOutside reports whether something that looks like a key stands in the
// path, the query or another header.
func keyOutside(q *http.Request) bool {
	if strings.Contains(q.URL.String(), limpetkey.Prefix) {
		return true
	}
	if u, err := url.QueryUnescape(q.URL.RawQuery); err != nil || strings.Contains(u, limpetkey.Prefix) {
		return true
	}
	for name, values := range q.Header {
		if name != "Authorization" && strings.Contains(strings.Join(values, " "), limpetkey.Prefix) {
			return true
		}
	}
	return len(q.Header["Authorization"]) > 1
}

// A keyedHandler serves a request whose key was accepted.
type keyedHandler func(w http.ResponseWriter, q *http.Request, who limpetkey.Principal)

// keyed authenticates a request and ends it when its key is withdrawn.
func (f *Front) keyed(h keyedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		who, err := f.authenticate(q)
		if err != nil {
			f.Log.Emit(limpetlog.RequestRefused, limpetlog.Request(requestID(q.Context())), limpetlog.Error(err))
			fail(w, err, retryShort)
			return
		}
		ctx, cancel := context.WithCancelCause(q.Context())
		defer cancel(nil)
		s := &session{account: who.Account, cancel: cancel}
		if !f.enter(who, s) {
			fail(w, limpeterror.Overloaded.New("client account %s has too many open requests", who.Account), retryShort)
			return
		}
		defer f.leave(who, s)
		// A withdrawal that came between the two looks ends the request here.
		if again, err := f.authenticate(q); err != nil || again != who {
			fail(w, errWithdrawn, 0)
			return
		}
		h(w, q.WithContext(ctx), who)
	}
}

func (f *Front) authenticate(q *http.Request) (limpetkey.Principal, error) {
	token, err := limpetkey.Bearer(q.Header.Get("Authorization"))
	if err != nil {
		return limpetkey.Principal{}, err
	}
	v := f.View()
	if !v.Honour {
		return limpetkey.Principal{}, limpeterror.Unavailable.New("this VM cannot confirm its configuration; the request was not run")
	}
	who, err := limpetkey.Authenticate(v.Config, v.Suspended, token)
	if err == nil && who.Role != limpetconfig.Caller && who.Role != limpetconfig.Trainer {
		return who, limpeterror.Denied.New("key %s is an operator's key; it works with limpetctl only", who.Key)
	}
	return who, err
}

func (f *Front) enter(who limpetkey.Principal, s *session) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams[who.Account] >= f.View().Config.Accounts[who.Account].Streams {
		return false
	}
	f.streams[who.Account]++
	if f.open[who.Key] == nil {
		f.open[who.Key] = map[*session]bool{}
	}
	f.open[who.Key][s] = true
	f.Metrics.Open(1)
	return true
}

func (f *Front) leave(who limpetkey.Principal, s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Metrics.Open(-1)
	f.streams[who.Account]--
	if f.streams[who.Account] == 0 {
		delete(f.streams, who.Account)
	}
	delete(f.open[who.Key], s)
	if len(f.open[who.Key]) == 0 {
		delete(f.open, who.Key)
	}
}

// Refresh ends the open requests of keys that the new snapshot does not
// accept any more.
func (f *Front) Refresh(v *limpetview.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, sessions := range f.open {
		k, exists := v.Config.Keys[key]
		ended := 0
		for s := range sessions {
			if !exists || v.Suspended[key] || !v.Honour || k.Account != s.account {
				s.cancel(errWithdrawn)
				ended++
			}
		}
		if ended > 0 {
			f.Log.Emit(limpetlog.KeyStreamsEnded, limpetlog.Value("key", key), limpetlog.Value("streams", ended))
		}
	}
}

// Open returns the number of open requests of each client account.
func (f *Front) Open() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := make(map[string]int, len(f.streams))
	for a, n := range f.streams {
		open[a] = n
	}
	return open
}

func (f *Front) account(who limpetkey.Principal) limpetconfig.Account {
	return f.View().Config.Accounts[who.Account]
}

func (f *Front) listModels(w http.ResponseWriter, _ *http.Request, _ limpetkey.Principal) {
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
