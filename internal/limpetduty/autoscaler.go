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

// An Autoscaler runs the duty of ordering backend servers from the platform. It
// writes each order to the store before sending it, so that the next holder of
// the duty can find out its outcome.
type Autoscaler struct {
	Store    limpetstore.Store
	Platform limpetorder.Platform
	// Fence is the fencing token of the duty's lease.
	Fence uint64
	// LeaseValidFor reports whether the duty is certain to stay held for d.
	LeaseValidFor func(d time.Duration) bool
	// Services returns the autoscaled services with their demand and servers.
	Services func() []FleetService
	// Drain marks a server as draining by a configuration change.
	Drain func(ctx context.Context, server string) error
	// SurplusDelay is how long a surplus must last before a server is drained.
	SurplusDelay time.Duration
	// NewID returns a unique ID for an order or a store operation.
	NewID func() string
	Log   *limpetlog.Logger
	Now   func() time.Time

	// surplusSince maps each service that has more servers than needed to the
	// time at which this was first observed.
	surplusSince map[string]time.Time
	// pendingResolved is false while the next reconcile must first resolve the
	// orders in the intent.
	pendingResolved bool
	// inFlightWaitDone is set after the initial wait for orders that the
	// previous holder may still have in flight.
	inFlightWaitDone bool
}

// A FleetService is a service together with its current demand and servers.
type FleetService struct {
	Service limpetconfig.Service
	Demand  limpetfleet.Demand
	Servers []limpetfleet.Server
}

// An intent is the write-ahead record of the orders that may be in flight.
// Operation identifies the write, so that a retry can tell whether it took
// effect. Fence is the fencing token of the holder that wrote it.
type intent struct {
	Operation string              `json:"operation"`
	Fence     uint64              `json:"fence"`
	Orders    []limpetorder.Order `json:"orders"`
}

const (
	// intentKey is the store key of the intent.
	intentKey   = "orders/intent"
	scalePeriod = time.Second
)

// MaxOrderLatency is the longest time from checking the lease until an order
// has taken effect.
const MaxOrderLatency = 2500 * time.Millisecond

// Run resolves the orders left pending by the previous holder, and then orders
// servers as needed until ctx is canceled.
func (a *Autoscaler) Run(ctx context.Context) {
	a.surplusSince = map[string]time.Time{}
	for limpettask.Sleep(ctx, limpettask.Jitter(scalePeriod)) {
		if err := a.reconcile(ctx); err != nil {
			a.Log.Emit(limpetlog.OrderFailed, limpetlog.Error(err))
		}
	}
}

func (a *Autoscaler) reconcile(ctx context.Context) error {
	if !a.inFlightWaitDone {
		// A platform that ignores fencing tokens may still execute an order
		// that the previous holder sent just before its lease expired.
		limpettask.Sleep(ctx, MaxOrderLatency)
		a.inFlightWaitDone = true
	}
	if !a.pendingResolved {
		if err := a.resolvePending(ctx); err != nil {
			return err
		}
		a.pendingResolved = true
	}
	prices, err := a.Platform.Prices(ctx)
	if err != nil {
		return fmt.Errorf("read zone prices: %w", err)
	}
	var orders []limpetorder.Order
	for _, s := range a.Services() {
		for _, action := range a.plan(s, prices) {
			if action.Kind == limpetfleet.Drain {
				if err := a.Drain(ctx, action.Server); err != nil {
					return fmt.Errorf("drain server %s: %w", action.Server, err)
				}
				continue
			}
			orders = append(orders, a.newOrder(s.Service.Name, action))
		}
	}
	return a.submit(ctx, orders)
}

func (a *Autoscaler) plan(s FleetService, prices []limpetorder.Price) []limpetfleet.Action {
	b := limpetfleet.Bounds{MinServers: s.Service.MinServers, MaxServers: s.Service.MaxServers, MaxCheapShare: s.Service.MaxCheapShare, SurplusDelay: a.SurplusDelay}
	now := a.Now()
	active := 0
	for _, server := range s.Servers {
		if !server.Draining && server.State != limpetorder.Stopped && server.State != limpetorder.Reclaiming {
			active++
		}
	}
	if active <= limpetfleet.Needed(s.Demand, len(prices), b) {
		delete(a.surplusSince, s.Service.Name)
	} else if _, ok := a.surplusSince[s.Service.Name]; !ok {
		a.surplusSince[s.Service.Name] = now
	}
	s.Demand.SurplusSince = a.surplusSince[s.Service.Name]
	return limpetfleet.Plan(s.Demand, s.Servers, prices, b, now)
}

func (a *Autoscaler) newOrder(service string, action limpetfleet.Action) limpetorder.Order {
	kind := limpetorder.Start
	if action.Kind == limpetfleet.Stop {
		kind = limpetorder.Stop
	}
	return limpetorder.Order{
		ID: a.NewID(), Fence: a.Fence, Kind: kind, Service: service, Zone: action.Zone, Class: action.Class, Server: action.Server,
	}
}

// submit writes the intent, sends the orders, and removes the orders with a
// known outcome from the intent. An order whose outcome is unknown stays in the
// intent under its ID, and the next reconcile resolves it. The error has type
// Fenced if the lease may expire before an order takes effect.
func (a *Autoscaler) submit(ctx context.Context, orders []limpetorder.Order) error {
	if len(orders) == 0 {
		return nil
	}
	deadline := a.Now().Add(storeTimeout + MaxOrderLatency)
	for i := range orders {
		orders[i].Deadline = deadline
	}
	if err := a.writeIntent(ctx, orders); err != nil {
		return err
	}
	var unresolved []limpetorder.Order
	for _, order := range orders {
		if !a.LeaseValidFor(MaxOrderLatency) {
			return limpeterror.Fenced.New("the lease of the orders duty may expire before the order takes effect")
		}
		receipt, err := a.Platform.Send(ctx, order)
		switch {
		case err == nil:
			a.Log.Emit(limpetlog.OrderSent, limpetlog.Value("order", order.ID), limpetlog.Value("kind", order.Kind),
				limpetlog.Value("zone", order.Zone), limpetlog.Server(receipt.Server))
		case limpeterror.Is(err, limpeterror.Unknown):
			unresolved = append(unresolved, order)
		default:
			a.Log.Emit(limpetlog.OrderFailed, limpetlog.Value("order", order.ID), limpetlog.Error(err))
		}
	}
	a.pendingResolved = len(unresolved) == 0
	return a.writeIntent(ctx, unresolved)
}

// writeIntent replaces the intent. It fails with an error of type Fenced if a
// holder with a higher fencing token has written the intent.
func (a *Autoscaler) writeIntent(ctx context.Context, orders []limpetorder.Order) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := intent{Operation: a.NewID(), Fence: a.Fence, Orders: orders}
	_, err := a.Store.Update(ctx, intentKey,
		func(v limpetstore.Value) ([]byte, error) {
			old, err := decodeIntent(v.Data)
			if err != nil {
				return nil, err
			}
			if old.Fence > a.Fence {
				return nil, limpeterror.Fenced.New("the intent was written under the newer fencing token %d", old.Fence)
			}
			return json.Marshal(next)
		},
		func(v limpetstore.Value) bool {
			old, err := decodeIntent(v.Data)
			return err == nil && old.Operation == next.Operation
		})
	if err != nil {
		return fmt.Errorf("write order intent: %w", err)
	}
	return nil
}

func decodeIntent(data []byte) (intent, error) {
	var i intent
	if len(data) == 0 {
		return i, nil
	}
	if err := json.Unmarshal(data, &i); err != nil {
		return i, limpeterror.Invalid.Wrap(err, "decode order intent")
	}
	return i, nil
}

// resolvePending determines the outcome of the orders in the intent. An order
// that the platform does not know is dropped after its deadline, because a
// platform that enforces deadlines will not execute it any more. Until then
// resolvePending returns an error of type Unavailable.
func (a *Autoscaler) resolvePending(ctx context.Context) error {
	v, err := a.Store.Get(ctx, intentKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return a.writeIntent(ctx, nil)
	}
	if err != nil {
		return fmt.Errorf("read order intent: %w", err)
	}
	i, err := decodeIntent(v.Data)
	if err != nil {
		return err
	}
	for _, order := range slices.Clone(i.Orders) {
		receipt, err := a.Platform.Find(ctx, order.ID)
		switch {
		case err == nil:
			a.Log.Emit(limpetlog.OrderSettled, limpetlog.Value("order", order.ID), limpetlog.Server(receipt.Server))
		case !limpeterror.Is(err, limpeterror.NotFound):
			return fmt.Errorf("find order %s: %w", order.ID, err)
		case a.Now().Before(order.Deadline):
			return limpeterror.Unavailable.New("the platform may still execute order %s until its deadline %v", order.ID, order.Deadline)
		default:
			a.Log.Emit(limpetlog.OrderSettled, limpetlog.Value("order", order.ID), limpetlog.Value("outcome", "not done"))
		}
	}
	return a.writeIntent(ctx, nil)
}
