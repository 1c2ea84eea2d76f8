package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetgrow"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
)

const (
	growPeriod = 200 * time.Millisecond
	// growAfter is how long a new director watches before it orders servers:
	// the deployment is not known whole at once.
	growAfter = 4 * time.Second
	scaleTime = 1500 * time.Millisecond
	// scaleSure is how long the lease must last at least when servers are
	// ordered.
	scaleSure = 300 * time.Millisecond
)

// orderServers orders backend servers from demand, while the VM is the
// director.
func (h *Host) orderServers(ctx context.Context, hold limpetdirector.Hold) error {
	planners := map[string]*limpetgrow.Planner{}
	began := h.deps.Now()
	for limpettask.Sleep(ctx, growPeriod) {
		view, now := h.View(), h.deps.Now()
		if !view.Ready() {
			continue
		}
		for i := range view.Config.Services {
			service := &view.Config.Services[i]
			if service.Fleet == nil {
				continue
			}
			p := planners[service.Name]
			if p == nil {
				p = limpetgrow.New(service.Name)
				planners[service.Name] = p
			}
			p.Demand(now, h.director.Demand(service.Name))
			zones, slots := zonesOf(view, service)
			if now.Sub(began) < growAfter || len(zones) == 0 {
				continue
			}
			for _, o := range p.Plan(now, zones, *service.Fleet, slots) {
				h.scale(ctx, hold, p, o)
			}
		}
	}
	return nil
}

// zonesOf counts the servers of a service that take work, by zone, and
// returns the places of one.
func zonesOf(view *limpetsite.Snapshot, service *limpetsite.Service) ([]limpetgrow.Zone, int) {
	at, slots := map[string]int{}, 1
	var zones []limpetgrow.Zone
	for _, s := range view.Servers(service.Name) {
		n, known := at[s.Zone]
		if !known {
			n = len(zones)
			at[s.Zone] = n
			zones = append(zones, limpetgrow.Zone{Name: s.Zone, Price: service.Fleet.Prices[s.Zone]})
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

func (h *Host) scale(ctx context.Context, hold limpetdirector.Hold, p *limpetgrow.Planner, o limpetgrow.Order) {
	fence, ok := hold.Fence(scaleSure)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scaleTime)
	defer cancel()
	err := h.deps.Scale(ctx, o, hold.VM, fence)
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	if limpeterror.Is(err, limpeterror.Fenced) {
		p.Refused(h.deps.Now(), o.Zone)
	}
	h.Log.Emit(limpetlog.ServersOrdered, limpetlog.Value("service", o.Service), limpetlog.Value("zone", o.Zone),
		limpetlog.Value("desired", o.Desired), limpetlog.Value("spot", o.Spot), limpetlog.Value("fence", fence), limpetlog.Value("outcome", outcome))
}
