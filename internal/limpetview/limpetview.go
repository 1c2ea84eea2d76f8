// Package limpetview defines the immutable snapshot of a VM's state that a
// request uses from start to end. Only the control goroutine creates snapshots.
package limpetview

import (
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
)

// A View is a snapshot of what a VM knows. It must not be modified.
type View struct {
	Config *limpetconfig.Document
	// Suspended holds keys that are refused but not yet durably withdrawn.
	Suspended map[string]bool
	// KeysAccepted says whether keys are accepted. It is false while the VM
	// cannot confirm that its configuration is current.
	KeysAccepted bool
	// Members are the other live VMs.
	Members []limpetmember.State
	// Servers holds the candidate servers of each service.
	Servers    map[string][]limpetroute.Candidate
	Quarantine limpetquarantine.View
	StoreDown  bool
	// Draining is set when this VM no longer accepts requests.
	Draining bool
	// ConfigLoaded is set once a configuration was read after the start.
	ConfigLoaded bool
}

// Ready reports whether the load balancer may send callers to this VM.
func (v *View) Ready() bool { return v.ConfigLoaded && v.KeysAccepted && !v.Draining }

// Capacity returns the number of requests that the servers of a service can run
// at once, an estimate of how many other VMs have there, and the number of
// servers. Servers that are leaving do not count.
func (v *View) Capacity(service string) (capacity, others, servers int) {
	sum := 0.0
	for i := range v.Servers[service] {
		c := &v.Servers[service][i]
		if c.Leaving {
			continue
		}
		servers++
		capacity += c.Capacity
		sum += c.OtherRequests
	}
	return capacity, int(sum), servers
}

// MaxRequests returns how many requests this VM may have at the servers of a
// service: the capacity that other VMs leave free, but at least an equal share.
func (v *View) MaxRequests(service string) int {
	capacity, others, _ := v.Capacity(service)
	vms := len(v.Members) + 1
	return max(capacity-others, (capacity+vms-1)/vms)
}
