package limpetdirector

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetfollow"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetlot"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// TermKey holds the VM that was the director last. Unlike the lease's key it
// stays when the lease ends.
const TermKey = "term/" + Duty

// A Term names the VM that was the director last, and where others reach it.
type Term struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

func (t Term) encode() []byte {
	// Strings always encode.
	data, _ := json.Marshal(t)
	return data
}

// DecodeTerm reads the value of TermKey; one that cannot be read names nobody.
func DecodeTerm(v limpetstore.Value) Term {
	var t Term
	if json.Unmarshal(v.Data, &t) != nil {
		return Term{}
	}
	return t
}

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
	d.stepped = now
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
	d.group.Go(func(ctx context.Context) error {
		if err := d.holder.Release(ctx); err != nil {
			d.Log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
		}
		return nil
	})
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
					r = dutyOf(v)
				}
			}
			d.post(group.Context(), r)
		},
		Changed: func(values []limpetstore.Value) {
			for _, v := range values {
				if v.Key == limpetlease.Prefix+Duty {
					d.post(group.Context(), dutyOf(v))
				}
			}
		},
		Lost: func(error) {}, Back: func() {},
	}
	group.Go(f.Run)
}

func dutyOf(v limpetstore.Value) dutyRecord {
	if v.Deleted {
		return dutyRecord{Vacant: true, Revision: v.Revision}
	}
	var r limpetlease.Record
	if json.Unmarshal(v.Data, &r) != nil {
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

// enterTerm records this VM as the director, and learns who was before. Until
// then it gives no orders and makes no reports.
func (d *Director) enterTerm(ctx context.Context, l *lead) {
	first := ""
	for ctx.Err() == nil {
		previous, err := d.writeTerm(ctx, l.fence)
		if first == "" {
			// A write whose answer was lost shows this VM the next time.
			first = previous
		}
		if err == nil {
			d.post(ctx, entered{lead: l, previous: first})
			return
		}
		d.Log.Emit(limpetlog.DutyNotTaken, limpetlog.Error(err))
		limpettask.Sleep(ctx, limpettask.Jitter(tryPause))
	}
}

func (d *Director) writeTerm(ctx context.Context, fence uint64) (previous string, err error) {
	v, err := d.Store.Get(ctx, TermKey)
	if err != nil && !limpeterror.Is(err, limpeterror.NotFound) {
		return "", err
	}
	before := DecodeTerm(v)
	own := Term{VM: d.VM, Address: d.RelayAddress}
	if before == own {
		return before.VM, nil
	}
	_, err = d.Store.Commit(ctx, limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: limpetlease.Prefix + Duty, Revision: fence}},
		Writes: []limpetstore.Write{{Key: TermKey, Data: own.encode()}},
	})
	return before.VM, err
}

// entered tells who was the director before.
type entered struct {
	lead     *lead
	previous string
}

func (m entered) apply(d *Director) {
	if d.lead != m.lead {
		return
	}
	now := d.Now()
	m.lead.actAfter = now
	if m.previous != d.VM && !d.heldAt.IsZero() {
		// Another VM acted since this one did: a turn back must not be quick.
		m.lead.actAfter = d.heldAt.Add(d.Turn + turnSlack)
	}
	d.heldAt = now
	m.lead.entered = true
	d.Log.Emit(limpetlog.TermEntered, limpetlog.Value("fence", m.lead.fence), limpetlog.Value("previous", m.previous),
		limpetlog.Value("wait_ms", m.lead.actAfter.Sub(now).Milliseconds()))
	d.startDuties()
}

const turnSlack = 500 * time.Millisecond

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
	d.shelf.clear()
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
	d.open = map[string]limpetlot.Summary{}
	d.loading = map[string]bool{}
	d.whole = map[string]bool{}
	d.shelf.clear()
	d.Wake(false)
}

// Spread returns a random part of a period, so that VMs that notice the same
// thing do not act at once.
func Spread(period time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(period) + 1))
}

// retirePause is the pause between tries to tell that a VM is empty.
const retirePause = 300 * time.Millisecond

// retirements tells of VMs that are to be emptied: one that is not the
// director keeps nothing. A director that is asked itself gives the duty up
// for good, and its successor tells.
func (d *Director) retirements() {
	for vm := range d.view.Retiring {
		if vm == d.VM {
			d.retire()
			return
		}
		if d.emptied[vm] {
			continue
		}
		d.emptied[vm] = true
		d.lead.group.Go(func(ctx context.Context) error {
			for ctx.Err() == nil {
				err := d.Emptied(ctx, vm)
				if err == nil {
					d.Log.Emit(limpetlog.RetireDone, limpetlog.Value("retired", vm))
					return nil
				}
				limpettask.Sleep(ctx, limpettask.Jitter(retirePause))
			}
			return nil
		})
	}
}

func (d *Director) retire() {
	d.retired = true
	if d.lead != nil {
		d.handOver(d.lead)
	}
	d.stepDown("the VM is being emptied")
	d.abandon()
	d.group.Go(func(ctx context.Context) error {
		if err := d.holder.Release(ctx); err != nil {
			d.Log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
		}
		return nil
	})
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
