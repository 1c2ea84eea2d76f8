package limpetdirector_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
)

// runsAt returns the number of runs started at a service so far.
func (env *testEnv) runsAt(service string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.sentTo[service]
}

// Guards against jobs that stay with the service to which their route led when the
// director loaded them.
func TestOpenJobsFollowTheirRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 16
		env := newTestEnv(5)
		env.moveEngines("former", "e0")
		env.route(limpetsite.Target{Service: "former", Weight: 1})
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", items, 1)
		time.Sleep(500 * time.Millisecond)
		begun := env.runsAt("former")
		env.route(limpetsite.Target{Service: "llm", Weight: 1})
		time.Sleep(5 * time.Second)
		Convey("no item begins at the former service after the move", t, func() {
			So(begun, ShouldEqual, 4)
			So(env.runsAt("former"), ShouldEqual, begun)
		})
		Convey("the items that had begun there are not begun again", t, func() {
			So(env.runsAt("llm"), ShouldEqual, items-begun)
		})
		checkComplete(t, env.results(t, "j"), items)
		a.stop(t)
	})
}

// Guards against texts that wait for engines which their job may not use any more.
func TestTextsOfAFormerServiceBeginAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 4
		env := newTestEnv(5)
		env.moveEngines("former", "e0", "e1")
		env.route(limpetsite.Target{Service: "former", Weight: 1})
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", items, 1)
		// Most of the texts are there.
		time.Sleep(1200 * time.Millisecond)
		env.route(limpetsite.Target{Service: "llm", Weight: 1})
		env.breakStreams("former")
		time.Sleep(2200 * time.Millisecond)
		checkComplete(t, env.results(t, "j"), items)
		a.stop(t)
	})
}

// Guards against jobs whose items run, or wait without end, after their route was
// removed.
func TestJobsOfARemovedRouteAreGivenUp(t *testing.T) {
	for _, c := range []struct {
		name string
		// takeover has another director load the job after the removal.
		takeover bool
	}{{"the director has the job", false}, {"a director takes over after the removal", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const items = 12
				env := newTestEnv(1)
				a := env.candidate("a", 0)
				time.Sleep(time.Second)
				env.submit(t, "j", items, 1)
				time.Sleep(500 * time.Millisecond)
				begun, _ := env.counts()
				env.route()
				if c.takeover {
					a.crash()
					a = env.candidate("b", 0)
				}
				time.Sleep(8 * time.Second)
				completed, errored := 0, 0
				for _, r := range env.results(t, "j") {
					if r.State == limpetjob.Completed {
						completed++
					} else {
						errored++
					}
				}
				runs, _ := env.counts()
				Convey("no item begins, and each one without a run is errored", t, func() {
					So(runs, ShouldEqual, begun)
					So(completed+errored, ShouldEqual, items)
					if !c.takeover {
						So(completed, ShouldEqual, begun)
					}
				})
				a.stop(t)
			})
		})
	}
}

// Guards against jobs that are given up because their route is away for one of several
// configurations in quick succession.
func TestJobsOutlastAShortRemovalOfTheirRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 12
		env := newTestEnv(2)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", items, 1)
		time.Sleep(300 * time.Millisecond)
		env.route()
		time.Sleep(700 * time.Millisecond)
		env.route(limpetsite.Target{Service: "llm", Weight: 1})
		time.Sleep(6 * time.Second)
		checkComplete(t, env.results(t, "j"), items)
		a.stop(t)
	})
}
