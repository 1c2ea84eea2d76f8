package limpetswap_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetswap"
)

// fleet returns engines that have one model at the given versions.
func fleet(versions ...int) []limpetswap.Engine {
	var engines []limpetswap.Engine
	for n, v := range versions {
		engines = append(engines, limpetswap.Engine{ID: fmt.Sprintf("e%d", n), Versions: map[string]int{"m": v}})
	}
	return engines
}

func chosen(choices []limpetswap.Choice) []string {
	ids := []string{}
	for _, c := range choices {
		ids = append(ids, c.Engine)
	}
	return ids
}

func TestPlan(t *testing.T) {
	model := func(named, need int) limpetswap.Model {
		return limpetswap.Model{Name: "m", Named: named, Need: need, Free: 9}
	}
	for _, c := range []struct {
		name    string
		engines []limpetswap.Engine
		model   limpetswap.Model
		want    []string
	}{
		{"nothing newer is named", fleet(3, 3), model(3, 2), []string{}},
		{"engines two versions behind go first, two at once", fleet(2, 1, 1, 1), model(3, 2), []string{"e1", "e2"}},
		{"the open jobs' bound counts too", fleet(2, 2, 3), model(3, 3), []string{"e0", "e1"}},
		{"half change early", fleet(2, 2, 2, 2, 2, 2, 2, 2, 2), model(3, 2), []string{"e0", "e1"}},
		{"an engine that lacks the model is left alone", []limpetswap.Engine{{ID: "x", Versions: map[string]int{"other": 1}}}, model(3, 2), []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey(c.name, t, func() {
				So(chosen(limpetswap.Plan(c.engines, []limpetswap.Model{c.model})), ShouldResemble, c.want)
			})
		})
	}
}

func TestPlanHoldsBack(t *testing.T) {
	Convey("a change that is under way takes a place", t, func() {
		engines := fleet(1, 1, 1)
		engines[0].Changing = true
		choices := limpetswap.Plan(engines, []limpetswap.Model{{Name: "m", Named: 3}})
		So(chosen(choices), ShouldResemble, []string{"e1"})
	})
	Convey("an engine that was ordered in vain is left alone", t, func() {
		engines := fleet(1)
		engines[0].Held = true
		So(limpetswap.Plan(engines, []limpetswap.Model{{Name: "m", Named: 3}}), ShouldBeEmpty)
	})
	Convey("while items wait, engines that are still of use change one at a time", t, func() {
		choices := limpetswap.Plan(fleet(2, 2, 2, 2), []limpetswap.Model{{Name: "m", Named: 3, Waiting: 40, Free: 4}})
		So(len(choices), ShouldEqual, 1)
	})
	Convey("once half have the version, busy engines keep theirs and idle ones follow", t, func() {
		engines := fleet(3, 3, 2, 2)
		engines[2].Running = 4
		choices := limpetswap.Plan(engines, []limpetswap.Model{{Name: "m", Named: 3, Loads: 2, Free: 4}})
		So(chosen(choices), ShouldResemble, []string{"e3"})
	})
}

func TestLoadStepsNeverMeetAFleetThatIsOfNoUse(t *testing.T) {
	Convey("pattern: a version each step; at least a third of the engines can serve each step at once", t, func() {
		for engines := 3; engines <= 38; engines++ {
			state := make([]int, engines)
			for n := range state {
				state[n] = 1
			}
			for named := 2; named < 14; named++ {
				usable := 0
				for _, v := range state {
					if v >= named-1 {
						usable++
					}
				}
				So(usable*3, ShouldBeGreaterThanOrEqualTo, engines)
				changeAll(state, named)
			}
		}
	})
}

// changeAll carries out plans for a busy fleet until there are none.
func changeAll(state []int, named int) {
	loads := 0
	for {
		engines := fleet(state...)
		for n := range engines {
			engines[n].Running = 3
		}
		choices := limpetswap.Plan(engines, []limpetswap.Model{{Name: "m", Named: named, Need: named - 1, Loads: loads, Free: len(state)}})
		if len(choices) == 0 {
			return
		}
		for _, c := range choices {
			var n int
			// The IDs are those of fleet.
			_, _ = fmt.Sscanf(c.Engine, "e%d", &n)
			state[n] = c.Version
			loads++
		}
	}
}
