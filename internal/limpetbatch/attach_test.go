package limpetbatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
)

// heldText returns the text of an item up to an event.
func heldText(item string, last, version int) limpetjob.Draft {
	d := limpetjob.Draft{Item: item, Last: last, Version: version}
	for n := 1; n <= last; n++ {
		d.Pieces = append(d.Pieces, fmt.Sprintf("piece %d", n))
		d.Versions = []int{version}
	}
	return d
}

func TestAttach(t *testing.T) {
	start := func() (*limpetbatch.Ledger, *limpetbatch.Job) {
		l := ledger(view(4, map[string]int{"e1": 5, "e2": 5}))
		j := job("j", 1, []int{100})
		j.MinVersion = 4
		return l, l.Add(j, rules, nil, epoch)
	}
	Convey("a run goes on where another VM's text ends", t, func() {
		l, j := start()
		run, replaced := l.Attach(j, heldText("j-g0-0", 7, 5), "e1", true, epoch)
		So(replaced, ShouldBeNil)
		So(run.After, ShouldEqual, 7)
		So(l.Dispatch(view(4, map[string]int{"e1": 5}), at(time.Second)), ShouldBeEmpty)
		So(feed(l, run, 8, 9, 5, at(time.Second)), ShouldBeTrue)
		So(l.Ended(run, limpetbatch.Whole, at(time.Second)), ShouldBeTrue)
		So(len(listed(l)), ShouldEqual, 1)
	})
	Convey("it takes the place of a run that has less of the text, and of no other", t, func() {
		l, j := start()
		own := l.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0]
		l.Head(own, 5, epoch)
		feed(l, own, 1, 3, 5, epoch)
		run, replaced := l.Attach(j, heldText("j-g0-0", 2, 5), "e2", true, epoch)
		So(run, ShouldBeNil)
		So(replaced, ShouldBeNil)
		run, replaced = l.Attach(j, heldText("j-g0-0", 6, 5), "e2", true, epoch)
		So(replaced, ShouldEqual, own)
		So(run.Server.ID, ShouldEqual, "e2")
		So(feed(l, own, 4, 4, 5, epoch), ShouldBeFalse)
	})
	Convey("a whole text settles the item, and a run's text without the run is gone on with", t, func() {
		l, j := start()
		d := heldText("j-g0-0", 6, 5)
		run, _ := l.Attach(j, d, "e1", false, epoch)
		So(run, ShouldBeNil)
		So(l.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0].After, ShouldEqual, 6)
		d.Whole = true
		_, replaced := l.Attach(j, d, "e1", false, epoch)
		So(replaced, ShouldNotBeNil)
		So(len(listed(l)), ShouldEqual, 1)
	})
	Convey("a text under an old version, of another job or at an unknown engine is not gone on with", t, func() {
		l, j := start()
		run, _ := l.Attach(j, heldText("j-g0-0", 6, 3), "e1", true, epoch)
		So(run, ShouldBeNil)
		run, _ = l.Attach(j, heldText("other", 6, 5), "e1", true, epoch)
		So(run, ShouldBeNil)
		run, _ = l.Attach(j, heldText("j-g0-0", 6, 5), "gone", true, epoch)
		So(run, ShouldBeNil)
		So(l.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0].After, ShouldEqual, 6)
	})
	Convey("a run that is lost for no fault of its engine may go back there at once", t, func() {
		v := view(4, map[string]int{"e1": 5})
		l := ledger(v)
		l.Add(job("j", 1, []int{100}), rules, nil, epoch)
		run := l.Dispatch(v, epoch)[0]
		l.Lost(run, epoch)
		So(l.Dispatch(v, epoch)[0].Server.ID, ShouldEqual, "e1")
	})
}

func TestGroupReady(t *testing.T) {
	Convey("a group is ready with its last item, and once it is listed no more", t, func() {
		v := view(4, map[string]int{"e1": 1})
		l := ledger(v)
		l.Add(job("j", 1, []int{100, 100}), rules, nil, epoch)
		starts := l.Dispatch(v, epoch)
		finish(l, starts[0], 3, 1, epoch)
		So(l.GroupReady(), ShouldBeFalse)
		finish(l, starts[1], 3, 1, epoch)
		So(l.GroupReady(), ShouldBeTrue)
		listed(l)
		So(l.GroupReady(), ShouldBeFalse)
	})
}
