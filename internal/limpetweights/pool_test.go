package limpetweights_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetweights"
)

// fleetOf returns engines of a service that have the model m at the given versions.
func fleetOf(service string, versions ...int) []limpetweights.Engine {
	engines := fleet(versions...)
	for n := range engines {
		engines[n].ID, engines[n].Service = fmt.Sprintf("%s%d", service, n), service
	}
	return engines
}

// Guards against a service whose engines get no new weights because those of another
// service, with the same model, are counted in their place.
func TestPoolsArePlannedApart(t *testing.T) {
	Convey("each service keeps as many engines up to date as its own jobs need", t, func() {
		engines := append(fleetOf("a", 3, 3, 3, 3, 3, 3, 3, 3), fleetOf("b", 1, 1, 1)...)
		orders := limpetweights.Plan(engines, []limpetweights.Pool{
			{Model: "m", Service: "a", NewestVersion: 3, MinVersion: 2, MaxEngines: 4},
			{Model: "m", Service: "b", NewestVersion: 3, MinVersion: 2, MaxEngines: 3},
		})
		So(engineIDs(orders), ShouldResemble, []string{"b0", "b1"})
	})
	Convey("an unused pool gets what capacity the others leave, less one update", t, func() {
		engines := append(fleetOf("a", 1), fleetOf("b", 1, 1, 1)...)
		used := limpetweights.Pool{Model: "m", Service: "a", NewestVersion: 3, FreeLoads: 4}
		unused := limpetweights.Pool{Model: "m", Service: "b", NewestVersion: 3, FreeLoads: 4, Unused: true}
		So(engineIDs(limpetweights.Plan(engines, []limpetweights.Pool{used, unused})), ShouldResemble, []string{"a0"})
		engines[0].Versions["m"] = 3
		So(engineIDs(limpetweights.Plan(engines, []limpetweights.Pool{used, unused})), ShouldResemble, []string{"b0"})
		unused.FreeLoads = 0
		So(limpetweights.Plan(engines, []limpetweights.Pool{used, unused}), ShouldBeEmpty)
	})
}
