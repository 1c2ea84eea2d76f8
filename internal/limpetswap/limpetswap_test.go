package limpetswap_test

import (
	"fmt"
	"testing"
	"time"

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
	Convey("engines that may be reclaimed make no room for more changes at once", t, func() {
		engines := fleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		for n := range engines {
			engines[n].Spot = n >= 8
		}
		So(len(limpetswap.Plan(engines, []limpetswap.Model{{Name: "m", Named: 3}})), ShouldEqual, 2)
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

func TestShares(t *testing.T) {
	for _, c := range []struct{ engines, models, want int }{{9, 1, 9}, {8, 2, 6}, {36, 3, 14}, {38, 3, 14}, {2, 5, 2}} {
		Convey(fmt.Sprintf("%d engines and %d models", c.engines, c.models), t, func() {
			So(limpetswap.Share(c.engines, limpetswap.Parallel(c.engines), 1/float64(c.models), 4*time.Second, time.Second), ShouldEqual, c.want)
		})
	}
}

// A schedule plays versions of several models that are named in turn.
type schedule struct {
	engines []limpetswap.Engine
	until   []time.Duration
	target  []limpetswap.Choice
	named   map[string]int
	loads   map[string]int
	// lag passes from the end of a change until it is seen.
	lag time.Duration
}

const (
	namedEvery = 4 * time.Second
	changeTime = 900 * time.Millisecond
	tick       = 50 * time.Millisecond
)

func newSchedule(engines int, models ...string) *schedule {
	s := &schedule{until: make([]time.Duration, engines), target: make([]limpetswap.Choice, engines), named: map[string]int{}, loads: map[string]int{}}
	for n := range engines {
		e := limpetswap.Engine{ID: fmt.Sprintf("e%02d", n), Versions: map[string]int{}, Running: 3}
		for _, m := range models {
			e.Versions[m], s.named[m] = 1, 1
		}
		s.engines = append(s.engines, e)
	}
	return s
}

// step plays one tick at a time.
func (s *schedule) step(now time.Duration, share int) {
	var models []limpetswap.Model
	for m, v := range s.named {
		models = append(models, limpetswap.Model{Name: m, Named: v, Need: v - 1, Waiting: 20, Share: share, Loads: s.loads[m], Free: len(s.engines) / len(s.named)})
	}
	for n := range s.engines {
		s.engines[n].Settling = s.engines[n].Changing && now >= s.until[n]
		if s.engines[n].Changing && now >= s.until[n]+s.lag {
			s.engines[n].Changing, s.engines[n].Settling = false, false
			s.engines[n].Versions[s.target[n].Model] = s.target[n].Version
		}
	}
	for _, c := range limpetswap.Plan(s.engines, models) {
		for n := range s.engines {
			if s.engines[n].ID == c.Engine {
				s.engines[n].Changing, s.until[n], s.target[n] = true, now+changeTime, c
				s.loads[c.Model]++
			}
		}
	}
}

// fit counts the engines that fit a model's next step.
func (s *schedule) fit(model string, least int) int {
	n := 0
	for _, e := range s.engines {
		if e.Versions[model] >= least {
			n++
		}
	}
	return n
}

func TestLoadOfSeveralModels(t *testing.T) {
	for _, lag := range []time.Duration{0, 250 * time.Millisecond} {
		Convey(fmt.Sprintf("pattern: three models on 36 engines, each named a version every 4 s, shifted; changes are seen after %s", lag), t, func() {
			loadOfSeveralModels(lag)
		})
	}
}

func loadOfSeveralModels(lag time.Duration) {
	models := []string{"a", "b", "c"}
	s := newSchedule(36, models...)
	s.lag = lag
	share := limpetswap.Share(36, limpetswap.Parallel(36), 1.0/3, namedEvery, changeTime)
	for now := time.Duration(0); now < time.Minute; now += tick {
		for n, m := range models {
			if (now+time.Duration(n)*1300*time.Millisecond)%namedEvery == 0 && now > 0 {
				s.named[m]++
				s.loads[m] = 0
				// The step that asks for the version before begins now.
				So(s.fit(m, s.named[m]-1), ShouldBeGreaterThanOrEqualTo, share/2)
			}
		}
		s.step(now, share)
	}
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

func TestParts(t *testing.T) {
	Convey("models get changes by the work of their steps, within bounds", t, func() {
		parts := limpetswap.Parts(map[string]int{"long": 2300, "short": 1200, "other": 2500})
		So(parts["other"], ShouldBeGreaterThan, parts["long"])
		So(parts["short"], ShouldAlmostEqual, 0.7/3/(0.7/3+2300.0/6000+2500.0/6000), 0.001)
		So(parts["long"]+parts["short"]+parts["other"], ShouldAlmostEqual, 1, 0.001)
	})
	Convey("models of unknown work get even parts", t, func() {
		So(limpetswap.Parts(map[string]int{"a": 0, "b": 0})["a"], ShouldEqual, 0.5)
		So(limpetswap.Parts(nil), ShouldBeEmpty)
	})
}

func TestEnough(t *testing.T) {
	Convey("a large fleet does not keep up for a small job", t, func() {
		So(limpetswap.Enough(64, 8), ShouldEqual, 26)
		So(limpetswap.Enough(0, 8), ShouldBeGreaterThan, 12_000)
	})
	Convey("the share of a fleet that is as large as its jobs is not cut", t, func() {
		So(limpetswap.Enough(104, 6), ShouldBeGreaterThan, limpetswap.Share(36, limpetswap.Parallel(36), 0.41, 4*time.Second, time.Second))
		So(limpetswap.Enough(40, 8), ShouldBeGreaterThan, 8)
	})
}
