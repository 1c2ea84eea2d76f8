package limpetdirector

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
)

const (
	// cleanupPeriod is the time between searches for jobs past their retention.
	cleanupPeriod = 5 * time.Second
	// clockSkewAllowance covers differences between the clocks of VMs.
	clockSkewAllowance = 30 * time.Second
	// cleanupTimeout bounds the removal of one job.
	cleanupTimeout = 3 * time.Second
)

// cleanUpJobs removes ended jobs past their retention from the store, one at a
// time.
func (d *Director) cleanUpJobs(now time.Time) {
	l := d.leadership
	if l.cleaningUp || now.Sub(l.cleanedUpAt) < cleanupPeriod {
		return
	}
	l.cleanedUpAt = now
	for id, s := range d.acceptedJobs {
		if !d.endedJobs[id] || d.scheduler.Has(id) || now.Sub(s.Arrived) < d.JobRetention+clockSkewAllowance {
			continue
		}
		l.cleaningUp = true
		l.group.Go(func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
			defer cancel()
			err := limpetjob.Remove(ctx, d.Store, s, limpetstore.Check{Key: limpetlease.Prefix + DutyName, Revision: l.fence})
			d.post(ctx, cleanupResult{leadership: l, id: id, err: err})
			return nil
		})
		return
	}
}

// cleanupResult is the outcome of removing a job.
type cleanupResult struct {
	leadership *leadership
	id         string
	err        error
}

func (m cleanupResult) apply(d *Director) {
	m.leadership.cleaningUp = false
	if m.err != nil {
		d.Log.Emit(limpetlog.JobRemovalFailed, limpetlog.Job(m.id), limpetlog.Error(m.err))
		return
	}
	d.Log.Emit(limpetlog.JobRemoved, limpetlog.Job(m.id))
	d.cachedResults.removeJob(m.id)
}
