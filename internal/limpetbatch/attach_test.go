package limpetbatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
)

// draft returns an item's text up to an event, generated under one version.
func draft(item string, last, version int) limpetjob.Draft {
	d := limpetjob.Draft{Item: item, LastEvent: last, Version: version}
	for n := 1; n <= last; n++ {
		d.Pieces = append(d.Pieces, fmt.Sprintf("piece %d", n))
		d.Versions = []int{version}
	}
	return d
}

func TestAttach(t *testing.T) {
	start := func() (*limpetbatch.Scheduler, *limpetbatch.Job) {
		l := scheduler(view(4, map[string]int{"e1": 5, "e2": 5}))
		j := job("j", 1, []int{100})
		j.MinVersion = 4
		return l, l.AddJob(j, rules, nil, epoch)
	}
	Convey("a run from another VM continues where its text ends", t, func() {
		l, j := start()
		run, replaced := l.Attach(j, draft("j-g0-0", 7, 5), "e1", true, epoch)
		So(replaced, ShouldBeNil)
		So(run.After, ShouldEqual, 7)
		So(l.Dispatch(view(4, map[string]int{"e1": 5}), at(time.Second)), ShouldBeEmpty)
		So(feed(l, run, 8, 9, 5, at(time.Second)), ShouldBeTrue)
		So(l.HandleEnd(run, limpetbatch.Complete, at(time.Second)), ShouldBeTrue)
		So(len(commitAll(l)), ShouldEqual, 1)
	})
	Convey("it replaces a run only if that has less of the text", t, func() {
		l, j := start()
		own := l.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0]
		l.HandleHeader(own, 5, epoch)
		feed(l, own, 1, 3, 5, epoch)
		run, replaced := l.Attach(j, draft("j-g0-0", 2, 5), "e2", true, epoch)
		So(run, ShouldBeNil)
		So(replaced, ShouldBeNil)
		run, replaced = l.Attach(j, draft("j-g0-0", 6, 5), "e2", true, epoch)
		So(replaced, ShouldEqual, own)
		So(run.Server.ID, ShouldEqual, "e2")
		So(feed(l, own, 4, 4, 5, epoch), ShouldBeFalse)
	})
	Convey("a text without its run is continued by a new run, and a complete text settles the item", t, func() {
		l, j := start()
		d := draft("j-g0-0", 6, 5)
		run, _ := l.Attach(j, d, "e1", false, epoch)
		So(run, ShouldBeNil)
		So(l.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0].After, ShouldEqual, 6)
		d.Complete = true
		_, replaced := l.Attach(j, d, "e1", false, epoch)
		So(replaced, ShouldNotBeNil)
		So(len(commitAll(l)), ShouldEqual, 1)
	})
	Convey("a run with an old version, of an unknown item or on an unknown engine is not continued", t, func() {
		l, j := start()
		run, _ := l.Attach(j, draft("j-g0-0", 6, 3), "e1", true, epoch)
		So(run, ShouldBeNil)
		run, _ = l.Attach(j, draft("other", 6, 5), "e1", true, epoch)
		So(run, ShouldBeNil)
		run, _ = l.Attach(j, draft("j-g0-0", 6, 5), "gone", true, epoch)
		So(run, ShouldBeNil)
		So(l.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0].After, ShouldEqual, 6)
	})
	Convey("an item whose run ended for a reason unrelated to its engine may return there at once", t, func() {
		v := view(4, map[string]int{"e1": 5})
		l := scheduler(v)
		l.AddJob(job("j", 1, []int{100}), rules, nil, epoch)
		run := l.Dispatch(v, epoch)[0]
		l.Requeue(run, epoch)
		So(l.Dispatch(v, epoch)[0].Server.ID, ShouldEqual, "e1")
	})
}

func TestGroupReady(t *testing.T) {
	Convey("a group is ready once its last item is settled, until it is committed", t, func() {
		v := view(4, map[string]int{"e1": 1})
		l := scheduler(v)
		l.AddJob(job("j", 1, []int{100, 100}), rules, nil, epoch)
		starts := l.Dispatch(v, epoch)
		finish(l, starts[0], 3, 1, epoch)
		So(l.GroupReady(), ShouldBeFalse)
		finish(l, starts[1], 3, 1, epoch)
		So(l.GroupReady(), ShouldBeTrue)
		commitAll(l)
		So(l.GroupReady(), ShouldBeFalse)
	})
}
