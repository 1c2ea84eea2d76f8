// Package limpetmember tracks which VMs of the system are alive. A Table has a
// single writer and takes the current time as an argument. Liveness must not
// be used for mutual exclusion; leases provide that.
package limpetmember

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A VM identifies one process of the system. Peer is the address at which other
// VMs reach it.
type VM struct {
	Name        string
	Incarnation string
	Zone        string
	Peer        string
	Started     time.Time
}

// A State is a VM's most recent report about itself. Applied is the index of the
// configuration that it uses, and ConfirmedAt is when that was last known to be
// the newest. ReportedAt is the time of the report on the local clock, computed
// from the age that a relaying VM states. Consumed holds the tokens that the
// incarnation has used, by service and account; relayed reports have none.
type State struct {
	VM
	// Version counts the changes of the fields below but ConfirmedAt and
	// Consumed, and Applied while the store is up. Reports of an incarnation
	// with the same version differ in these only.
	Version     uint64
	Applied     uint64
	ConfirmedAt time.Time
	StoreDown   bool
	Leaving     bool
	Duties      []string
	Consumed    map[string]uint64
	ReportedAt  time.Time
}

// A Table holds the last known states of the other VMs.
type Table struct {
	self   VM
	states map[string]State
	// listed holds the VMs on the platform's list, by name.
	listed map[string]VM
	// listKnown is set once the list has been read.
	listKnown bool
}

// FullMeshLimit is the largest number of other VMs at which every VM exchanges
// heartbeats with every other. In a larger system each VM contacts only a few,
// and signs and states spread by gossip, so the timeout for a silent VM is longer.
const FullMeshLimit = 16

// Time without a report after which a VM counts as down.
const (
	DownTimeout      = 5 * time.Second
	DownTimeoutLarge = 30 * time.Second
)

// expireTimeout is the time without a report after which an unlisted VM is
// removed from the table.
const expireTimeout = 10 * time.Minute

// New returns an empty table for the VM self.
func New(self VM) *Table {
	return &Table{self: self, states: map[string]State{}, listed: map[string]VM{}}
}

// Merge merges a reported state. It reports whether the VM was unknown, was
// down or had another incarnation before. Of the reports of an incarnation those
// with an older version are ignored, and of others those that are no newer than
// the known state.
func (t *Table) Merge(now time.Time, s State) bool {
	if s.Name == t.self.Name || s.Name == "" {
		return false
	}
	old, known := t.states[s.Name]
	same := known && old.Incarnation == s.Incarnation
	switch newer := s.ReportedAt.After(old.ReportedAt); {
	case same && s.Version < old.Version, known && !newer && !(same && s.Version > old.Version):
		return false
	case same && !newer:
		s.ReportedAt = old.ReportedAt
	}
	if same && len(s.Consumed) == 0 {
		s.Consumed = old.Consumed
	}
	t.states[s.Name] = s
	return !same || now.Sub(old.ReportedAt) > t.downTimeout()
}

// SetListed replaces the platform's list of VMs. The list only adds VMs to
// contact: a VM that answers stays in the table even if a lagging list lacks
// it.
func (t *Table) SetListed(vms []VM) {
	t.listed, t.listKnown = map[string]VM{}, true
	for _, v := range vms {
		if v.Name != t.self.Name {
			t.listed[v.Name] = v
		}
	}
}

// Count returns the number of other VMs that are listed or have a known state.
func (t *Table) Count() int {
	count := len(t.states)
	for name := range t.listed {
		if _, ok := t.states[name]; !ok {
			count++
		}
	}
	return count
}

func (t *Table) downTimeout() time.Duration {
	if t.Count() > FullMeshLimit {
		return DownTimeoutLarge
	}
	return DownTimeout
}

// Listed returns the number of other VMs on the platform's list and whether
// the list has been read.
func (t *Table) Listed() (count int, known bool) { return len(t.listed), t.listKnown }

// Live returns the other VMs that are not down and not leaving, sorted by
// name.
func (t *Table) Live(now time.Time) []State {
	var live []State
	timeout := t.downTimeout()
	for _, s := range t.states {
		if now.Sub(s.ReportedAt) <= timeout && !s.Leaving {
			live = append(live, s)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Known returns the states of all other VMs that have reported, sorted by
// name.
func (t *Table) Known() []State {
	known := make([]State, 0, len(t.states))
	for _, s := range t.states {
		known = append(known, s)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Name < known[j].Name })
	return known
}

// Expire removes unlisted VMs that have not reported for expireTimeout.
func (t *Table) Expire(now time.Time) {
	for name, s := range t.states {
		if _, ok := t.listed[name]; !ok && now.Sub(s.ReportedAt) > expireTimeout {
			delete(t.states, name)
		}
	}
}

// RandomPeers selects the VMs for one round of heartbeats: at most count, chosen
// at random from the VMs that are listed or have a known state. The selection
// includes a VM of another availability zone if there is one. VMs that are
// down are selected too, so that the end of a network partition is detected.
func (t *Table) RandomPeers(count int, r *rand.Rand) []VM {
	vms := t.contacts()
	r.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	if len(vms) <= count {
		return vms
	}
	if i := slices.IndexFunc(vms, func(v VM) bool { return v.Zone != t.self.Zone }); i >= count {
		vms[0], vms[i] = vms[i], vms[0]
	}
	return vms[:count]
}

// RandomPeer selects one VM in this VM's availability zone or outside of it, or
// anywhere if there is none. A zone that is cut off keeps to itself that way, and
// news still cross zones. VMs that are down are selected too.
func (t *Table) RandomPeer(ownZone bool, r *rand.Rand) []VM {
	vms := t.contacts()
	suitable := slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return (v.Zone == t.self.Zone) != ownZone })
	if len(suitable) > 0 {
		vms = suitable
	}
	if len(vms) == 0 {
		return nil
	}
	i := r.IntN(len(vms))
	return vms[i : i+1]
}

// contacts returns the VMs that are listed or have a known state, sorted by
// name.
func (t *Table) contacts() []VM {
	all := map[string]VM{}
	for name, v := range t.listed {
		all[name] = v
	}
	for name, s := range t.states {
		all[name] = s.VM
	}
	vms := make([]VM, 0, len(all))
	for _, v := range all {
		vms = append(vms, v)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}

// Rank returns the rank of the VM self among the live VMs for a duty or claim
// by rendezvous hashing; 0 is the highest rank.
func Rank(item, self string, others []string) int {
	own, rank := weight(item, self), 0
	for _, o := range others {
		if w := weight(item, o); w > own || (w == own && o < self) {
			rank++
		}
	}
	return rank
}

func weight(item, vm string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(item)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// A ConfigStatus holds the inputs of MayAcceptKeys.
type ConfigStatus struct {
	// Age is the time since the VM's configuration was last known to be the
	// newest, from its own read of the store or from a peer's.
	Age time.Duration
	// MaxAge is the age up to which keys are accepted without further checks.
	MaxAge time.Duration
	// Confirmed is set once the configuration has been confirmed since the
	// process started.
	Confirmed bool
	// Listed is the number of other VMs on the platform's list, and ListKnown
	// is whether the list has been read.
	Listed    int
	ListKnown bool
	// Agreeing is the number of live VMs that also report the store as down
	// and have no newer configuration.
	Agreeing  int
	StoreDown bool
}

// MayAcceptKeys reports whether a VM may accept API keys. Beyond MaxAge it may
// do so only while the store is down for every listed VM: no VM can then have
// durably accepted a key withdrawal, and suspensions are sent to this VM
// directly. A VM that never confirmed its configuration needs at least one
// other VM to agree.
func MayAcceptKeys(c ConfigStatus) bool {
	if c.Confirmed && c.Age <= c.MaxAge {
		return true
	}
	if !c.StoreDown || !c.ListKnown || c.Agreeing < c.Listed {
		return false
	}
	return c.Confirmed || c.Listed > 0
}
