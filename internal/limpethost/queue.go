package limpethost

import (
	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetqueue"
)

// newQueues returns the queues of requests that wait while their service is short of
// capacity.
func (h *Host) newQueues() *limpetqueue.Queues {
	queues := limpetqueue.NewQueues(h.deps.Now)
	h.Metrics.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpet_queued_requests", Help: "Plain requests that wait on this VM because their service is short of capacity.",
	}, func() float64 {
		total := 0
		for _, n := range queues.Waiting() {
			total += n
		}
		return float64(total)
	}))
	return queues
}

// queued returns the number of requests that wait for a service on this VM.
func (h *Host) queued(service string) int { return h.Forwarder.Queues.Waiting()[service] }
