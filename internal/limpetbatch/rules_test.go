package limpetbatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetsite"
)

// Guards against open jobs that keep the priority, the deadline and the allowed failures
// that their route had when they were loaded.
func TestRulesOfOpenJobsChange(t *testing.T) {
	Convey("the order of waiting items follows the new priority", t, func() {
		v := view(1, map[string]int{"e0": 1})
		s := scheduler(v)
		s.AddJob(job("a", 1, []int{1000}), rules, nil, epoch)
		b := s.AddJob(job("b", 1, []int{1000}), rules, nil, epoch)
		lower, higher := rules, rules
		lower.Priority, higher.Priority = 5, 1
		s.SetRules(s.Jobs()["a"], lower, epoch)
		s.SetRules(b, higher, epoch)
		So(itemIDs(s.Dispatch(v, epoch)), ShouldResemble, []string{"b-g0-0"})
	})
	Convey("an item is given up by the new lifetime", t, func() {
		s := scheduler(view(1, nil))
		j := s.AddJob(job("a", 1, []int{1000}), rules, nil, epoch)
		shorter := rules
		shorter.ItemTTL = 5 * time.Second
		s.SetRules(j, shorter, epoch)
		expired, _ := s.ExpireItems(at(6 * time.Second))
		So(len(expired), ShouldEqual, 1)
	})
	Convey("a text of two weight versions begins again once each must have one", t, func() {
		v := view(1, map[string]int{"e0": 1})
		s := scheduler(v)
		j := s.AddJob(job("a", 1, []int{1000}), rules, nil, epoch)
		r := s.Dispatch(v, epoch)[0]
		s.HandleHeader(r, 1, epoch)
		feed(s, r, 1, 3, 1, epoch)
		feed(s, r, 4, 5, 2, epoch)
		onPolicy := rules
		onPolicy.OnPolicy = true
		So(s.SetRules(j, onPolicy, epoch), ShouldResemble, []*limpetbatch.Run{r})
		again := s.Dispatch(v, epoch)
		So(len(again), ShouldEqual, 1)
		So(again[0].After, ShouldEqual, 0)
	})
}

// Guards against engines that get no new weights although jobs come to them by a route
// that was added in front of the former one.
func TestWorkOfOpenJobsMovesToTheirRoute(t *testing.T) {
	Convey("the work of an open job is at the services of its new route", t, func() {
		s := limpetbatch.New()
		of := rules
		of.Route = "a"
		j := s.AddJob(job("j", 1, []int{100, 100}), of, nil, epoch)
		of.Route, of.Shares = "b", map[string]float64{"y": 1}
		s.SetRules(j, of, epoch)
		work := s.Workloads("m", routed(map[string][]limpetsite.Target{"a": {{Service: "x", Weight: 1}}, "b": {{Service: "y", Weight: 1}}}), epoch)
		So(work["y"], ShouldResemble, limpetbatch.Workload{Items: 2, Tokens: 200})
	})
}

// Guards against items of a job without a route that engines begin, that keep engines or
// weights from other jobs, or that are never settled.
func TestWithdrawnJobs(t *testing.T) {
	Convey("no item begins, the one that runs goes on, and the others are errored after the grace", t, func() {
		v := view(1, map[string]int{"e0": 1})
		s := scheduler(v)
		j := s.AddJob(job("a", 2, []int{1000, 900}), rules, nil, epoch)
		r := s.Dispatch(v, epoch)[0]
		withdrawn := rules
		withdrawn.Withdrawn = true
		s.SetRules(j, withdrawn, at(time.Second))
		So(s.Demand(), ShouldResemble, map[string]int{"llm": 1})
		So(s.WaitingItems("m", "llm"), ShouldEqual, 0)
		So(s.RequiredVersion("m", "llm"), ShouldEqual, 0)
		So(s.WithdrawItems(at(2*time.Second)), ShouldBeEmpty)
		So(len(s.WithdrawItems(at(3*time.Second))), ShouldEqual, 1)
		finish(s, r, 5, 1, at(4*time.Second))
		So(s.Dispatch(v, at(4*time.Second)), ShouldBeEmpty)
		So(len(commitAll(s)), ShouldEqual, 2)
	})
}
