// Package limpetgrow owns the decision how many backend servers of a service
// are ordered in each availability zone. A Planner is changed by one
// goroutine; it does no I/O and reads no clock.
package limpetgrow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A Zone holds the servers of a service in one availability zone.
type Zone struct {
	Name string
	// Standard and Spot count servers that take work.
	Standard, Spot int
	Price          float64
}

// An Order asks for a number of servers of one kind in a zone.
type Order struct {
	Service string
	Zone    string
	Desired int
	Spot    bool
}

const (
	// smoothFor is the time over which demand is averaged, and peakFor how
	// long a peak counts.
	smoothFor = 3 * time.Second
	peakFor   = 20 * time.Second
	// headroom is kept above the peak.
	headroom = 1.1
	// orderPause is the least time between orders for a zone; servers need
	// time to start.
	orderPause = 6 * time.Second
	// lackFor is how long a zone has fewer servers than it had before they are
	// ordered anew.
	lackFor = 2 * time.Second
	// surplusFor is how long servers are more than needed before one is given
	// back.
	surplusFor = 40 * time.Second
	// refusedFor is how long a zone that had none is not asked again.
	refusedFor = 8 * time.Second
)

type zone struct {
	// base is the number of standard servers that the zone is to have.
	base    int
	spot    int
	lacking time.Time
	ordered time.Time
	refused time.Time
}

// A Planner holds the demand for one service and what was ordered of it.
type Planner struct {
	service string
	zones   map[string]*zone
	average float64
	at      time.Time
	peak    float64
	peakAt  time.Time
	surplus time.Time
}

// New returns a planner for a service.
func New(service string) *Planner { return &Planner{service: service, zones: map[string]*zone{}} }

// Demand takes the number of requests that run and wait now.
func (p *Planner) Demand(now time.Time, requests int) {
	weight := 1.0
	if !p.at.IsZero() {
		weight = min(1, float64(now.Sub(p.at))/float64(smoothFor))
	}
	p.average += weight * (float64(requests) - p.average)
	p.at = now
	if p.average >= p.peak || now.Sub(p.peakAt) > peakFor {
		p.peak, p.peakAt = p.average, now
	}
}

// Plan returns the orders to give now, at most one for each zone.
func (p *Planner) Plan(now time.Time, zones []Zone, fleet limpetsite.Fleet, slots int) []Order {
	zones = slices.Clone(zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	total := 0
	for _, z := range zones {
		p.see(z, now)
		total += z.Standard + z.Spot
	}
	orders := p.replace(now, zones, fleet)
	needed := int(math.Ceil(p.peak * headroom / float64(max(slots, 1))))
	switch {
	case needed > total:
		p.surplus = time.Time{}
		orders = append(orders, p.grow(now, zones, fleet, needed-total)...)
	case needed < total:
		if p.surplus.IsZero() {
			p.surplus = now
		}
		if now.Sub(p.surplus) >= surplusFor {
			p.surplus = now
			orders = append(orders, p.shrink(now, zones, fleet)...)
		}
	default:
		p.surplus = time.Time{}
	}
	return orders
}

// see learns how many standard servers a zone has.
func (p *Planner) see(z Zone, now time.Time) {
	k := p.zones[z.Name]
	if k == nil {
		k = &zone{base: z.Standard}
		p.zones[z.Name] = k
	}
	k.base = max(k.base, z.Standard)
	switch {
	case z.Standard >= k.base:
		k.lacking = time.Time{}
	case k.lacking.IsZero():
		k.lacking = now
	}
}

// replace orders standard servers that a zone lost.
func (p *Planner) replace(now time.Time, zones []Zone, fleet limpetsite.Fleet) []Order {
	var orders []Order
	for _, z := range zones {
		k := p.zones[z.Name]
		if k.lacking.IsZero() || now.Sub(k.lacking) < lackFor || !k.free(now) {
			continue
		}
		k.ordered = now
		orders = append(orders, Order{Service: p.service, Zone: z.Name, Desired: min(k.base, fleet.Max)})
	}
	return orders
}

func (k *zone) free(now time.Time) bool {
	return now.Sub(k.ordered) >= orderPause && now.Sub(k.refused) >= refusedFor
}

// grow orders spot servers, in the zones with the fewest servers first: texts
// move to other servers, so that work on servers that may be reclaimed is safe.
func (p *Planner) grow(now time.Time, zones []Zone, fleet limpetsite.Fleet, lack int) []Order {
	open := slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool {
		return !p.zones[z.Name].free(now) || z.Standard+z.Spot >= fleet.Max
	})
	slices.SortStableFunc(open, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Standard+a.Spot, b.Standard+b.Spot), cmp.Compare(a.Price, b.Price))
	})
	var orders []Order
	for n, z := range open {
		share := (lack + len(open) - 1 - n) / len(open)
		share = min(share, fleet.Max-z.Standard-z.Spot)
		if share <= 0 {
			continue
		}
		k := p.zones[z.Name]
		k.ordered, k.spot = now, z.Spot+share
		orders = append(orders, Order{Service: p.service, Zone: z.Name, Desired: k.spot, Spot: true})
	}
	return orders
}

// shrink gives one spot server back, in the zone with the most of them.
func (p *Planner) shrink(now time.Time, zones []Zone, fleet limpetsite.Fleet) []Order {
	most := slices.MaxFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Spot, b.Spot), cmp.Compare(a.Price, b.Price), cmp.Compare(b.Name, a.Name))
	})
	if most.Spot == 0 || most.Standard+most.Spot <= fleet.Min || !p.zones[most.Name].free(now) {
		return nil
	}
	k := p.zones[most.Name]
	k.ordered, k.spot = now, most.Spot-1
	return []Order{{Service: p.service, Zone: most.Name, Desired: k.spot, Spot: true}}
}

// Refused records that a zone has no servers to be had now.
func (p *Planner) Refused(now time.Time, zone string) {
	if k := p.zones[zone]; k != nil {
		k.refused = now
	}
}
