package limpetweights_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetweights"
)

// fleet returns engines that have one model at the given versions.
func fleet(versions ...int) []limpetweights.Engine {
	var engines []limpetweights.Engine
	for n, v := range versions {
		engines = append(engines, limpetweights.Engine{ID: fmt.Sprintf("e%d", n), Versions: map[string]int{"m": v}})
	}
	return engines
}

func engineIDs(orders []limpetweights.UpdateOrder) []string {
	ids := []string{}
	for _, c := range orders {
		ids = append(ids, c.Engine)
	}
	return ids
}

func TestPlan(t *testing.T) {
	model := func(newest, need int) limpetweights.Pool {
		return limpetweights.Pool{Model: "m", NewestVersion: newest, MinVersion: need, FreeLoads: 9}
	}
	for _, c := range []struct {
		name    string
		engines []limpetweights.Engine
		model   limpetweights.Pool
		want    []string
	}{
		{"no newer version is published", fleet(3, 3), model(3, 2), []string{}},
		{"engines two versions behind update first, two at once", fleet(2, 1, 1, 1), model(3, 2), []string{"e1", "e2"}},
		{"the version that open jobs need counts too", fleet(2, 2, 3), model(3, 3), []string{"e0", "e1"}},
		{"half update early", fleet(2, 2, 2, 2, 2, 2, 2, 2, 2), model(3, 2), []string{"e0", "e1"}},
		{"an engine without the model gets no order", []limpetweights.Engine{{ID: "x", Versions: map[string]int{"other": 1}}}, model(3, 2), []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey(c.name, t, func() {
				So(engineIDs(limpetweights.Plan(c.engines, []limpetweights.Pool{c.model})), ShouldResemble, c.want)
			})
		})
	}
}

func TestPlanLimits(t *testing.T) {
	Convey("an update in progress uses capacity", t, func() {
		engines := fleet(1, 1, 1)
		engines[0].Updating = true
		orders := limpetweights.Plan(engines, []limpetweights.Pool{{Model: "m", NewestVersion: 3}})
		So(engineIDs(orders), ShouldResemble, []string{"e1"})
	})
	Convey("engines that may be reclaimed do not raise the number of parallel updates", t, func() {
		engines := fleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		for n := range engines {
			engines[n].Spot = n >= 8
		}
		So(len(limpetweights.Plan(engines, []limpetweights.Pool{{Model: "m", NewestVersion: 3}})), ShouldEqual, 2)
	})
	Convey("an engine that recently failed to carry out an order gets none", t, func() {
		engines := fleet(1)
		engines[0].Suspended = true
		So(limpetweights.Plan(engines, []limpetweights.Pool{{Model: "m", NewestVersion: 3}}), ShouldBeEmpty)
	})
	Convey("while items wait, engines that are still usable update one at a time", t, func() {
		orders := limpetweights.Plan(fleet(2, 2, 2, 2), []limpetweights.Pool{{Model: "m", NewestVersion: 3, Waiting: 40, FreeLoads: 4}})
		So(len(orders), ShouldEqual, 1)
	})
	Convey("once half have the newest version, only idle engines update", t, func() {
		engines := fleet(3, 3, 2, 2)
		engines[2].Running = 4
		orders := limpetweights.Plan(engines, []limpetweights.Pool{{Model: "m", NewestVersion: 3, Loads: 2, FreeLoads: 4}})
		So(engineIDs(orders), ShouldResemble, []string{"e3"})
	})
}

func TestEnginesPerModel(t *testing.T) {
	for _, c := range []struct{ engines, models, want int }{{9, 1, 9}, {8, 2, 6}, {36, 3, 14}, {38, 3, 14}, {2, 5, 2}} {
		Convey(fmt.Sprintf("%d engines and %d models", c.engines, c.models), t, func() {
			So(limpetweights.EnginesPerModel(c.engines, limpetweights.MaxParallel(c.engines), 1/float64(c.models), 4*time.Second, time.Second), ShouldEqual, c.want)
		})
	}
}

// A simulation publishes versions of several models in turn and carries out the
// planned updates. updateEnds and updates hold the end and the order of the last
// update of each engine.
type simulation struct {
	engines    []limpetweights.Engine
	updateEnds []time.Duration
	updates    []limpetweights.UpdateOrder
	newest     map[string]int
	loads      map[string]int
	// reportDelay is the time from the end of an update until it is reported.
	reportDelay time.Duration
}

const (
	publishInterval = 4 * time.Second
	updateTime      = 900 * time.Millisecond
	tick            = 50 * time.Millisecond
)

func newSimulation(engines int, models ...string) *simulation {
	s := &simulation{updateEnds: make([]time.Duration, engines), updates: make([]limpetweights.UpdateOrder, engines), newest: map[string]int{}, loads: map[string]int{}}
	for n := range engines {
		e := limpetweights.Engine{ID: fmt.Sprintf("e%02d", n), Versions: map[string]int{}, Running: 3}
		for _, m := range models {
			e.Versions[m], s.newest[m] = 1, 1
		}
		s.engines = append(s.engines, e)
	}
	return s
}

// step advances the simulation by one tick.
func (s *simulation) step(now time.Duration, enginesPerModel int) {
	var models []limpetweights.Pool
	for m, v := range s.newest {
		models = append(models, limpetweights.Pool{Model: m, NewestVersion: v, MinVersion: v - 1, Waiting: 20, MaxEngines: enginesPerModel, Loads: s.loads[m], FreeLoads: len(s.engines) / len(s.newest)})
	}
	for n := range s.engines {
		s.engines[n].Finishing = s.engines[n].Updating && now >= s.updateEnds[n]
		if s.engines[n].Updating && now >= s.updateEnds[n]+s.reportDelay {
			s.engines[n].Updating, s.engines[n].Finishing = false, false
			s.engines[n].Versions[s.updates[n].Model] = s.updates[n].Version
		}
	}
	for _, c := range limpetweights.Plan(s.engines, models) {
		for n := range s.engines {
			if s.engines[n].ID == c.Engine {
				s.engines[n].Updating, s.updateEnds[n], s.updates[n] = true, now+updateTime, c
				s.loads[c.Model]++
			}
		}
	}
}

// usable counts the engines that have at least the given version of a model.
func (s *simulation) usable(model string, minVersion int) int {
	n := 0
	for _, e := range s.engines {
		if e.Versions[model] >= minVersion {
			n++
		}
	}
	return n
}

func TestSeveralModels(t *testing.T) {
	for _, reportDelay := range []time.Duration{0, 250 * time.Millisecond} {
		Convey(fmt.Sprintf("three models on 36 engines, each publishing a version every 4 s with an offset; updates are reported after %s", reportDelay), t, func() {
			simulateSeveralModels(reportDelay)
		})
	}
}

func simulateSeveralModels(reportDelay time.Duration) {
	models := []string{"a", "b", "c"}
	s := newSimulation(36, models...)
	s.reportDelay = reportDelay
	enginesPerModel := limpetweights.EnginesPerModel(36, limpetweights.MaxParallel(36), 1.0/3, publishInterval, updateTime)
	for now := time.Duration(0); now < time.Minute; now += tick {
		for n, m := range models {
			if (now+time.Duration(n)*1300*time.Millisecond)%publishInterval == 0 && now > 0 {
				s.newest[m]++
				s.loads[m] = 0
				// The step that needs the previous version begins now.
				So(s.usable(m, s.newest[m]-1), ShouldBeGreaterThanOrEqualTo, enginesPerModel/2)
			}
		}
		s.step(now, enginesPerModel)
	}
}

func TestUsableEnginesAtEachStep(t *testing.T) {
	Convey("with a new version for each step, at least a third of the engines can serve each step at once", t, func() {
		for engines := 3; engines <= 38; engines++ {
			versions := make([]int, engines)
			for n := range versions {
				versions[n] = 1
			}
			for newest := 2; newest < 14; newest++ {
				usable := 0
				for _, v := range versions {
					if v >= newest-1 {
						usable++
					}
				}
				So(usable*3, ShouldBeGreaterThanOrEqualTo, engines)
				applyPlans(versions, newest)
			}
		}
	})
}

// applyPlans carries out plans for busy engines until there is nothing left to
// update.
func applyPlans(versions []int, newest int) {
	loads := 0
	for {
		engines := fleet(versions...)
		for n := range engines {
			engines[n].Running = 3
		}
		orders := limpetweights.Plan(engines, []limpetweights.Pool{{Model: "m", NewestVersion: newest, MinVersion: newest - 1, Loads: loads, FreeLoads: len(versions)}})
		if len(orders) == 0 {
			return
		}
		for _, c := range orders {
			var n int
			// The IDs have the format that fleet gives them.
			_, _ = fmt.Sscanf(c.Engine, "e%d", &n)
			versions[n] = c.Version
			loads++
		}
	}
}

func TestUpdateShares(t *testing.T) {
	Convey("models get updates in proportion to the work of their steps, within bounds", t, func() {
		shares := limpetweights.UpdateShares(map[string]int{"long": 2300, "short": 1200, "other": 2500})
		So(shares["other"], ShouldBeGreaterThan, shares["long"])
		So(shares["short"], ShouldAlmostEqual, 0.7/3/(0.7/3+2300.0/6000+2500.0/6000), 0.001)
		So(shares["long"]+shares["short"]+shares["other"], ShouldAlmostEqual, 1, 0.001)
	})
	Convey("models of unknown work get equal parts", t, func() {
		So(limpetweights.UpdateShares(map[string]int{"a": 0, "b": 0})["a"], ShouldEqual, 0.5)
		So(limpetweights.UpdateShares(nil), ShouldBeEmpty)
	})
}

func TestSufficientEngines(t *testing.T) {
	Convey("a small job needs only part of a large fleet", t, func() {
		So(limpetweights.SufficientEngines(64, 8), ShouldEqual, 26)
		So(limpetweights.SufficientEngines(0, 8), ShouldBeGreaterThan, 12_000)
	})
	Convey("jobs as large as the fleet do not reduce its share", t, func() {
		So(limpetweights.SufficientEngines(104, 6), ShouldBeGreaterThan, limpetweights.EnginesPerModel(36, limpetweights.MaxParallel(36), 0.41, 4*time.Second, time.Second))
		So(limpetweights.SufficientEngines(40, 8), ShouldBeGreaterThan, 8)
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{36, 300, 2880} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			var engines []limpetweights.Engine
			for n := range count {
				engines = append(engines, limpetweights.Engine{ID: fmt.Sprintf("e%04d", n), Versions: map[string]int{"m0": 1 + n%2, "m1": 1 + n%3, "m2": 1 + n%5/4}})
			}
			models := []limpetweights.Pool{
				{Model: "m0", NewestVersion: 3, MinVersion: 2, MaxEngines: 70}, {Model: "m1", NewestVersion: 4, MinVersion: 3, MaxEngines: 70}, {Model: "m2", NewestVersion: 3, MinVersion: 2, MaxEngines: 70},
			}
			for b.Loop() {
				limpetweights.Plan(engines, models)
			}
		})
	}
}
