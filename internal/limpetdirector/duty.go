package limpetdirector

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwatch"
)

// A dutyRecord is what this VM knows about the holder of the duty.
type dutyRecord struct {
	VM string
	// Incarnation is that of the holder's process.
	Incarnation string
	Revision    uint64
	Vacant      bool
}

const (
	// jobWatchTimeout is the long-poll timeout of the watches on jobs.
	jobWatchTimeout = 2 * time.Second
	// leaseRetryDelay is the mean delay between attempts of an operation on the
	// lease.
	leaseRetryDelay = 150 * time.Millisecond
)

// candidacy starts or stops competing for the duty.
type candidacy struct{ on bool }

func (m candidacy) apply(d *Director) {
	switch {
	case m.on && d.dutyWatch == nil:
		d.dutyWatch = limpettask.New(d.group.Context())
		d.vacantSince = d.Now()
		d.followDuty(d.dutyWatch)
	case !m.on && d.dutyWatch != nil && d.leadership == nil:
		dutyWatch := d.dutyWatch
		d.dutyWatch = nil
		d.record.Vacant = false
		d.group.Go(func(context.Context) error { return dutyWatch.Stop() })
	}
}

// SetCandidate sets whether the VM competes for the duty. A VM that is the
// director stays it in either case.
func (d *Director) SetCandidate(ctx context.Context, on bool) {
	if d.candidate.Swap(on) != on {
		d.post(ctx, candidacy{on: on})
	}
}

// followDuty watches the store's key that names the holder of the duty.
func (d *Director) followDuty(group *limpettask.Group) {
	f := &limpetwatch.Watcher{
		Store: d.Store, Prefix: limpetlease.Prefix, Wait: d.DutyWatchTimeout,
		OnList: func(l limpetstore.Listing) {
			r := dutyRecord{Vacant: true, Revision: l.Revision}
			for _, v := range l.Values {
				if v.Key == limpetlease.Prefix+DutyName {
					r = d.decodeDuty(v)
				}
			}
			d.post(group.Context(), r)
		},
		OnChange: func(values []limpetstore.Value) {
			for _, v := range values {
				if v.Key == limpetlease.Prefix+DutyName {
					d.post(group.Context(), d.decodeDuty(v))
				}
			}
		},
		OnOutage: func(error) {}, OnRecovery: func() {},
	}
	group.Go(f.Run)
}

// decodeDuty decodes the holder of the duty. An undecodable value counts as held
// by an unknown VM, not as vacant.
func (d *Director) decodeDuty(v limpetstore.Value) dutyRecord {
	if v.Deleted {
		return dutyRecord{Vacant: true, Revision: v.Revision}
	}
	var r limpetlease.Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		d.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
		return dutyRecord{Revision: v.Revision}
	}
	return dutyRecord{VM: r.Holder, Incarnation: r.Incarnation, Revision: v.Revision}
}

// apply records a change of the duty's holder. If another VM holds it, this one
// steps down and drops its jobs.
func (r dutyRecord) apply(d *Director) {
	if r.Revision < d.record.Revision {
		return
	}
	if r.Vacant {
		if !d.record.Vacant {
			d.vacantSince = d.Now()
		}
		// Keep the last holder: it may reacquire the duty without delay.
		r.VM, r.Incarnation = d.record.VM, d.record.Incarnation
		d.record = r
		return
	}
	d.record = r
	if r.VM != d.VM && (d.leadership != nil || len(d.scheduler.Jobs()) > 0) {
		d.stepDown("another VM holds the duty")
		d.abandonJobs()
	}
}

// tryAcquire starts to acquire the duty when it is vacant and this VM's delay
// is over.
func (d *Director) tryAcquire(ctx context.Context, now time.Time) {
	if d.leadership != nil || d.dutyWatch == nil || d.leaseBusy || d.retired || !d.record.Vacant {
		return
	}
	if now.Before(d.backoffUntil) {
		return
	}
	if now.Sub(d.vacantSince) < d.acquireDelay() {
		return
	}
	d.leaseBusy = true
	d.group.Go(func(context.Context) error {
		d.post(ctx, d.acquire(ctx))
		return nil
	})
}

// restartDelay is how long a VM leaves a vacant duty to others that its earlier
// process held when it ended, in case what ended that process does so again.
const restartDelay = 6 * time.Second

// acquireDelay returns how long the duty must have been vacant before this VM
// tries to acquire it.
func (d *Director) acquireDelay() time.Duration {
	switch {
	case d.record.VM != d.VM:
		return d.AcquireDelay
	case d.record.Incarnation == d.Incarnation:
		// The last holder still has its runs.
		return 0
	}
	if !d.yielded {
		d.yielded = true
		d.Metrics.CountYieldedDuty()
		d.Log.Emit(limpetlog.DutyYielded, limpetlog.Value("duty", DutyName), limpetlog.Value("delay_ms", restartDelay.Milliseconds()))
	}
	return restartDelay
}

// An acquireResult is the outcome of an attempt to acquire the duty.
type acquireResult struct {
	fence uint64
	err   error
}

func (d *Director) acquire(ctx context.Context) acquireResult {
	fence, err := d.holder.Acquire(ctx, DutyName)
	if err != nil {
		limpettask.Sleep(ctx, limpettask.Jitter(leaseRetryDelay))
	}
	return acquireResult{fence: fence, err: err}
}

func (m acquireResult) apply(d *Director) {
	d.leaseBusy = false
	now := d.Now()
	if m.err != nil {
		d.Log.Emit(limpetlog.DutyNotAcquired, limpetlog.Error(m.err))
		return
	}
	d.record = dutyRecord{VM: d.VM, Incarnation: d.Incarnation, Revision: m.fence}
	d.leadership = &leadership{fence: m.fence, group: limpettask.New(d.group.Context()), since: now, reporting: map[string]bool{}}
	d.setExecutorsUnsure(false)
	d.Log.Emit(limpetlog.LeaseAcquired, limpetlog.Value("fence", m.fence))
	l := d.leadership
	if len(d.scheduler.Jobs()) == 0 {
		l.dispatchAt = now.Add(executorJoinWait)
	}
	// The lease is renewed at once: with a slow store, much of its duration is
	// already over.
	l.group.Go(func(ctx context.Context) error { return d.renewLease(ctx, l) })
	l.group.Go(func(ctx context.Context) error {
		d.recordTerm(ctx, l)
		return nil
	})
	d.resumeJobs()
}

// resumeJobs reloads the results of the jobs that the scheduler holds and starts
// to watch jobs.
func (d *Director) resumeJobs() {
	l := d.leadership
	d.FollowDeployment(true)
	d.loads.clear()
	for id := range d.scheduler.Jobs() {
		d.resync(id)
	}
	d.followJobs(l)
}

// startDuties starts the configured duties, which wait until actAfter.
func (d *Director) startDuties() {
	l := d.leadership
	lease := LeaseCheck{VM: d.VM, Fence: d.fence, Call: d.call}
	for _, duty := range d.Duties {
		l.group.Go(func(ctx context.Context) error {
			limpettask.Sleep(ctx, l.actAfter.Sub(d.Now()))
			return duty(ctx, lease)
		})
	}
}

// fence returns the fencing token and whether the lease is valid for the given
// time ahead.
func (d *Director) fence(ahead time.Duration) (uint64, bool) {
	fence, ok := d.holder.Holds(DutyName, ahead)
	return fence, ok
}

// call prepares a call under the duty.
func (d *Director) call(ctx context.Context, ahead, timeout time.Duration) (context.Context, context.CancelFunc, uint64, bool) {
	return d.holder.Call(ctx, DutyName, ahead, timeout)
}

// RandomDelay returns a random duration up to period, so that VMs that notice
// the same change do not act at once.
func RandomDelay(period time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(period) + 1))
}
