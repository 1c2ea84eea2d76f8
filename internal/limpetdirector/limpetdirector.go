// Package limpetdirector implements the director: the VM, elected by a lease,
// that processes batch jobs and runs the duties that only one VM may have at a
// time (orders to engines, usage reports and fleet size). Results are committed
// with a check of the fencing token, so a superseded director cannot commit any
// even if it still believes in its lease.
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
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// DutyName is the name of the director's duty in the lease store.
const DutyName = "director"

// Deps holds the dependencies and settings of a Director.
type Deps struct {
	VM          string
	Incarnation string
	Store       limpetstore.Store
	Upstream    limpetupstream.Client
	View        func() *limpetsite.Snapshot
	Forwarder   *limpetforward.Forwarder
	// Limits knows the servers that limit their requests; nil if none do.
	Limits  *limpetlimit.Gate
	Log     *limpetlog.Logger
	Metrics *limpetmetric.Set
	Now     func() time.Time
	// RelayAddress is the address at which other VMs reach this one.
	RelayAddress string
	// FollowDeployment starts or stops following the deployment on this VM.
	FollowDeployment func(follow bool)
	// StoreReachable reports whether this VM reaches the store.
	StoreReachable func() bool
	// StoreReachableElsewhere reports whether other VMs reach the store, in
	// which case one of them may take over the duty.
	StoreReachableElsewhere func(ctx context.Context) bool
	// ReportRetired tells the operator that a VM may be removed.
	ReportRetired func(ctx context.Context, vm string) error
	// DutyWatchTimeout is the long-poll timeout of the watch on the duty.
	DutyWatchTimeout time.Duration
	// AcquireDelay delays this VM's attempt to acquire a vacant duty, which
	// ranks the candidates.
	AcquireDelay time.Duration
	// MinLeaseTTL is the shortest lease duration that the store supports.
	MinLeaseTTL time.Duration
	// MinTakeoverInterval is the minimum time between two orders or reports of
	// this VM between which another VM was the director.
	MinTakeoverInterval time.Duration
	// JobRetention is how long a job can be read after its submission.
	JobRetention time.Duration
	// Duties run while the VM is the director.
	Duties []func(ctx context.Context, lease LeaseCheck) error
}

// A LeaseCheck lets a duty check that its VM is still the director. Fence
// returns the fencing token and whether the lease is valid for the given time
// ahead. Call prepares a call that must not be sent later than that; see
// limpetlease.Holder.Call.
type LeaseCheck struct {
	VM    string
	Fence func(ahead time.Duration) (uint64, bool)
	Call  func(ctx context.Context, ahead, timeout time.Duration) (call context.Context, cancel context.CancelFunc, fence uint64, ok bool)
}

// A Director runs on each VM that may become the director. It competes for the
// duty and processes batch jobs while it holds it. A single event loop, Run,
// owns its state.
type Director struct {
	Deps
	holder        *limpetlease.Holder
	scheduler     *limpetbatch.Scheduler
	inbox         chan message
	cachedResults *resultCache
	// candidate is the last value passed to SetCandidate.
	candidate atomic.Bool

	demand sync.Map
	// sharedSessions holds the executor sessions by ID for Deliver, which runs
	// outside the loop.
	sharedSessions sync.Map
	// stopped is closed when the loop has ended.
	stopped chan struct{}
	// startedAt is when this process started.
	startedAt time.Time
	// stepped is the time from startedAt to lastStep, for goroutines other than the
	// loop.
	stepped atomic.Int64

	// The fields below are owned by the loop.
	group *limpettask.Group
	// dutyWatch follows the duty; nil while the VM does not compete.
	dutyWatch  *limpettask.Group
	leadership *leadership
	cancels    map[*limpetbatch.Run]context.CancelFunc
	// rewardCancels ends the reward calls in progress.
	rewardCancels map[*limpetbatch.Entry]context.CancelFunc
	view          *limpetsite.Snapshot
	// rulesRevision is that of the configuration by which renewRules went last.
	rulesRevision uint64
	record        dutyRecord
	// lastHeldAt is when the VM last entered a term, or held the duty after
	// actAfter.
	lastHeldAt time.Time
	retired    bool
	// yielded is set once the VM has logged that it leaves the duty to others.
	yielded      bool
	vacantSince  time.Time
	leaseBusy    bool
	probingStore bool
	// storeUpElsewhere is the result of the last probe: whether other VMs reach
	// the store.
	storeUpElsewhere bool
	// backoffUntil is when the VM may compete for the duty again.
	backoffUntil time.Time
	// lastStep is when the loop last ran, stepGap the time between its last two
	// steps, and lag the decaying sum of gaps beyond toleratedLag, which longGaps
	// counts.
	lastStep      time.Time
	lastStepGap   time.Duration
	lag           time.Duration
	longGaps      int
	storeProbedAt time.Time

	// sessions holds the executor sessions by ID, and runsSent counts the runs
	// sent to executors.
	sessions map[string]*session
	runsSent int

	acceptedJobs   map[string]limpetjob.Summary
	endedJobs      map[string]bool
	loads          loadQueue
	fullyCommitted map[string]bool

	// examined is the scheduler's count of examined engines that the metric has.
	examined uint64
	// short is whether slots were too few for the open steps at the last step.
	short bool

	updateStarted  map[string]time.Time
	suspendedUntil map[string]time.Time
	orderCounts    map[modelVersion]int
	// keptEngines holds how many engines of each pool were to be kept up to date in the
	// last plan.
	keptEngines  map[poolKey]int
	plannedAt    time.Time
	measuredAt   time.Time
	weightTiming weightTiming
}

// A modelVersion is one version of a model's weights.
type modelVersion struct {
	model   string
	version int
}

// A leadership is one period during which the VM is the director.
type leadership struct {
	fence uint64
	since time.Time
	// termEntered is set once the previous director is known; orders and
	// reports may start at actAfter.
	termEntered bool
	actAfter    time.Time
	// dispatchAt is when items may be dispatched; until then executors
	// connect and report the runs that they have from an earlier director.
	dispatchAt time.Time
	// endsKnown is set once the ended jobs have been listed. Before that, a job
	// that looks open may have ended.
	endsKnown    bool
	group        *limpettask.Group
	committing   bool
	committedAt  time.Time
	savingDrafts bool
	draftsSaved  time.Time
	cleaningUp   bool
	cleanedUpAt  time.Time
	// reporting holds the retiring VMs that were reported as empty or are being
	// reported.
	reporting map[string]bool
	// term is what the store says of this director.
	term Term
	// Until keepUntil, the duty is kept although the loop lags; keptLogged is set
	// once that has happened.
	keepUntil  time.Time
	keptLogged bool
}

// mayDispatch reports whether items may be dispatched.
func (l *leadership) mayDispatch(now time.Time) bool { return l.endsKnown && !now.Before(l.dispatchAt) }

// A message is an event that the loop applies to its state.
type message interface{ apply(d *Director) }

const (
	leaseTTL    = 1400 * time.Millisecond
	renewPeriod = 280 * time.Millisecond
	stepPeriod  = 25 * time.Millisecond
	inboxSize   = 2048
	// commitPeriod is the time between commits of results.
	commitPeriod = 130 * time.Millisecond
	// groupCommitPeriod replaces commitPeriod while a complete group that a
	// trainer waits for is not committed.
	groupCommitPeriod = 20 * time.Millisecond
	// draftPeriod is the time between writes of unfinished texts.
	draftPeriod = 900 * time.Millisecond
	// leaselessRunTime is how long a director whose lease expired continues its
	// runs while no other director is known.
	leaselessRunTime = 20 * time.Second
)

// New returns a Director, which Run starts.
func New(deps Deps) *Director {
	ttl := max(leaseTTL, deps.MinLeaseTTL)
	scheduler := limpetbatch.New()
	scheduler.ObserveInterval = deps.Metrics.ObserveEventInterval
	scheduler.Limits = limpetbatch.Limits{Free: deps.Limits.Free, Take: deps.Limits.Take, Cold: deps.Limits.Cold}
	return &Director{
		Deps: deps, scheduler: scheduler, inbox: make(chan message, inboxSize), stopped: make(chan struct{}), sessions: map[string]*session{}, cachedResults: newResultCache(),
		holder:  limpetlease.New(deps.Store, deps.VM, deps.Incarnation, ttl, deps.Now),
		cancels: map[*limpetbatch.Run]context.CancelFunc{}, rewardCancels: map[*limpetbatch.Entry]context.CancelFunc{}, view: limpetsite.EmptySnapshot(),
		acceptedJobs: map[string]limpetjob.Summary{}, endedJobs: map[string]bool{}, loads: loadQueue{started: map[string]time.Time{}}, fullyCommitted: map[string]bool{},
		startedAt: deps.Now(), updateStarted: map[string]time.Time{}, suspendedUntil: map[string]time.Time{}, orderCounts: map[modelVersion]int{}, keptEngines: map[poolKey]int{},
	}
}

// post sends a message to the loop, unless the loop has ended.
func (d *Director) post(ctx context.Context, m message) {
	select {
	case d.inbox <- m:
	case <-ctx.Done():
	case <-d.stopped:
	}
}

// Run competes for the duty and processes jobs until ctx ends, and then
// releases the duty.
func (d *Director) Run(ctx context.Context) error {
	d.group = limpettask.New(ctx)
	d.vacantSince = d.Now()
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(d.stopped)
			return d.shutDown()
		case m := <-d.inbox:
			m.apply(d)
			d.drainInbox()
		case <-ticker.C:
		}
		d.step(ctx)
	}
}

// drainInbox applies the messages that are already queued, so that one step
// covers them all.
func (d *Director) drainInbox() {
	for range inboxSize {
		select {
		case m := <-d.inbox:
			m.apply(d)
		default:
			return
		}
	}
}

func (d *Director) shutDown() error {
	if d.leadership != nil {
		d.flushDrafts(d.leadership)
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

// step runs everything that is due.
func (d *Director) step(ctx context.Context) {
	now := d.Now()
	d.checkLag(now)
	d.tryAcquire(ctx, now)
	if d.leadership != nil {
		d.maintainLease(now)
	}
	if d.leadership == nil {
		if !d.mayContinueWithoutLease(now) {
			return
		}
		d.probeStoreElsewhere(now)
	}
	if view := d.View(); view != d.view {
		d.view = view
		d.cancelRuns(d.scheduler.UpdateEngines(view, now), "the engine was started again with other software")
		d.checkRetirement()
	}
	d.renewRules(now)
	d.stepRuns(now)
	d.stepDuties(now)
}

// stepRuns runs what is due of the work on items, which a director whose lease
// expired continues for a while.
func (d *Director) stepRuns(now time.Time) {
	d.checkExecutors(now)
	d.expireItems(now)
	// Lag of this VM's own loop says nothing about engines.
	overdue := d.scheduler.DetachOverdue(d.view, now.Add(-d.lag))
	d.recordSilence(overdue, now)
	d.cancelRuns(overdue, "overdue")
	if d.leadership == nil || d.leadership.mayDispatch(now) {
		for _, r := range d.scheduler.Dispatch(d.view, now) {
			d.startRun(r)
		}
	}
	d.logShortage()
	for _, r := range d.scheduler.StartRewardCalls(now) {
		d.callScorer(r)
	}
	examined := d.scheduler.Examined()
	d.Metrics.AddExaminedEngines(examined - d.examined)
	d.examined = examined
}

// logShortage logs when slots become too few for the steps that are due, and when that
// is over.
func (d *Director) logShortage() {
	if short := d.scheduler.Short(); short != d.short {
		d.short = short
		d.Log.Emit(limpetlog.JobsShort, limpetlog.Value("short", short), limpetlog.Value("late", d.scheduler.LateGroups()))
	}
}

// stepDuties runs what is due of the work that needs the duty. Any part of it
// may give the duty up, which ends the rest.
func (d *Director) stepDuties(now time.Time) {
	for _, part := range []func(time.Time){d.startLoads, d.commitResults, d.saveDrafts, d.planUpdates, d.reportRetired, d.cleanUpJobs, d.measureDemand} {
		if d.leadership == nil {
			return
		}
		part(now)
	}
}

// mayContinueWithoutLease reports whether a director that lost its lease
// continues its runs: no other VM is known to have taken over.
func (d *Director) mayContinueWithoutLease(now time.Time) bool {
	return len(d.scheduler.Jobs()) > 0 && now.Sub(d.lastHeldAt) < leaselessRunTime && d.record.VM == d.VM
}

func (d *Director) expireItems(now time.Time) {
	expired, runs := d.scheduler.ExpireItems(now)
	for _, e := range expired {
		d.logErrored(e, "item lifetime exceeded")
	}
	for _, e := range d.scheduler.WithdrawItems(now) {
		d.logErrored(e, "the job's route was removed")
	}
	d.cancelRuns(runs, "item given up")
	d.scheduler.ExpireTexts(now)
}

// cancelRuns cancels runs and logs the cause of each.
func (d *Director) cancelRuns(runs []*limpetbatch.Run, cause string) {
	for _, r := range runs {
		if cancel := d.cancels[r]; cancel != nil {
			cancel()
			delete(d.cancels, r)
		}
		d.Log.Emit(limpetlog.RunCanceled, limpetlog.Job(r.Entry.Job.ID), limpetlog.Value("item", r.Entry.Item.ID),
			limpetlog.Server(r.Server.ID), limpetlog.Value("after", r.After), limpetlog.Value("cause", cause))
	}
}
