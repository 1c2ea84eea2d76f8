package limpetsite_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetsite"
)

func started(id string, incarnation int64, address string) *limpetsite.Server {
	s := server(id, false)
	s.Incarnation, s.Address = incarnation, address
	return s
}

// Guards against requests to servers that said in an answer that they are leaving
// while their registration says otherwise.
func TestServersThatSayThatTheyLeave(t *testing.T) {
	word := limpetsite.Leaving{Server: "x", Incarnation: 1}
	two := func() *limpetsite.State {
		s := limpetsite.NewState()
		s.LeavingGrace = 2 * time.Second
		register(s, 1, started("x", 1, "x"), startTime)
		register(s, 2, started("y", 1, "y"), startTime)
		return s
	}
	Convey("such a server gets no new work, but stays in the view", t, func() {
		s := two()
		_, changed := s.MarkLeaving(word, startTime)
		So(changed, ShouldBeTrue)
		view := s.Snapshot()
		So(len(view.Servers("desk")), ShouldEqual, 1)
		So(view.AcceptsWork("x"), ShouldBeFalse)
		So(view.Server("x").Draining, ShouldBeTrue)
		So(view.IsLeaving("x", 1), ShouldBeTrue)
		_, changed = s.MarkLeaving(word, startTime)
		So(changed, ShouldBeFalse)
	})
	for name, change := range map[string]func(s *limpetsite.State, now time.Time){
		"the store is down and its entry lapses": func(s *limpetsite.State, now time.Time) { s.RecordOutage(now); unregister(s, 3, "x", now) },
		"its entry says again that it is ready":  func(s *limpetsite.State, now time.Time) { register(s, 3, started("x", 1, "x"), now) },
		"its entry comes back": func(s *limpetsite.State, now time.Time) {
			unregister(s, 3, "x", now)
			register(s, 4, started("x", 1, "x"), now)
		},
		"much time passes": func(s *limpetsite.State, now time.Time) { s.Expire(now.Add(time.Hour)) },
	} {
		Convey("that holds when "+name, t, func() {
			s := two()
			s.MarkLeaving(word, startTime)
			change(s, startTime.Add(time.Second))
			So(s.Snapshot().AcceptsWork("x"), ShouldBeFalse)
			So(s.TakeEnded(), ShouldBeEmpty)
		})
	}
	Convey("it is over with a later start of that ID, or at that address", t, func() {
		s := two()
		s.MarkLeaving(word, startTime)
		register(s, 3, started("x", 2, "x"), startTime)
		So(s.Snapshot().AcceptsWork("x"), ShouldBeTrue)
		So(s.TakeEnded(), ShouldResemble, []limpetsite.Change{{What: limpetsite.LeavingOver, Name: "x"}})
		s = two()
		s.MarkLeaving(word, startTime)
		register(s, 3, started("z", 2, "x"), startTime)
		So(s.Snapshot().AcceptsWork("z"), ShouldBeTrue)
		So(s.TakeEnded(), ShouldResemble, []limpetsite.Change{{What: limpetsite.LeavingOver, Name: "x"}})
	})
	Convey("the word of an earlier start says nothing of a later one", t, func() {
		s := two()
		register(s, 3, started("x", 2, "x"), startTime)
		_, changed := s.MarkLeaving(word, startTime)
		So(changed, ShouldBeFalse)
		So(s.Snapshot().AcceptsWork("x"), ShouldBeTrue)
	})
	Convey("a word that comes before the registration holds for it", t, func() {
		s := limpetsite.NewState()
		s.MarkLeaving(word, startTime)
		register(s, 1, started("x", 1, "x"), startTime)
		register(s, 2, started("y", 1, "y"), startTime)
		So(s.Snapshot().AcceptsWork("x"), ShouldBeFalse)
	})
	Convey("if all servers of a service say so, they take work for the time of draining, and none then", t, func() {
		s := two()
		s.MarkLeaving(word, startTime)
		s.MarkLeaving(limpetsite.Leaving{Server: "y", Incarnation: 1}, startTime.Add(time.Second))
		So(len(s.Snapshot().Servers("desk")), ShouldEqual, 2)
		ended, _ := s.Expire(startTime.Add(1900 * time.Millisecond))
		So(len(ended), ShouldEqual, 1)
		So(len(s.Snapshot().Servers("desk")), ShouldEqual, 1)
		s.Expire(startTime.Add(3 * time.Second))
		So(s.Snapshot().Servers("desk"), ShouldBeEmpty)
		So(s.Snapshot().Leaving("desk"), ShouldEqual, 2)
	})
	Convey("words are bounded, and those of registered servers stay", t, func() {
		s := two()
		s.MarkLeaving(word, startTime)
		for n := range 5000 {
			s.MarkLeaving(limpetsite.Leaving{Server: fmt.Sprint(n), Incarnation: 1}, startTime.Add(time.Duration(n)))
		}
		view := s.Snapshot()
		// Whoever passed the words on hears which are forgotten.
		So(len(s.TakeEnded()), ShouldEqual, 1+5000-4096)
		So(view.IsLeaving("x", 1), ShouldBeTrue)
		So(view.IsLeaving("0", 1), ShouldBeFalse)
		So(view.IsLeaving("4999", 1), ShouldBeTrue)
	})
}
