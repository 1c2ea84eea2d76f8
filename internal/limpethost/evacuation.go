package limpethost

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// refuseEvacuated returns a client that sends nothing to servers in availability zones
// that are to be evacuated. Choices among servers leave these out already; this holds
// also for calls whose server was chosen earlier, or by another VM.
func (h *Host) refuseEvacuated(client limpetupstream.Client) limpetupstream.Client {
	refused := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "limpet_evacuated_calls_total", Help: "Calls that were not sent because the backend server's availability zone is to be evacuated.",
	})
	h.Metrics.Registry.MustRegister(refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpet_evacuated_zones", Help: "Availability zones that are to be evacuated.",
	}, func() float64 { return float64(len(h.View().EvacuatedZones())) }))
	check := func(s *limpetsite.Server, request string) error {
		if !h.evacuated(s) {
			return nil
		}
		refused.Inc()
		h.Log.Emit(limpetlog.CallNotSent, limpetlog.Request(request), limpetlog.Server(s.ID), limpetlog.Value("zone", s.Zone), limpetlog.Value("revision", h.View().Revision))
		return limpeterror.Unavailable.New("the availability zone of server %s is to be evacuated", s.ID)
	}
	if send := client.Send; send != nil {
		client.Send = func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			if err := check(c.Server, c.ID); err != nil {
				return nil, err
			}
			return send(ctx, c)
		}
	}
	if order := client.Order; order != nil {
		client.Order = func(ctx context.Context, o limpetupstream.Order) error {
			if err := check(o.Server, ""); err != nil {
				return err
			}
			return order(ctx, o)
		}
	}
	if report := client.Report; report != nil {
		client.Report = func(ctx context.Context, s *limpetsite.Server) (limpetupstream.Report, error) {
			if err := check(s, ""); err != nil {
				return limpetupstream.Report{}, err
			}
			return report(ctx, s)
		}
	}
	client.Check, client.Probe = h.checkUnlessEvacuated(client.Check), h.checkUnlessEvacuated(client.Probe)
	return client
}

type checkFunc = func(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition

func (h *Host) checkUnlessEvacuated(check checkFunc) checkFunc {
	if check == nil {
		return nil
	}
	return func(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition {
		if h.evacuated(s) {
			return limpetupstream.Undetermined
		}
		return check(ctx, s, healthPath)
	}
}

// evacuated reports whether nothing may be sent to a server. The view may not have the
// server: VMs other than the director know few engines.
func (h *Host) evacuated(s *limpetsite.Server) bool {
	view := h.View()
	if known := view.Server(s.ID); known != nil {
		return view.Evacuated(known.Zone)
	}
	return view.Evacuated(s.Zone)
}
