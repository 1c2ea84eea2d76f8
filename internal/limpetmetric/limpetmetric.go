// Package limpetmetric defines the metrics of a VM. The number of account labels
// is bounded: client accounts beyond it share one label.
package limpetmetric

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetbuild"
)

const (
	maxAccountLabels = 200
	otherLabel       = "other"
)

// A Set is the set of a VM's metrics.
type Set struct {
	Registry *prometheus.Registry

	queue, firstToken, total *prometheus.HistogramVec
	requests                 *prometheus.CounterVec
	tokens                   *prometheus.CounterVec
	retries                  *prometheus.CounterVec
	brokenAttempts           *prometheus.CounterVec
	continuations            *prometheus.CounterVec
	earlyRefusals            *prometheus.CounterVec
	yieldedDuties            prometheus.Counter
	eventIntervals           *prometheus.HistogramVec
	directorSteps            prometheus.Histogram
	examinedEngines          prometheus.Counter
	openRequests             prometheus.Gauge
	configIndex              prometheus.Gauge
	keysAccepted             prometheus.Gauge

	mu       sync.Mutex
	accounts map[string]bool
}

// New returns a set whose metrics are registered in a new registry.
func New() *Set {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 18)
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{"account", "class"})
	}
	s := &Set{
		Registry:   prometheus.NewRegistry(),
		queue:      histogram("limpet_queue_seconds", "Time from arrival to admission."),
		firstToken: histogram("limpet_first_token_seconds", "Time from arrival to the first token."),
		total:      histogram("limpet_request_seconds", "Time from arrival to the end of the answer."),
		requests:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "limpet_requests_total", Help: "Requests by account, class and outcome."}, []string{"account", "class", "outcome"}),
		tokens:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "limpet_tokens_total", Help: "Generated tokens by account and service."}, []string{"account", "service"}),
		retries:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "limpet_retries_total", Help: "Attempts after the first, by service and cause."}, []string{"service", "cause"}),
		brokenAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_broken_attempts_total", Help: "Attempts without a usable answer, by service and how they ended.",
		}, []string{"service", "ending"}),
		continuations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_continuations_total", Help: "Interrupted streams that were taken up again, by kind and by what became of them.",
		}, []string{"kind", "outcome"}),
		earlyRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_queue_refusals_total", Help: "Requests refused as not run because their service is short of capacity, by service and cause.",
		}, []string{"service", "cause"}),
		yieldedDuties: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "limpet_duties_yielded_total", Help: "Duties left to other VMs because an earlier process of this VM held them when it ended.",
		}),
		eventIntervals: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "limpet_event_interval_seconds", Help: "Time between two events of a text, by model and by the number of texts that the engine generates at once.",
			Buckets: []float64{0.01, 0.02, 0.03, 0.035, 0.04, 0.045, 0.05, 0.055, 0.06, 0.08, 0.1, 0.15, 0.25, 0.5, 1, 2},
		}, []string{"model", "texts"}),
		directorSteps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "limpet_director_step_gap_seconds", Help: "Time between two steps of the loop that carries out the director's work.",
			Buckets: []float64{0.01, 0.03, 0.05, 0.12, 0.25, 0.5, 1, 2, 4},
		}),
		examinedEngines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "limpet_examined_engines_total", Help: "Engines that the director's decisions on items looked at, an engine once for each decision.",
		}),
		openRequests: prometheus.NewGauge(prometheus.GaugeOpts{Name: "limpet_open_requests", Help: "Requests open on this VM."}),
		configIndex:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "limpet_config_index", Help: "Log index of the configuration in force."}),
		keysAccepted: prometheus.NewGauge(prometheus.GaugeOpts{Name: "limpet_keys_honoured", Help: "1 while this VM accepts keys."}),
		accounts:     map[string]bool{},
	}
	limpetbuild.Register(s.Registry)
	s.Registry.MustRegister(s.queue, s.firstToken, s.total, s.requests, s.tokens, s.retries, s.brokenAttempts, s.continuations, s.earlyRefusals, s.yieldedDuties, s.eventIntervals, s.directorSteps, s.examinedEngines, s.openRequests, s.configIndex, s.keysAccepted)
	return s
}

// accountLabel returns the label of an account: its name for the first
// maxAccountLabels accounts, otherLabel for all others.
func (s *Set) accountLabel(account string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accounts[account] {
		if len(s.accounts) >= maxAccountLabels {
			return otherLabel
		}
		s.accounts[account] = true
	}
	return account
}

// A Timing holds the durations of one request, measured from its arrival.
// FirstToken is zero if there was no token.
type Timing struct {
	Queue, FirstToken, Total time.Duration
}

// ObserveRequest records a finished request.
func (s *Set) ObserveRequest(account, class, outcome string, t Timing) {
	a := s.accountLabel(account)
	s.requests.WithLabelValues(a, class, outcome).Inc()
	s.queue.WithLabelValues(a, class).Observe(t.Queue.Seconds())
	if t.FirstToken > 0 {
		s.firstToken.WithLabelValues(a, class).Observe(t.FirstToken.Seconds())
	}
	s.total.WithLabelValues(a, class).Observe(t.Total.Seconds())
}

// AddTokens adds n generated tokens.
func (s *Set) AddTokens(account, service string, n int) {
	s.tokens.WithLabelValues(s.accountLabel(account), service).Add(float64(n))
}

// CountRetry counts an attempt after the first.
func (s *Set) CountRetry(service, cause string) { s.retries.WithLabelValues(service, cause).Inc() }

// ObserveDirectorStep records the time between two steps of the director's loop.
func (s *Set) ObserveDirectorStep(gap time.Duration) { s.directorSteps.Observe(gap.Seconds()) }

// AddExaminedEngines counts engines that decisions looked at.
func (s *Set) AddExaminedEngines(n uint64) { s.examinedEngines.Add(float64(n)) }

// CountBrokenAttempt counts an attempt without a usable answer.
func (s *Set) CountBrokenAttempt(service, ending string) {
	s.brokenAttempts.WithLabelValues(service, ending).Inc()
}

// CountEarlyRefusal counts a request that is refused while its service is short of
// capacity.
func (s *Set) CountEarlyRefusal(service, cause string) {
	s.earlyRefusals.WithLabelValues(service, cause).Inc()
}

// The kinds of streams that are continued.
const (
	Items       = "item"
	Streams     = "stream"
	Completions = "completion"
)

// What becomes of an interrupted stream that is taken up again.
const (
	// SameSoftware streams go on at a server of the software that began them, and
	// OtherSoftware streams at one of other software.
	SameSoftware  = "same"
	OtherSoftware = "other"
	// BegunAgain streams begin from their first event.
	BegunAgain = "again"
	// UnknownSoftware streams are refused because it is not known which software
	// began them, and NoneLeft streams because no server of it is left.
	UnknownSoftware = "unknown"
	NoneLeft        = "none_left"
)

// CountContinuation counts an interrupted stream that was taken up again.
func (s *Set) CountContinuation(kind, outcome string) {
	s.continuations.WithLabelValues(kind, outcome).Inc()
}

// ObserveEventInterval records the time between two events of a text on an engine
// that generates a number of texts. Their context is not a label.
func (s *Set) ObserveEventInterval(model string, texts, _ int, interval time.Duration) {
	s.eventIntervals.WithLabelValues(model, textsLabel(texts)).Observe(interval.Seconds())
}

// textsLabel returns the label for a number of texts, so that there are few.
func textsLabel(n int) string {
	switch {
	case n <= 1:
		return "1"
	case n <= 4:
		return "2-4"
	case n <= 8:
		return "5-8"
	default:
		return "9+"
	}
}

// CountYieldedDuty counts a duty that this VM leaves to others.
func (s *Set) CountYieldedDuty() { s.yieldedDuties.Inc() }

// AddOpenRequests adds delta to the number of open requests.
func (s *Set) AddOpenRequests(delta int) { s.openRequests.Add(float64(delta)) }

// SetConfigState sets the index of the configuration in force and whether keys
// are accepted.
func (s *Set) SetConfigState(configIndex uint64, keysAccepted bool) {
	s.configIndex.Set(float64(configIndex))
	s.keysAccepted.Set(0)
	if keysAccepted {
		s.keysAccepted.Set(1)
	}
}
