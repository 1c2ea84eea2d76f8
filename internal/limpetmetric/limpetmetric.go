// Package limpetmetric owns the metrics of a VM. Labels are bounded: beyond a
// number of client accounts, further ones share one label.
package limpetmetric

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	labelsLargest = 200
	otherLabel    = "other"
)

// A Set holds a VM's metrics.
type Set struct {
	Registry *prometheus.Registry

	queue, first, total *prometheus.HistogramVec
	requests            *prometheus.CounterVec
	tokens              *prometheus.CounterVec
	retries             *prometheus.CounterVec
	streams             prometheus.Gauge
	applied             prometheus.Gauge
	honour              prometheus.Gauge

	mu       sync.Mutex
	accounts map[string]bool
}

// New registers the metrics in a registry of their own.
func New() *Set {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 18)
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{"account", "class"})
	}
	s := &Set{
		Registry: prometheus.NewRegistry(),
		queue:    histogram("limpet_queue_seconds", "Time from arrival to admission."),
		first:    histogram("limpet_first_token_seconds", "Time from arrival to the first token."),
		total:    histogram("limpet_request_seconds", "Time from arrival to the end of the answer."),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "limpet_requests_total", Help: "Requests by account, class and outcome."}, []string{"account", "class", "outcome"}),
		tokens:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "limpet_tokens_total", Help: "Generated tokens by account and service."}, []string{"account", "service"}),
		retries:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "limpet_retries_total", Help: "Attempts after the first, by service and cause."}, []string{"service", "cause"}),
		streams:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "limpet_open_requests", Help: "Requests open on this VM."}),
		applied:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "limpet_config_index", Help: "Log index of the configuration in force."}),
		honour:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "limpet_keys_honoured", Help: "1 while this VM accepts keys."}),
		accounts: map[string]bool{},
	}
	s.Registry.MustRegister(s.queue, s.first, s.total, s.requests, s.tokens, s.retries, s.streams, s.applied, s.honour)
	return s
}

// label returns the label for an account, bounding their number.
func (s *Set) label(account string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accounts[account] {
		if len(s.accounts) >= labelsLargest {
			return otherLabel
		}
		s.accounts[account] = true
	}
	return account
}

// A Timing holds the times of one request, for the histograms.
type Timing struct {
	Queue, First, Total time.Duration
}

// Request records a finished request.
func (s *Set) Request(account, class, outcome string, t Timing) {
	a := s.label(account)
	s.requests.WithLabelValues(a, class, outcome).Inc()
	s.queue.WithLabelValues(a, class).Observe(t.Queue.Seconds())
	if t.First > 0 {
		s.first.WithLabelValues(a, class).Observe(t.First.Seconds())
	}
	s.total.WithLabelValues(a, class).Observe(t.Total.Seconds())
}

// Tokens records generated tokens.
func (s *Set) Tokens(account, service string, n int) {
	s.tokens.WithLabelValues(s.label(account), service).Add(float64(n))
}

// Retry records an attempt after the first.
func (s *Set) Retry(service, cause string) { s.retries.WithLabelValues(service, cause).Inc() }

// Open changes the number of open requests.
func (s *Set) Open(delta int) { s.streams.Add(float64(delta)) }

// Control records the control state.
func (s *Set) Control(applied uint64, honour bool) {
	s.applied.Set(float64(applied))
	s.honour.Set(0)
	if honour {
		s.honour.Set(1)
	}
}
