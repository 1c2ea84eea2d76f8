// Package limpetforward owns the way of one caller's request to a backend
// server and back: who may send it, which attempts it gets, when it is given
// up, and what the caller is told. Every answer of the system's own says
// truthfully whether the request may have run.
package limpetforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetbalance"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// A Request is one attempt of a caller.
type Request struct {
	ID     string
	Method string
	// Target is the path with the query; Path is the path alone.
	Target, Path string
	Host         string
	// Header holds what may be forwarded.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty when there is none.
	Key     string
	Arrived time.Time
	// Patience is the time that the caller waits from Arrived on; 0 when it
	// did not say.
	Patience time.Duration
	// After is the last event that the caller has of a stream.
	After int
}

// A Reason says why the system itself answers.
type Reason int

// The reasons.
const (
	// Served answers are the backend server's.
	Served Reason = iota
	// NotConfigured means that no configuration is known yet; not run.
	NotConfigured
	// NoRoute means that no route matches.
	NoRoute
	// NoKey means that the key is missing, unknown or withdrawn.
	NoKey
	// NoServer means that no backend server could take the request; not run.
	NoServer
	// Busy means that all backend servers refused; not run.
	Busy
	// Failed means that the request may have run and has no answer.
	Failed
	// TimedOut means that the time is over and the request may have run.
	TimedOut
	// Expired means that the time is over and the request did not run.
	Expired
	// CallerGone means that there is nobody left to answer.
	CallerGone
)

// String returns the reason as it stands in logs and metrics.
func (r Reason) String() string {
	return [...]string{"served", "not_configured", "no_route", "no_key", "no_server", "busy", "failed", "timed_out", "expired", "caller_gone"}[r]
}

// An Answer is what the caller gets. Reply is set when Reason is Served.
type Answer struct {
	Reason Reason
	Reply  *limpetupstream.Reply
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Failures counts the servers that answered with status 500.
	Failures int
}

// A Forwarder forwards requests on one VM.
type Forwarder struct {
	Zone    string
	View    func() *limpetsite.Snapshot
	Peer    limpetupstream.Peer
	Tracker *limpetbalance.Tracker
	Log     *limpetlog.Logger
	Metrics *limpetmetric.Set
	// Began counts a request of an account that a server began to run.
	Began func(account string, at time.Time)
	Now   func() time.Time
}

const (
	// defaultPatience bounds requests whose caller named no time.
	defaultPatience = 30 * time.Second
	defaultAttempts = 2
	// unservedRetry is told to callers while a service has no server.
	unservedRetry = time.Second
	// busyRetry is told to callers while all servers are full.
	busyRetry = 300 * time.Millisecond
)

// Authorize finds the route of a request and the account that it runs for.
func Authorize(view *limpetsite.Snapshot, r *Request) (*limpetsite.Route, *limpetsite.Account, Reason) {
	if !view.Ready() {
		return nil, nil, NotConfigured
	}
	route := view.Route(r.Host, r.Path)
	if route == nil {
		return nil, nil, NoRoute
	}
	if route.Open || !view.NeedsKeys() {
		return route, nil, Served
	}
	account := view.Account(r.Key)
	if account == nil {
		return nil, nil, NoKey
	}
	return route, account, Served
}

// Forward runs a request to its answer.
func (f *Forwarder) Forward(ctx context.Context, r *Request) Answer {
	route, account, reason := Authorize(f.View(), r)
	if reason != Served {
		return f.finish(r, nil, nil, Answer{Reason: reason, RetryAfter: unservedRetry})
	}
	patience := r.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	e := &effort{
		forwarder: f, request: r, route: route, account: account,
		service: route.Pick(rand.Float64()), ends: r.Arrived.Add(patience), tried: map[string]bool{},
	}
	return f.finish(r, route, account, e.run(ctx))
}

// Internal runs a request of the system's own, which needs no key and may be
// repeated. It also returns the number of failures that its route allows.
func (f *Forwarder) Internal(ctx context.Context, r *Request) (Answer, int) {
	view := f.View()
	if !view.Ready() {
		return Answer{Reason: NotConfigured}, 0
	}
	route := view.Route(r.Host, r.Path)
	if route == nil {
		return Answer{Reason: NoRoute}, 0
	}
	own := *route
	own.Kind = limpetsite.Idempotent
	e := &effort{
		forwarder: f, request: r, route: &own,
		service: route.Pick(rand.Float64()), ends: r.Arrived.Add(r.Patience), tried: map[string]bool{},
	}
	return f.finish(r, route, nil, e.run(ctx)), e.attempts()
}

func (f *Forwarder) finish(r *Request, route *limpetsite.Route, account *limpetsite.Account, a Answer) Answer {
	name, class := "", ""
	if account != nil {
		name = account.Name
	}
	if route != nil {
		class = route.Name
	}
	took := f.Now().Sub(r.Arrived)
	f.Metrics.Request(name, class, a.Reason.String(), limpetmetric.Timing{Total: took})
	if a.Reason == Served && a.Reply.Status < http.StatusInternalServerError {
		return a
	}
	status := 0
	if a.Reply != nil {
		status = a.Reply.Status
	}
	f.Log.Emit(limpetlog.RequestRefusedOrFailed, limpetlog.Request(r.ID), limpetlog.Account(name),
		limpetlog.Value("route", class), limpetlog.Value("reason", a.Reason.String()), limpetlog.Value("status", status),
		limpetlog.Value("ms", took.Milliseconds()), limpetlog.Value("revision", f.View().Revision))
	return a
}
