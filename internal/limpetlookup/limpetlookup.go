// Package limpetlookup finds out which VM is the director. The store tells, but in a
// large system not every VM asks it each time: a few VMs, the scouts, read the store
// for the others. All VMs choose the same scouts, as far as they know of the same VMs.
package limpetlookup

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"limpetmount.org/internal/limpeterror"
)

// A Director is the VM that the store recorded as the director. Its fields are empty
// if there was none yet.
type Director struct{ VM, Address string }

// A VM is another VM that may be asked.
type VM struct{ Name, Address string }

// Deps holds what a Finder needs.
type Deps struct {
	VM string
	// Read reads the director from the store.
	Read func(ctx context.Context) (Director, error)
	// Ask asks another VM. An error of type Unavailable says that it got no answer from
	// the store; any other error, that the VM cannot be asked.
	Ask func(ctx context.Context, vm VM) (Director, error)
	// Others returns the other VMs.
	Others func() []VM
	Now    func() time.Time
}

const (
	// scouts is the number of VMs that read the store for the others, if there are
	// at least minScouted VMs.
	scouts     = 5
	minScouted = 24
	// maxAsked is the number of scouts asked for one lookup.
	maxAsked = 2
	// askTimeout bounds one question, and readTimeout one read of the store.
	askTimeout  = 300 * time.Millisecond
	readTimeout = 700 * time.Millisecond
	// maxAge is how old a read may be that answers several lookups.
	maxAge = 100 * time.Millisecond
)

// A Finder finds the director. It is safe for concurrent use.
type Finder struct {
	Deps
	reads singleflight.Group
	// turn counts the scouts that were asked.
	turn atomic.Uint64

	mu   sync.Mutex
	last read
}

// A read is the outcome of a read of the store that began at a time.
type read struct {
	at       time.Time
	director Director
	err      error
}

// New returns a Finder.
func New(d Deps) *Finder {
	f := &Finder{Deps: d}
	f.turn.Store(xxhash.Sum64String(d.VM) >> 1)
	return f
}

// Find returns the recorded director: from a scout if there are many VMs, and else from
// the store.
func (f *Finder) Find(ctx context.Context) (Director, error) {
	others := f.scouts()
	unavailable := 0
	for range min(maxAsked, len(others)) {
		// Each VM begins elsewhere, and goes on to the next scout each time.
		d, err := f.ask(ctx, others[int(f.turn.Add(1)%uint64(len(others)))])
		if err == nil {
			return d, nil
		}
		if limpeterror.Is(err, limpeterror.Unavailable) {
			unavailable++
		}
		if unavailable == maxAsked {
			// The store does not answer; reads of all VMs would not help.
			return Director{}, err
		}
	}
	return f.Answer(ctx)
}

func (f *Finder) ask(ctx context.Context, vm VM) (Director, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return f.Ask(ctx, vm)
}

// scouts returns the scouts that this VM asks: none if it is one itself.
func (f *Finder) scouts() []VM {
	all := append(f.Others(), VM{Name: f.VM})
	if len(all) < minScouted {
		return nil
	}
	slices.SortFunc(all, func(a, b VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	chosen := all[:scouts]
	if slices.ContainsFunc(chosen, func(vm VM) bool { return vm.Name == f.VM }) {
		return nil
	}
	return chosen
}

// Answer returns the director as the store names it. Lookups within maxAge share one
// read, whatever its outcome.
func (f *Finder) Answer(ctx context.Context) (Director, error) {
	if last := f.lastRead(); f.Now().Sub(last.at) < maxAge {
		return last.director, last.err
	}
	result := f.reads.DoChan("", func() (any, error) {
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		began := f.Now()
		d, err := f.Read(readCtx)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.last = read{at: began, director: d, err: err}
		return d, err
	})
	select {
	case r := <-result:
		return r.Val.(Director), r.Err
	case <-ctx.Done():
		return Director{}, limpeterror.Unavailable.Wrap(ctx.Err(), "look up the director")
	}
}

func (f *Finder) lastRead() read {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}
