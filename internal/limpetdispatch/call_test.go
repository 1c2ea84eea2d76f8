package limpetdispatch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpetview"
)

// A plainEnv runs HTTP servers of a plain service, so that the tests use the
// real transport.
type plainEnv struct {
	service    *limpetstub.Service
	dispatcher *limpetdispatch.Dispatcher
	view       *limpetview.View
	claims     map[string]limpetclaim.Entry
	mu         sync.Mutex
}

func newPlainEnv(t *testing.T) *plainEnv {
	env := &plainEnv{service: &limpetstub.Service{Runs: map[string]int{}}, claims: map[string]limpetclaim.Entry{}}
	engines := &stubEngines{}
	dispatcher, view := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
	for _, id := range []string{"r1", "r2"} {
		h := httptest.NewServer(env.service)
		t.Cleanup(h.Close)
		s := limpetroute.NewServer(limpetorder.Server{ID: id, Service: "records", Zone: "a", Address: strings.TrimPrefix(h.URL, "http://")})
		view.Servers["records"] = append(view.Servers["records"], limpetroute.Candidate{Server: s, Capacity: 8})
	}
	dispatcher.Claim = func(_ context.Context, r limpetclaim.Request) (limpetclaim.Entry, error) {
		env.mu.Lock()
		defer env.mu.Unlock()
		s := limpetclaim.Segment{Entries: env.claims}
		limpetclaim.Apply(s, r, time.Now())
		return s.Entries[r.Claim], nil
	}
	env.dispatcher, env.view = dispatcher, view
	return env
}

func (env *plainEnv) runs(body string) int {
	env.service.Lock()
	defer env.service.Unlock()
	return env.service.Runs[body]
}

func (env *plainEnv) loseReplies(n int) {
	env.service.Lock()
	defer env.service.Unlock()
	env.service.LostReplies = n
}

func (env *plainEnv) call(method, key, body string, idempotent bool) (limpetdispatch.Response, error) {
	a, _, err := env.dispatcher.Call(context.Background(), limpetdispatch.Call{
		ID: "r", Account: limpetconfig.Account{Name: "desk", Weight: 1, Class: limpetconfig.Live},
		Service: limpetconfig.Service{Name: "records", Kind: limpetconfig.Plain, Path: "/records", Idempotent: idempotent},
		Method:  method, Target: "/records/x", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte(body), IdempotencyKey: key,
		Fingerprint: limpetquarantine.Fingerprint("desk", method+" /records/x", []byte(body)),
	})
	return a, err
}

func TestPlainCallsRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		method      string
		body        string
		idempotent  bool
		lostReplies int
		runs        int
		ok          bool
	}{
		{"answered", http.MethodPost, "fee", false, 0, 1, true},
		{"broken after its effect", http.MethodPost, "fee", false, 1, 1, false},
		{"broken, without a body", http.MethodPost, "", false, 1, 1, false},
		{"broken, delete", http.MethodDelete, "", false, 1, 1, false},
		{"broken, idempotent service", http.MethodPost, "look", true, 1, 2, true},
		{"broken, get", http.MethodGet, "", false, 1, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the service runs a request that is not idempotent at most once", t, func() {
				env := newPlainEnv(t)
				// Idle connections are open, so that the transport could resend
				// a request on another one.
				for range 4 {
					_, err := env.call(http.MethodGet, "", "warm", true)
					So(err, ShouldBeNil)
				}
				env.loseReplies(c.lostReplies)
				_, err := env.call(c.method, "key-1", c.body, c.idempotent)
				So(err == nil, ShouldEqual, c.ok)
				if !c.ok {
					So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
				}
				So(env.runs(c.body), ShouldEqual, c.runs)
			})
		})
	}
}

// A crashingServer is a server of a plain service that ends when it gets a
// request with the body crashBody.
type crashingServer struct {
	listener net.Listener
	next     http.Handler
	ended    *atomic.Int64
	// givesUp is set while servers answer such requests with 504 before they
	// end.
	givesUp *atomic.Bool
}

const crashBody = "crash"

func (c *crashingServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if string(body) == crashBody && c.givesUp.Load() {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if string(body) == crashBody {
		c.ended.Add(1)
		_ = c.listener.Close()
		panic(http.ErrAbortHandler)
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	c.next.ServeHTTP(w, q)
}

// replaceServers replaces the servers of the plain service by some that crash.
// It returns the number of those that did, and whether they give crashing
// requests up.
func (env *plainEnv) replaceServers(t *testing.T, n int) (ended *atomic.Int64, givesUp *atomic.Bool) {
	ended, givesUp = &atomic.Int64{}, &atomic.Bool{}
	env.view.Servers["records"] = nil
	for i := range n {
		c := &crashingServer{next: env.service, ended: ended, givesUp: givesUp}
		h := httptest.NewServer(c)
		t.Cleanup(h.Close)
		c.listener = h.Listener
		s := limpetroute.NewServer(limpetorder.Server{ID: fmt.Sprintf("c%d", i), Service: "records", Zone: "a", Address: h.Listener.Addr().String()})
		env.view.Servers["records"] = append(env.view.Servers["records"], limpetroute.Candidate{Server: s, Capacity: 8})
	}
	return ended, givesUp
}

// Guards against incident 21: plain calls were checked for quarantine, but their
// crashes were never reported.
func TestCrashingPlainCallIsQuarantined(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			Convey("a plain call that crashed two servers is refused, others are served: "+name, t, func() {
				env := newPlainEnv(t)
				ended, _ := env.replaceServers(t, 4)
				var err error
				for range 5 {
					_, err = env.call(http.MethodPost, "", crashBody, idempotent)
				}
				So(limpeterror.Is(err, limpeterror.Denied), ShouldBeTrue)
				So(ended.Load(), ShouldEqual, 2)
				_, err = env.call(http.MethodGet, "", "look", true)
				So(err, ShouldBeNil)
			})
		})
	}
}

// Guards against incident 24 at limpetd: a server's 504 cleared a call that had
// crashed another server.
func TestServerErrorsDoNotClearPlainCalls(t *testing.T) {
	Convey("a plain call that crashed two servers is refused, although a third one gave it up in between", t, func() {
		env := newPlainEnv(t)
		ended, givesUp := env.replaceServers(t, 4)
		for _, given := range []bool{false, true, false, false} {
			givesUp.Store(given)
			response, _ := env.call(http.MethodPost, "", crashBody, false)
			So(response.Status == http.StatusGatewayTimeout, ShouldEqual, given)
		}
		So(ended.Load(), ShouldEqual, 2)
	})
}

// answerRaw lets all calls go to one server that answers each with the given bytes and
// closes the connection.
func (env *plainEnv) answerRaw(t *testing.T, answer string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		// The client may have gone.
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	s := limpetroute.NewServer(limpetorder.Server{ID: "c", Service: "records", Zone: "a", Address: server.Listener.Addr().String()})
	env.view.Servers["records"] = []limpetroute.Candidate{{Server: s, Capacity: 8}}
}

// Guards against an answer that reaches a caller as whole although the server stopped in
// the middle of its head or its body.
func TestPlainCallsNeedTheWholeAnswer(t *testing.T) {
	env := newPlainEnv(t)
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
	for cut := range len(whole) {
		env.answerRaw(t, whole[:cut])
		if response, err := env.call(http.MethodPost, "", "fee", false); !limpeterror.Is(err, limpeterror.Unknown) {
			t.Errorf("an answer that ends after %q: %v, %+v", whole[:cut], err, response)
		}
	}
	env.answerRaw(t, whole)
	if _, err := env.call(http.MethodPost, "", "fee", false); err != nil {
		t.Errorf("the whole answer: %v", err)
	}
}

// Guards against an answer without a valid status that reaches a caller: a server in
// trouble sent one.
func TestPlainCallsNeedAStatus(t *testing.T) {
	for _, status := range []string{"000", "101", "600"} {
		Convey("a server's answer with status "+status+" is not passed on, and the call may have run", t, func() {
			env := newPlainEnv(t)
			env.answerRaw(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\nok")
			_, err := env.call(http.MethodPost, "", "fee", false)
			So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
		})
	}
}

func TestIdempotencyKeyReuse(t *testing.T) {
	Convey("a resent request gets the recorded response", t, func() {
		env := newPlainEnv(t)
		_, err := env.call(http.MethodPost, "k", "fee", false)
		So(err, ShouldBeNil)
		a, err := env.call(http.MethodPost, "k", "fee", false)
		So(err, ShouldBeNil)
		So(a.Replayed, ShouldBeTrue)
		So(string(a.Body), ShouldEqual, "ran:fee")
		So(env.runs("fee"), ShouldEqual, 1)
	})
	Convey("a request resent after an unknown outcome does not run", t, func() {
		env := newPlainEnv(t)
		env.loseReplies(1)
		_, err := env.call(http.MethodPost, "k", "fee", false)
		So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
		_, err = env.call(http.MethodPost, "k", "fee", false)
		So(limpeterror.Is(err, limpeterror.Conflict), ShouldBeTrue)
		So(env.runs("fee"), ShouldEqual, 1)
	})
	Convey("a key used with another body is rejected", t, func() {
		env := newPlainEnv(t)
		_, err := env.call(http.MethodPost, "k", "fee", false)
		So(err, ShouldBeNil)
		_, err = env.call(http.MethodPost, "k", "other", false)
		So(limpeterror.Is(err, limpeterror.Invalid), ShouldBeTrue)
	})
	Convey("a request whose claim fails does not run", t, func() {
		env := newPlainEnv(t)
		env.dispatcher.Claim = func(context.Context, limpetclaim.Request) (limpetclaim.Entry, error) {
			return limpetclaim.Entry{}, limpeterror.Unknown.New("store")
		}
		_, err := env.call(http.MethodPost, "k", "fee", false)
		So(limpeterror.Is(err, limpeterror.Unavailable), ShouldBeTrue)
		So(env.runs("fee"), ShouldEqual, 0)
	})
}
