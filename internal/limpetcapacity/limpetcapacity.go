// Package limpetcapacity keeps the account of what each backend server takes,
// over all VMs. A VM's Observer collects what the VM sees of servers while a
// service is short of capacity, and the director's Account makes of that what it
// publishes to all VMs: a view of each server, and each VM's share of a service.
// Both decide without a network and on the time that they are given. The package
// must not import those that send requests or messages.
package limpetcapacity

import "time"

// An Observation is what one VM saw of one server since its last report.
type Observation struct {
	Server      string
	Incarnation int64
	// Running, Waiting and Slots are those of the newest load header; Slots is 0 if
	// there was none.
	Running, Waiting, Slots int
	// Factor is the smoothed ratio of how long work takes on the server's machine to
	// how long it usually takes; 0 if unknown.
	Factor float64
	// Started, Answered and Refused count requests.
	Started, Answered, Refused int
	// RefusedFull counts those of the refusals that came with a load header by which
	// the slots were taken.
	RefusedFull int
	// Latency is the mean time of the requests that were answered.
	Latency time.Duration
	// Age is the time since the newest load header.
	Age time.Duration
}

// A Demand is what one VM had to do for one service since its last report.
type Demand struct {
	Service string
	// Arrived counts new requests, and Waiting is how many wait at the VM.
	Arrived, Waiting int
}

// A ServerView is what the director publishes of one server.
type ServerView struct {
	Server string
	// Limit is the number of concurrent requests that the server takes, from all VMs
	// together, and InUse how many of them are in use.
	Limit, InUse float64
	// Latency is the mean time of an answer.
	Latency time.Duration
	// Age is the time since the newest observation that the view rests on.
	Age time.Duration
}

// A Share is what this VM may use of a service that is short of capacity. The zero
// Share says that nothing is known.
type Share struct {
	Short bool
	// Rate is the number of requests a second that this VM may begin.
	Rate float64
	// Wait is the expected wait of one more request.
	Wait time.Duration
}

// A Report is what one VM saw and had to do over Span.
type Report struct {
	VM           string
	Span         time.Duration
	Observations []Observation
	Demands      []Demand
}

// A ServiceView is what the director publishes of one service. Each VM's share of
// Rate is that of its own requests in Demand, so that the view is the same for all.
type ServiceView struct {
	Service string
	// Short is set while the service has not enough capacity.
	Short bool
	// Rate and Demand are the requests a second that the servers take, and that
	// arrive at all VMs. Waiting is the number of requests that wait at VMs.
	Rate, Demand float64
	Waiting      int
	// VMs is the number of VMs that reported.
	VMs int
}

// A Publication is what the director publishes at one time.
type Publication struct {
	Services []ServiceView
	// Servers holds the views that changed by enough to be worth a message.
	Servers []ServerView
	// Ended holds the services about which nothing is published any more, and
	// Dropped the servers.
	Ended, Dropped []string
}

// A Known is what the deployment says of a server.
type Known struct {
	Server, Service string
	Incarnation     int64
	Slots           int
	// Draining servers take nothing.
	Draining bool
	// Rate is the number of requests a second that the server takes; 0 if it named
	// none.
	Rate float64
}
