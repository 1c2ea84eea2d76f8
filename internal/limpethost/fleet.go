package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetscaler"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
)

const (
	planInterval = 200 * time.Millisecond
	// observeTime is how long a new director observes the deployment before it
	// orders servers, since it does not see all servers at once.
	observeTime  = 4 * time.Second
	scaleTimeout = 1500 * time.Millisecond
	// minLeaseRemaining is the least time for which the lease must still be
	// valid when servers are ordered.
	minLeaseRemaining = 300 * time.Millisecond
)

// orderServers orders backend servers according to demand while this VM is the
// director.
func (h *Host) orderServers(ctx context.Context, lease limpetdirector.LeaseCheck) error {
	planners := map[string]*limpetscaler.Planner{}
	began := h.deps.Now()
	for limpettask.Sleep(ctx, planInterval) {
		view, now := h.View(), h.deps.Now()
		if !view.Ready() {
			continue
		}
		for i := range view.Config.Services {
			service := &view.Config.Services[i]
			if service.Fleet == nil {
				continue
			}
			planner := planners[service.Name]
			if planner == nil {
				planner = limpetscaler.New(service.Name)
				planners[service.Name] = planner
			}
			demand := h.director.Demand(service.Name)
			planner.ObserveDemand(now, demand.Items)
			zones, slots := zoneCounts(view, service)
			h.subtractLimits(view, service, zones, demand.RunTime)
			if now.Sub(began) < observeTime || len(zones) == 0 {
				continue
			}
			for _, o := range planner.Plan(now, zones, *service.Fleet, slots) {
				h.placeOrder(ctx, lease, planner, o)
			}
		}
	}
	return nil
}

// zoneCounts counts the servers of a service that accept work by zone. It also
// returns the number of slots of one server.
func zoneCounts(view *limpetsite.Snapshot, service *limpetsite.Service) ([]limpetscaler.Zone, int) {
	index, slots := map[string]int{}, 1
	var zones []limpetscaler.Zone
	for _, s := range view.Servers(service.Name) {
		n, known := index[s.Zone]
		if !known {
			n = len(zones)
			index[s.Zone] = n
			zones = append(zones, limpetscaler.Zone{Name: s.Zone, Price: service.Fleet.Prices[s.Zone]})
		}
		if s.Spot {
			zones[n].Spot++
		} else {
			zones[n].Standard++
		}
		slots = max(slots, s.Slots)
	}
	return zones, slots
}

// subtractLimits records the capacity of each zone that servers lack because they
// limit their requests.
func (h *Host) subtractLimits(view *limpetsite.Snapshot, service *limpetsite.Service, zones []limpetscaler.Zone, runTime time.Duration) {
	// Cold servers are left out: more servers would be cold, too.
	limits := h.limits.All()
	if len(limits) == 0 {
		return
	}
	for _, s := range view.Servers(service.Name) {
		limit, limited := limits[s.ID]
		if !limited {
			continue
		}
		for n := range zones {
			if zones[n].Name == s.Zone {
				zones[n].Lost += limpetscaler.LostCapacity(limit.Rate, runTime, s.Slots)
			}
		}
	}
}

func (h *Host) placeOrder(ctx context.Context, lease limpetdirector.LeaseCheck, planner *limpetscaler.Planner, o limpetscaler.Order) {
	ctx, cancel, fence, ok := lease.Call(ctx, minLeaseRemaining, scaleTimeout)
	defer cancel()
	if !ok {
		return
	}
	err := h.deps.Scale(ctx, o, lease.VM, fence)
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	if limpeterror.Is(err, limpeterror.Fenced) {
		planner.MarkRefused(h.deps.Now(), o.Zone)
	}
	h.Log.Emit(limpetlog.ServersOrdered, limpetlog.Value("service", o.Service), limpetlog.Value("zone", o.Zone),
		limpetlog.Value("desired", o.Desired), limpetlog.Value("spot", o.Spot), limpetlog.Value("fence", fence), limpetlog.Value("outcome", outcome))
}
