// Package limpetswap owns the decision which engines change to a newer weight
// version, and when. Plan is pure.
package limpetswap

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// An Engine is what is known of one engine.
type Engine struct {
	ID       string
	Versions map[string]int
	// Running is the number of runs that it has.
	Running int
	// Spot engines may be reclaimed. How many engines may change at once is
	// counted without them.
	Spot bool
	// Changing engines have an order under way.
	Changing bool
	// Settling engines have an order whose time is over, but which was not seen
	// to be carried out yet. They leave room for others to change.
	Settling bool
	// Held engines were ordered in vain lately and are left alone.
	Held bool
}

// A Model is what is known of one trained model.
type Model struct {
	Name string
	// Named is the newest version that its trainer named.
	Named int
	// Need is the oldest version that open jobs may use; 0 for none.
	Need int
	// Waiting is the number of items that wait for an engine.
	Waiting int
	// Share is the number of engines that keep up with the model; the others
	// keep old weights of it. 0 stands for all.
	Share int
	// Loads counts the orders for the named version that were given and did
	// not fail, and Free how many of them cost nothing.
	Loads, Free int
}

// A Choice is an order to give.
type Choice struct {
	Engine  string
	Model   string
	Version int
}

// Parallel returns how many of so many engines may change at once: weights
// load more slowly for all when there are more.
func Parallel(engines int) int { return max(2, engines/parallelShare) }

const parallelShare = 5

// Lasting counts the engines that may not be reclaimed.
func Lasting(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if !e.Spot {
			n++
		}
	}
	return n
}

// Share returns how many of so many engines can keep up with a model that gets
// a part of all changes, when so many change at once, versions are named at an
// interval and a change takes a time. Half of them change for each version, and
// some of the changes that there is time for are left to spare.
func Share(engines, parallel int, part float64, interval, change time.Duration) int {
	if part <= 0 || change <= 0 {
		return engines
	}
	perVersion := spareChanges * float64(parallel) * interval.Seconds() / change.Seconds() * part
	return max(min(engines, 2*int(perVersion)), min(engines, leastShare))
}

const (
	spareChanges = 0.85
	leastShare   = 2
	// leastPart and mostPart bound a model's part of the changes, in even ones.
	leastPart = 0.7
	mostPart  = 1.4
)

// Enough returns how many engines are enough for jobs of so many items, when
// two jobs overlap and half of the engines fit each at once. Jobs that are not
// known need all.
func Enough(items, places int) int {
	if items == 0 {
		return math.MaxInt
	}
	return leastShare + (enoughJobs*items+places-1)/places
}

// enoughJobs is how many usual jobs the engines that keep up with a model have
// places for.
const enoughJobs = 3

// Parts divides the changes of weights among models by the work of their steps.
// No model gets much more or less than an even part: small steps have trainers
// that wait, too.
func Parts(work map[string]int) map[string]float64 {
	total := 0
	for _, n := range work {
		total += n
	}
	parts := map[string]float64{}
	sum := 0.0
	for model, n := range work {
		even := 1 / float64(len(work))
		part := even
		if total > 0 {
			part = min(max(float64(n)/float64(total), leastPart*even), mostPart*even)
		}
		parts[model] = part
		sum += part
	}
	for model := range parts {
		parts[model] /= sum
	}
	return parts
}

// homes returns the engines that keep up with each model: those that are
// furthest, and of equal ones those that keep up with fewer other models.
func homes(engines []Engine, models []Model) map[string][]Engine {
	chosen := map[string][]Engine{}
	others := map[string]int{}
	for _, m := range models {
		var all []Engine
		for _, e := range engines {
			if _, serves := e.Versions[m.Name]; serves {
				all = append(all, e)
			}
		}
		slices.SortStableFunc(all, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(b.Versions[m.Name], a.Versions[m.Name]), cmp.Compare(others[a.ID], others[b.ID]), cmp.Compare(a.ID, b.ID))
		})
		if m.Share > 0 && m.Share < len(all) {
			all = all[:m.Share]
		}
		for _, e := range all {
			others[e.ID]++
		}
		chosen[m.Name] = all
	}
	return chosen
}

// ahead returns how many of so many engines should have the named version, so
// that at most the others are of no use when the next one is named.
func ahead(engines int) int { return (engines + 1) / 2 }

// Plan returns the orders to give now. Engines that are too old for the open
// jobs, or for those that the named version brings, change first. Of the
// engines that are one version behind, half change early: if none did, all
// would be of no use at once two versions later. Further ones change while
// they are idle and no item waits.
func Plan(engines []Engine, models []Model) []Choice {
	p := &plan{places: Parallel(Lasting(engines)), taken: map[string]bool{}}
	for _, e := range engines {
		if e.Changing && !e.Settling {
			p.places--
		}
	}
	models = slices.Clone(models)
	slices.SortFunc(models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	home := homes(engines, models)
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range models {
		urgent, _ := behind(home[m.Name], m)
		p.pick(m, urgent, len(urgent))
	}
	for _, m := range models {
		_, early := behind(home[m.Name], m)
		most := ahead(len(home[m.Name])) - current(home[m.Name], m)
		if m.Waiting > 0 {
			// What waits needs the engines more; the change must not stop though.
			most = min(most, 1)
		}
		p.pick(m, early, most)
		if m.Waiting == 0 {
			idle := slices.DeleteFunc(early, func(e Engine) bool { return e.Running > 0 })
			p.pick(m, idle, m.Free-m.Loads-p.picked[m.Name])
		}
	}
	return p.choices
}

type plan struct {
	places  int
	taken   map[string]bool
	picked  map[string]int
	choices []Choice
}

// pick takes so many of the candidates, as far as there are places.
func (p *plan) pick(m Model, candidates []Engine, most int) {
	if p.picked == nil {
		p.picked = map[string]int{}
	}
	for _, e := range candidates {
		if p.places <= 0 || most <= 0 {
			return
		}
		if p.taken[e.ID] {
			continue
		}
		p.taken[e.ID] = true
		p.picked[m.Name]++
		p.choices = append(p.choices, Choice{Engine: e.ID, Model: m.Name, Version: m.Named})
		p.places--
		most--
	}
}

// current counts the engines that have the named version or change to it.
func current(engines []Engine, m Model) int {
	n := 0
	for _, e := range engines {
		if e.Versions[m.Name] >= m.Named || e.Changing {
			n++
		}
	}
	return n
}

// behind returns the engines that are of no use any more for a model, and
// those that are one version behind; the ones with the fewest runs first.
func behind(engines []Engine, m Model) (urgent, early []Engine) {
	least := max(m.Need, m.Named-1)
	for _, e := range engines {
		version, serves := e.Versions[m.Name]
		if !serves || e.Changing || e.Held || version >= m.Named {
			continue
		}
		if version < least {
			urgent = append(urgent, e)
		} else {
			early = append(early, e)
		}
	}
	fewest := func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Versions[m.Name], b.Versions[m.Name]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(urgent, fewest)
	slices.SortFunc(early, fewest)
	return urgent, early
}
