// Package limpetdirector owns the VM that carries out batch jobs, and the
// duties that one VM has at a time: orders to engines, usage reports and the
// size of the fleet. Candidates compete for one lease; the store's checks, not
// the lease alone, keep a superseded director from listing results.
package limpetdirector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// Duty is the name of the lease.
const Duty = "director"

// Deps holds what a director works with.
type Deps struct {
	VM          string
	Incarnation string
	Store       limpetstore.Store
	Peer        limpetupstream.Peer
	View        func() *limpetsite.Snapshot
	Forwarder   *limpetforward.Forwarder
	Log         *limpetlog.Logger
	Metrics     *limpetmetric.Set
	Now         func() time.Time
	// RelayAddress is where other VMs reach this one.
	RelayAddress string
	// Wake makes the VM follow the deployment, or stop.
	Wake func(awake bool)
	// InContact reports whether this VM reaches the store.
	InContact func() bool
	// StoreElsewhere reports whether other VMs reach the store, so that one of
	// them may take the duty over.
	StoreElsewhere func(ctx context.Context) bool
	// Emptied tells the operator that a VM may be removed.
	Emptied func(ctx context.Context, vm string) error
	// DutyWait is how long a watch of the duty waits at the store.
	DutyWait time.Duration
	// Reserve is how much longer than others this VM leaves a vacant duty.
	Reserve time.Duration
	// LeaseLeast is the shortest lease of the store.
	LeaseLeast time.Duration
	// Turn is the time in which two VMs must not take turns in a duty.
	Turn time.Duration
	// StatusLife is how long a job can be read after its submission.
	StatusLife time.Duration
	// Duties run while the VM is the director.
	Duties []func(ctx context.Context, hold Hold) error
}

// A Hold proves to a duty that the VM may act. Fence returns the fencing
// number and whether the VM may act for the given time ahead.
type Hold struct {
	VM    string
	Fence func(ahead time.Duration) (uint64, bool)
}

// A Director is a candidate for the duty on one VM.
type Director struct {
	Deps
	holder *limpetlease.Holder
	ledger *limpetbatch.Ledger
	inbox  chan message
	listed *resultCache
	// candidate is what Compete was told last.
	candidate atomic.Bool

	demand sync.Map
	// offers holds the sessions of carriers by name, for their deliveries.
	offers sync.Map
	// over is closed once the loop has ended.
	over chan struct{}

	// Owned by the loop.
	group *limpettask.Group
	// watching follows the duty; nil while the VM is no candidate.
	watching *limpettask.Group
	lead     *lead
	cancels  map[*limpetbatch.Run]context.CancelFunc
	view     *limpetsite.Snapshot
	record   dutyRecord
	heldAt   time.Time
	retired  bool
	emptied  map[string]bool
	vacantAt time.Time
	trying   bool
	asking   bool
	// upElsewhere is set when other VMs said last that they reach the store.
	upElsewhere bool
	// standBack is until when the VM leaves the duty to others.
	standBack time.Time
	// stepped is when the loop ran last, paused how long it had not run then,
	// and lag what it was late lately.
	stepped time.Time
	paused  time.Duration
	lag     time.Duration
	askedAt time.Time

	// sessions are the carriers by the name of their offer, and ordered counts
	// the runs given to them.
	sessions map[string]*session
	ordered  int

	open    map[string]limpetjob.Summary
	ended   map[string]bool
	loading map[string]bool
	whole   map[string]bool

	swaps    map[string]time.Time
	held     map[string]time.Time
	loads    map[load]int
	planned  time.Time
	measured time.Time
	rhythm   rhythm
}

// A load identifies the orders for one version of a model.
type load struct {
	model   string
	version int
}

// A lead is one time of being the director.
type lead struct {
	fence uint64
	since time.Time
	// entered is set once it is known who was the director before, and
	// actAfter when orders and reports may begin.
	entered  bool
	actAfter time.Time
	// gatherUntil is when items begin to be sent: until then carriers tell
	// what they hold for an earlier director.
	gatherUntil time.Time
	// endsKnown is set once the ended jobs are listed: before, any job may be
	// one of them.
	endsKnown  bool
	group      *limpettask.Group
	committing bool
	committed  time.Time
	drafting   bool
	drafted    time.Time
	renewing   bool
	renewed    time.Time
	forgetting bool
	forgot     time.Time
}

// mayBegin reports whether items may be sent.
func (l *lead) mayBegin(now time.Time) bool { return l.endsKnown && !now.Before(l.gatherUntil) }

// A message changes the state of the loop.
type message interface{ apply(d *Director) }

const (
	leaseTime   = 1400 * time.Millisecond
	renewPeriod = 280 * time.Millisecond
	tick        = 25 * time.Millisecond
	inboxSize   = 2048
	// listPeriod is the time between writes of results.
	listPeriod = 130 * time.Millisecond
	// listGroup is the one while a group waits that a trainer needs.
	listGroup = 20 * time.Millisecond
	// draftPeriod is the time between writes of unfinished texts.
	draftPeriod = 900 * time.Millisecond
	// keepWorking is how long a director whose lease lapsed goes on with its
	// runs while no other one is known.
	keepWorking = 20 * time.Second
)

// New returns a director that Run starts.
func New(deps Deps) *Director {
	ttl := max(leaseTime, deps.LeaseLeast)
	return &Director{
		Deps: deps, ledger: limpetbatch.New(), inbox: make(chan message, inboxSize), over: make(chan struct{}), sessions: map[string]*session{}, listed: newResultCache(),
		holder:  limpetlease.New(deps.Store, deps.VM, deps.Incarnation, ttl, deps.Now),
		cancels: map[*limpetbatch.Run]context.CancelFunc{}, view: limpetsite.Empty(),
		open: map[string]limpetjob.Summary{}, ended: map[string]bool{}, loading: map[string]bool{}, whole: map[string]bool{},
		swaps: map[string]time.Time{}, held: map[string]time.Time{}, loads: map[load]int{}, emptied: map[string]bool{},
	}
}

// post hands a message to the loop, unless the loop ended.
func (d *Director) post(ctx context.Context, m message) {
	select {
	case d.inbox <- m:
	case <-ctx.Done():
	case <-d.over:
	}
}

// Run competes for the duty and carries it out until ctx ends. It then gives
// the duty up.
func (d *Director) Run(ctx context.Context) error {
	d.group = limpettask.New(ctx)
	d.vacantAt = d.Now()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(d.over)
			return d.stop()
		case m := <-d.inbox:
			m.apply(d)
			d.drain()
		case <-ticker.C:
		}
		d.step(ctx)
	}
}

// drain takes the messages that are there already, so that one step answers
// for many.
func (d *Director) drain() {
	for range inboxSize {
		select {
		case m := <-d.inbox:
			m.apply(d)
		default:
			return
		}
	}
}

func (d *Director) stop() error {
	if d.lead != nil {
		d.handOver(d.lead)
	}
	d.stepDown("stopped")
	release, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := d.holder.Release(release)
	if err != nil {
		d.Log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
	}
	return d.group.Stop()
}

// step does what is due.
func (d *Director) step(ctx context.Context) {
	now := d.Now()
	d.watchSelf(now)
	d.compete(ctx, now)
	if d.lead != nil {
		d.keepLease(now)
	}
	if d.lead == nil {
		if !d.mayWork(now) {
			return
		}
		d.askElsewhere(now)
	}
	if view := d.View(); view != d.view {
		d.view = view
		d.ledger.Engines(view)
	}
	d.tendCarriers(now)
	d.giveUp(now)
	// What this VM is late by itself says nothing about engines.
	overdue := d.ledger.Overdue(d.view, now.Add(-d.lag))
	d.blame(overdue, now)
	d.cut(overdue, "overdue")
	if d.lead == nil || d.lead.mayBegin(now) {
		for _, r := range d.ledger.Dispatch(d.view, now) {
			d.begin(r)
		}
	}
	for _, r := range d.ledger.Rewards(now) {
		d.reward(r)
	}
	if d.lead != nil {
		d.list(now)
		d.keepDrafts(now)
		d.swap(now)
		d.retirements()
		d.forget(now)
		d.measure(now)
	}
}

// mayWork reports whether a director without its lease goes on with its runs:
// nobody else is known to have taken over.
func (d *Director) mayWork(now time.Time) bool {
	return len(d.ledger.Jobs()) > 0 && now.Sub(d.heldAt) < keepWorking && d.record.VM == d.VM
}

func (d *Director) giveUp(now time.Time) {
	given, runs := d.ledger.GiveUp(now)
	for _, e := range given {
		d.gaveUp(e, "its time is over")
	}
	d.cut(runs, "item given up")
	d.ledger.Expire(now)
}

// cut breaks runs off.
func (d *Director) cut(runs []*limpetbatch.Run, cause string) {
	for _, r := range runs {
		if cancel := d.cancels[r]; cancel != nil {
			cancel()
			delete(d.cancels, r)
		}
		d.Log.Emit(limpetlog.RunCut, limpetlog.Job(r.Entry.Job.ID), limpetlog.Value("item", r.Entry.Item.ID),
			limpetlog.Server(r.Server.ID), limpetlog.Value("after", r.After), limpetlog.Value("cause", cause))
	}
}
