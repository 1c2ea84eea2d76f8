// Package limpetswap owns the decision which engines change to a newer weight
// version, and when. Plan is pure.
package limpetswap

import (
	"cmp"
	"slices"
)

// An Engine is what is known of one engine.
type Engine struct {
	ID       string
	Versions map[string]int
	// Running is the number of runs that it has.
	Running int
	// Changing engines have an order under way.
	Changing bool
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
	// Loads counts the orders that were given for the named version, and Free
	// how many of them cost nothing beyond the engines themselves.
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

const (
	parallelShare = 5
	// idleRuns is the number of runs up to which an engine that is still of
	// use changes early.
	idleRuns = 1
)

// Plan returns the orders to give now. Engines too old for the open jobs, or
// for those that the named version brings, change first. Engines that are one
// version behind are still of use: they change while they are idle.
func Plan(engines []Engine, models []Model) []Choice {
	changing := 0
	for _, e := range engines {
		if e.Changing {
			changing++
		}
	}
	places := Parallel(len(engines)) - changing
	taken := map[string]bool{}
	var choices []Choice
	pick := func(m Model, candidates []Engine, most int) {
		for _, e := range candidates {
			if places <= 0 || most <= 0 {
				return
			}
			if taken[e.ID] {
				continue
			}
			taken[e.ID] = true
			choices = append(choices, Choice{Engine: e.ID, Model: m.Name, Version: m.Named})
			places--
			most--
		}
	}
	models = slices.Clone(models)
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range models {
		urgent, _ := behind(engines, m)
		pick(m, urgent, len(urgent))
	}
	for _, m := range models {
		if m.Waiting > 0 {
			continue
		}
		_, early := behind(engines, m)
		pick(m, early, m.Free-m.Loads)
	}
	return choices
}

// behind returns the engines that are of no use any more for a model, and
// those that are idle and one version behind; the ones with the fewest runs
// first.
func behind(engines []Engine, m Model) (urgent, early []Engine) {
	least := max(m.Need, m.Named-1)
	for _, e := range engines {
		version, serves := e.Versions[m.Name]
		if !serves || e.Changing || e.Held || version >= m.Named {
			continue
		}
		switch {
		case version < least:
			urgent = append(urgent, e)
		case e.Running <= idleRuns:
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
