package limpetdirector

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// lagDecay is the time constant with which past lag decays.
	lagDecay = 2 * time.Second
	// toleratedLag is the gap between steps that is normal on a shared CPU.
	toleratedLag = 120 * time.Millisecond
	// maxLag is the accumulated lag at which a director gives up the duty.
	maxLag = 600 * time.Millisecond
	// minLongGaps is the number of long gaps from which on the duty is given up. A
	// single one is over when it is noticed.
	minLongGaps = 2
	// candidacyBackoff is how long a VM does not compete for the duty after it
	// gave it up because its loop lagged or it did not reach the store.
	candidacyBackoff = 6 * time.Second
	// minLeadership is how long a director keeps the duty before it gives it up
	// for lag, so that the duty does not change quickly between slow VMs.
	minLeadership = 5 * time.Second
	// overloadMemory is how long after a director gave the duty up for lag its
	// successors do not: what overwhelms several VMs is the load, and a change of
	// directors adds to it.
	overloadMemory = 2 * time.Minute
	// maxLoopStall is how long the loop may be busy with one step before the lease
	// is not renewed any more.
	maxLoopStall = 5 * time.Second
)

// checkLag gives up the duty when the loop of this VM lags too much, as it does
// on a throttled CPU or after the process was stopped.
func (d *Director) checkLag(now time.Time) {
	gap := now.Sub(d.lastStep)
	if d.lastStep.IsZero() {
		gap = 0
	}
	d.lastStep, d.lastStepGap = now, gap
	d.stepped.Store(int64(now.Sub(d.startedAt)))
	decay := float64(gap) / float64(lagDecay)
	d.lag = time.Duration(float64(d.lag) / (1 + decay))
	if d.lag < toleratedLag {
		d.longGaps = 0
	}
	if gap > toleratedLag {
		d.lag += gap - toleratedLag
		d.longGaps++
	}
	d.Metrics.ObserveDirectorStep(gap)
	l := d.leadership
	if l == nil || d.lag < maxLag || d.longGaps < minLongGaps || !l.termEntered || now.Sub(l.since) < minLeadership {
		return
	}
	if now.Before(l.keepUntil) {
		if !l.keptLogged {
			l.keptLogged = true
			d.Log.Emit(limpetlog.DutyKept, limpetlog.Value("fence", l.fence), limpetlog.Value("lag_ms", d.lag.Milliseconds()), limpetlog.Value("until", l.keepUntil))
		}
		return
	}
	d.flushDrafts(l)
	d.recordOverload(l, now)
	d.stepDown("the event loop of this VM lags")
	d.lag = 0
	d.backoffUntil = now.Add(candidacyBackoff)
	d.abandonJobs()
	d.releaseLease()
}

// maintainLease steps down when the lease may have expired.
func (d *Director) maintainLease(now time.Time) {
	l := d.leadership
	if _, ok := d.holder.Holds(DutyName, 0); !ok {
		d.stepDown("the lease may have expired")
		d.releaseUncertainLease()
		return
	}
	if l.termEntered && !now.Before(l.actAfter) {
		d.lastHeldAt = now
	}
}

// renewLease renews the lease until ctx ends. It does not wait for the loop, which
// has other work, unless that seems to be stuck.
func (d *Director) renewLease(ctx context.Context, l *leadership) error {
	failed := false
	for ctx.Err() == nil {
		started := d.Now()
		if stall := started.Sub(d.startedAt) - time.Duration(d.stepped.Load()); stall > maxLoopStall {
			d.Log.Emit(limpetlog.LeaseNotRenewed, limpetlog.Value("fence", l.fence), limpetlog.Value("cause", "the event loop is stuck"), limpetlog.Value("stall_ms", stall.Milliseconds()))
			return nil
		}
		lost, err := d.holder.Renew(ctx)
		if len(lost) > 0 {
			d.post(ctx, leaseEnded{leadership: l})
			return nil
		}
		if err != nil && !failed && ctx.Err() == nil {
			d.Log.Emit(limpetlog.LeaseNotRenewed, limpetlog.Value("fence", l.fence), limpetlog.Error(err))
		}
		failed = err != nil
		limpettask.Sleep(ctx, renewPeriod-d.Now().Sub(started))
	}
	return nil
}

// leaseEnded reports that the store no longer holds the lease.
type leaseEnded struct{ leadership *leadership }

func (m leaseEnded) apply(d *Director) {
	if d.leadership == m.leadership {
		d.stepDown("the store no longer holds the lease")
	}
}

// releaseLease revokes the lease, so that another VM can take over at once.
func (d *Director) releaseLease() {
	d.group.Go(func(ctx context.Context) error {
		if err := d.holder.Release(ctx); err != nil {
			d.Log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
		}
		return nil
	})
}

// releaseUncertainLease revokes a lease that may have expired, retrying until
// the store answers. Leases may not expire while the store is down; the old
// lease would then keep every VM, including this one, from acquiring the duty.
// Once it is revoked, the VM competes for the duty again.
func (d *Director) releaseUncertainLease() {
	d.leaseBusy = true
	d.group.Go(func(ctx context.Context) error {
		release := d.holder.Detach()
		for ctx.Err() == nil && release(ctx) != nil {
			limpettask.Sleep(ctx, limpettask.Jitter(leaseRetryDelay))
		}
		d.post(ctx, leaseReleased{})
		return nil
	})
}

// leaseReleased reports that the former lease is gone from the store.
type leaseReleased struct{}

func (leaseReleased) apply(d *Director) {
	d.leaseBusy = false
	if d.record.VM == d.VM && !d.record.Vacant {
		// The watch of the duty may report the deletion later.
		d.record.Vacant, d.vacantSince = true, d.Now()
	}
}

// stepDown ends the work that needs the lease. Runs continue.
func (d *Director) stepDown(cause string) {
	if d.leadership == nil {
		return
	}
	d.Log.Emit(limpetlog.LeaseLost, limpetlog.Value("fence", d.leadership.fence), limpetlog.Value("cause", cause))
	l := d.leadership
	d.leadership = nil
	d.setExecutorsUnsure(true)
	d.storeUpElsewhere = false
	// A commit in flight may still add results to the store, so the cache may
	// be stale.
	d.cachedResults.clear()
	d.updateStarted = map[string]time.Time{}
	d.vacantSince = d.Now()
	d.group.Go(func(context.Context) error { return l.group.Stop() })
}

// abandonJobs drops all jobs because another VM processes them.
func (d *Director) abandonJobs() {
	now := d.Now()
	// Executors keep their runs for the next director.
	d.closeSessions()
	for id := range d.scheduler.Jobs() {
		d.removeJob(id, now, "another VM took over")
	}
	d.acceptedJobs = map[string]limpetjob.Summary{}
	d.loads.clear()
	d.fullyCommitted = map[string]bool{}
	d.cachedResults.clear()
	d.FollowDeployment(false)
}

const (
	// storeProbeDelay is how long after losing the lease other VMs are asked
	// whether they reach the store, and storeProbePeriod the interval between
	// such probes.
	storeProbeDelay  = 300 * time.Millisecond
	storeProbePeriod = 700 * time.Millisecond
)

// probeStoreElsewhere asks other VMs whether they reach the store. If they do,
// one of them takes over, and the runs of this VM would only compete with its
// successor's for engines.
func (d *Director) probeStoreElsewhere(now time.Time) {
	if d.probingStore || d.StoreReachable() || now.Sub(d.vacantSince) < storeProbeDelay || now.Sub(d.storeProbedAt) < storeProbePeriod {
		return
	}
	d.probingStore, d.storeProbedAt = true, now
	d.group.Go(func(ctx context.Context) error {
		d.post(ctx, storeProbeResult{up: d.StoreReachableElsewhere(ctx)})
		return nil
	})
}

// storeProbeResult tells whether other VMs reach the store.
type storeProbeResult struct{ up bool }

func (m storeProbeResult) apply(d *Director) {
	d.probingStore = false
	// When an outage ends, other VMs may reach the store slightly earlier than
	// this one, so two positive results in a row are required.
	before := d.storeUpElsewhere
	d.storeUpElsewhere = m.up
	if m.up && before && d.leadership == nil && !d.StoreReachable() && len(d.scheduler.Jobs()) > 0 {
		d.Log.Emit(limpetlog.LeaseLost, limpetlog.Value("cause", "other VMs reach the store"))
		d.backoffUntil = d.Now().Add(candidacyBackoff)
		d.storeUpElsewhere = false
		d.abandonJobs()
	}
}
