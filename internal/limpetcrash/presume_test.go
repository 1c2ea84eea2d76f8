package limpetcrash_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpetupstream"
)

// Guards against incident 24: a crash that ends no connection was not known
// before the server started again.
func TestUnreachableServersArePresumedToHaveCrashed(t *testing.T) {
	// unreachable lets an attempt at s5 end while the server does not take
	// connections.
	unreachable := func(e *env) {
		e.setCondition(limpetupstream.Unreachable, "s5")
		s := suspicion(7, "s5")
		s.Silent = true
		e.books[0].Suspect(s)
	}
	for _, c := range []struct {
		name string
		// lapsesAfter is when the server's registration lapses, and answersAfter when
		// it answers again; they do not if these are 0.
		lapsesAfter, answersAfter time.Duration
		at                        time.Duration
		want                      limpetcrash.Verdict
		stored                    int
	}{
		{"a server is presumed to have crashed within 2 s of the end of its registration", 1200 * time.Millisecond, 0, 3 * time.Second, suspected, 1},
		{"the presumption holds", 1200 * time.Millisecond, 0, time.Minute, suspected, 1},
		{"a server that is registered may be cut off from this VM only", 0, 0, 5 * time.Second, clear, 0},
		{"one check that does not reach the server proves nothing", 100 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second, clear, 0},
		{"a server that answers again has not crashed", 1200 * time.Millisecond, 10 * time.Second, 15 * time.Second, clear, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 2, func(e *env) {
				unreachable(e)
				if c.lapsesAfter > 0 {
					time.AfterFunc(c.lapsesAfter, func() { e.unregister("s5") })
				}
				if c.answersAfter > 0 {
					time.AfterFunc(c.answersAfter, func() { e.setCondition(limpetupstream.Alive, "s5") })
				}
				time.Sleep(c.at)
				Convey(c.name, t, func() {
					So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{c.want, c.want})
					So(len(e.stored(t)), ShouldEqual, c.stored)
				})
			})
		})
	}
}
