package limpettask_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpettask"
)

func TestGoAfterStop(t *testing.T) {
	Convey("Go does not run f after Stop", t, func() {
		g := limpettask.New(context.Background())
		So(g.Stop(), ShouldBeNil)
		ran := make(chan struct{})
		g.Go(func(context.Context) error { close(ran); return nil })
		So(g.Stop(), ShouldBeNil)
		select {
		case <-ran:
			t.Fatal("ran after Stop")
		default:
		}
	})
}

func TestRunEveryUsesJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("the number of runs is within the jitter of the period", t, func() {
			g := limpettask.New(context.Background())
			n := 0
			g.RunEvery(time.Second, func(context.Context) { n++ })
			time.Sleep(100 * time.Second)
			So(g.Stop(), ShouldBeNil)
			So(n, ShouldBeBetween, 80, 126)
		})
	})
}
