// Package limpetsilence knows the backend servers that take no connections, although
// they are registered: a server that crashes stays registered for seconds, in which each
// VM would find out by losing requests of its own. A VM whose attempt is not answered
// checks the server, also from another VM, since it may itself be cut off. What it finds
// goes to the director and from there to all VMs. The director checks these servers again
// until they answer or are no longer registered. The package does no I/O of its own.
package limpetsilence

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// checkTimeout bounds a check, and a call to the director.
	checkTimeout = 400 * time.Millisecond
	// minCheckInterval is the least time between two checks of a server that a VM
	// suspects.
	minCheckInterval = 500 * time.Millisecond
	// recheckInterval is the time between two checks of a silent server by the director.
	recheckInterval = time.Second
	// ownRetention is how long a VM keeps what it found itself without the director,
	// and toldRetention what the director said.
	ownRetention, toldRetention = 2 * time.Second, 10 * time.Second
	// maxAge is how long after a finding the director alone keeps it alive: it may itself
	// be cut off from the server.
	maxAge = 10 * time.Second
	// maxServers bounds the servers that are remembered.
	maxServers = 1024
)

// A Finding says that a start of a server takes no connections.
type Finding struct {
	Server      string
	Incarnation int64
}

// Deps holds the dependencies of a Book.
type Deps struct {
	View func() *limpetsite.Snapshot
	// Check checks a server from this VM and, if it is not reached, from another one.
	Check func(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition
	// Tell tells the director of a finding. It is not called on the director.
	Tell func(ctx context.Context, f Finding) error
	// IsDirector reports whether this VM publishes findings to the others, and Publish
	// does so; over is set if the server answers again or is gone.
	IsDirector func() bool
	Publish    func(f Finding, over bool)
	Log        *limpetlog.Logger
	Metrics    prometheus.Registerer
	Now        func() time.Time
}

// A Book holds the silent servers that a VM knows. It is safe for concurrent use. A nil
// Book knows none.
type Book struct {
	Deps
	group  *limpettask.Group
	counts *prometheus.CounterVec
	// view holds until when each server counts as silent.
	view atomic.Pointer[map[Finding]time.Time]

	mu        sync.Mutex
	silent    map[Finding]time.Time
	checkedAt map[Finding]time.Time
	// acceptedAt is when a finding was last made by a VM that checked the server also
	// from another one.
	acceptedAt map[Finding]time.Time
	// published holds what this VM published as the director and has not ended.
	published map[Finding]bool
}

// New returns a book whose checks end with the group.
func New(group *limpettask.Group, d Deps) *Book {
	b := &Book{
		Deps: d, group: group, silent: map[Finding]time.Time{}, checkedAt: map[Finding]time.Time{}, acceptedAt: map[Finding]time.Time{}, published: map[Finding]bool{},
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_silent_servers_total", Help: "Checks of backend servers that did not answer an attempt, by outcome (silent, answers), and silent ones that ended (over).",
		}, []string{"outcome"}),
	}
	b.view.Store(&map[Finding]time.Time{})
	d.Metrics.MustRegister(b.counts, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpet_silent_servers", Help: "Registered backend servers that take no connections.",
	}, func() float64 { return float64(len(*b.view.Load())) }))
	return b
}

func findingOf(s *limpetsite.Server) Finding {
	return Finding{Server: s.ID, Incarnation: s.Incarnation}
}

// Any reports whether any server is known to take no connections.
func (b *Book) Any() bool { return b != nil && len(*b.view.Load()) > 0 }

// Silent reports whether a server takes no connections.
func (b *Book) Silent(s *limpetsite.Server) bool {
	if !b.Any() {
		return false
	}
	until, found := (*b.view.Load())[findingOf(s)]
	return found && b.Now().Before(until)
}

// SilentNow is Silent for a server's ID and its start in the newest view.
func (b *Book) SilentNow(id string) bool {
	if !b.Any() {
		return false
	}
	s := b.View().Server(id)
	return s != nil && b.Silent(s)
}

// Suspect checks a server that does not answer an attempt, unless that was done just
// now. It does not wait for the outcome.
func (b *Book) Suspect(s *limpetsite.Server) {
	if b == nil || b.Silent(s) || !b.claimCheck(findingOf(s)) {
		return
	}
	b.group.Go(func(ctx context.Context) error {
		// What this VM alone does not reach may be its own trouble, and is no finding.
		if c := b.check(ctx, s); c != limpetupstream.UnreachableElsewhere && c != limpetupstream.Ended {
			b.counts.WithLabelValues("answers").Inc()
			return nil
		}
		b.counts.WithLabelValues("silent").Inc()
		b.Accept(findingOf(s))
		if b.IsDirector() {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		if err := b.Tell(ctx, findingOf(s)); err != nil {
			b.Log.Emit(limpetlog.SilentServerNotTold, limpetlog.Server(s.ID), limpetlog.Error(err))
		}
		return nil
	})
}

func (b *Book) claimCheck(f Finding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	if now.Sub(b.checkedAt[f]) < minCheckInterval {
		return false
	}
	if len(b.checkedAt) >= maxServers {
		maps.DeleteFunc(b.checkedAt, func(_ Finding, at time.Time) bool { return now.Sub(at) >= minCheckInterval })
	}
	if len(b.checkedAt) >= maxServers {
		return false
	}
	b.checkedAt[f] = now
	return true
}

func (b *Book) check(ctx context.Context, s *limpetsite.Server) limpetupstream.Condition {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	healthPath := ""
	if service := b.View().Service(s.Service); service != nil {
		healthPath = service.HealthPath
	}
	return b.Check(ctx, s, healthPath)
}

// Accept records a finding of this VM, or, on the director, of another one. The
// director publishes it.
func (b *Book) Accept(f Finding) {
	if s := b.View().Server(f.Server); s == nil || s.Incarnation != f.Incarnation {
		return
	}
	isNew := b.set(f, ownRetention)
	b.mu.Lock()
	_, stored := b.silent[f]
	if stored {
		b.acceptedAt[f] = b.Now()
	}
	b.mu.Unlock()
	if isNew {
		b.Log.Emit(limpetlog.ServerSilent, limpetlog.Server(f.Server), limpetlog.Value("incarnation", f.Incarnation))
	}
	if stored && b.IsDirector() {
		b.publish(f)
	}
}

// publish publishes a finding, which must be ended later.
func (b *Book) publish(f Finding) {
	b.mu.Lock()
	b.published[f] = true
	b.mu.Unlock()
	b.Publish(f, false)
}

// takePublished returns the findings that were published and not ended.
func (b *Book) takePublished() []Finding {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.published))
}

// Apply records what the director published.
func (b *Book) Apply(f Finding) {
	if b != nil {
		b.set(f, toldRetention)
	}
}

// EndServer records that the director found a server silent no more.
func (b *Book) EndServer(id string) {
	if b == nil {
		return
	}
	for _, f := range b.known() {
		if f.Server == id {
			b.forget(f)
		}
	}
}

// ApplyAll records a complete list of the director's findings.
func (b *Book) ApplyAll(findings []Finding) {
	if b == nil {
		return
	}
	for _, f := range b.known() {
		if !slices.Contains(findings, f) {
			b.forget(f)
		}
	}
	for _, f := range findings {
		b.set(f, toldRetention)
	}
}

// set records a finding, and reports whether it is new.
func (b *Book) set(f Finding, retention time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	maps.DeleteFunc(b.silent, func(_ Finding, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(b.acceptedAt, func(_ Finding, at time.Time) bool { return now.Sub(at) > maxAge })
	_, known := b.silent[f]
	if !known && len(b.silent) >= maxServers {
		return false
	}
	if until := now.Add(retention); until.After(b.silent[f]) {
		b.silent[f] = until
	}
	b.store()
	return !known
}

func (b *Book) forget(f Finding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.silent[f]; !known {
		return
	}
	delete(b.silent, f)
	b.store()
	b.counts.WithLabelValues("over").Inc()
	b.Log.Emit(limpetlog.ServerSilentOver, limpetlog.Server(f.Server))
}

// store publishes the view for requests. The caller holds the lock.
func (b *Book) store() {
	view := maps.Clone(b.silent)
	b.view.Store(&view)
}

func (b *Book) known() []Finding {
	return slices.SortedFunc(maps.Keys(*b.view.Load()), func(x, y Finding) int {
		if x.Server < y.Server {
			return -1
		}
		return 1
	})
}

// Run checks the silent servers again while this VM is the director, until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	for limpettask.Sleep(ctx, limpettask.Jitter(recheckInterval)) {
		if b.IsDirector() {
			b.recheck(ctx)
			continue
		}
		// Another VM has the duty now, and finds for itself.
		for _, f := range b.takePublished() {
			b.end(f)
		}
	}
	return nil
}

func union(a, b []Finding) []Finding {
	for _, f := range b {
		if !slices.Contains(a, f) {
			a = append(a, f)
		}
	}
	return a
}

// recheck checks all silent servers, and publishes those that are silent no more.
func (b *Book) recheck(ctx context.Context) {
	checks := limpettask.New(ctx)
	for _, f := range union(b.known(), b.takePublished()) {
		s := b.View().Server(f.Server)
		if s == nil || s.Incarnation != f.Incarnation {
			b.end(f)
			continue
		}
		checks.Go(func(ctx context.Context) error {
			if b.stillSilent(ctx, f, s) {
				b.set(f, ownRetention)
			} else {
				b.end(f)
			}
			return nil
		})
	}
	// The checks return no errors, and end with ctx or checkTimeout.
	_ = checks.Wait()
}

// stillSilent checks a silent server again. Two VMs found it silent, so the director's own
// check is enough for some time.
func (b *Book) stillSilent(ctx context.Context, f Finding, s *limpetsite.Server) bool {
	b.mu.Lock()
	recent := b.Now().Sub(b.acceptedAt[f]) < maxAge
	b.mu.Unlock()
	switch b.check(ctx, s) {
	case limpetupstream.Unreachable, limpetupstream.UnreachableElsewhere, limpetupstream.Ended:
		return recent
	}
	return false
}

func (b *Book) end(f Finding) {
	b.forget(f)
	b.mu.Lock()
	delete(b.published, f)
	b.mu.Unlock()
	b.Publish(f, true)
}
