package limpetbatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetsite"
)

// routed returns a snapshot without engines whose routes of batch jobs lead to the
// given targets by the name of the route.
func routed(routes map[string][]limpetsite.Target) *limpetsite.Snapshot {
	config := &limpetsite.Config{}
	for name, targets := range routes {
		config.Routes = append(config.Routes, limpetsite.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: limpetsite.Rollout, Targets: targets})
	}
	state := limpetsite.NewState()
	state.Apply(limpetsite.Record{Key: "config", Revision: 1, Config: config}, epoch)
	return state.Snapshot()
}

// Guards against weights that follow a service to which no route of the jobs leads any
// more.
func TestWorkloadsFollowRoutes(t *testing.T) {
	s := limpetbatch.New()
	of := rules
	of.Route = "a"
	s.AddJob(job("j", 2, []int{100, 100, 100}, []int{100}), of, nil, epoch)
	Convey("the work is where the route leads now, by its weights", t, func() {
		So(s.Workloads("m", routed(map[string][]limpetsite.Target{"a": {{Service: "x", Weight: 1}}}), epoch), ShouldResemble,
			map[string]limpetbatch.Workload{"x": {Items: 4, Tokens: 400}})
		So(s.Workloads("m", routed(map[string][]limpetsite.Target{"a": {{Service: "x", Weight: 1}, {Service: "y", Weight: 3}, {Service: "z"}}}), epoch), ShouldResemble,
			map[string]limpetbatch.Workload{"x": {Items: 1, Tokens: 100}, "y": {Items: 3, Tokens: 300}})
	})
	Convey("a route that is gone, other models and jobs of long ago have none", t, func() {
		So(s.Workloads("m", routed(map[string][]limpetsite.Target{"b": {{Service: "x", Weight: 1}}}), epoch), ShouldBeEmpty)
		view := routed(map[string][]limpetsite.Target{"a": {{Service: "x", Weight: 1}}})
		So(s.Workloads("other", view, epoch), ShouldBeEmpty)
		So(s.Workloads("m", view, at(time.Hour)), ShouldBeEmpty)
	})
}
