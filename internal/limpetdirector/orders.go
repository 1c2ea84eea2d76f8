package limpetdirector

import (
	"context"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetweights"
)

const (
	// planPeriod is the time between plans of weight updates. It grows by one
	// planPeriod for each enginesPerPlanPeriod servers.
	planPeriod           = 50 * time.Millisecond
	enginesPerPlanPeriod = 150
	// engineCallTimeout bounds one call to an engine.
	engineCallTimeout = 800 * time.Millisecond
	// minLeaseRemaining is how long the lease must still be valid when an order
	// is sent.
	minLeaseRemaining = 400 * time.Millisecond
	// firstReportDelay is the delay before an engine is first polled for the
	// result of an order, and reportPollPeriod the polling interval after that.
	firstReportDelay = 600 * time.Millisecond
	reportPollPeriod = 100 * time.Millisecond
	// updateTimeout bounds an update, after which the engine may be ordered
	// again.
	updateTimeout = 4 * time.Second
	// unseenOrderTimeout is how long an order that was accepted, or whose
	// answer was lost, may stay without effect on the engine's reports.
	unseenOrderTimeout = 1200 * time.Millisecond
	// engineLoadShare is the fraction of the mean update time that an engine
	// spends loading weights. The rest passes until its report shows the new
	// version.
	engineLoadShare = 0.82
	// failedOrderBackoff is how long an engine gets no order after a failed
	// one.
	failedOrderBackoff = time.Second
)

// planUpdates orders engines to load newer weights.
func (d *Director) planUpdates(now time.Time) {
	if now.Sub(d.plannedAt) < planPeriod*time.Duration(1+len(d.view.AllServers())/enginesPerPlanPeriod) || !d.leadership.termEntered || now.Before(d.leadership.actAfter) {
		return
	}
	d.plannedAt = now
	loadTime := time.Duration(engineLoadShare * float64(d.weightTiming.updateTime()))
	engines := d.scheduler.EngineStates(d.view, func(e *limpetweights.Engine) {
		began, updating := d.updateStarted[e.ID]
		e.Updating, e.Finishing, e.Suspended = updating, updating && now.Sub(began) > loadTime, now.Before(d.suspendedUntil[e.ID])
	})
	for _, c := range limpetweights.Plan(engines, d.pools(engines, now)) {
		d.startUpdate(c, now)
	}
}

func (d *Director) startUpdate(o limpetweights.UpdateOrder, now time.Time) {
	server := d.view.Server(o.Engine)
	if server == nil {
		return
	}
	d.updateStarted[o.Engine] = now
	d.orderCounts[modelVersion{o.Model, o.Version}]++
	d.scheduler.SetLoading(o.Engine, o.Model, now)
	d.cancelRuns(d.scheduler.Evacuate(o.Engine, o.Model, d.view, now), "weight update")
	l := d.leadership
	pause := !d.scheduler.OnPolicy(o.Model, server.Service)
	l.group.Go(func(ctx context.Context) error {
		d.post(d.group.Context(), d.executeUpdate(ctx, l, server, o, pause))
		return nil
	})
}

// An updateResult is the outcome of an order.
type updateResult struct {
	leadership *leadership
	order      limpetweights.UpdateOrder
	began      time.Time
	versions   map[string]int
	err        error
}

// executeUpdate sends an order and waits until the engine's report shows the
// version.
func (d *Director) executeUpdate(ctx context.Context, l *leadership, server *limpetsite.Server, o limpetweights.UpdateOrder, pause bool) updateResult {
	m := updateResult{leadership: l, order: o, began: d.Now()}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	report, err := d.report(ctx, server)
	if err != nil {
		m.err = err
		return m
	}
	if report.Versions[o.Model] >= o.Version || report.Busy {
		m.versions = report.Versions
		return m
	}
	call, cancelCall, fence, ok := d.call(ctx, minLeaseRemaining, engineCallTimeout)
	defer cancelCall()
	if !ok {
		m.err = limpeterror.Unavailable.New("the lease may expire before the order reaches the engine")
		return m
	}
	accepted := report.Accepted
	m.err = d.Upstream.Order(call, limpetupstream.Order{
		Server: server, Model: o.Model, Version: o.Version, Expected: accepted,
		Holder: d.VM, Fence: fence, Pause: pause,
	})
	d.Log.Emit(limpetlog.OrderSent, limpetlog.Server(server.ID), limpetlog.Value("model", o.Model), limpetlog.Value("version", o.Version),
		limpetlog.Value("from", report.Versions[o.Model]), limpetlog.Value("expected", accepted), limpetlog.Value("fence", fence), limpetlog.Value("outcome", outcomeOf(m.err)))
	if m.err != nil && !limpeterror.Is(m.err, limpeterror.Unknown) {
		return m
	}
	m.versions, m.err = d.awaitWeights(ctx, server, o, accepted)
	return m
}

func outcomeOf(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

func (d *Director) report(ctx context.Context, server *limpetsite.Server) (limpetupstream.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return d.Upstream.Report(ctx, server)
}

// awaitWeights polls an engine until an order has taken effect.
func (d *Director) awaitWeights(ctx context.Context, server *limpetsite.Server, o limpetweights.UpdateOrder, accepted int) (map[string]int, error) {
	began := d.Now()
	var last error
	for pause := firstReportDelay; limpettask.Sleep(ctx, pause); pause = reportPollPeriod {
		r, err := d.report(ctx, server)
		if err != nil {
			last = err
			continue
		}
		if r.Versions[o.Model] >= o.Version {
			return r.Versions, nil
		}
		if !r.Busy && r.Accepted <= accepted && d.Now().Sub(began) > unseenOrderTimeout {
			return r.Versions, limpeterror.Unknown.New("the order had no effect on the engine's report")
		}
	}
	return nil, limpeterror.Unknown.New("no report showed the ordered version in time; last error: %v", last)
}

func (m updateResult) apply(d *Director) {
	now := d.Now()
	id := m.order.Engine
	d.scheduler.SetLoading(id, "", now)
	if m.versions != nil {
		d.scheduler.SetVersions(id, m.versions)
	}
	if d.leadership != m.leadership {
		return
	}
	delete(d.updateStarted, id)
	if m.err == nil && m.versions[m.order.Model] >= m.order.Version {
		d.weightTiming.recordUpdate(now.Sub(m.began))
		d.Log.Emit(limpetlog.WeightsActive, limpetlog.Server(id), limpetlog.Value("model", m.order.Model), limpetlog.Value("version", m.order.Version))
		return
	}
	d.orderCounts[modelVersion{m.order.Model, m.order.Version}]--
	d.suspendedUntil[id] = now.Add(failedOrderBackoff)
	if m.err != nil {
		d.Log.Emit(limpetlog.WeightUpdateFailed, limpetlog.Server(id), limpetlog.Value("model", m.order.Model),
			limpetlog.Value("version", m.order.Version), limpetlog.Error(m.err))
	}
	if limpeterror.Is(m.err, limpeterror.Fenced) {
		d.stepDown("an engine has seen a newer fencing token")
	}
}

// demandPeriod is the time between measurements of demand.
const demandPeriod = 100 * time.Millisecond

// measureDemand publishes the demand for each service.
func (d *Director) measureDemand(now time.Time) {
	if now.Sub(d.measuredAt) < demandPeriod {
		return
	}
	d.measuredAt = now
	for service, n := range d.scheduler.Demand() {
		d.demand.Store(service, Demand{Items: n, RunTime: d.scheduler.RunTime(service)})
	}
}

// A Demand describes the items of a service.
type Demand struct {
	// Items is the number of running and waiting items.
	Items int
	// RunTime is the mean duration of a run.
	RunTime time.Duration
}

// Demand returns the demand for a service.
func (d *Director) Demand(service string) Demand {
	if demand, ok := d.demand.Load(service); ok {
		return demand.(Demand)
	}
	return Demand{}
}
