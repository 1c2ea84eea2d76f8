// Package limpetcrash keeps what one VM on a prepared platform knows of requests
// that crash the backend servers that run them. It finds out whether a server
// crashed under an attempt that got no answer, records the request and the
// server in the store, and follows the records of all VMs. A request that
// crashed several servers is quarantined everywhere; one that is served is
// cleared. Callers' requests only are recorded: items of batch jobs and the
// system's own requests are owed, and must not be reported to this package.
package limpetcrash

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// Rules are the rules of quarantine. Three crashes are asked for, since other
// requests run beside a suspect.
var Rules = limpetquarantine.Rules{Threshold: 3, SuspectTTL: 10 * time.Minute, QuarantineTTL: 10 * time.Minute, MaxRequests: 1024}

// Deps holds the dependencies of a Book.
type Deps struct {
	VM    string
	Store limpetstore.Store
	// View returns the current view of the deployment.
	View func() *limpetsite.Snapshot
	// Check finds out whether a server still runs.
	Check   func(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition
	Log     *limpetlog.Logger
	Metrics prometheus.Registerer
	Now     func() time.Time
}

// A Suspicion reports that an attempt at a server ended without a complete
// answer.
type Suspicion struct {
	Fingerprint uint64
	Account     string
	// Request is the ID of the attempt.
	Request string
	Server  *limpetsite.Server
	// Partial is set if a part of the answer was received.
	Partial bool
	// Silent is set if the server had not answered when the attempt was given
	// up; otherwise the connection ended or the answer was invalid.
	Silent bool
}

// A Verdict says what is known of a request.
type Verdict int

const (
	// Clear requests are not known to have crashed a server.
	Clear Verdict = iota
	// Suspected requests crashed a server, but not enough for quarantine.
	Suspected
	// Quarantined requests must not be sent to a server.
	Quarantined
	// DueForTrial requests are quarantined, and may be sent once by the VM that
	// claims the trial.
	DueForTrial
)

// inboxSize bounds the messages that wait for the book's goroutine.
const inboxSize = 1024

// A Book keeps the crash records of one VM. Its goroutine, Run, owns its state;
// requests read an immutable view. The methods of a nil Book do nothing.
type Book struct {
	Deps
	inbox   chan message
	view    atomic.Pointer[limpetquarantine.View]
	open    atomic.Int64
	outcome *prometheus.CounterVec

	// The fields below are owned by Run.
	group   *limpettask.Group
	state   *limpetquarantine.State
	servers map[string]*watchedServer
	shared  sharing
}

// A message is an event that Run applies to the book.
type message interface{ apply(b *Book) }

// New returns a book without records, which Run keeps.
func New(deps Deps) *Book {
	b := &Book{
		Deps: deps, inbox: make(chan message, inboxSize), state: limpetquarantine.New(Rules),
		servers: map[string]*watchedServer{}, shared: newSharing(),
		outcome: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_crash_cases_total", Help: "Attempts without an answer of which it was asked whether their server crashed, by outcome.",
		}, []string{"outcome"}),
	}
	b.publish()
	count := func(name, help string, n func(limpetquarantine.View) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(n(*b.view.Load())) })
	}
	deps.Metrics.MustRegister(b.outcome,
		count("limpet_suspected_requests", "Requests suspected of crashing servers.", func(v limpetquarantine.View) int { return len(v.Suspects) }),
		count("limpet_quarantined_requests", "Requests that are refused because they crashed servers.", func(v limpetquarantine.View) int { return len(v.Quarantined) }))
	return b
}

// Empty reports whether nothing is known of any request, so that callers need
// not compute fingerprints.
func (b *Book) Empty() bool {
	if b == nil {
		return true
	}
	v := b.view.Load()
	return b.open.Load() == 0 && len(v.Suspects) == 0 && len(v.Quarantined) == 0
}

// Verdict returns what is known of a request and, if it is quarantined, the time
// until it may be sent again.
func (b *Book) Verdict(fingerprint uint64) (Verdict, time.Duration) {
	if b == nil {
		return Clear, 0
	}
	v := b.view.Load()
	if c, ok := v.Quarantined[fingerprint]; ok {
		if left := c.NextTrial().Sub(b.Now()); left > 0 {
			return Quarantined, min(left, Rules.QuarantineTTL)
		}
		return DueForTrial, 0
	}
	if v.Suspects[fingerprint] {
		return Suspected, 0
	}
	return Clear, 0
}

// Suspect asks whether a server crashed under an attempt. The channel is closed
// once that is decided or given up, and the view shows the result.
func (b *Book) Suspect(s Suspicion) (decided <-chan struct{}) {
	done := make(chan struct{})
	if b == nil {
		close(done)
		return done
	}
	b.open.Add(1)
	if !b.post(suspected{&openCase{Suspicion: s, decided: done}}) {
		b.open.Add(-1)
		b.outcome.WithLabelValues(outcomeDropped).Inc()
		close(done)
	}
	return done
}

// A Proof is a server's answer that shows that a request does not crash servers.
type Proof struct {
	Fingerprint uint64
	// Request is the ID of the attempt, Server that of the server that answered
	// it, and Status its answer's status.
	Request, Server string
	Status          int
}

// Served records that a server answered a request and did not crash, which
// clears the request.
func (b *Book) Served(p Proof) {
	if !b.Empty() {
		b.post(served(p))
	}
}

// post sends a message to Run without waiting. It reports whether there was
// room.
func (b *Book) post(m message) bool {
	select {
	case b.inbox <- m:
		return true
	default:
		return false
	}
}

// Run keeps the book until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	b.group = limpettask.New(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return b.group.Stop()
		case m := <-b.inbox:
			m.apply(b)
		case <-timer.C:
		}
		now := b.Now()
		b.checkServers(now)
		b.expire(now)
		b.share(now)
		if due := b.nextDue(); !due.IsZero() {
			timer.Reset(max(minTick, due.Sub(now)))
		}
	}
}

// minTick bounds how often Run looks for work that is due.
const minTick = 5 * time.Millisecond

// nextDue returns when Run must look at its state again; zero if only after a
// message.
func (b *Book) nextDue() time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, w := range b.servers {
		consider(w.nextDue())
	}
	consider(b.shared.nextDue())
	if b.state.Len() > 0 {
		consider(b.shared.expiredAt.Add(expireInterval))
	}
	return next
}

// publish makes the current records visible to requests.
func (b *Book) publish() {
	v := b.state.View()
	b.view.Store(&v)
}

// served tells that a request was served.
type served Proof

func (m served) apply(b *Book) {
	b.closeCases(m.Fingerprint)
	if b.state.Has(m.Fingerprint) {
		b.clear(m.Fingerprint, true, "the request was served", limpetlog.Request(m.Request), limpetlog.Server(m.Server), limpetlog.Value("status", m.Status))
	}
}

// clear forgets a request and withdraws its records from the store, at once or
// with the next write. The fields are those of the log line that depend on the
// cause.
func (b *Book) clear(fingerprint uint64, atOnce bool, cause string, fields ...limpetlog.Field) {
	crashes := b.state.Crashes(fingerprint)
	b.state.Release(fingerprint)
	b.shared.withdraw(fingerprint, atOnce)
	b.publish()
	b.Log.Emit(limpetlog.QuarantineReleased, append(fields, limpetlog.Value("fingerprint", limpetquarantine.Name(fingerprint)),
		limpetlog.Value("crashes", crashes), limpetlog.Value("cause", cause))...)
}

// expireInterval is the time between searches for records that have expired.
const expireInterval = 30 * time.Second

func (b *Book) expire(now time.Time) {
	if now.Sub(b.shared.expiredAt) < expireInterval {
		return
	}
	b.shared.expiredAt = now
	for _, fingerprint := range b.state.Expire(now) {
		b.clear(fingerprint, false, "its time is over")
	}
}

// instance identifies a server and its incarnation.
func instance(s *limpetsite.Server) string {
	return s.ID + "." + strconv.FormatInt(s.Incarnation, 10)
}
