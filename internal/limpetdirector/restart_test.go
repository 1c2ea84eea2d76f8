package limpetdirector_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// crash ends a candidate's process without releasing its lease.
func (c *candidate) crash() {
	c.setDisconnected(true)
	// The release fails, as nobody makes one after a crash.
	_ = c.group.Stop()
}

// Guards against a process that ends soon after it took the duty, starts again,
// and takes the duty before any other VM.
func TestRestartedDirectorLeavesTheDutyToOthers(t *testing.T) {
	t.Run("another VM can take it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(2)
			a, b := env.candidate("a", 0), env.candidate("b", 900*time.Millisecond)
			time.Sleep(2 * time.Second)
			first := a.IsDirector()
			a.crash()
			again := env.process("a", 2, 0)
			time.Sleep(4 * time.Second)
			Convey("the other VM takes it, although the restarted one is quicker", t, func() {
				So(first, ShouldBeTrue)
				So(b.IsDirector(), ShouldBeTrue)
				So(again.IsDirector(), ShouldBeFalse)
			})
			b.stop(t)
			time.Sleep(2 * time.Second)
			Convey("after another VM held it, the restarted one competes like any other", t, func() {
				So(again.IsDirector(), ShouldBeTrue)
			})
			again.stop(t)
		})
	})
	t.Run("no other VM can take it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(2)
			a := env.candidate("a", 0)
			time.Sleep(2 * time.Second)
			a.crash()
			again := env.process("a", 2, 0)
			time.Sleep(10 * time.Second)
			Convey("the restarted VM takes it after the delay", t, func() { So(again.IsDirector(), ShouldBeTrue) })
			again.stop(t)
		})
	})
	t.Run("the process was stopped as planned", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(2)
			a := env.candidate("a", 0)
			time.Sleep(2 * time.Second)
			a.stop(t)
			again := env.process("a", 2, 0)
			time.Sleep(time.Second)
			Convey("the restarted VM takes it at once", t, func() { So(again.IsDirector(), ShouldBeTrue) })
			again.stop(t)
		})
	})
}
