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
	// forgetPeriod is the time between looks for jobs whose time is over.
	forgetPeriod = 5 * time.Second
	// forgetSlack allows for clocks that differ between VMs.
	forgetSlack = 30 * time.Second
	forgetTime  = 3 * time.Second
)

// forget removes ended jobs that nobody may read any more, one at a time.
func (d *Director) forget(now time.Time) {
	l := d.lead
	if l.forgetting || now.Sub(l.forgot) < forgetPeriod {
		return
	}
	l.forgot = now
	for id, s := range d.open {
		if !d.ended[id] || d.ledger.Has(id) || now.Sub(s.Arrived) < d.StatusLife+forgetSlack {
			continue
		}
		l.forgetting = true
		l.group.Go(func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, forgetTime)
			defer cancel()
			err := limpetjob.Clear(ctx, d.Store, s, limpetstore.Check{Key: limpetlease.Prefix + Duty, Revision: l.fence})
			d.post(ctx, forgotten{lead: l, id: id, err: err})
			return nil
		})
		return
	}
}

// forgotten is the end of a try to remove a job.
type forgotten struct {
	lead *lead
	id   string
	err  error
}

func (m forgotten) apply(d *Director) {
	m.lead.forgetting = false
	if m.err != nil {
		d.Log.Emit(limpetlog.JobNotForgotten, limpetlog.Job(m.id), limpetlog.Error(m.err))
		return
	}
	d.Log.Emit(limpetlog.JobForgotten, limpetlog.Job(m.id))
	d.listed.drop(m.id)
}
