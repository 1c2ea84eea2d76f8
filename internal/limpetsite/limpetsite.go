// Package limpetsite owns what the system knows of the deployment that it
// serves: routes, client accounts, services, backend servers and named weight
// versions. A Snapshot is immutable and read by all traffic; a State is
// changed by one owner. The package does no I/O and reads no clock.
package limpetsite

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

// A Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// Once requests run at most once for each attempt of the caller.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events and run at most once, unless
	// their route is resumable.
	Stream
	// Rollout requests are batch jobs whose items run later.
	Rollout
)

// A Target is one service that a route leads to, with its share of requests.
type Target struct {
	Service string
	Weight  float64
}

// A Route says where the requests of a host and path prefix go.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Targets []Target
	Kind    Kind
	// Timeout is the longest time that a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// Goal is the time within which an answer is worth most.
	Goal time.Duration
	// Attempts is the largest number of backend servers for one request.
	Attempts int
	// Priority is the rank, 0 the highest.
	Priority int
	// Open routes need no key.
	Open      bool
	Resumable bool
	// OnPolicy samples are made under exactly one weight version.
	OnPolicy bool
	// RunTarget is when all results of a batch job are due, after submission.
	RunTarget time.Duration
	// ItemLife is when an item may be given up, after submission.
	ItemLife time.Duration
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Rollout || (r.Kind == Stream && r.Resumable)
}

// A Fleet holds the bounds within which servers of a service are ordered, for
// each availability zone.
type Fleet struct {
	Min, Max int
	// Prices holds the price of a server's second by availability zone.
	Prices map[string]float64
}

// A Service holds what the operator configured of a service.
type Service struct {
	Name string
	// Fleet is nil when the service's servers are not ordered.
	Fleet *Fleet
}

// An Account is a client account. Keys are held as hashes.
type Account struct {
	Name string
	Keys [][sha256.Size]byte
	// Priority takes precedence over a route's when Ranked is set.
	Priority int
	Ranked   bool
}

// Limits bound what a caller may send; 0 stands for no bound.
type Limits struct {
	BodyBytes int64
}

// A Config holds one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// A Server holds what a backend server says of itself.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining servers get no new work.
	Draining bool
	// Spot servers may be reclaimed.
	Spot bool
	// Models holds the weight version of each model that it serves.
	Models map[string]int
	// Born identifies the server's start.
	Born int64
}

// A Named holds the newest weight version of a model that a trainer named.
type Named struct {
	Model   string
	Version int
}

// A Retirement asks that a VM be emptied.
type Retirement struct {
	VM     string
	Within time.Duration
}

// HashKey returns the form in which keys are held and compared.
func HashKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

func sameHash(a, b [sha256.Size]byte) bool {
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
