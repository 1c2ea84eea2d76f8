package limpethttp

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetlog"
)

// refusalLogInterval is the least time between two log lines on one bound.
const refusalLogInterval = time.Second

// Refusals counts the clients that met a bound, and logs them. It is safe for concurrent
// use.
type Refusals struct {
	counter *prometheus.CounterVec
	log     *limpetlog.Logger
	now     func() time.Time

	mu sync.Mutex
	// logged holds when a line was written, and unlogged how many clients met the
	// bound since.
	logged   map[refusalKind]time.Time
	unlogged map[refusalKind]int
}

type refusalKind struct {
	listener string
	bound    Bound
}

// NewRefusals returns refusals whose counter is registered in a registry.
func NewRefusals(registry prometheus.Registerer, log *limpetlog.Logger, now func() time.Time) *Refusals {
	r := &Refusals{
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_client_refusals_total", Help: "Connections closed and requests refused because clients met a bound, by listener and bound.",
		}, []string{"listener", "bound"}),
		log: log, now: now, logged: map[refusalKind]time.Time{}, unlogged: map[refusalKind]int{},
	}
	registry.MustRegister(r.counter)
	return r
}

// Count counts a client of a listener that met a bound.
func (r *Refusals) Count(listener string, b Bound) {
	r.counter.WithLabelValues(listener, string(b)).Inc()
	now, kind := r.now(), refusalKind{listener, b}
	r.mu.Lock()
	r.unlogged[kind]++
	count := r.unlogged[kind]
	due := now.Sub(r.logged[kind]) >= refusalLogInterval
	if due {
		r.logged[kind], r.unlogged[kind] = now, 0
	}
	r.mu.Unlock()
	if due {
		r.log.Emit(limpetlog.ClientRefused, limpetlog.Value("listener", listener), limpetlog.Value("bound", string(b)), limpetlog.Value("count", count))
	}
}

// RegisterMetrics registers what clients hold: connections, headers and bodies.
func RegisterMetrics(registry prometheus.Registerer, g *Guard, bodies ...*Bodies) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "limpet_client_connections", Help: "Open connections of clients on all listeners.",
		}, func() float64 { return float64(g.Conns()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "limpet_client_header_bytes", Help: "Memory that headers of requests take, in bytes.",
		}, func() float64 { return float64(g.HeaderBytes()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "limpet_request_body_bytes", Help: "Memory that bodies of requests take, in bytes, beyond 16 KiB for each.",
		}, func() float64 { return sumOf(bodies, (*Bodies).Used) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpet_client_bodies_given_up_total", Help: "Bodies of requests that made no progress and were given up for others.",
		}, func() float64 { return sumOf(bodies, func(b *Bodies) int64 { return b.GivenUp.Load() }) }),
	)
}

func sumOf(bodies []*Bodies, value func(*Bodies) int64) float64 {
	var sum int64
	for _, b := range bodies {
		sum += value(b)
	}
	return float64(sum)
}
