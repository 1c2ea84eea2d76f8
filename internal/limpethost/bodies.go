package limpethost

import (
	"math"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpethttp"
)

const (
	// bodyMemoryShare is the part of the Go runtime's memory limit that the bodies of
	// requests may take together, and defaultBodyMemory what they take without a
	// limit, in bytes.
	bodyMemoryShare   = 0.5
	defaultBodyMemory = 256 << 20
)

// newBodies returns the account of the memory of request bodies, which follows the
// limit of LimitMemory.
func newBodies(registry prometheus.Registerer) *limpethttp.Bodies {
	bodies := limpethttp.NewBodies(func() int64 {
		if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
			return int64(bodyMemoryShare * float64(limit))
		}
		return defaultBodyMemory
	})
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpet_request_body_bytes", Help: "Memory that bodies of requests take, in bytes, beyond 16 KiB for each.",
	}, func() float64 { return float64(bodies.Used()) }))
	return bodies
}
