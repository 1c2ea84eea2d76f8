// Package limpetview owns the immutable snapshot that each request reads from
// start to end. Only the control goroutine makes new ones.
package limpetview

import (
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
)

// A View holds what a VM knows at one moment. It must not be changed.
type View struct {
	Config *limpetconfig.Document
	// Suspended names keys that are stopped but not yet durably withdrawn.
	Suspended map[string]bool
	// Honour is false while the VM cannot confirm its configuration; then no
	// key is accepted.
	Honour bool
	// Members are the other live VMs.
	Members []limpetmember.State
	// Servers holds the candidates of each service.
	Servers    map[string][]limpetroute.Candidate
	Quarantine limpetquarantine.View
	StoreDown  bool
	// Draining is set when this VM stops taking requests.
	Draining bool
	// Loaded is set when a configuration was read since the start.
	Loaded bool
}

// Ready reports whether the balancer may send callers to this VM.
func (v *View) Ready() bool { return v.Loaded && v.Honour && !v.Draining }

// Capacity returns the number of requests that a service's servers run at
// once, the estimate of what other VMs have there, and the server count.
func (v *View) Capacity(service string) (capacity, others, servers int) {
	sum := 0.0
	for i := range v.Servers[service] {
		c := &v.Servers[service][i]
		if c.Leaving {
			continue
		}
		servers++
		capacity += c.Capacity
		sum += c.Others
	}
	return capacity, int(sum), servers
}

// Places returns how many requests this VM may have at a service's servers:
// what others leave free, and at least its equal part.
func (v *View) Places(service string) int {
	capacity, others, _ := v.Capacity(service)
	vms := len(v.Members) + 1
	return max(capacity-others, (capacity+vms-1)/vms)
}
