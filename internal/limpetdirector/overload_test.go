package limpetdirector_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// takeovers watches candidates for a time and returns how often another one than
// before was the director, and for how long none was.
func takeovers(watched time.Duration, candidates ...*candidate) (changes int, vacant time.Duration) {
	const period = 20 * time.Millisecond
	var last *candidate
	for range watched / period {
		time.Sleep(period)
		var director *candidate
		for _, c := range candidates {
			if c.IsDirector() {
				director = c
			}
		}
		switch {
		case director == nil:
			vacant += period
		case director != last:
			changes++
			last = director
		}
	}
	return changes, vacant
}

// Guards against a duty that goes round: its load overwhelms one VM after the other,
// and each takeover adds to it.
func TestLoadOfTheDutyDoesNotMoveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a, b, c := env.candidate("a", 0), env.candidate("b", 60*time.Millisecond), env.candidate("c", 120*time.Millisecond)
		time.Sleep(2 * time.Second)
		delaySteps(250*time.Millisecond, a, b, c)
		env.submit(t, "during", 8, 1)
		changes, vacant := takeovers(time.Minute, a, b, c)
		during := len(env.results(t, "during"))
		delaySteps(0, a, b, c)
		env.submit(t, "after", 8, 1)
		later, _ := takeovers(10*time.Second, a, b, c)
		Convey("pattern: steps of the loop take 0.25 s on whichever VM is the director, for a minute", t, func() {
			Convey("it moves once, in case the VM was to blame, and stays then", func() {
				So(changes, ShouldBeLessThanOrEqualTo, 3)
				So(vacant, ShouldBeLessThan, 2*time.Second)
			})
			Convey("items are served meanwhile, and at the usual pace once the load is gone", func() {
				So(during, ShouldEqual, 8)
				So(later, ShouldEqual, 1)
				So(len(env.results(t, "after")), ShouldEqual, 8)
			})
		})
		a.stop(t)
		b.stop(t)
		c.stop(t)
	})
}

func TestSlowVMGivesTheDutyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a, b := env.candidate("a", 0), env.candidate("b", 60*time.Millisecond)
		time.Sleep(2 * time.Second)
		first := a.IsDirector()
		delaySteps(250*time.Millisecond, a)
		time.Sleep(15 * time.Second)
		Convey("a VM that is slow by itself leaves the duty to another one", t, func() {
			So(first, ShouldBeTrue)
			So(b.IsDirector(), ShouldBeTrue)
		})
		a.stop(t)
		b.stop(t)
	})
}

// Guards against a lease that expires because the loop that renews it is busy.
func TestLeaseIsRenewedDuringALongStep(t *testing.T) {
	for _, c := range []struct {
		name string
		step time.Duration
		kept bool
	}{
		{"a step of 3 s does not cost the lease", 3 * time.Second, true},
		{"a loop that does not come back does", time.Minute, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(4)
			a, b := env.candidate("a", 0), env.candidate("b", 60*time.Millisecond)
			time.Sleep(2 * time.Second)
			first := a.IsDirector()
			delaySteps(c.step, a)
			time.Sleep(100 * time.Millisecond)
			delaySteps(0, a)
			changes, _ := takeovers(12*time.Second, a, b)
			Convey(c.name, t, func() {
				So(first, ShouldBeTrue)
				So(changes == 1 && a.IsDirector(), ShouldEqual, c.kept)
				So(b.IsDirector(), ShouldEqual, !c.kept)
			})
			time.Sleep(time.Minute)
			a.stop(t)
			b.stop(t)
		})
	}
}
