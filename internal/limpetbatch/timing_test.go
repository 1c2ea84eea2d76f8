package limpetbatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
)

func TestTiming(t *testing.T) {
	const ms = time.Millisecond
	v := view(2, map[string]int{"e1": 1})
	s := scheduler(v)
	observed := 0
	s.ObserveInterval = func(string, int, int, time.Duration) { observed++ }
	s.AddJob(job("j", 2, []int{2000}, []int{60}), rules, nil, epoch)
	starts := s.Dispatch(v, at(100*ms))
	long, short := starts[0], starts[1]
	feed(s, long, 1, 1, 1, at(130*ms))
	feed(s, short, 1, 1, 1, at(130*ms))
	feed(s, long, 2, 2, 1, at(170*ms))
	s.HandleEnd(short, limpetbatch.Complete, at(200*ms))
	feed(s, long, 3, 3, 1, at(210*ms))
	s.SetLoading("e1", "m", at(215*ms))
	s.SetLoading("e1", "", at(1210*ms))
	feed(s, long, 4, 4, 1, at(1250*ms))
	s.HandleEnd(long, limpetbatch.Interrupted, at(1300*ms))
	again := s.Dispatch(v, at(2000*ms))[0]
	feed(s, again, 5, 5, 1, at(2020*ms))
	feed(s, again, 6, 6, 1, at(2060*ms))
	s.HandleEnd(again, limpetbatch.Complete, at(2061*ms))
	timing := again.Entry.Timing()
	texts, _ := timing.MeanBatch()
	Convey("an item's time is divided by what it was spent on", t, func() {
		So(timing.Queue, ShouldEqual, 100*ms)
		So(timing.Prompt, ShouldEqual, 30*ms+20*ms)
		So(timing.Beside, ShouldEqual, 40*ms)
		So(timing.WeightChange, ShouldEqual, 1000*ms)
		So(timing.Alone, ShouldEqual, 40*ms+40*ms+40*ms)
		So(timing.Interrupted, ShouldEqual, 750*ms)
		So(timing.Runs, ShouldEqual, 2)
		So(texts, ShouldEqual, 1.25)
		So(observed, ShouldEqual, 4)
	})
}
