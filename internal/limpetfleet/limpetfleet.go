// Package limpetfleet owns the decision which backend servers to order and
// which to give back. Plan is pure: a service's demand, servers and prices in,
// orders out.
package limpetfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetmount.org/internal/limpetorder"
)

// A Server holds what the plan needs to know of one backend server.
type Server struct {
	limpetorder.Server
	// Draining servers get no new work and count as gone.
	Draining bool
	// Running is the number of requests at work there.
	Running int
	// Since is when the drain began.
	Since time.Time
}

// A Demand holds what a service needs.
type Demand struct {
	// Slots is the recent peak of requests at work and waiting.
	Slots int
	// LiveSlots is the part of them that must survive the loss of a zone.
	LiveSlots int
	// PerServer is the number of requests that a server runs at once.
	PerServer int
	// SurplusSince is when the servers became more than needed; zero when
	// they are not.
	SurplusSince time.Time
}

// Bounds holds the operators' limits for a service.
type Bounds struct {
	Least, Most int
	CheapShare  float64
	// SurplusFor is how long a surplus must last before a server is drained.
	SurplusFor time.Duration
}

// An Action is one thing to do: start a server, drain one, or stop one that
// has drained.
type Action struct {
	Kind   Kind
	Zone   string
	Class  limpetorder.Class
	Server string
}

// Kind says what an action does.
type Kind string

// The kinds of action.
const (
	Start Kind = "start"
	Drain Kind = "drain"
	Stop  Kind = "stop"
)

const (
	// headroom is kept above the demand for the time that a start takes.
	headroom = 1.2
	// DrainLimit is the longest wait for a draining server's requests.
	DrainLimit = 10 * time.Minute
)

// Needed returns the number of servers for a demand: enough for all slots
// with headroom, and enough that the live slots still fit when the largest of
// the zones is lost.
func Needed(d Demand, zones int, b Bounds) int {
	if d.PerServer < 1 {
		return b.Least
	}
	n := int(math.Ceil(float64(d.Slots) * headroom / float64(d.PerServer)))
	if zones > 1 && d.LiveSlots > 0 {
		live := float64(d.LiveSlots) / float64(d.PerServer)
		n = max(n, int(math.Ceil(live*float64(zones)/float64(zones-1))))
	}
	return min(max(n, b.Least), b.Most)
}

// Plan returns the actions that bring the servers towards what is needed.
// Starts come at once, drains only after a lasting surplus and one at a time.
func Plan(d Demand, servers []Server, prices []limpetorder.Price, b Bounds, now time.Time) []Action {
	var actions []Action
	var kept []Server
	for _, s := range servers {
		switch {
		case s.State == limpetorder.Stopped:
		case s.Draining:
			if s.State == limpetorder.Running && (s.Running == 0 || now.Sub(s.Since) > DrainLimit) {
				actions = append(actions, Action{Kind: Stop, Server: s.ID, Zone: s.Zone, Class: s.Class})
			}
		case s.State != limpetorder.Reclaiming:
			kept = append(kept, s)
		}
	}
	needed := Needed(d, availableZones(prices), b)
	for range needed - len(kept) {
		a, ok := nextStart(kept, prices, needed, b)
		if !ok {
			break
		}
		actions = append(actions, a)
		kept = append(kept, Server{Server: limpetorder.Server{Zone: a.Zone, Class: a.Class}})
	}
	if len(kept) > needed && !d.SurplusSince.IsZero() && now.Sub(d.SurplusSince) >= b.SurplusFor {
		actions = append(actions, nextDrain(kept, prices))
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

// nextStart returns the start that keeps zones balanced first and is cheapest
// second. Cheap servers are taken up to their share of what is needed.
func nextStart(kept []Server, prices []limpetorder.Price, needed int, b Bounds) (Action, bool) {
	inZone, cheap := map[string]int{}, 0
	for _, s := range kept {
		inZone[s.Zone]++
		if s.Class == limpetorder.Cheap {
			cheap++
		}
	}
	wantCheap := cheap < int(b.CheapShare*float64(needed))
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

// nextDrain returns the drain of a server of the fullest zone, there of the
// most expensive class, and of those the least busy.
func nextDrain(kept []Server, prices []limpetorder.Price) Action {
	inZone, price := map[string]int{}, map[string]limpetorder.Price{}
	for _, s := range kept {
		inZone[s.Zone]++
	}
	for _, p := range prices {
		price[p.Zone] = p
	}
	worst := slices.MaxFunc(kept, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(inZone[a.Zone], inZone[b.Zone]),
			cmp.Compare(PriceOf(price[a.Zone], a.Class), PriceOf(price[b.Zone], b.Class)),
			cmp.Compare(b.Running, a.Running),
			cmp.Compare(a.ID, b.ID))
	})
	return Action{Kind: Drain, Server: worst.ID, Zone: worst.Zone, Class: worst.Class}
}

// PriceOf returns a zone's price for a class.
func PriceOf(p limpetorder.Price, class limpetorder.Class) float64 {
	if class == limpetorder.Cheap {
		return p.Cheap
	}
	return p.Standard
}
