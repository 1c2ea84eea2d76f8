// Package limpetscaler decides how many backend servers of a service to order in
// each availability zone. A Planner does no I/O and reads no clock; it is not
// safe for concurrent use.
package limpetscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A Zone describes the servers of a service in one availability zone.
type Zone struct {
	Name string
	// Standard and Spot count the servers that accept work.
	Standard, Spot int
	// Lost is the capacity that servers of the zone have less because they limit
	// their requests, in servers.
	Lost  float64
	Price float64
}

// An Order asks for a number of servers of one kind in a zone.
type Order struct {
	Service string
	Zone    string
	Desired int
	Spot    bool
}

const (
	// averageWindow is the time over which demand is averaged, and peakWindow
	// is how long a peak of the average is remembered.
	averageWindow = 3 * time.Second
	peakWindow    = 20 * time.Second
	// headroom is the ratio of the planned capacity to the peak of demand.
	headroom = 1.1
	// orderInterval is the minimum time between orders for a zone; servers need
	// time to start.
	orderInterval = 6 * time.Second
	// lossDelay is how long a zone must be short of standard servers before
	// replacements are ordered.
	lossDelay = 2 * time.Second
	// surplusDelay is how long there must be more servers than needed before
	// one is released.
	surplusDelay = 40 * time.Second
	// refusalBackoff is how long no servers are ordered in a zone that had none
	// available.
	refusalBackoff = 8 * time.Second
)

type zone struct {
	// base is the number of standard servers that the zone should have: the
	// most that it has had.
	base int
	// orderedSpot is the number of spot servers in the latest order for them.
	orderedSpot int
	shortSince  time.Time
	orderedAt   time.Time
	refusedAt   time.Time
}

// A Planner tracks the demand for one service and the orders given for it.
type Planner struct {
	service       string
	zones         map[string]*zone
	averageDemand float64
	sampledAt     time.Time
	peakDemand    float64
	peakAt        time.Time
	surplusSince  time.Time
}

// New returns a planner for a service.
func New(service string) *Planner { return &Planner{service: service, zones: map[string]*zone{}} }

// ObserveDemand records the current number of running and waiting requests.
func (p *Planner) ObserveDemand(now time.Time, requests int) {
	weight := 1.0
	if !p.sampledAt.IsZero() {
		weight = min(1, float64(now.Sub(p.sampledAt))/float64(averageWindow))
	}
	p.averageDemand += weight * (float64(requests) - p.averageDemand)
	p.sampledAt = now
	if p.averageDemand >= p.peakDemand || now.Sub(p.peakAt) > peakWindow {
		p.peakDemand, p.peakAt = p.averageDemand, now
	}
}

// LostCapacity returns the capacity that a server has less because it limits its
// requests to a rate, in servers. RunTime is how long it takes for a request, and
// slots the number of requests that it would run at once.
func LostCapacity(rate float64, runTime time.Duration, slots int) float64 {
	return max(0, 1-rate*runTime.Seconds()/float64(max(slots, 1)))
}

// Plan returns the orders to give now, at most one per zone.
func (p *Planner) Plan(now time.Time, zones []Zone, fleet limpetsite.Fleet, slotsPerServer int) []Order {
	zones = slices.Clone(zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	total, lost := 0, 0.0
	for _, z := range zones {
		p.observe(z, now)
		total += z.Standard + z.Spot
		lost += z.Lost
	}
	total -= int(lost)
	orders := p.replace(now, zones, fleet)
	needed := int(math.Ceil(p.peakDemand * headroom / float64(max(slotsPerServer, 1))))
	switch {
	case needed > total:
		p.surplusSince = time.Time{}
		orders = append(orders, p.grow(now, zones, fleet, needed-total)...)
	case needed < total:
		if p.surplusSince.IsZero() {
			p.surplusSince = now
		}
		if now.Sub(p.surplusSince) >= surplusDelay {
			p.surplusSince = now
			orders = append(orders, p.shrink(now, zones, fleet)...)
		}
	default:
		p.surplusSince = time.Time{}
	}
	return orders
}

// observe updates what is known of a zone's standard servers.
func (p *Planner) observe(z Zone, now time.Time) {
	k := p.zones[z.Name]
	if k == nil {
		k = &zone{base: z.Standard}
		p.zones[z.Name] = k
	}
	k.base = max(k.base, z.Standard)
	switch {
	case z.Standard >= k.base:
		k.shortSince = time.Time{}
	case k.shortSince.IsZero():
		k.shortSince = now
	}
}

// replace orders replacements for standard servers that a zone lost.
func (p *Planner) replace(now time.Time, zones []Zone, fleet limpetsite.Fleet) []Order {
	var orders []Order
	for _, z := range zones {
		k := p.zones[z.Name]
		if k.shortSince.IsZero() || now.Sub(k.shortSince) < lossDelay || !k.mayOrder(now) {
			continue
		}
		k.orderedAt = now
		orders = append(orders, Order{Service: p.service, Zone: z.Name, Desired: min(k.base, fleet.Max)})
	}
	return orders
}

func (k *zone) mayOrder(now time.Time) bool {
	return now.Sub(k.orderedAt) >= orderInterval && now.Sub(k.refusedAt) >= refusalBackoff
}

// grow orders spot servers, in the zones with the fewest servers first. Work on
// servers that may be reclaimed is safe, because unfinished texts continue on
// other servers.
func (p *Planner) grow(now time.Time, zones []Zone, fleet limpetsite.Fleet, missing int) []Order {
	candidates := slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool {
		return !p.zones[z.Name].mayOrder(now) || z.Standard+z.Spot >= fleet.Max
	})
	slices.SortStableFunc(candidates, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Standard+a.Spot, b.Standard+b.Spot), cmp.Compare(a.Price, b.Price))
	})
	var orders []Order
	for n, z := range candidates {
		count := (missing + len(candidates) - 1 - n) / len(candidates)
		count = min(count, fleet.Max-z.Standard-z.Spot)
		if count <= 0 {
			continue
		}
		k := p.zones[z.Name]
		k.orderedAt, k.orderedSpot = now, z.Spot+count
		orders = append(orders, Order{Service: p.service, Zone: z.Name, Desired: k.orderedSpot, Spot: true})
	}
	return orders
}

// shrink releases one spot server in the zone that has the most of them.
func (p *Planner) shrink(now time.Time, zones []Zone, fleet limpetsite.Fleet) []Order {
	most := slices.MaxFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Spot, b.Spot), cmp.Compare(a.Price, b.Price), cmp.Compare(b.Name, a.Name))
	})
	if most.Spot == 0 || most.Standard+most.Spot <= fleet.Min || !p.zones[most.Name].mayOrder(now) {
		return nil
	}
	k := p.zones[most.Name]
	k.orderedAt, k.orderedSpot = now, most.Spot-1
	return []Order{{Service: p.service, Zone: most.Name, Desired: k.orderedSpot, Spot: true}}
}

// MarkRefused records that a zone has no servers available now.
func (p *Planner) MarkRefused(now time.Time, zone string) {
	if k := p.zones[zone]; k != nil {
		k.refusedAt = now
	}
}
