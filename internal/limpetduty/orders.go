package limpetduty

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetfleet"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// An Orderer holds the duty of ordering backend servers. Each order is written
// to the store before it is sent, so that the next holder can settle it.
type Orderer struct {
	Store    limpetstore.Store
	Platform limpetorder.Platform
	Fence    uint64
	// Holds reports whether the duty is still held for so long ahead.
	Holds func(ahead time.Duration) bool
	// Services returns the services whose fleet the system decides on, with
	// their demand and servers.
	Services func() []FleetService
	// Drain takes a server out of service by a configuration change.
	Drain func(ctx context.Context, server string) error
	// SurplusFor is how long a surplus must last before a server is drained.
	SurplusFor time.Duration
	Unique     func() string
	Log        *limpetlog.Logger
	Now        func() time.Time

	surplus map[string]time.Time
	settled bool
	waited  bool
}

// A FleetService holds one service for the plan.
type FleetService struct {
	Service limpetconfig.Service
	Demand  limpetfleet.Demand
	Servers []limpetfleet.Server
}

// An intent holds the orders that may be in flight. Fence is that of the
// holder who wrote it.
type intent struct {
	Operation string              `json:"operation"`
	Fence     uint64              `json:"fence"`
	Orders    []limpetorder.Order `json:"orders"`
}

const (
	intentKey   = "orders/intent"
	orderPeriod = time.Second
)

// OrderFlight is the longest time from the check of the lease to the end of an
// order's effect.
const OrderFlight = 2500 * time.Millisecond

// Run settles what the former holder left, and then orders what is needed
// until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	o.surplus = map[string]time.Time{}
	for limpettask.Sleep(ctx, limpettask.Jitter(orderPeriod)) {
		if err := o.round(ctx); err != nil {
			o.Log.Emit(limpetlog.OrderFailed, limpetlog.Error(err))
		}
	}
}

func (o *Orderer) round(ctx context.Context) error {
	if !o.waited {
		// Platforms that ignore fencing numbers may still act on an order that
		// the former holder sent at the end of its lease.
		limpettask.Sleep(ctx, OrderFlight)
		o.waited = true
	}
	if !o.settled {
		if err := o.settle(ctx); err != nil {
			return err
		}
		o.settled = true
	}
	prices, err := o.Platform.Prices(ctx)
	if err != nil {
		return fmt.Errorf("prices: %w", err)
	}
	var orders []limpetorder.Order
	for _, s := range o.Services() {
		for _, a := range o.plan(s, prices) {
			if a.Kind == limpetfleet.Drain {
				if err := o.Drain(ctx, a.Server); err != nil {
					return fmt.Errorf("drain %s: %w", a.Server, err)
				}
				continue
			}
			orders = append(orders, o.order(s.Service.Name, a))
		}
	}
	return o.send(ctx, orders)
}

func (o *Orderer) plan(s FleetService, prices []limpetorder.Price) []limpetfleet.Action {
	b := limpetfleet.Bounds{Least: s.Service.Servers, Most: s.Service.Most, CheapShare: s.Service.CheapShare, SurplusFor: o.SurplusFor}
	now := o.Now()
	kept := 0
	for _, server := range s.Servers {
		if !server.Draining && server.State != limpetorder.Stopped && server.State != limpetorder.Reclaiming {
			kept++
		}
	}
	if kept <= limpetfleet.Needed(s.Demand, len(prices), b) {
		delete(o.surplus, s.Service.Name)
	} else if _, ok := o.surplus[s.Service.Name]; !ok {
		o.surplus[s.Service.Name] = now
	}
	s.Demand.SurplusSince = o.surplus[s.Service.Name]
	return limpetfleet.Plan(s.Demand, s.Servers, prices, b, now)
}

func (o *Orderer) order(service string, a limpetfleet.Action) limpetorder.Order {
	kind := limpetorder.Start
	if a.Kind == limpetfleet.Stop {
		kind = limpetorder.Stop
	}
	return limpetorder.Order{
		ID: o.Unique(), Fence: o.Fence, Kind: kind, Service: service, Zone: a.Zone, Class: a.Class, Server: a.Server,
	}
}

// send writes the intent, sends the orders, and removes the settled ones. An
// order whose outcome is unknown keeps its place and its ID for the next
// round's settlement.
func (o *Orderer) send(ctx context.Context, orders []limpetorder.Order) error {
	if len(orders) == 0 {
		return nil
	}
	deadline := o.Now().Add(storeTimeout + OrderFlight)
	for i := range orders {
		orders[i].Deadline = deadline
	}
	if err := o.writeIntent(ctx, orders); err != nil {
		return err
	}
	var open []limpetorder.Order
	for _, order := range orders {
		if !o.Holds(OrderFlight) {
			return limpeterror.Fenced.New("the duty of orders is no longer certain")
		}
		receipt, err := o.Platform.Send(ctx, order)
		switch {
		case err == nil:
			o.Log.Emit(limpetlog.OrderSent, limpetlog.Value("order", order.ID), limpetlog.Value("kind", order.Kind),
				limpetlog.Value("zone", order.Zone), limpetlog.Server(receipt.Server))
		case limpeterror.Is(err, limpeterror.Unknown):
			open = append(open, order)
		default:
			o.Log.Emit(limpetlog.OrderFailed, limpetlog.Value("order", order.ID), limpetlog.Error(err))
		}
	}
	o.settled = len(open) == 0
	return o.writeIntent(ctx, open)
}

// writeIntent replaces the intent. A holder with a higher fencing number ends
// this one's orders.
func (o *Orderer) writeIntent(ctx context.Context, orders []limpetorder.Order) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := intent{Operation: o.Unique(), Fence: o.Fence, Orders: orders}
	_, err := o.Store.Update(ctx, intentKey,
		func(v limpetstore.Value) ([]byte, error) {
			old, err := decodeIntent(v.Data)
			if err != nil {
				return nil, err
			}
			if old.Fence > o.Fence {
				return nil, limpeterror.Fenced.New("orders belong to fence %d", old.Fence)
			}
			return json.Marshal(next)
		},
		func(v limpetstore.Value) bool {
			old, err := decodeIntent(v.Data)
			return err == nil && old.Operation == next.Operation
		})
	if err != nil {
		return fmt.Errorf("intent of orders: %w", err)
	}
	return nil
}

func decodeIntent(data []byte) (intent, error) {
	var i intent
	if len(data) == 0 {
		return i, nil
	}
	if err := json.Unmarshal(data, &i); err != nil {
		return i, limpeterror.Invalid.Wrap(err, "intent of orders")
	}
	return i, nil
}

// settle finds out what became of the orders in the intent. An order that the
// platform does not know is dropped after its deadline: a platform that keeps
// deadlines will not act on it any more.
func (o *Orderer) settle(ctx context.Context) error {
	v, err := o.Store.Get(ctx, intentKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return o.writeIntent(ctx, nil)
	}
	if err != nil {
		return fmt.Errorf("intent of orders: %w", err)
	}
	i, err := decodeIntent(v.Data)
	if err != nil {
		return err
	}
	for _, order := range slices.Clone(i.Orders) {
		receipt, err := o.Platform.Find(ctx, order.ID)
		switch {
		case err == nil:
			o.Log.Emit(limpetlog.OrderSettled, limpetlog.Value("order", order.ID), limpetlog.Server(receipt.Server))
		case !limpeterror.Is(err, limpeterror.NotFound):
			return fmt.Errorf("order %s: %w", order.ID, err)
		case o.Now().Before(order.Deadline):
			return limpeterror.Unavailable.New("order %s may still arrive until %v", order.ID, order.Deadline)
		default:
			o.Log.Emit(limpetlog.OrderSettled, limpetlog.Value("order", order.ID), limpetlog.Value("outcome", "not done"))
		}
	}
	return o.writeIntent(ctx, nil)
}
