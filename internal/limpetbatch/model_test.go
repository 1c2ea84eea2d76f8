package limpetbatch_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
)

// Guards against jobs that are accepted without a model and whose items never run. Only
// trainers name one.
func TestJobsWithoutAModelRun(t *testing.T) {
	Convey("the items of a job without a model run at any engine of its service", t, func() {
		v := view(1, map[string]int{"e0": 3, "e1": 1})
		s := scheduler(v)
		j := job("j", 2, []int{100}, []int{100})
		j.Model, j.MinVersion = "", 0
		added := s.AddJob(j, rules, nil, epoch)
		So(s.UsableEngines(added), ShouldEqual, 2)
		runs := s.Dispatch(v, epoch)
		So(len(runs), ShouldEqual, 2)
		for _, r := range runs {
			finish(s, r, 3, 2, epoch)
		}
		So(len(commitAll(s)), ShouldEqual, 2)
	})
	Convey("an interrupted text goes on", t, func() {
		v := versioned(1, map[string]string{"e0": "v1", "e1": "v1"}).view()
		s := scheduler(v)
		j := job("j", 1, []int{100})
		j.Model, j.MinVersion = "", 0
		s.AddJob(j, rules, nil, epoch)
		r := s.Dispatch(v, epoch)[0]
		s.HandleHeader(r, 1, epoch)
		feed(s, r, 1, 2, 1, epoch)
		s.HandleEnd(r, limpetbatch.Interrupted, epoch)
		again := s.Dispatch(v, epoch)
		So(len(again), ShouldEqual, 1)
		So(again[0].After, ShouldEqual, 2)
	})
}
