// Package limpetsite models the deployment that the system serves: routes,
// client accounts, services, backend servers and the published weight
// versions. A Snapshot is an immutable view that all requests read; a State
// has a single owner, which applies changes to it. The package does no I/O and
// does not read the clock.
package limpetsite

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"time"
)

// A Kind says how the requests of a route are run, and which of them may be
// repeated.
type Kind int

const (
	// Once requests run at most once per attempt of the caller.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events and run at most once,
	// unless their route is resumable.
	Stream
	// Rollout requests are batch jobs, whose items run after the submission
	// was answered.
	Rollout
)

// A Target is a service that a route leads to, with its relative weight.
type Target struct {
	Service string
	Weight  float64
}

// A Route configures the requests of a host and path prefix.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Targets []Target
	Kind    Kind
	// Timeout bounds how long a caller waits; 0 means no bound.
	Timeout time.Duration
	// LatencyGoal is the response time that the route aims at.
	LatencyGoal time.Duration
	// Attempts is the largest number of backend servers tried for one request.
	Attempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Public routes need no API key.
	Public    bool
	Resumable bool
	// OnPolicy requires that each sample is generated with a single weight
	// version.
	OnPolicy bool
	// RunTarget is the time from a batch job's submission until all its
	// results are due.
	RunTarget time.Duration
	// ItemTTL is the time from a batch job's submission until its items may
	// be given up.
	ItemTTL time.Duration
	// Homes names the regions in which the requests may run; empty allows all.
	Homes []string
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Rollout || (r.Kind == Stream && r.Resumable)
}

// Shares returns what part of the route's requests each of its services gets. The parts
// are positive and add up to 1.
func (r *Route) Shares() map[string]float64 {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	shares := map[string]float64{}
	for _, t := range r.Targets {
		if t.Weight > 0 {
			shares[t.Service] += t.Weight / total
		}
	}
	if len(shares) == 0 && len(r.Targets) > 0 {
		shares[r.Targets[len(r.Targets)-1].Service] = 1
	}
	return shares
}

// Pick selects one of the route's services by weight, from a random number
// between 0 and 1.
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := random * total
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// LeadsTo reports whether the route has a service among its targets.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// A Fleet bounds the number of servers that are ordered for a service in each
// availability zone.
type Fleet struct {
	Min, Max int
	// Prices holds the price of a server per second by availability zone.
	Prices map[string]float64
}

// A Service is the operator's configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path at which the service's servers answer health
	// checks; empty if none is configured.
	HealthPath string
	// Fleet is nil if the system does not order servers for the service.
	Fleet *Fleet
	// ColdStart is how long a started server is cold, and ColdRate the number of requests
	// a second that a cold server can handle; 0 if the service's servers are never cold.
	ColdStart time.Duration
	ColdRate  float64
}

// MayBeCold reports whether servers of the service may be cold.
func (s *Service) MayBeCold() bool { return s != nil && s.ColdRate > 0 }

// An Account is a client account. Its API keys are held as hashes.
type Account struct {
	Name string
	Keys [][sha256.Size]byte
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes names the regions in which the account's requests may run; empty allows
	// all.
	Homes []string
}

// Limits bound the requests of callers; 0 means no bound.
type Limits struct {
	BodyBytes, HeaderBytes int64
}

// A Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// A Server is a backend server as registered.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining servers get no new work.
	Draining bool
	// Evacuated servers are presented as draining because their availability zone is
	// to be evacuated. They stay registered, and get work again after that.
	Evacuated bool
	// Spot servers may be reclaimed by the platform.
	Spot bool
	// Models holds the weight version that the server has of each of its
	// models.
	Models map[string]int
	// Incarnation identifies the start of the server's process.
	Incarnation int64
	// Software is the software that the server runs.
	Software Software
	// Cold is what the entry says about the server's being cold.
	Cold ColdReport
}

// A ColdReport is what a server's entry says about its being cold.
type ColdReport struct {
	// Known is set if the entry says anything.
	Known bool
	// Left is how much longer the server was cold when it wrote the entry.
	Left time.Duration
	// Revision is that of the entry, and tells a repeated report from an earlier one.
	Revision uint64
}

// Software names a service and the version of the software that some of its
// servers run. A stream that one version began can be continued by servers of the
// same version only. The empty name means that the software is not known; no
// stream may be continued by guessing it.
type Software string

// SoftwareOf returns the name of a version of a service's software.
func SoftwareOf(service, version string) Software { return Software(service + "/" + version) }

// Service returns the service that the software belongs to.
func (s Software) Service() string {
	service, _, _ := strings.Cut(string(s), "/")
	return service
}

// A PublishedVersion is the newest weight version of a model that a trainer has
// published.
type PublishedVersion struct {
	Model   string
	Version int
}

// A Retirement is an operator's request to drain a VM so that it can be
// removed.
type Retirement struct {
	VM     string
	Within time.Duration
}

// An Evacuation is an operator's request that nothing be sent to the backend servers
// of an availability zone until it is taken back.
type Evacuation struct{ Zone string }

// HashKey returns the hash by which API keys are stored and compared.
func HashKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

func equalHashes(a, b [sha256.Size]byte) bool {
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
