package limpethost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// vmPrefix is the prefix of the VMs in the mirror. They are not in the store.
const vmPrefix = "vm/"

// peerTTL is how long a VM is listed after its last contact with a director, and
// how long after it is missing in a director's list.
const peerTTL = 30 * time.Second

// expireRosterInterval is the least time between two looks for VMs to remove.
const expireRosterInterval = time.Second

// A listedVM is a VM of the roster.
type listedVM struct {
	limpetrelay.Follower
	// contact is when the VM last followed this one; zero if it never did.
	contact time.Time
	// missingSince is when a director's list came without the VM; zero if the last
	// one had it.
	missingSince time.Time
}

// publishInterval is the time between two publications of changes of the roster. All
// VMs contact a new director at once, and each publication is told to all of them.
const publishInterval = 1500 * time.Millisecond

// A rosterChange is a VM that was added to the roster, or is gone.
type rosterChange struct {
	limpetrelay.Follower
	gone bool
}

// A roster lists the VMs that serve callers: on the director those that follow it,
// on the others those that a director named. It is safe for concurrent use.
type roster struct {
	now func() time.Time

	mu sync.Mutex
	// unpublished holds the changes by VM that were not published yet.
	unpublished map[string]rosterChange
	vms         map[string]*listedVM
	// expiredAt is when VMs were last removed.
	expiredAt time.Time
}

func newRoster(now func() time.Time) *roster {
	return &roster{now: now, vms: map[string]*listedVM{}, unpublished: map[string]rosterChange{}}
}

// record records that a VM follows this one.
func (r *roster) record(f limpetrelay.Follower) {
	if f.VM == "" {
		// A VM of an earlier release does not name itself.
		f.VM = f.Ready
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if listed := r.vms[f.VM]; listed == nil || listed.contact.IsZero() || listed.Follower != f {
		r.unpublished[f.VM] = rosterChange{Follower: f}
	}
	r.vms[f.VM] = &listedVM{Follower: f, contact: r.now()}
	for _, f := range r.expire() {
		r.unpublished[f.VM] = rosterChange{Follower: f, gone: true}
	}
}

// takeUnpublished returns the changes that were not published yet.
func (r *roster) takeUnpublished() map[string]rosterChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.unpublished
	r.unpublished = map[string]rosterChange{}
	return changes
}

// expire removes the VMs that were not heard of for peerTTL, and returns them. The
// caller holds the lock.
func (r *roster) expire() []limpetrelay.Follower {
	var gone []limpetrelay.Follower
	if r.now().Sub(r.expiredAt) < expireRosterInterval {
		return nil
	}
	r.expiredAt = r.now()
	for vm, listed := range r.vms {
		since := listed.contact
		if !listed.missingSince.IsZero() && listed.missingSince.After(since) {
			since = listed.missingSince
		}
		if !since.IsZero() && r.now().Sub(since) > peerTTL {
			delete(r.vms, vm)
			gone = append(gone, listed.Follower)
		}
	}
	return gone
}

// set records what a director said of a VM.
func (r *roster) set(f limpetrelay.Follower, gone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gone {
		delete(r.vms, f.VM)
		return
	}
	r.vms[f.VM] = &listedVM{Follower: f}
}

// setAll records a director's list. VMs that it lacks may not have found that
// director yet; they stay for peerTTL.
func (r *roster) setAll(all []limpetrelay.Follower) {
	for _, f := range all {
		r.set(f, false)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	named := map[string]bool{}
	for _, f := range all {
		named[f.VM] = true
	}
	for vm, listed := range r.vms {
		if !named[vm] && listed.missingSince.IsZero() {
			listed.missingSince = r.now()
		}
	}
	r.expire()
}

// size returns the number of VMs.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.vms)
}

// owns reports whether a VM is the one that sends to a cold server while it has no
// director: the listed VM with the highest hash for that server. All VMs with the same
// list agree; a VM that is not listed owns none.
func (r *roster) owns(vm, server string) bool {
	weight := func(vm string) uint64 { return xxhash.Sum64String(vm + "/" + server) }
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.vms[vm] == nil {
		return false
	}
	own := weight(vm)
	for other := range r.vms {
		if w := weight(other); w > own || w == own && other > vm {
			return false
		}
	}
	return true
}

// recentReadyAddresses returns the addresses at which the VMs that followed this one
// recently report their readiness.
func (r *roster) recentReadyAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	var addresses []string
	for _, listed := range r.vms {
		if !listed.contact.IsZero() {
			addresses = append(addresses, listed.Ready)
		}
	}
	return addresses
}

// others returns the VMs other than one that can be called, in random order.
func (r *roster) others(than string) []limpetrelay.Follower {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []limpetrelay.Follower
	for _, listed := range r.vms {
		if listed.VM != than && listed.Relay != "" {
			all = append(all, listed.Follower)
		}
	}
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all
}

// self describes this VM to others.
func (h *Host) self() limpetrelay.Follower {
	return limpetrelay.Follower{VM: h.Settings.VM, Zone: h.Settings.Zone, Ready: h.Settings.ReadyAddress, Relay: h.Settings.RelayAddress}
}

type vmDocument struct {
	Zone  string `json:"zone,omitempty"`
	Ready string `json:"ready,omitempty"`
	Relay string `json:"relay,omitempty"`
}

// publishRoster passes changes of the roster on to the VMs that follow this one.
func (h *Host) publishRoster(ctx context.Context) error {
	if h.Settings.ServesCallers {
		// While this VM is the director, the others learn of it like of each other.
		h.mirror.Apply(limpetrelay.Changes(vmPrefix, []limpetrelay.Value{h.rosterValue(rosterChange{Follower: h.self()})}))
	}
	for limpettask.Sleep(ctx, publishInterval) {
		var values []limpetrelay.Value
		for _, c := range h.roster.takeUnpublished() {
			values = append(values, h.rosterValue(c))
		}
		if len(values) > 0 {
			h.mirror.Apply(limpetrelay.Changes(vmPrefix, values))
		}
	}
	return nil
}

func (h *Host) rosterValue(c rosterChange) limpetrelay.Value {
	v := limpetrelay.Value{Value: limpetstore.Value{Key: vmPrefix + c.VM, Revision: h.rosterRevision.Add(1), Deleted: c.gone}}
	if !c.gone {
		// Encoding cannot fail for this type.
		v.Data, _ = json.Marshal(vmDocument{Zone: c.Zone, Ready: c.Ready, Relay: c.Relay})
	}
	return v
}

// newRosterFeed returns the feed of VMs, which VMs get from the director only.
func (h *Host) newRosterFeed() feed {
	decode := func(v limpetstore.Value) (limpetrelay.Follower, bool) {
		f := limpetrelay.Follower{VM: strings.TrimPrefix(v.Key, vmPrefix)}
		if v.Deleted {
			return f, true
		}
		var d vmDocument
		if err := json.Unmarshal(v.Data, &d); err != nil {
			h.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
			return f, false
		}
		f.Zone, f.Ready, f.Relay = d.Zone, d.Ready, d.Relay
		return f, true
	}
	return feed{
		prefix: vmPrefix, relayedOnly: true,
		applyListing: func(l limpetstore.Listing) []limpetsite.Record {
			var all []limpetrelay.Follower
			for _, v := range l.Values {
				if f, ok := decode(v); ok && !v.Deleted {
					all = append(all, f)
				}
			}
			h.roster.setAll(all)
			return nil
		},
		applyChanges: func(values []limpetstore.Value) []limpetsite.Record {
			for _, v := range values {
				if f, ok := decode(v); ok {
					h.roster.set(f, v.Deleted)
				}
			}
			return nil
		},
	}
}
