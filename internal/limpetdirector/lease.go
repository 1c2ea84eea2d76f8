package limpetdirector

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// lagHalf is how fast past delays of the loop are forgotten.
	lagHalf = 2 * time.Second
	// lagFree is a delay that is usual on a shared processor.
	lagFree = 120 * time.Millisecond
	// lagMost is the sum of delays at which a director gives its duty up.
	lagMost = 600 * time.Millisecond
	// standBackFor is how long a VM that did badly leaves the duty to others.
	standBackFor = 6 * time.Second
	// holdLeast is how long a director holds the duty before it gives it up for
	// being slow, so that slow VMs do not pass it around.
	holdLeast = 5 * time.Second
)

// watchSelf gives the duty up when this VM is too slow for it: its processor
// is slowed, or it was stopped for a time.
func (d *Director) watchSelf(now time.Time) {
	passed := now.Sub(d.stepped)
	if d.stepped.IsZero() {
		passed = 0
	}
	d.stepped, d.paused = now, passed
	fade := float64(passed) / float64(lagHalf)
	d.lag = time.Duration(float64(d.lag)/(1+fade)) + max(0, passed-lagFree)
	if d.lead == nil || d.lag < lagMost || now.Sub(d.lead.since) < holdLeast {
		return
	}
	d.handOver(d.lead)
	d.stepDown("this VM is too slow")
	d.lag = 0
	d.standBack = now.Add(standBackFor)
	d.abandon()
	d.release()
}

// keepLease renews the lease, and steps down when the belief in it ends.
func (d *Director) keepLease(now time.Time) {
	l := d.lead
	if _, ok := d.holder.Holds(Duty, 0); !ok {
		d.stepDown("the lease is not sure any more")
		d.letGo()
		return
	}
	if l.entered && !now.Before(l.actAfter) {
		d.heldAt = now
	}
	if l.renewing || now.Sub(l.renewed) < renewPeriod {
		return
	}
	l.renewing, l.renewed = true, now
	l.group.Go(func(ctx context.Context) error {
		lost, err := d.holder.Renew(ctx)
		d.post(ctx, renewal{lead: l, lost: len(lost) > 0, err: err})
		return nil
	})
}

type renewal struct {
	lead *lead
	lost bool
	err  error
}

func (r renewal) apply(d *Director) {
	if d.lead != r.lead {
		return
	}
	r.lead.renewing = false
	if r.lost {
		d.stepDown("the store ended the lease")
	}
}

// release ends the lease, so that another VM takes over at once.
func (d *Director) release() {
	d.group.Go(func(ctx context.Context) error {
		if err := d.holder.Release(ctx); err != nil {
			d.Log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
		}
		return nil
	})
}

// letGo gives up the lease that this VM cannot be sure of, as soon as the
// store takes the call: the lease may have stood still with the store, and
// keeps everybody waiting otherwise. The VM then competes like others.
func (d *Director) letGo() {
	d.trying = true
	d.group.Go(func(ctx context.Context) error {
		release := d.holder.Handle()
		for ctx.Err() == nil && release(ctx) != nil {
			limpettask.Sleep(ctx, limpettask.Jitter(tryPause))
		}
		d.post(ctx, released{})
		return nil
	})
}

// released tells that the former lease is over.
type released struct{}

func (released) apply(d *Director) {
	d.trying = false
	if d.record.VM == d.VM && !d.record.Vacant {
		// The watch of the duty may tell late; this VM knows already.
		d.record.Vacant, d.vacantAt = true, d.Now()
	}
}

// stepDown ends all that needs the lease. Runs go on.
func (d *Director) stepDown(cause string) {
	if d.lead == nil {
		return
	}
	d.Log.Emit(limpetlog.LeaseLost, limpetlog.Value("fence", d.lead.fence), limpetlog.Value("cause", cause))
	l := d.lead
	d.lead = nil
	d.doubtful(true)
	d.upElsewhere = false
	// A write that is under way may still add to what the store holds.
	d.listed.clear()
	d.swaps = map[string]time.Time{}
	d.vacantAt = d.Now()
	d.group.Go(func(context.Context) error { return l.group.Stop() })
}

// abandon drops all jobs: another VM carries them out.
func (d *Director) abandon() {
	now := d.Now()
	// Carriers keep their runs for the other VM.
	d.forgetCarriers()
	for id := range d.ledger.Jobs() {
		d.cut(d.ledger.End(id, now), "another VM took over")
	}
	d.open = map[string]limpetjob.Summary{}
	d.loading = map[string]bool{}
	d.whole = map[string]bool{}
	d.listed.clear()
	d.Wake(false)
}

const (
	// askAfter is how long the lease is lost before other VMs are asked for the
	// store, and askPeriod how often they are.
	askAfter  = 300 * time.Millisecond
	askPeriod = 700 * time.Millisecond
)

// askElsewhere finds out whether this VM alone lost the store. Its runs would
// then only take places from those of its successor.
func (d *Director) askElsewhere(now time.Time) {
	if d.asking || d.InContact() || now.Sub(d.vacantAt) < askAfter || now.Sub(d.askedAt) < askPeriod {
		return
	}
	d.asking, d.askedAt = true, now
	d.group.Go(func(ctx context.Context) error {
		d.post(ctx, elsewhere{up: d.StoreElsewhere(ctx)})
		return nil
	})
}

// elsewhere tells whether other VMs reach the store.
type elsewhere struct{ up bool }

func (m elsewhere) apply(d *Director) {
	d.asking = false
	// At an outage's end other VMs may notice a little earlier: one answer
	// alone proves nothing.
	before := d.upElsewhere
	d.upElsewhere = m.up
	if m.up && before && d.lead == nil && !d.InContact() && len(d.ledger.Jobs()) > 0 {
		d.Log.Emit(limpetlog.LeaseLost, limpetlog.Value("cause", "other VMs reach the store"))
		d.standBack = d.Now().Add(standBackFor)
		d.upElsewhere = false
		d.abandon()
	}
}
