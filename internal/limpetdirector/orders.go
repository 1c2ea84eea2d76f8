package limpetdirector

import (
	"context"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetswap"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// planPeriod is the time between plans of weight changes; it grows by
	// itself with each planEngines servers.
	planPeriod  = 50 * time.Millisecond
	planEngines = 150
	// orderTime bounds one call to an engine.
	orderTime = 800 * time.Millisecond
	// sureFor is how long the lease must last at least when an order is sent.
	sureFor = 400 * time.Millisecond
	// reportFirst is when a change of weights is looked for first, and
	// reportPoll how often after that.
	reportFirst = 600 * time.Millisecond
	reportPoll  = 100 * time.Millisecond
	// swapLongest is when an order that is not seen to be carried out is given
	// again.
	swapLongest = 4 * time.Second
	// swapUnseen is how long an accepted or lost order may leave no trace.
	swapUnseen = 1200 * time.Millisecond
	// settledShare of the usual time of a change is spent at the engine; the
	// rest passes until its report tells.
	settledShare = 0.82
	// holdEngine is how long an engine is left alone after an order in vain.
	holdEngine = time.Second
)

// swap orders engines to newer weights.
func (d *Director) swap(now time.Time) {
	if now.Sub(d.planned) < planPeriod*time.Duration(1+len(d.view.All())/planEngines) || !d.lead.entered || now.Before(d.lead.actAfter) {
		return
	}
	d.planned = now
	settled := time.Duration(settledShare * float64(d.rhythm.change()))
	engines := d.ledger.Fleet(d.view, func(e *limpetswap.Engine) {
		began, changing := d.swaps[e.ID]
		e.Changing, e.Settling, e.Held = changing, changing && now.Sub(began) > settled, now.Before(d.held[e.ID])
	})
	for _, c := range limpetswap.Plan(engines, d.models(engines)) {
		d.order(c, now)
	}
}

// models returns what is known of the trained models.
func (d *Director) models(engines []limpetswap.Engine) []limpetswap.Model {
	need := d.ledger.Need()
	interval := d.rhythm.interval(d.view.Named, d.Now())
	work := map[string]int{}
	for name := range d.view.Named {
		work[name] = d.ledger.Work(name).Tokens
	}
	parts := limpetswap.Parts(work)
	parallel := limpetswap.Parallel(limpetswap.Lasting(engines))
	var models []limpetswap.Model
	for name, version := range d.view.Named {
		models = append(models, limpetswap.Model{
			Name: name, Named: version, Need: need[name], Waiting: d.ledger.Waiting(name),
			Loads: d.loads[load{name, version}], Free: len(engines) / max(len(d.view.Named), 1),
			Share: min(limpetswap.Enough(d.ledger.Work(name).Items, d.ledger.Places()),
				limpetswap.Share(len(engines), parallel, parts[name], interval, d.rhythm.change())),
		})
	}
	return models
}

func (d *Director) order(c limpetswap.Choice, now time.Time) {
	server := d.view.Server(c.Engine)
	if server == nil {
		return
	}
	d.swaps[c.Engine] = now
	d.loads[load{c.Model, c.Version}]++
	d.ledger.Loading(c.Engine, c.Model, now)
	d.cut(d.ledger.Evacuate(c.Engine, c.Model, d.view, now), "weights change")
	l := d.lead
	pause := !d.ledger.OnPolicy(c.Model)
	l.group.Go(func(ctx context.Context) error {
		d.post(d.group.Context(), d.carryOut(ctx, l, server, c, pause))
		return nil
	})
}

// A swapped is the end of an order.
type swapped struct {
	lead     *lead
	choice   limpetswap.Choice
	began    time.Time
	versions map[string]int
	err      error
}

// carryOut gives an order and waits until the engine's report shows it.
func (d *Director) carryOut(ctx context.Context, l *lead, server *limpetsite.Server, c limpetswap.Choice, pause bool) swapped {
	s := swapped{lead: l, choice: c, began: d.Now()}
	ctx, cancel := context.WithTimeout(ctx, swapLongest)
	defer cancel()
	report, err := d.report(ctx, server)
	if err != nil {
		s.err = err
		return s
	}
	if report.Versions[c.Model] >= c.Version || report.Busy {
		s.versions = report.Versions
		return s
	}
	fence, ok := d.fence(sureFor)
	if !ok {
		s.err = limpeterror.Unavailable.New("the lease is not sure any more")
		return s
	}
	accepted := report.Accepted
	s.err = d.give(ctx, limpetupstream.Order{
		Server: server, Model: c.Model, Version: c.Version, Expected: accepted,
		Holder: d.VM, Fence: fence, Pause: pause,
	})
	d.Log.Emit(limpetlog.OrderSent, limpetlog.Server(server.ID), limpetlog.Value("model", c.Model), limpetlog.Value("version", c.Version),
		limpetlog.Value("from", report.Versions[c.Model]), limpetlog.Value("expected", accepted), limpetlog.Value("fence", fence), limpetlog.Value("outcome", outcomeOf(s.err)))
	if s.err != nil && !limpeterror.Is(s.err, limpeterror.Unknown) {
		return s
	}
	s.versions, s.err = d.await(ctx, server, c, accepted)
	return s
}

func outcomeOf(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

func (d *Director) give(ctx context.Context, o limpetupstream.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	return d.Peer.Order(ctx, o)
}

func (d *Director) report(ctx context.Context, server *limpetsite.Server) (limpetupstream.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	return d.Peer.Report(ctx, server)
}

// await polls an engine until an order is carried out.
func (d *Director) await(ctx context.Context, server *limpetsite.Server, c limpetswap.Choice, accepted int) (map[string]int, error) {
	began := d.Now()
	var last error
	for pause := reportFirst; limpettask.Sleep(ctx, pause); pause = reportPoll {
		r, err := d.report(ctx, server)
		if err != nil {
			last = err
			continue
		}
		if r.Versions[c.Model] >= c.Version {
			return r.Versions, nil
		}
		if !r.Busy && r.Accepted <= accepted && d.Now().Sub(began) > swapUnseen {
			return r.Versions, limpeterror.Unknown.New("no trace of the order")
		}
	}
	return nil, limpeterror.Unknown.New("the order was not seen to be carried out, last report: %v", last)
}

func (m swapped) apply(d *Director) {
	now := d.Now()
	id := m.choice.Engine
	d.ledger.Loading(id, "", now)
	if m.versions != nil {
		d.ledger.Learned(id, m.versions)
	}
	if d.lead != m.lead {
		return
	}
	delete(d.swaps, id)
	if m.err == nil && m.versions[m.choice.Model] >= m.choice.Version {
		d.rhythm.changed(now.Sub(m.began))
		d.Log.Emit(limpetlog.WeightsActive, limpetlog.Server(id), limpetlog.Value("model", m.choice.Model), limpetlog.Value("version", m.choice.Version))
		return
	}
	d.loads[load{m.choice.Model, m.choice.Version}]--
	d.held[id] = now.Add(holdEngine)
	if m.err != nil {
		d.Log.Emit(limpetlog.WeightsFailed, limpetlog.Server(id), limpetlog.Value("model", m.choice.Model),
			limpetlog.Value("version", m.choice.Version), limpetlog.Error(m.err))
	}
	if limpeterror.Is(m.err, limpeterror.Fenced) {
		d.stepDown("an engine has seen a later holder")
	}
}

// measurePeriod is how often the demand for services is measured.
const measurePeriod = 100 * time.Millisecond

// measure counts the items that run and wait by service.
func (d *Director) measure(now time.Time) {
	if now.Sub(d.measured) < measurePeriod {
		return
	}
	d.measured = now
	for service, n := range d.ledger.Demand() {
		d.demand.Store(service, n)
	}
}

// Demand returns the number of items of a service that run and wait.
func (d *Director) Demand(service string) int {
	if n, ok := d.demand.Load(service); ok {
		return n.(int)
	}
	return 0
}
