// Package limpetforward forwards a caller's request to a backend server: it
// authorizes the request, chooses its attempts and deadline, and determines
// the caller's answer. Every answer that the system itself gives states
// correctly whether the request may have run.
package limpetforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetbalancer"
	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetqueue"
	"limpetmount.org/internal/limpetsilence"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// A Request is one request from a caller; a caller's retry is a new Request.
type Request struct {
	ID     string
	Method string
	// Target is the path with its query; Path is the path without it.
	Target, Path string
	Host         string
	// Header holds the header fields that may be forwarded.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty if the request has none.
	Key     string
	Arrived time.Time
	// Timeout is the caller's timeout, counted from Arrived; 0 if the caller
	// set none.
	Timeout time.Duration
	// LastEventID is the ID of the last event of a stream that the caller has
	// received; 0 if it has received none.
	LastEventID int
	// Resumes is the ID of the attempt that brought the first event of that stream.
	Resumes string
}

// A Reason says why the system itself answers a request.
type Reason int

const (
	// Served means that the answer is the backend server's.
	Served Reason = iota
	// NotConfigured means that no configuration has been loaded yet; the
	// request did not run.
	NotConfigured
	// NoRoute means that no route matches the request.
	NoRoute
	// NoKey means that the API key is missing, unknown or withdrawn.
	NoKey
	// NoServer means that no backend server was available; the request did not
	// run.
	NoServer
	// Busy means that all backend servers refused the request; it did not run.
	Busy
	// Failed means that the request may have run, but no reply was received.
	Failed
	// TimedOut means that the deadline passed and the request may have run.
	TimedOut
	// Expired means that the deadline passed and the request did not run.
	Expired
	// CallerGone means that the caller disconnected.
	CallerGone
	// Quarantined means that the request crashed several servers and is refused;
	// this repetition did not run.
	Quarantined
	// Limited means that all servers that could take the request have reached the
	// rate that they named; it did not run.
	Limited
	// UnknownOrigin means that a stream cannot go on because it is not known which
	// software began it; this attempt did not run.
	UnknownOrigin
	// OriginGone means that a stream cannot go on because no server of the software
	// that began it takes requests; this attempt did not run.
	OriginGone
	// Stopping means that this VM is being stopped and the request might not end
	// before that; it did not run.
	Stopping
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"served", "not_configured", "no_route", "no_key", "no_server", "busy", "failed", "timed_out", "expired", "caller_gone", "quarantined", "limited", "unknown_origin", "origin_gone", "stopping"}[r]
}

// An Answer is the outcome of a request for its caller. Reply is set if Reason
// is Served.
type Answer struct {
	Reason Reason
	Reply  *limpetupstream.Reply
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration
	// Failures counts the servers that replied with status 500.
	Failures int
	// Fingerprint identifies a quarantined request; 0 for others.
	Fingerprint uint64
	// Turn is set if RetryAfter is when a place is kept for the request.
	Turn bool
	// waited is how long the request waited for its turn, and decision what became of it.
	waited   time.Duration
	decision limpetqueue.Decision
}

// A Forwarder forwards requests on one VM.
type Forwarder struct {
	Zone     string
	View     func() *limpetsite.Snapshot
	Upstream limpetupstream.Client
	Tracker  *limpetbalancer.Tracker
	// Crashes knows the requests that crash servers; nil if none are known.
	Crashes *limpetcrash.Book
	// Limits hands out permits for servers that limit their requests; nil if none
	// do.
	Limits *limpetlimit.Gate
	// Silence knows the servers that take no connections; nil if none are known.
	Silence *limpetsilence.Book
	// Origins knows which software began streams that callers come back for; if nil,
	// none can be taken up.
	Origins *limpetorigin.Book
	// Capacity is told of requests and attempts, in case a service is short of
	// capacity; nil if nobody needs to know.
	Capacity *limpetcapacity.Observer
	// Queues order requests while a service is short of capacity; nil if none wait.
	Queues *limpetqueue.Queues
	// Share returns what the director publishes of a service; nil if nothing is known.
	Share func(service string) Share
	// MayFinish reports whether a request that may last that long will end before the VM
	// does; nil if all will.
	MayFinish func(d time.Duration) bool
	// Started is when the process started. Requests wait for the first configuration in
	// the first seconds after that; zero if they do not.
	Started time.Time
	Log     *limpetlog.Logger
	Metrics *limpetmetric.Set
	// CountRequest is called when a server has begun to run a request of an
	// account.
	CountRequest func(account string, at time.Time)
	Now          func() time.Time
}

const (
	// defaultTimeout applies to requests whose caller set no timeout.
	defaultTimeout  = 30 * time.Second
	defaultAttempts = 2
	// noServerRetryAfter is the retry delay returned to callers while a
	// service has no server.
	noServerRetryAfter = time.Second
	// busyRetryAfter is the retry delay returned to callers while all servers
	// are at capacity.
	busyRetryAfter = 300 * time.Millisecond
	// unknownRetryAfter is the retry delay returned to callers whose stream is
	// unknown: the record of it may be on its way.
	unknownRetryAfter = 250 * time.Millisecond
	// StoppingRetryAfter is the retry delay returned to callers of a VM that is being
	// stopped. Others serve.
	StoppingRetryAfter = 10 * time.Millisecond
)

// Authorize returns the route of a request and the account that it runs for,
// which is nil if the request needs no key. The reason is Served if the request
// may be forwarded.
func Authorize(view *limpetsite.Snapshot, r *Request) (*limpetsite.Route, *limpetsite.Account, Reason) {
	if !view.Ready() {
		return nil, nil, NotConfigured
	}
	route := view.Route(r.Host, r.Path)
	if route == nil {
		return nil, nil, NoRoute
	}
	if route.Public || !view.NeedsKeys() {
		return route, nil, Served
	}
	account := view.Account(r.Key)
	if account == nil {
		return nil, nil, NoKey
	}
	return route, account, Served
}

// Forward sends a request to a backend server and returns the answer for the
// caller.
func (f *Forwarder) Forward(ctx context.Context, r *Request) Answer {
	view := f.awaitStart(ctx, r)
	route, account, reason := Authorize(view, r)
	if reason != Served {
		return f.finish(r, nil, nil, Answer{Reason: reason, RetryAfter: noServerRetryAfter})
	}
	if route.Kind == limpetsite.Rollout {
		// The submission of a job arrived before the configuration that says so.
		return f.finish(r, route, account, Answer{Reason: NotConfigured, RetryAfter: noServerRetryAfter})
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	deadline := r.Arrived.Add(timeout)
	if f.MayFinish != nil && !f.MayFinish(deadline.Sub(f.Now())) {
		return f.finish(r, route, account, Answer{Reason: Stopping, RetryAfter: StoppingRetryAfter})
	}
	d := &dispatch{
		forwarder: f, request: r, route: route, account: account, crashes: f.Crashes,
		service: view.Pick(route, limpetsite.HomesOf(route, account), rand.Float64()), deadline: deadline, tried: map[string]bool{},
	}
	if route.Kind == limpetsite.Stream && route.Resumable {
		if reason := d.findOrigin(ctx); reason != Served {
			return f.finish(r, route, account, Answer{Reason: reason, RetryAfter: d.retryAfter(reason)})
		}
	}
	f.Capacity.Arrived(d.service)
	a := d.run(ctx)
	if route.LatencyGoal > 0 && a.Reason == Served && f.Now().Sub(r.Arrived) > route.LatencyGoal {
		f.Capacity.Late(d.service)
	}
	return f.finish(r, route, account, a)
}

// ForwardInternal forwards a request that the system itself issues, which needs
// no key, may be repeated, and is owed however many servers crash under it. It also returns the route's limit of attempts,
// which is the number of failures that it allows; 0 if there is no route.
func (f *Forwarder) ForwardInternal(ctx context.Context, r *Request) (Answer, int) {
	view := f.View()
	if !view.Ready() {
		return Answer{Reason: NotConfigured}, 0
	}
	route := view.Route(r.Host, r.Path)
	if route == nil {
		return Answer{Reason: NoRoute}, 0
	}
	repeatable := *route
	repeatable.Kind = limpetsite.Idempotent
	d := &dispatch{
		forwarder: f, request: r, route: &repeatable, yields: true,
		service: view.Pick(route, limpetsite.HomesOf(route, nil), rand.Float64()), deadline: r.Arrived.Add(r.Timeout), tried: map[string]bool{},
	}
	f.Capacity.Arrived(d.service)
	return f.finish(r, route, nil, d.run(ctx)), d.attemptLimit()
}

// finish records an answer in the metrics, and also in the log unless a server
// replied without a server error.
func (f *Forwarder) finish(r *Request, route *limpetsite.Route, account *limpetsite.Account, a Answer) Answer {
	accountName, routeName := "", ""
	if account != nil {
		accountName = account.Name
	}
	if route != nil {
		routeName = route.Name
	}
	took := f.Now().Sub(r.Arrived)
	f.Metrics.ObserveRequest(accountName, routeName, a.Reason.String(), limpetmetric.Timing{Queue: a.waited, Total: took})
	if a.Reason == Served && a.Reply.Status < http.StatusInternalServerError {
		return a
	}
	status := 0
	if a.Reply != nil {
		status = a.Reply.Status
	}
	fields := []limpetlog.Field{
		limpetlog.Request(r.ID), limpetlog.Account(accountName),
		limpetlog.Value("route", routeName), limpetlog.Value("reason", a.Reason.String()), limpetlog.Value("status", status),
		limpetlog.Value("ms", took.Milliseconds()), limpetlog.Value("revision", f.View().Revision),
	}
	if route != nil && (a.Reason == NoServer || a.Reason == OriginGone) {
		leaving := 0
		for _, t := range route.Targets {
			leaving += f.View().Leaving(t.Service)
		}
		fields = append(fields, limpetlog.Value("leaving", leaving))
	}
	if a.decision.Cause != "" && a.Reason == Busy {
		fields = append(fields, decisionFields(a.decision)...)
	}
	if a.Reason == Quarantined {
		fields = append(fields, limpetlog.Value("fingerprint", limpetquarantine.Name(a.Fingerprint)))
	}
	f.Log.Emit(limpetlog.RequestNotServed, fields...)
	return a
}
