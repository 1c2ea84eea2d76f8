package limpetdirector_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetjob"
)

// Guards against a director on a VM that is being retired, which panicked in the
// step in which it gave up the duty, started again, and panicked again.
func TestDirectorOnARetiringVM(t *testing.T) {
	const items = 8
	for _, c := range []struct {
		name    string
		arrange func(t *testing.T, env *testEnv, a, b *candidate)
		// within is the time from the retirement to the report and the last
		// result.
		within time.Duration
	}{
		{"without other work", func(*testing.T, *testEnv, *candidate, *candidate) {}, 5 * time.Second},
		{"with ended jobs to remove", func(t *testing.T, env *testEnv, _, _ *candidate) {
			for n := range 8 {
				id := fmt.Sprintf("old%d", n)
				env.submit(t, id, 1, 1)
				time.Sleep(4 * time.Second)
				if err := limpetjob.End(context.Background(), env.store.Client(), id); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(135 * time.Second)
		}, 5 * time.Second},
		{"with a slow store", func(_ *testing.T, _ *testEnv, a, b *candidate) {
			for _, x := range []*candidate{a, b} {
				x.mu.Lock()
				x.commitDelay, x.scanDelay = 150*time.Millisecond, 150*time.Millisecond
				x.mu.Unlock()
			}
		}, 7 * time.Second},
		{"with published weights", func(_ *testing.T, env *testEnv, _, _ *candidate) {
			env.publish(2)
			time.Sleep(200 * time.Millisecond)
		}, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(4)
				a, b := env.candidate("a", 0), env.candidate("b", 100*time.Millisecond)
				time.Sleep(time.Second)
				c.arrange(t, env, a, b)
				env.submit(t, "j", items, 1)
				time.Sleep(500 * time.Millisecond)
				env.retire("a")
				time.Sleep(c.within)
				Convey("another VM takes the duty, completes the job and reports the VM: "+c.name, t, func() {
					So(a.IsDirector(), ShouldBeFalse)
					So(b.IsDirector(), ShouldBeTrue)
					So(env.retirementReports(), ShouldResemble, []string{"b reports a"})
				})
				checkComplete(t, env.results(t, "j"), items)
				b.stop(t)
				time.Sleep(10 * time.Second)
				Convey("the retiring VM does not take the duty again: "+c.name, t, func() { So(a.IsDirector(), ShouldBeFalse) })
				a.stop(t)
			})
		})
	}
}

func TestRetirementIsReportedByTheNextTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(2)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		a.setDisconnected(true)
		env.retire("c")
		time.Sleep(5 * time.Second)
		a.setDisconnected(false)
		time.Sleep(10 * time.Second)
		Convey("a report that failed when the duty was lost is made in the director's next term, once", t, func() {
			So(a.IsDirector(), ShouldBeTrue)
			So(env.retirementReports(), ShouldResemble, []string{"a reports c"})
		})
		a.stop(t)
	})
}
