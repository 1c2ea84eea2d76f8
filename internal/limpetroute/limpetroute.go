// Package limpetroute selects the backend server for a request. Pick has no
// side effects: it takes a list of candidates and returns an index.
package limpetroute

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetmount.org/internal/limpetorder"
)

// A Server describes one backend server. It is shared by all snapshots that
// list it; only OwnRequests changes.
type Server struct {
	ID      string
	Service string
	Zone    string
	Address string
	Class   limpetorder.Class
	// OwnRequests counts the requests that this VM has in flight at the server.
	OwnRequests atomic.Int32
	// Hash is the server's input to rendezvous hashing.
	Hash uint64
}

// NewServer returns a Server for an entry of the platform's list.
func NewServer(s limpetorder.Server) *Server {
	return &Server{ID: s.ID, Service: s.Service, Zone: s.Zone, Address: s.Address, Class: s.Class, Hash: xxhash.Sum64String(s.ID)}
}

// A Candidate is a server with its state in a snapshot. OtherRequests is the
// estimated number of requests that other VMs have in flight there.
type Candidate struct {
	*Server
	// Capacity is the number of requests that the server runs concurrently.
	Capacity      int
	OtherRequests float64
	// Version is the version of the server's weights.
	Version     uint64
	Incarnation string
	// Software names the version of the server's software; empty if the server
	// names none.
	Software string
	// Cached holds the prompt prefixes that the server has announced as cached.
	// Snapshots share it, so it must not be modified.
	Cached Prefixes
	// Leaving excludes the server from new requests.
	Leaving bool
	// Failing excludes the server unless all eligible servers are failing.
	Failing bool
}

// Prefixes is a set of hashes of prompt prefixes.
type Prefixes map[uint64]struct{}

// Load returns the estimated number of requests at the server: the estimate
// for other VMs plus this VM's current count.
func (c *Candidate) Load() float64 {
	return c.OtherRequests + float64(c.OwnRequests.Load())
}

// A Report holds the number of other VMs' requests according to a server's
// last load report, and the report's age.
type Report struct {
	OtherRequests int
	Age           time.Duration
}

// Estimate returns the expected number of other VMs' requests at each server.
// A report loses accuracy as the requests that it counted end. Each estimate
// therefore decays from the reported value to the mean of all reports, with
// the mean request duration, service, as the time constant. Otherwise all VMs
// would send requests to a server that a stale report shows as idle.
func Estimate(reports []Report, service time.Duration) []float64 {
	mean := 0.0
	for _, r := range reports {
		mean += float64(r.OtherRequests) / float64(len(reports))
	}
	estimates := make([]float64, len(reports))
	for i, r := range reports {
		weight := math.Exp(-float64(r.Age) / float64(max(service, time.Millisecond)))
		estimates[i] = weight*float64(r.OtherRequests) + (1-weight)*mean
	}
	return estimates
}

// A Query holds a request's requirements and preferences for a server.
type Query struct {
	Zone string
	// Prefix is the hash of the prompt's prefix, 0 for none. PromptBytes is the
	// size of the prompt, which limits how much work a cache hit can save.
	Prefix      uint64
	PromptBytes int
	// MinVersion excludes servers with older weights.
	MinVersion uint64
	// Continues excludes servers of other software than Software, which began the
	// answer.
	Continues bool
	Software  string
	// Exclude lists the IDs of servers that already failed the request.
	Exclude []string
	// Isolated prefers a server without other requests of this VM, to isolate
	// requests that are suspected of crashing servers.
	Isolated bool
	// Cheap prefers servers of the cheap class, which can be reclaimed.
	Cheap bool
	// Random is the seed for drawing the servers to compare.
	Random uint64
}

// Terms of the score, in units of a full server's load.
const (
	otherZonePenalty = 0.05
	affinityBonus    = 0.3
	// affinityBytes is the prompt size from which the full bonus applies.
	affinityBytes = 8 << 10
	// affinityLoadLimit is the relative load from which the bonus is lost.
	affinityLoadLimit = 0.85
	classPenalty      = 0.2
	fullPenalty       = 10
	failingPenalty    = 1000
	isolationPenalty  = 500
)

// None is the index that Pick returns if no candidate is eligible.
const None = -1

// randomChoices is the number of servers that Pick draws at random.
const randomChoices = 3

// Pick returns the index of the server for a request, or None. It compares a
// few servers drawn at random and the affinity server of the request's prefix,
// and returns the one with the lowest score. The score is the estimated load
// relative to capacity, less a bonus for the affinity server unless that is
// heavily loaded, plus penalties for another availability zone or price class.
// Comparing a few servers rather than all keeps VMs that share the same stale
// reports from overloading a single server (Mitzenmacher: The power of two
// choices in randomized load balancing, 2001). Pick compares all candidates if
// there are few, if the query asks for isolation, or if the drawn ones are
// ineligible or failing.
func Pick(candidates []Candidate, q Query) int {
	affinity := None
	if q.Prefix != 0 {
		affinity = affinityServer(candidates, q)
	}
	b := lowest{index: None}
	if affinity != None {
		b.consider(candidates, q, affinity, affinity)
	}
	for draw := range uint64(randomChoices) {
		if len(candidates) <= randomChoices || q.Isolated {
			break
		}
		b.consider(candidates, q, int(mix(q.Random+draw)%uint64(len(candidates))), affinity)
	}
	if b.index != None && b.score < failingPenalty {
		return b.index
	}
	for i := range candidates {
		b.consider(candidates, q, i, affinity)
	}
	return b.index
}

// A lowest holds the candidate with the lowest score so far.
type lowest struct {
	index int
	score float64
}

func (b *lowest) consider(candidates []Candidate, q Query, i, affinity int) {
	c := &candidates[i]
	if !eligible(c, q) {
		return
	}
	if s := score(c, q, i == affinity); b.index == None || s < b.score {
		b.index, b.score = i, s
	}
}

func eligible(c *Candidate, q Query) bool {
	return !c.Leaving && c.Version >= q.MinVersion && (!q.Continues || c.Software == q.Software) && (len(q.Exclude) == 0 || !slices.Contains(q.Exclude, c.ID))
}

// affinityServer returns the index of a prefix's affinity server: the least
// loaded of those that announced it as cached, or else the one that rendezvous
// hashing assigns to it. By hashing, all VMs send equal prefixes to the same
// server without coordination. Announcements may be late or missing; a wrong
// choice costs no more than a cache miss.
func affinityServer(candidates []Candidate, q Query) int {
	hashed, highest := None, uint64(0)
	cached, leastLoad := None, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !eligible(c, q) {
			continue
		}
		if w := mix(c.Hash ^ q.Prefix); hashed == None || w > highest {
			hashed, highest = i, w
		}
		if _, ok := c.Cached[q.Prefix]; !ok {
			continue
		}
		if load := c.Load() / float64(max(c.Capacity, 1)); cached == None || load < leastLoad {
			cached, leastLoad = i, load
		}
	}
	if cached != None {
		return cached
	}
	return hashed
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood: Fast splittable
// pseudorandom number generators, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func score(c *Candidate, q Query, affinity bool) float64 {
	load := c.Load()
	s := load / float64(max(c.Capacity, 1))
	if load >= float64(c.Capacity) {
		s += fullPenalty
	}
	if affinity && s < affinityLoadLimit {
		s -= affinityBonus * min(1, float64(q.PromptBytes)/affinityBytes)
	}
	if c.Zone != q.Zone {
		s += otherZonePenalty
	}
	if (c.Class == limpetorder.Cheap) != q.Cheap {
		s += classPenalty
	}
	if c.Failing {
		s += failingPenalty
	}
	if q.Isolated && c.OwnRequests.Load() > 0 {
		s += isolationPenalty
	}
	return s
}

// RoundRobin returns the index of the first eligible server at or after position
// turn, modulo the number of candidates, or None. It ignores load. Experiments
// use it as the baseline for Pick.
func RoundRobin(candidates []Candidate, q Query, turn uint64) int {
	n := uint64(len(candidates))
	for i := range n {
		index := int((turn + i) % n)
		if eligible(&candidates[index], q) {
			return index
		}
	}
	return None
}

// Subset returns the servers that a VM connects to and polls for load reports.
// Rendezvous hashing ranks all vms for each server; the server is in the subsets
// of the highest-ranked ones, replicas in number. Each server thus has the same
// number of VMs connected to it however large the fleet is. With at most
// replicas VMs, Subset returns all servers.
func Subset(servers []*Server, vm string, vms []string, replicas int) []*Server {
	if len(vms) <= replicas {
		return servers
	}
	self := xxhash.Sum64String(vm)
	hashes := make([]uint64, 0, len(vms))
	for _, v := range vms {
		hashes = append(hashes, xxhash.Sum64String(v))
	}
	var subset []*Server
	for _, s := range servers {
		own, higher := mix(s.Hash^self), 0
		for _, h := range hashes {
			if mix(s.Hash^h) > own {
				higher++
			}
		}
		if higher < replicas {
			subset = append(subset, s)
		}
	}
	return subset
}
