package limpetdirector_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a service that gets no new weights because the engines to keep up to
// date are chosen among those of all services that serve the model.
func TestEachServiceOfAModelGetsItsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 4
		env := newTestEnv(5)
		// The IDs of these sort before those of llm. Jobs never run there.
		env.addEngines("live", "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7")
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j1", items, 1)
		for v := 2; v <= 4; v++ {
			time.Sleep(4 * time.Second)
			env.publish(v)
			env.submit(t, fmt.Sprintf("j%d", v), items, v-1)
		}
		time.Sleep(4 * time.Second)
		_, versions := env.ordersAndVersions()
		current := 0
		for n := range 5 {
			if versions[fmt.Sprintf("e%d", n)] >= 3 {
				current++
			}
		}
		Convey("most engines of the service that runs the jobs can run the next one", t, func() {
			So(current, ShouldBeGreaterThanOrEqualTo, 3)
		})
		for v := 1; v <= 4; v++ {
			checkComplete(t, env.results(t, fmt.Sprintf("j%d", v)), items)
		}
		a.stop(t)
	})
}
