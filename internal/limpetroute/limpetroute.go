// Package limpetroute owns the decision which backend server gets a request.
// Pick is pure: a list of candidates in, an index out.
package limpetroute

import (
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

// A Candidate holds what a snapshot knows about a server. Reported is the
// number of requests that the server's last report names, and OwnThen the
// number of them that were this VM's when the report came.
type Candidate struct {
	*Server
	Capacity    int
	Reported    int
	OwnThen     int
	Version     uint64
	Incarnation string
	// Leaving excludes the server from new work.
	Leaving bool
	// Failing excludes the server unless nothing else is left.
	Failing  bool
	ReportAt time.Time
}

// Load returns the estimated number of requests at the server: the lagging
// report, corrected by what this VM has begun and ended since.
func (c *Candidate) Load() int {
	return max(c.Reported-c.OwnThen, 0) + int(c.Own.Load())
}

// A Query holds what a request needs of a server.
type Query struct {
	Zone string
	// Prefix is the hash of the prompt's beginning, 0 for none.
	Prefix uint64
	// MinVersion excludes servers with older weights.
	MinVersion uint64
	// Exclude names servers that failed the request already.
	Exclude []string
	// Alone asks for a server without other requests of this VM.
	Alone bool
	// Cheap prefers servers that can be reclaimed.
	Cheap bool
}

// Weights of the score, in units of a full server's load.
const (
	otherZonePenalty = 0.05
	affinityBonus    = 0.3
	affinityCeiling  = 0.85
	classPenalty     = 0.2
	fullPenalty      = 10
	failingPenalty   = 1000
	aloneBusyPenalty = 500
)

// None is Pick's answer when no candidate is eligible.
const None = -1

// Pick returns the index of the server with the lowest score, or None. The
// score is the estimated load relative to capacity, less a bonus for the
// server that rendezvous hashing assigns to the request's prefix while that
// server is not crowded, plus a cost for leaving the availability zone.
func Pick(candidates []Candidate, q Query) int {
	home := None
	if q.Prefix != 0 {
		home = homeOf(candidates, q)
	}
	best, bestScore := None, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !eligible(c, q) {
			continue
		}
		s := score(c, q, i == home)
		if best == None || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func eligible(c *Candidate, q Query) bool {
	return !c.Leaving && c.Version >= q.MinVersion && (len(q.Exclude) == 0 || !slices.Contains(q.Exclude, c.ID))
}

// homeOf returns the candidate that rendezvous hashing assigns to the prefix,
// so that all VMs send equal prefixes to the same server without agreement.
func homeOf(candidates []Candidate, q Query) int {
	home, top := None, uint64(0)
	for i := range candidates {
		if w := mix(candidates[i].Hash ^ q.Prefix); eligible(&candidates[i], q) && (home == None || w > top) {
			home, top = i, w
		}
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
	s := float64(load) / float64(max(c.Capacity, 1))
	if load >= c.Capacity {
		s += fullPenalty
	}
	if home && s < affinityCeiling {
		s -= affinityBonus
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
