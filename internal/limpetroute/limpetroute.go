// Package limpetroute owns the decision which backend server gets a request.
// Pick is pure: a list of candidates in, an index out.
package limpetroute

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetmount.org/internal/limpetorder"
)

// A Server holds one backend server as this VM sees it. It is shared by all
// snapshots that list it; Own is the only field that changes.
type Server struct {
	ID      string
	Service string
	Zone    string
	Address string
	Class   limpetorder.Class
	// Own counts the requests that this VM has open at the server.
	Own atomic.Int32
	// Hash spreads prefixes and subsets over servers.
	Hash uint64
}

// NewServer returns the server that the platform lists as s.
func NewServer(s limpetorder.Server) *Server {
	return &Server{ID: s.ID, Service: s.Service, Zone: s.Zone, Address: s.Address, Class: s.Class, Hash: xxhash.Sum64String(s.ID)}
}

// A Candidate holds what a snapshot knows about a server. Others is the
// estimate of the requests that other VMs have there.
type Candidate struct {
	*Server
	Capacity    int
	Others      float64
	Version     uint64
	Incarnation string
	// Cached holds the prompt prefixes that the server is known to have cached.
	// It is shared by views and never changed.
	Cached Prefixes
	// Leaving excludes the server from new work.
	Leaving bool
	// Failing excludes the server unless nothing else is left.
	Failing bool
}

// Prefixes is a set of hashes of prompt prefixes.
type Prefixes map[uint64]struct{}

// Load returns the estimated number of requests at the server: other VMs' by
// the last report, and this VM's own as they are now.
func (c *Candidate) Load() float64 {
	return c.Others + float64(c.Own.Load())
}

// A Report holds what a server's last report says of other VMs' requests, and
// its age.
type Report struct {
	Others int
	Age    time.Duration
}

// Estimate returns the expected number of other VMs' requests at each server.
// A report loses its worth as the requests that it counted end, so that each
// estimate moves from the report towards the mean of all reports with the age
// relative to the mean time of a request. Without this, all VMs send to the
// server that an old report calls idle.
func Estimate(reports []Report, service time.Duration) []float64 {
	mean := 0.0
	for _, r := range reports {
		mean += float64(r.Others) / float64(len(reports))
	}
	estimates := make([]float64, len(reports))
	for i, r := range reports {
		worth := math.Exp(-float64(r.Age) / float64(max(service, time.Millisecond)))
		estimates[i] = worth*float64(r.Others) + (1-worth)*mean
	}
	return estimates
}

// A Query holds what a request needs of a server.
type Query struct {
	Zone string
	// Prefix is the hash of the prompt's beginning, 0 for none, and
	// PromptBytes the size of the prompt, which bounds what a cache can save.
	Prefix      uint64
	PromptBytes int
	// MinVersion excludes servers with older weights.
	MinVersion uint64
	// Exclude names servers that failed the request already.
	Exclude []string
	// Alone asks for a server without other requests of this VM.
	Alone bool
	// Cheap prefers servers that can be reclaimed.
	Cheap bool
	// Random chooses among the servers that are compared.
	Random uint64
}

// Weights of the score, in units of a full server's load.
const (
	otherZonePenalty = 0.05
	affinityBonus    = 0.3
	// affinityBytes is the size of a prompt for which the bonus is full.
	affinityBytes    = 8 << 10
	affinityCeiling  = 0.85
	classPenalty     = 0.2
	fullPenalty      = 10
	failingPenalty   = 1000
	aloneBusyPenalty = 500
)

// None is Pick's answer when no candidate is eligible.
const None = -1

// choices is the number of servers drawn at random and compared.
const choices = 3

// Pick returns the index of the server for a request, or None. It compares a
// few servers drawn at random, and the one where the request's prefix
// is at home, and takes the one with the lowest score: the estimated
// load relative to capacity, less a bonus for the prefix's server while that
// is not crowded, plus a cost for leaving the availability zone or the price
// class. Comparing few instead of all keeps VMs that read the same lagging
// reports from sending everything to the same server (Mitzenmacher: The power
// of two choices in randomized load balancing, 2001).
func Pick(candidates []Candidate, q Query) int {
	home := None
	if q.Prefix != 0 {
		home = homeOf(candidates, q)
	}
	b := best{index: None}
	if home != None {
		b.offer(candidates, q, home, home)
	}
	for draw := range uint64(choices) {
		if len(candidates) <= choices || q.Alone {
			break
		}
		b.offer(candidates, q, int(mix(q.Random+draw)%uint64(len(candidates))), home)
	}
	if b.index != None && b.score < failingPenalty {
		return b.index
	}
	for i := range candidates {
		b.offer(candidates, q, i, home)
	}
	return b.index
}

// A best holds the server with the lowest score so far.
type best struct {
	index int
	score float64
}

func (b *best) offer(candidates []Candidate, q Query, i, home int) {
	c := &candidates[i]
	if !eligible(c, q) {
		return
	}
	if s := score(c, q, i == home); b.index == None || s < b.score {
		b.index, b.score = i, s
	}
}

func eligible(c *Candidate, q Query) bool {
	return !c.Leaving && c.Version >= q.MinVersion && (len(q.Exclude) == 0 || !slices.Contains(q.Exclude, c.ID))
}

// homeOf returns the candidate where the prefix is best at home: the least
// loaded of those that announced it, or else the one that rendezvous hashing
// assigns to it, so that all VMs send equal prefixes to the same server without
// agreement. Announcements come late and with gaps; a wrong one costs no more
// than a cache miss.
func homeOf(candidates []Candidate, q Query) int {
	home, top := None, uint64(0)
	cached, least := None, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !eligible(c, q) {
			continue
		}
		if w := mix(c.Hash ^ q.Prefix); home == None || w > top {
			home, top = i, w
		}
		if _, ok := c.Cached[q.Prefix]; !ok {
			continue
		}
		if load := c.Load() / float64(max(c.Capacity, 1)); cached == None || load < least {
			cached, least = i, load
		}
	}
	if cached != None {
		return cached
	}
	return home
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood: Fast splittable
// pseudorandom number generators, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func score(c *Candidate, q Query, home bool) float64 {
	load := c.Load()
	s := load / float64(max(c.Capacity, 1))
	if load >= float64(c.Capacity) {
		s += fullPenalty
	}
	if home && s < affinityCeiling {
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
	if q.Alone && c.Own.Load() > 0 {
		s += aloneBusyPenalty
	}
	return s
}

// RoundRobin is the baseline that experiments compare Pick with: eligible
// servers in turn, whatever their load.
func RoundRobin(candidates []Candidate, q Query, turn uint64) int {
	n := uint64(len(candidates))
	for i := range n {
		at := int((turn + i) % n)
		if eligible(&candidates[at], q) {
			return at
		}
	}
	return None
}

// Subset returns the servers that a VM keeps connections and load reports
// for: those for which the VM is among the replicas best VMs by rendezvous
// hashing. With no more than all servers, or few VMs, that is every server.
// Each server then has about replicas VMs in front of it, whatever the fleet.
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
		own, better := mix(s.Hash^self), 0
		for _, h := range hashes {
			if mix(s.Hash^h) > own {
				better++
			}
		}
		if better < replicas {
			subset = append(subset, s)
		}
	}
	return subset
}
