package limpethost

import (
	"math"
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpethttp"
)

// Parts of the process's limits that clients may hold. With the smallest VM (144 MB,
// 3,075 descriptors): 1,536 connections, 768 requests at once, 12 MB of headers.
const (
	// connFdShare is the part of the descriptors, in quarters, for connections of
	// clients; the rest is for those to backend servers, other VMs and the store.
	connFdShare = 3
	// connBytes is the memory for each connection; an idle one takes about 16 KB.
	connBytes = 96 << 10
	// requestFdShare is the part of the descriptors, one in requestFdShare, for
	// requests at once, each of which may need a connection to a backend server.
	requestFdShare = 4
	// requestBytes is the memory for each request that runs, with bodies and answers
	// that are too small to be accounted for.
	requestBytes = 160 << 10
	// headerMemoryShare is the part of the memory, one in headerMemoryShare, for headers.
	headerMemoryShare = 12
	// defaultMemory and defaultDescriptors are used without limits in the settings.
	defaultMemory      = 512 << 20
	defaultDescriptors = 3075
	// relayBodyCopies is the number of times that a message of another VM stands in
	// memory while it is decoded: in a buffer that doubles, beside its copy while it
	// grows, and decoded.
	relayBodyCopies = 4
	// relayListener is the name of the listener for other VMs in metrics and log lines.
	relayListener = "vms"
)

// memory returns the memory limit of the process, in bytes.
func memory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int64(float64(limit) / memoryLimitFraction)
	}
	return defaultMemory
}

func (s Settings) descriptors() int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	return defaultDescriptors
}

// clientLimits returns what the clients of all listeners may hold together.
func (h *Host) clientLimits() limpethttp.Limits {
	l := limpethttp.Limits{
		Conns:       min(h.Settings.descriptors()*connFdShare/4, int(memory()/connBytes)),
		HeaderBytes: memory() / headerMemoryShare,
	}
	if c := h.View().Config; c != nil {
		l.Header = c.Limits.HeaderBytes
	}
	return l
}

func (h *Host) requestLimit() int {
	return min(h.Settings.descriptors()/requestFdShare, int(memory()/requestBytes))
}

// startClients starts to account for what clients hold.
func (h *Host) startClients(registry prometheus.Registerer) {
	h.refusals = limpethttp.NewRefusals(registry, h.Log, h.deps.Now)
	h.Guard = limpethttp.NewGuard(h.clientLimits, h.deps.Now, h.ClientRefused)
	h.Requests = limpethttp.NewSlots(h.requestLimit)
	h.Bodies, h.messages = newBodies()
	limpethttp.RegisterMetrics(registry, h.Guard, h.Bodies, h.messages)
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpet_client_requests", Help: "Requests of callers that run at the moment.",
	}, func() float64 { return float64(h.Requests.Used()) }))
}

// ClientRefused counts a client of a listener that met a bound.
func (h *Host) ClientRefused(listener string, b limpethttp.Bound) { h.refusals.Count(listener, b) }

// boundMessages bounds the memory of messages of other VMs while they are handled.
func (h *Host) boundMessages(next http.Handler) http.Handler {
	return h.messages.Bound(next, relayBodyCopies, func() { h.ClientRefused(relayListener, limpethttp.BoundBodies) })
}
