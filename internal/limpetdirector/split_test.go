package limpetdirector_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetsite"
)

// Guards against items of a split route that wait for the first of its services while
// the other one is idle.
func TestItemsOfASplitRouteUseAllItsServices(t *testing.T) {
	canary, stable := limpetsite.Target{Service: "canary", Weight: 10}, limpetsite.Target{Service: "llm", Weight: 90}
	for _, c := range []struct {
		name    string
		targets []limpetsite.Target
		// canaries are engines of the first service, beside five of the second one.
		canaries []string
		// moved has the route lead to llm alone when the job is accepted.
		moved bool
	}{
		{"both services have engines", []limpetsite.Target{canary, stable}, []string{"a0"}, false},
		{"the first service has no engine", []limpetsite.Target{canary, stable}, nil, false},
		{"the route is split while the job is open", []limpetsite.Target{canary, stable}, []string{"a0"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The engines take 20 items and those of the canary 4; a text takes 1.4 s.
				const items = 24
				env := newTestEnv(5)
				env.addEngines("canary", c.canaries...)
				if !c.moved {
					env.route(c.targets...)
				}
				a := env.candidate("a", 0)
				time.Sleep(time.Second)
				env.submit(t, "j", items, 1)
				if c.moved {
					time.Sleep(100 * time.Millisecond)
					env.route(c.targets...)
				}
				time.Sleep(3500 * time.Millisecond)
				checkComplete(t, env.results(t, "j"), items)
				a.stop(t)
			})
		})
	}
}

// Guards against items that are not divided by the weights of a split, and against
// services of weight 0 that get some.
func TestItemsAreDividedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(5)
		env.addEngines("canary", "a0", "a1", "a2", "a3", "a4")
		env.addEngines("closed", "b0", "b1")
		env.route(limpetsite.Target{Service: "closed"}, limpetsite.Target{Service: "canary", Weight: 1}, limpetsite.Target{Service: "llm", Weight: 3})
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		// Jobs so small that none of them gives a quarter of its items to a service.
		const jobs = 20
		for n := range jobs {
			env.submit(t, fmt.Sprintf("j%d", n), 2, 1)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		Convey("each service gets its share of the items", t, func() {
			So(env.runsAt("closed"), ShouldEqual, 0)
			So(env.runsAt("canary"), ShouldAlmostEqual, 2*jobs/4, 1)
			So(env.runsAt("llm"), ShouldAlmostEqual, 2*jobs*3/4, 1)
		})
		a.stop(t)
	})
}
