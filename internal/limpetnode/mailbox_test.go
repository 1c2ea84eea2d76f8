package limpetnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpettask"
)

// Guards against a caller that reads what its function writes while the function
// still runs, because the node stops.
func TestCallsEndWithTheirFunctions(t *testing.T) {
	for name, stopAfter := range map[string]time.Duration{"while the function runs": 10 * time.Millisecond, "before it is called": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop, cancel := context.WithCancel(context.Background())
				m := newMailbox(1, stop.Done())
				group := limpettask.New(context.Background())
				group.Go(func(context.Context) error {
					defer close(m.ended)
					select {
					case <-stop.Done():
					case e := <-m.events:
						e.apply(&control{}, time.Now())
					}
					return nil
				})
				time.AfterFunc(stopAfter, cancel)
				if stopAfter == 0 {
					synctest.Wait()
				}
				running := false
				m.withControl(func(*control) {
					running = true
					time.Sleep(time.Second)
					running = false
				})
				Convey("when a call returns, its function does not run: the node stops "+name, t, func() {
					So(running, ShouldBeFalse)
				})
				if err := group.Stop(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
