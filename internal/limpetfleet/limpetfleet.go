// Package limpetfleet decides which backend servers to start, drain and stop.
// Plan has no side effects: it maps a service's demand, servers and prices to
// actions.
package limpetfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetmount.org/internal/limpetorder"
)

// A Server is a backend server with the state that planning needs.
type Server struct {
	limpetorder.Server
	// Draining servers get no new requests and do not count as capacity.
	Draining bool
	// Running is the number of requests in flight at the server.
	Running int
	// DrainStart is when the drain started.
	DrainStart time.Time
}

// A Demand holds a service's demand for capacity.
type Demand struct {
	// Slots is the recent peak of running and waiting requests.
	Slots int
	// LiveSlots is the part of Slots that must fit after the loss of an
	// availability zone.
	LiveSlots int
	// PerServer is the number of requests that a server runs concurrently.
	PerServer int
	// SurplusSince is when the service began to have more servers than needed,
	// or zero if it has no surplus.
	SurplusSince time.Time
}

// Bounds holds the operators' limits for a service.
type Bounds struct {
	// MinServers and MaxServers limit the number of servers.
	MinServers, MaxServers int
	// MaxCheapShare is the largest share of servers of the cheap class, from 0
	// to 1.
	MaxCheapShare float64
	// SurplusDelay is how long a surplus must last before a server is drained.
	SurplusDelay time.Duration
}

// An Action is one planned change: start a server, drain one, or stop one that
// has drained. Server is empty for a start.
type Action struct {
	Kind   Kind
	Zone   string
	Class  limpetorder.Class
	Server string
}

// Kind is the kind of an action.
type Kind string

// The kinds of actions.
const (
	Start Kind = "start"
	Drain Kind = "drain"
	Stop  Kind = "stop"
)

const (
	// headroom is the factor by which capacity exceeds the demand, to cover
	// growth while a server starts.
	headroom = 1.2
	// DrainLimit is the time after which a draining server is stopped even if
	// requests are still running there.
	DrainLimit = 10 * time.Minute
)

// Needed returns the number of servers for a demand: enough for all slots with
// headroom, and enough that the live slots still fit after the loss of one of
// the zones, over which servers are assumed to be evenly spread. It returns
// b.MinServers if d.PerServer is not known.
func Needed(d Demand, zones int, b Bounds) int {
	if d.PerServer < 1 {
		return b.MinServers
	}
	n := int(math.Ceil(float64(d.Slots) * headroom / float64(d.PerServer)))
	if zones > 1 && d.LiveSlots > 0 {
		live := float64(d.LiveSlots) / float64(d.PerServer)
		n = max(n, int(math.Ceil(live*float64(zones)/float64(zones-1))))
	}
	return min(max(n, b.MinServers), b.MaxServers)
}

// Plan returns the actions that move the number of servers towards the number
// needed. It starts all missing servers at once. It drains one server at a
// time, and only after the surplus has lasted for b.SurplusDelay.
func Plan(d Demand, servers []Server, prices []limpetorder.Price, b Bounds, now time.Time) []Action {
	var actions []Action
	var active []Server
	for _, s := range servers {
		switch {
		case s.State == limpetorder.Stopped:
		case s.Draining:
			if s.State == limpetorder.Running && (s.Running == 0 || now.Sub(s.DrainStart) > DrainLimit) {
				actions = append(actions, Action{Kind: Stop, Server: s.ID, Zone: s.Zone, Class: s.Class})
			}
		case s.State != limpetorder.Reclaiming:
			active = append(active, s)
		}
	}
	needed := Needed(d, availableZones(prices), b)
	for range needed - len(active) {
		a, ok := nextStart(active, prices, needed, b)
		if !ok {
			break
		}
		actions = append(actions, a)
		active = append(active, Server{Server: limpetorder.Server{Zone: a.Zone, Class: a.Class}})
	}
	if len(active) > needed && !d.SurplusSince.IsZero() && now.Sub(d.SurplusSince) >= b.SurplusDelay {
		actions = append(actions, nextDrain(active, prices))
	}
	return actions
}

func availableZones(prices []limpetorder.Price) int {
	n := 0
	for _, p := range prices {
		if p.Available || p.CheapAvailable {
			n++
		}
	}
	return n
}

// nextStart returns the start of a server in the zone with the fewest servers,
// and the cheapest of those. It uses the cheap class, where available, up to
// its share of the needed servers. It returns false if no zone has a server
// available.
func nextStart(active []Server, prices []limpetorder.Price, needed int, b Bounds) (Action, bool) {
	inZone, cheap := map[string]int{}, 0
	for _, s := range active {
		inZone[s.Zone]++
		if s.Class == limpetorder.Cheap {
			cheap++
		}
	}
	wantCheap := cheap < int(b.MaxCheapShare*float64(needed))
	class := limpetorder.Standard
	candidates := slices.Collect(func(yield func(limpetorder.Price) bool) {
		for _, p := range prices {
			if wantCheap && p.CheapAvailable && !yield(p) {
				return
			}
		}
	})
	if len(candidates) > 0 {
		class = limpetorder.Cheap
	} else {
		candidates = slices.DeleteFunc(slices.Clone(prices), func(p limpetorder.Price) bool { return !p.Available })
	}
	if len(candidates) == 0 {
		return Action{}, false
	}
	best := slices.MinFunc(candidates, func(a, b limpetorder.Price) int {
		return cmp.Or(cmp.Compare(inZone[a.Zone], inZone[b.Zone]), cmp.Compare(PriceOf(a, class), PriceOf(b, class)), cmp.Compare(a.Zone, b.Zone))
	})
	return Action{Kind: Start, Zone: best.Zone, Class: class}, true
}

// nextDrain returns the drain of a server in the zone with the most servers,
// preferring the highest price and then the fewest running requests.
func nextDrain(active []Server, prices []limpetorder.Price) Action {
	inZone, priceByZone := map[string]int{}, map[string]limpetorder.Price{}
	for _, s := range active {
		inZone[s.Zone]++
	}
	for _, p := range prices {
		priceByZone[p.Zone] = p
	}
	selected := slices.MaxFunc(active, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(inZone[a.Zone], inZone[b.Zone]),
			cmp.Compare(PriceOf(priceByZone[a.Zone], a.Class), PriceOf(priceByZone[b.Zone], b.Class)),
			cmp.Compare(b.Running, a.Running),
			cmp.Compare(a.ID, b.ID))
	})
	return Action{Kind: Drain, Server: selected.ID, Zone: selected.Zone, Class: selected.Class}
}

// PriceOf returns a zone's price for a server of a class.
func PriceOf(p limpetorder.Price, class limpetorder.Class) float64 {
	if class == limpetorder.Cheap {
		return p.Cheap
	}
	return p.Standard
}
