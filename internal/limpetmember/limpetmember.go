// Package limpetmember owns the view of which VMs of the system live. A
// Table is changed by one owner and takes the time as an argument. Liveness
// is never used for what must be exclusive; that is the leases' part.
package limpetmember

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A VM identifies one process of the system.
type VM struct {
	Name        string
	Incarnation string
	Zone        string
	Peer        string
	Started     time.Time
}

// A State holds what a VM last said about itself. Heard is when it said it,
// on the local clock, corrected by the age that relays add.
type State struct {
	VM
	Applied     uint64
	ConfirmedAt time.Time
	StoreDown   bool
	Leaving     bool
	Duties      []string
	Consumed    map[string]uint64
	Heard       time.Time
}

// A Table holds the states of the other VMs.
type Table struct {
	self   VM
	states map[string]State
	// listed are the VMs on the platform's list, by name.
	listed map[string]VM
	// listKnown is set once the list was read.
	listKnown bool
}

// SmallSystem is the number of other VMs up to which all exchange heartbeats
// with all. In a larger system each talks to a few, and news travels through
// others, so that silence must last longer before it means anything.
const SmallSystem = 16

// Silence after which a VM counts as down.
const (
	DownAfter      = 5 * time.Second
	DownAfterLarge = 30 * time.Second
)

// forgetAfter is the silence after which a VM that is no longer listed is
// dropped from the table.
const forgetAfter = 10 * time.Minute

// New returns an empty table.
func New(self VM) *Table {
	return &Table{self: self, states: map[string]State{}, listed: map[string]VM{}}
}

// Hear merges a state. It reports whether the VM was unknown, down or another
// incarnation before. Older news about the same incarnation is dropped.
func (t *Table) Hear(now time.Time, s State) bool {
	if s.Name == t.self.Name || s.Name == "" {
		return false
	}
	old, known := t.states[s.Name]
	if known && !s.Heard.After(old.Heard) {
		return false
	}
	t.states[s.Name] = s
	return !known || old.Incarnation != s.Incarnation || now.Sub(old.Heard) > t.downAfter()
}

// List merges the platform's list, which only adds VMs to talk to: a lagging
// list removes nobody who answers.
func (t *Table) List(vms []VM) {
	t.listed, t.listKnown = map[string]VM{}, true
	for _, v := range vms {
		if v.Name != t.self.Name {
			t.listed[v.Name] = v
		}
	}
}

// Count returns the number of other VMs that are listed or were heard of.
func (t *Table) Count() int {
	count := len(t.states)
	for name := range t.listed {
		if _, ok := t.states[name]; !ok {
			count++
		}
	}
	return count
}

func (t *Table) downAfter() time.Duration {
	if t.Count() > SmallSystem {
		return DownAfterLarge
	}
	return DownAfter
}

// Listed returns the number of other VMs on the platform's list, and whether
// the list was ever read.
func (t *Table) Listed() (count int, known bool) { return len(t.listed), t.listKnown }

// Live returns the other VMs that answer and are not leaving, by name.
func (t *Table) Live(now time.Time) []State {
	var live []State
	for _, s := range t.states {
		if now.Sub(s.Heard) <= t.downAfter() && !s.Leaving {
			live = append(live, s)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Known returns all VMs that were heard of, by name.
func (t *Table) Known() []State {
	known := make([]State, 0, len(t.states))
	for _, s := range t.states {
		known = append(known, s)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Name < known[j].Name })
	return known
}

// Expire forgets VMs that were silent for long and are not listed.
func (t *Table) Expire(now time.Time) {
	for name, s := range t.states {
		if _, ok := t.listed[name]; !ok && now.Sub(s.Heard) > forgetAfter {
			delete(t.states, name)
		}
	}
}

// Partners returns the addresses for one round of heartbeats: at most count,
// chosen at random from the VMs that are listed or were heard of, with one in
// another availability zone when there is one. Silent VMs are tried too, so
// that a cut that heals is noticed.
func (t *Table) Partners(count int, r *rand.Rand) []VM {
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
	r.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	if len(vms) <= count {
		return vms
	}
	if i := slices.IndexFunc(vms, func(v VM) bool { return v.Zone != t.self.Zone }); i >= count {
		vms[0], vms[i] = vms[i], vms[0]
	}
	return vms[:count]
}

// Rank returns the place of a VM among the live ones for a duty or a claim,
// 0 for the first, by rendezvous hashing.
func Rank(subject, self string, others []string) int {
	own, rank := weight(subject, self), 0
	for _, o := range others {
		if w := weight(subject, o); w > own || (w == own && o < self) {
			rank++
		}
	}
	return rank
}

func weight(subject, vm string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(subject)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// A Confirmation holds what bears on whether a VM may go on honouring keys.
type Confirmation struct {
	// Age is the time since the VM's configuration was known to be the
	// newest, by its own read or by a peer that had read and that it follows.
	Age time.Duration
	// Bound is the age up to which keys are honoured without question.
	Bound time.Duration
	// Confirmed is set when there was a confirmation since the start.
	Confirmed bool
	// Listed is the number of other VMs on the platform's list, and ListKnown
	// whether the list was read.
	Listed    int
	ListKnown bool
	// Agreeing is the number of live VMs that say that the store is down for
	// them as well, and that have no newer configuration.
	Agreeing  int
	StoreDown bool
}

// HonourKeys reports whether a VM may honour keys. Beyond the bound it may
// only while the store is down for every listed VM: then no VM can have
// accepted a withdrawal durably, and suspensions reach this VM directly. A VM
// that never confirmed its configuration needs at least one other to agree.
func HonourKeys(c Confirmation) bool {
	if c.Confirmed && c.Age <= c.Bound {
		return true
	}
	if !c.StoreDown || !c.ListKnown || c.Agreeing < c.Listed {
		return false
	}
	return c.Confirmed || c.Listed > 0
}
