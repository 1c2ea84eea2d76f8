package limpethost

import (
	"math"
	"runtime/debug"

	"limpetmount.org/internal/limpethttp"
)

const (
	// bodyMemoryShare is the part of the Go runtime's memory limit that the bodies of
	// requests may take together, and defaultBodyMemory what they take without a
	// limit, in bytes.
	bodyMemoryShare   = 0.5
	defaultBodyMemory = 256 << 20
	// messageShare is the part of that memory, one in messageShare, for messages between
	// VMs. Callers' bodies cannot take it, or they would end the sessions of executors.
	messageShare = 4
)

// newBodies returns the accounts of the memory of callers' bodies and of messages between
// VMs, which follow the limit of LimitMemory.
func newBodies() (callers, messages *limpethttp.Bodies) {
	callers = limpethttp.NewBodies(func() int64 { return bodyMemory() - bodyMemory()/messageShare })
	return callers, limpethttp.NewReserved(func() int64 { return bodyMemory() / messageShare }, callers)
}

// bodyMemory returns what all bodies may take together, in bytes.
func bodyMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int64(bodyMemoryShare * float64(limit))
	}
	return defaultBodyMemory
}
