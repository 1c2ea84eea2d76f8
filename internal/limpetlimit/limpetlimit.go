// Package limpetlimit keeps backend servers within the request rates that they
// ask for. A server in need names in its answers the number of requests a second
// that it takes from all VMs together. Each VM records what it is told in its
// Limits and passes that on to the director, which passes it on to all VMs. The
// director's Ledger hands out permits to send, so that the sum over all VMs is
// kept, whichever VM the load comes through. Requests use a Gate, which obtains
// permits and does without the director while there is none.
package limpetlimit

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
)

// A Limit is the request rate that a server named in an answer.
type Limit struct {
	// Server is the ID of the server, and Incarnation its start; 0 if unknown.
	Server      string
	Incarnation int64
	// Rate is the number of requests a second from all VMs together; 0 if the
	// answer named none.
	Rate float64
	// At is when the answer arrived.
	At time.Time
	// Cold is set if the server is cold, whatever it named.
	Cold bool
}

const (
	// refreshInterval is how often an unchanged limit is recorded anew.
	refreshInterval = 250 * time.Millisecond
	// overRetention is how long it is remembered that a server named no limit any
	// more, in case an older report of one arrives.
	overRetention = 10 * time.Second
)

// Limits holds the limits that a VM knows. It is safe for concurrent use; requests
// read an immutable view.
type Limits struct {
	// Bound is the bound of requests to cold servers.
	Bound ColdBound
	// PublishCold is called with changes of what is known of cold servers, in order; it
	// may be nil. It must not call Limits.
	PublishCold func([]Cold)

	now func() time.Time
	log *limpetlog.Logger
	// publish is called for each limit whose rate has changed, in order. It must
	// not call Limits.
	publish func(Limit)
	changes *prometheus.CounterVec
	view    atomic.Pointer[map[string]Limit]
	// changed is signalled when the VM itself observed a change.
	changed chan struct{}
	cold    coldServers
	// coldChanges counts the changes of cold servers.
	coldChanges *prometheus.CounterVec

	mu sync.Mutex
	// known holds limits and, for some time, those that are over, by server.
	known map[string]Limit
	// unsent holds the servers whose limits the director must be told.
	unsent map[string]bool
}

// NewLimits returns Limits that know none. Publish is called for each change; it
// may be nil.
func NewLimits(now func() time.Time, log *limpetlog.Logger, metrics prometheus.Registerer, publish func(Limit)) *Limits {
	l := &Limits{
		now: now, log: log, publish: publish, changed: make(chan struct{}, 1), known: map[string]Limit{}, unsent: map[string]bool{},
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_server_limit_changes_total", Help: "Changes of the request rates that backend servers named, by kind (named, changed, over, forgotten).",
		}, []string{"kind"}),
		coldChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_server_cold_changes_total", Help: "Changes of which backend servers count as cold, by kind (cold: the server said so, presumed: it has not said whether it is, warm: it said that it is not, over: the time that it named is over).",
		}, []string{"kind"}),
	}
	l.view.Store(&map[string]Limit{})
	l.newColdServers()
	metrics.MustRegister(l.changes, l.coldChanges, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpet_cold_servers", Help: "Backend servers that count as cold.",
	}, func() float64 { return float64(len(*l.cold.view.Load())) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpet_limited_servers", Help: "Backend servers that named a request rate.",
	}, func() float64 { return float64(len(*l.view.Load())) }))
	return l
}

// Any reports whether a server is limited.
func (l *Limits) Any() bool { return len(*l.view.Load()) > 0 || len(*l.cold.view.Load()) > 0 }

// Get returns the limit of a server, which it named or has because it is cold, and
// whether it has one.
func (l *Limits) Get(server string) (Limit, bool) {
	limit, limited := (*l.view.Load())[server]
	return l.addCold(server, limit, limited)
}

// signal makes the gate tell the director of changes.
func (l *Limits) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Observe records the rate that a server named in an answer to this VM; 0 if it
// named none.
func (l *Limits) Observe(server *limpetsite.Server, rate float64) {
	current, limited := (*l.view.Load())[server.ID]
	now := l.now()
	if (!limited && rate == 0) || (limited && current.Rate == rate && now.Sub(current.At) < refreshInterval) {
		return
	}
	if l.record([]Limit{{Server: server.ID, Incarnation: server.Incarnation, Rate: rate, At: now}}, "own", true) {
		l.signal()
	}
}

// Merge records limits that other VMs observed.
func (l *Limits) Merge(limits []Limit) {
	if len(limits) > 0 {
		l.record(limits, "other VM", false)
	}
}

// record records limits unless newer ones are known, and reports whether a rate
// has changed. Own limits must be sent to the director.
func (l *Limits) record(limits []Limit, source string, own bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range limits {
		before := l.known[limit.Server]
		if before.At.After(limit.At) || math.IsNaN(limit.Rate) || limit.Rate < 0 {
			continue
		}
		l.known[limit.Server] = limit
		if before.Rate == limit.Rate {
			continue
		}
		changed = true
		if own {
			l.unsent[limit.Server] = true
		}
		l.report(limit, before.Rate, source)
		if l.publish != nil {
			l.publish(limit)
		}
	}
	l.rebuild()
	return changed
}

// Kinds of changes, as named in logs and metrics.
const (
	kindNamed     = "named"
	kindChanged   = "changed"
	kindOver      = "over"
	kindForgotten = "forgotten"
)

// report logs and counts a change. The caller holds the lock.
func (l *Limits) report(limit Limit, before float64, source string) {
	kind := kindChanged
	switch {
	case limit.Rate == 0:
		kind = kindOver
	case before == 0:
		kind = kindNamed
	}
	l.changes.WithLabelValues(kind).Inc()
	l.log.Emit(limpetlog.ServerLimitChanged, limpetlog.Server(limit.Server), limpetlog.Value("kind", kind),
		limpetlog.Value("rate", limit.Rate), limpetlog.Value("before", before), limpetlog.Value("source", source))
}

// rebuild replaces the view. The caller holds the lock.
func (l *Limits) rebuild() {
	view := maps.Clone(l.known)
	maps.DeleteFunc(view, func(_ string, limit Limit) bool { return limit.Rate == 0 })
	l.view.Store(&view)
}

// All returns all limits that servers name.
func (l *Limits) All() map[string]Limit { return *l.view.Load() }

// Forget drops the limits of servers that are gone, and of their earlier starts:
// a new start owes nothing.
func (l *Limits) Forget(view *limpetsite.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.known) == 0 {
		return
	}
	now := l.now()
	for id, limit := range l.known {
		server := view.Server(id)
		switch {
		case server == nil, limit.Rate == 0 && now.Sub(limit.At) > overRetention,
			limit.Incarnation != 0 && server.Incarnation != 0 && limit.Incarnation != server.Incarnation:
			delete(l.known, id)
			if limit.Rate > 0 {
				l.changes.WithLabelValues(kindForgotten).Inc()
				l.log.Emit(limpetlog.ServerLimitChanged, limpetlog.Server(id), limpetlog.Value("kind", kindForgotten),
					limpetlog.Value("rate", 0), limpetlog.Value("before", limit.Rate), limpetlog.Value("source", "registration"))
				if l.publish != nil {
					l.publish(Limit{Server: id, At: now})
				}
			}
		case limit.Incarnation == 0:
			limit.Incarnation = server.Incarnation
			l.known[id] = limit
		}
	}
	l.rebuild()
}

// Resend marks all limits as unknown to the director, which is a new one.
func (l *Limits) Resend() {
	l.mu.Lock()
	for id, limit := range l.known {
		if limit.Rate > 0 {
			l.unsent[id] = true
		}
	}
	unsent := len(l.unsent) > 0
	l.mu.Unlock()
	if l.resendCold() || unsent {
		l.signal()
	}
}

// takeUnsent returns the limits that the director must be told.
func (l *Limits) takeUnsent() []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var limits []Limit
	for id := range l.unsent {
		if limit, known := l.known[id]; known {
			limits = append(limits, limit)
		}
	}
	clear(l.unsent)
	return limits
}

// returnUnsent marks limits as unsent that did not reach the director.
func (l *Limits) returnUnsent(limits []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range limits {
		l.unsent[limit.Server] = true
	}
}
