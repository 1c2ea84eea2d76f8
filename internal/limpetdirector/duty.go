package limpetdirector

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"limpetmount.org/internal/limpetfollow"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// A dutyRecord says who holds the duty, as far as this VM knows.
type dutyRecord struct {
	VM       string
	Revision uint64
	Vacant   bool
}

const (
	// watchWait is how long watches of the duty and of jobs wait at the store.
	watchWait = 2 * time.Second
	// tryPause is the time between tries to take a vacant duty.
	tryPause = 150 * time.Millisecond
)

// competing starts or ends the VM's candidacy.
type competing struct{ on bool }

func (m competing) apply(d *Director) {
	switch {
	case m.on && d.watching == nil:
		d.watching = limpettask.New(d.group.Context())
		d.vacantAt = d.Now()
		d.followDuty(d.watching)
	case !m.on && d.watching != nil && d.lead == nil:
		watching := d.watching
		d.watching = nil
		d.record.Vacant = false
		d.group.Go(func(context.Context) error { return watching.Stop() })
	}
}

// Compete makes the VM a candidate for the duty, or not. A director stays one.
func (d *Director) Compete(ctx context.Context, on bool) {
	if d.candidate.Swap(on) != on {
		d.post(ctx, competing{on: on})
	}
}

// followDuty watches who holds the duty.
func (d *Director) followDuty(group *limpettask.Group) {
	f := &limpetfollow.Follower{
		Store: d.Store, Prefix: limpetlease.Prefix, Wait: d.DutyWait,
		Listed: func(l limpetstore.Listing) {
			r := dutyRecord{Vacant: true, Revision: l.Revision}
			for _, v := range l.Values {
				if v.Key == limpetlease.Prefix+Duty {
					r = d.dutyOf(v)
				}
			}
			d.post(group.Context(), r)
		},
		Changed: func(values []limpetstore.Value) {
			for _, v := range values {
				if v.Key == limpetlease.Prefix+Duty {
					d.post(group.Context(), d.dutyOf(v))
				}
			}
		},
		Lost: func(error) {}, Back: func() {},
	}
	group.Go(f.Run)
}

// dutyOf reads who has the duty; a value that cannot be read names nobody, but
// is no vacancy.
func (d *Director) dutyOf(v limpetstore.Value) dutyRecord {
	if v.Deleted {
		return dutyRecord{Vacant: true, Revision: v.Revision}
	}
	var r limpetlease.Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		d.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
		return dutyRecord{Revision: v.Revision}
	}
	return dutyRecord{VM: r.Holder, Revision: v.Revision}
}

// apply takes news of the duty. A holder other than this VM ends all that
// this VM does.
func (r dutyRecord) apply(d *Director) {
	if r.Revision < d.record.Revision {
		return
	}
	if r.Vacant {
		if !d.record.Vacant {
			d.vacantAt = d.Now()
		}
		// Who held it last stays known while it is vacant.
		r.VM = d.record.VM
		d.record = r
		return
	}
	d.record = r
	if r.VM != d.VM && (d.lead != nil || len(d.ledger.Jobs()) > 0) {
		d.stepDown("another VM holds the duty")
		d.abandon()
	}
}

// compete takes the duty when it is vacant and this VM's turn.
func (d *Director) compete(ctx context.Context, now time.Time) {
	if d.lead != nil || d.watching == nil || d.trying || d.retired || !d.record.Vacant {
		return
	}
	if now.Before(d.standBack) {
		return
	}
	wait := d.Reserve
	if d.record.VM == d.VM {
		// The last holder still has its runs: it goes first.
		wait = 0
	}
	if now.Sub(d.vacantAt) < wait {
		return
	}
	d.trying = true
	d.group.Go(func(context.Context) error {
		d.post(ctx, d.acquire(ctx))
		return nil
	})
}

// An acquired is the outcome of a try to take the duty.
type acquired struct {
	fence uint64
	err   error
}

func (d *Director) acquire(ctx context.Context) acquired {
	fence, err := d.holder.Acquire(ctx, Duty)
	if err != nil {
		limpettask.Sleep(ctx, limpettask.Jitter(tryPause))
	}
	return acquired{fence: fence, err: err}
}

func (a acquired) apply(d *Director) {
	d.trying = false
	now := d.Now()
	if a.err != nil {
		d.Log.Emit(limpetlog.DutyNotTaken, limpetlog.Error(a.err))
		return
	}
	d.record = dutyRecord{VM: d.VM, Revision: a.fence}
	// The lease is renewed at once: with a slow store much of it is over.
	d.lead = &lead{fence: a.fence, group: limpettask.New(d.group.Context()), since: now}
	d.doubtful(false)
	d.Log.Emit(limpetlog.LeaseAcquired, limpetlog.Value("fence", a.fence))
	l := d.lead
	if len(d.ledger.Jobs()) == 0 {
		l.gatherUntil = now.Add(gatherTime)
	}
	l.group.Go(func(ctx context.Context) error {
		d.enterTerm(ctx, l)
		return nil
	})
	d.takeOver()
}

// takeOver starts what a director does.
func (d *Director) takeOver() {
	l := d.lead
	d.Wake(true)
	d.loading = map[string]bool{}
	for id := range d.ledger.Jobs() {
		d.resync(id)
	}
	d.followJobs(l)
}

// startDuties starts what this VM does towards the platform.
func (d *Director) startDuties() {
	l := d.lead
	hold := Hold{VM: d.VM, Fence: d.fence}
	for _, duty := range d.Duties {
		l.group.Go(func(ctx context.Context) error {
			limpettask.Sleep(ctx, l.actAfter.Sub(d.Now()))
			return duty(ctx, hold)
		})
	}
}

// fence tells duties whether they may act.
func (d *Director) fence(ahead time.Duration) (uint64, bool) {
	fence, ok := d.holder.Holds(Duty, ahead)
	return fence, ok
}

// Spread returns a random part of a period, so that VMs that notice the same
// thing do not act at once.
func Spread(period time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(period) + 1))
}
