package limpetbatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
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
		s := scheduler(view(4, map[string]int{"e1": 5, "e2": 5}))
		j := job("j", 1, []int{100})
		j.MinVersion = 4
		return s, s.AddJob(j, rules, nil, epoch)
	}
	Convey("a run from another VM continues where its text ends", t, func() {
		s, j := start()
		run, replaced := s.Attach(j, draft("j-g0-0", 7, 5), "e1", true, epoch)
		So(replaced, ShouldBeNil)
		So(run.After, ShouldEqual, 7)
		So(s.Dispatch(view(4, map[string]int{"e1": 5}), at(time.Second)), ShouldBeEmpty)
		So(feed(s, run, 8, 9, 5, at(time.Second)), ShouldBeTrue)
		So(s.HandleEnd(run, limpetbatch.Complete, at(time.Second)), ShouldBeTrue)
		So(len(commitAll(s)), ShouldEqual, 1)
	})
	Convey("it replaces a run only if that has less of the text", t, func() {
		s, j := start()
		own := s.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0]
		s.HandleHeader(own, 5, epoch)
		feed(s, own, 1, 3, 5, epoch)
		run, replaced := s.Attach(j, draft("j-g0-0", 2, 5), "e2", true, epoch)
		So(run, ShouldBeNil)
		So(replaced, ShouldBeNil)
		run, replaced = s.Attach(j, draft("j-g0-0", 6, 5), "e2", true, epoch)
		So(replaced, ShouldEqual, own)
		So(run.Server.ID, ShouldEqual, "e2")
		So(feed(s, own, 4, 4, 5, epoch), ShouldBeFalse)
	})
	Convey("a text without its run is continued by a new run, and a complete text settles the item", t, func() {
		s, j := start()
		d := draft("j-g0-0", 6, 5)
		run, _ := s.Attach(j, d, "e1", false, epoch)
		So(run, ShouldBeNil)
		So(s.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0].After, ShouldEqual, 6)
		d.Complete = true
		_, replaced := s.Attach(j, d, "e1", false, epoch)
		So(replaced, ShouldNotBeNil)
		So(len(commitAll(s)), ShouldEqual, 1)
	})
	Convey("a run with an old version, of an unknown item or on an unknown engine is not continued", t, func() {
		s, j := start()
		run, _ := s.Attach(j, draft("j-g0-0", 6, 3), "e1", true, epoch)
		So(run, ShouldBeNil)
		run, _ = s.Attach(j, draft("other", 6, 5), "e1", true, epoch)
		So(run, ShouldBeNil)
		run, _ = s.Attach(j, draft("j-g0-0", 6, 5), "gone", true, epoch)
		So(run, ShouldBeNil)
		So(s.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0].After, ShouldEqual, 6)
	})
	// Guards against texts of which a VM lost an event.
	Convey("a text without the piece of one of its events is not used", t, func() {
		s, j := start()
		d := draft("j-g0-0", 6, 5)
		d.Pieces, d.Complete = d.Pieces[:5], true
		s.Attach(j, d, "e1", false, epoch)
		s.Resume(j, []limpetjob.Draft{d}, epoch)
		So(len(commitAll(s)), ShouldEqual, 0)
		So(s.Dispatch(view(4, map[string]int{"e1": 5}), epoch)[0].After, ShouldEqual, 0)
	})
	Convey("an item whose run ended for a reason unrelated to its engine may return there at once", t, func() {
		v := view(4, map[string]int{"e1": 5})
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{100}), rules, nil, epoch)
		run := s.Dispatch(v, epoch)[0]
		s.Requeue(run, epoch)
		So(s.Dispatch(v, epoch)[0].Server.ID, ShouldEqual, "e1")
	})
}

// Guards against an engine in trouble that sends events without end, run after run, which
// filled the director's memory.
func TestEndlessTexts(t *testing.T) {
	Convey("a text that grows beyond its bound begins again elsewhere", t, func() {
		v := view(4, map[string]int{"e1": 5, "e2": 5})
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{100}), rules, nil, epoch)
		run := s.Dispatch(v, epoch)[0]
		s.HandleHeader(run, 5, epoch)
		const maxEvents, bytes = 4000, 4000
		data, n := strings.Repeat("x", bytes), 1
		for ; n <= maxEvents && s.HandleEvent(run, limpetupstream.Event{ID: n, Data: data}, 5, epoch); n++ {
		}
		So(n, ShouldBeLessThan, maxEvents)
		next := s.Dispatch(v, at(time.Second))
		So(len(next), ShouldEqual, 1)
		So(next[0].After, ShouldEqual, 0)
		So(next[0].Server.ID, ShouldNotEqual, run.Server.ID)
		finish(s, next[0], 3, 5, at(time.Second))
		So(commitAll(s)[0].Text, ShouldEqual, "piece 1\npiece 2\npiece 3")
	})
}

func TestGroupReady(t *testing.T) {
	Convey("a group is ready once its last item is settled, until it is committed", t, func() {
		v := view(4, map[string]int{"e1": 1})
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{100, 100}), rules, nil, epoch)
		starts := s.Dispatch(v, epoch)
		finish(s, starts[0], 3, 1, epoch)
		So(s.GroupReady(), ShouldBeFalse)
		finish(s, starts[1], 3, 1, epoch)
		So(s.GroupReady(), ShouldBeTrue)
		commitAll(s)
		So(s.GroupReady(), ShouldBeFalse)
	})
}
