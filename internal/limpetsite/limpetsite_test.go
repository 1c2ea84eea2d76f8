package limpetsite_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetsite"
)

var startTime = time.Unix(1_700_000_000, 0)

func server(id string, draining bool) *limpetsite.Server {
	return &limpetsite.Server{ID: id, Service: "desk", Address: id, Zone: "a", Slots: 4, Draining: draining}
}

func register(s *limpetsite.State, revision uint64, v *limpetsite.Server, now time.Time) {
	s.Apply(limpetsite.Record{Key: limpetsite.ServerKey + v.ID, Revision: revision, Server: v}, now)
}

func unregister(s *limpetsite.State, revision uint64, id string, now time.Time) {
	s.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Deleted: true}, now)
}

func config(version uint64, keys ...string) *limpetsite.Config {
	c := &limpetsite.Config{Version: version, Routes: []limpetsite.Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"},
	}}
	account := limpetsite.Account{Name: "acme"}
	for _, k := range keys {
		account.Keys = append(account.Keys, limpetsite.HashKey(k))
	}
	c.Accounts = []limpetsite.Account{account}
	return c
}

func TestRoutes(t *testing.T) {
	s := limpetsite.NewState()
	s.Apply(limpetsite.Record{Key: "config", Revision: 1, Config: config(1, "k")}, startTime)
	view := s.Snapshot()
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/ab/": "", "/A/x": ""} {
		t.Run(path, func(t *testing.T) {
			Convey("the route with the longest matching prefix is chosen", t, func() {
				r := view.Route("h:80", path)
				if want == "" {
					So(r, ShouldBeNil)
					return
				}
				So(r.Name, ShouldEqual, want)
			})
		})
	}
	Convey("routes match only their own host", t, func() { So(view.Route("other", "/a/x"), ShouldBeNil) })
	Convey("a key identifies only its own account", t, func() {
		So(view.Account("k").Name, ShouldEqual, "acme")
		So(view.Account("K"), ShouldBeNil)
		So(view.Account(""), ShouldBeNil)
	})
}

func TestStaleRecordsAreIgnored(t *testing.T) {
	Convey("an older configuration never replaces a newer one", t, func() {
		s := limpetsite.NewState()
		s.Apply(limpetsite.Record{Key: "config", Revision: 7, Config: config(2)}, startTime)
		_, changed := s.Apply(limpetsite.Record{Key: "config", Revision: 5, Config: config(1, "withdrawn")}, startTime)
		So(changed, ShouldBeFalse)
		So(s.Snapshot().Account("withdrawn"), ShouldBeNil)
	})
	Convey("a stale entry does not restore a removed server", t, func() {
		s := limpetsite.NewState()
		register(s, 3, server("x", false), startTime)
		unregister(s, 9, "x", startTime)
		register(s, 6, server("x", false), startTime)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("a published version never decreases", t, func() {
		s := limpetsite.NewState()
		s.Apply(limpetsite.Record{Key: "v", Revision: 2, PublishedVersion: &limpetsite.PublishedVersion{Model: "m", Version: 4}}, startTime)
		s.Apply(limpetsite.Record{Key: "v", Revision: 3, PublishedVersion: &limpetsite.PublishedVersion{Model: "m", Version: 3}}, startTime)
		So(s.Snapshot().PublishedVersions["m"], ShouldEqual, 4)
	})
}

func TestServers(t *testing.T) {
	Convey("a draining server is known but gets no new work", t, func() {
		s := limpetsite.NewState()
		register(s, 1, server("x", true), startTime)
		view := s.Snapshot()
		So(view.Servers("desk"), ShouldBeEmpty)
		So(view.AcceptsWork("x"), ShouldBeFalse)
		So(view.Server("x"), ShouldNotBeNil)
	})
	Convey("an undecodable entry removes its server and no other", t, func() {
		s := limpetsite.NewState()
		register(s, 1, server("x", false), startTime)
		register(s, 2, server("y", false), startTime)
		s.Apply(limpetsite.Record{Key: limpetsite.ServerKey + "x", Revision: 3}, startTime)
		So(s.Snapshot().Server("x"), ShouldBeNil)
		So(s.Snapshot().AcceptsWork("y"), ShouldBeTrue)
	})
	Convey("a server that is missing from a listing is removed", t, func() {
		s := limpetsite.NewState()
		register(s, 1, server("x", false), startTime)
		s.ApplyListing(map[string]bool{}, 5, startTime)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("a listing older than an entry does not remove it", t, func() {
		s := limpetsite.NewState()
		register(s, 8, server("x", false), startTime)
		s.ApplyListing(map[string]bool{}, 5, startTime)
		So(s.Snapshot().AcceptsWork("x"), ShouldBeTrue)
	})
}

func TestExpiredEntries(t *testing.T) {
	afterOutage := func() *limpetsite.State {
		s := limpetsite.NewState()
		register(s, 1, server("x", false), startTime)
		s.RecordOutage(startTime)
		unregister(s, 2, "x", startTime.Add(time.Second))
		return s
	}
	Convey("a server whose entry expires around an outage is kept until it could have registered again", t, func() {
		s := afterOutage()
		So(s.Snapshot().AcceptsWork("x"), ShouldBeTrue)
		removed, _ := s.Expire(startTime.Add(2 * time.Second))
		So(removed, ShouldBeEmpty)
		removed, _ = s.Expire(startTime.Add(2500 * time.Millisecond))
		So(len(removed), ShouldEqual, 1)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("a server that registers again is kept", t, func() {
		s := afterOutage()
		register(s, 3, server("x", false), startTime.Add(1500*time.Millisecond))
		s.Expire(startTime.Add(time.Minute))
		So(s.Snapshot().AcceptsWork("x"), ShouldBeTrue)
	})
	Convey("a draining server whose entry disappears is removed, even during an outage", t, func() {
		s := limpetsite.NewState()
		register(s, 1, server("x", true), startTime)
		s.RecordOutage(startTime)
		unregister(s, 2, "x", startTime)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("without an outage, a server whose entry disappears is removed immediately", t, func() {
		s := limpetsite.NewState()
		register(s, 1, server("x", false), startTime)
		unregister(s, 2, "x", startTime)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
}

func TestRoutineChanges(t *testing.T) {
	Convey("a change of weights alone is routine; one that affects routing is not", t, func() {
		s := limpetsite.NewState()
		change := func(revision uint64, v *limpetsite.Server) limpetsite.Change {
			c, changed := s.Apply(limpetsite.Record{Key: limpetsite.ServerKey + v.ID, Revision: revision, Server: v}, startTime)
			So(changed, ShouldBeTrue)
			return c
		}
		first, newer, moved, leaving := server("x", false), server("x", false), server("x", false), server("x", true)
		newer.Models = map[string]int{"m": 2}
		moved.Models, moved.Address = newer.Models, "elsewhere"
		leaving.Models, leaving.Address = newer.Models, moved.Address
		So(change(1, first).Routine, ShouldBeFalse)
		So(change(2, newer).Routine, ShouldBeTrue)
		So(change(3, moved).Routine, ShouldBeFalse)
		So(change(4, leaving).Routine, ShouldBeFalse)
	})
}

func TestPriority(t *testing.T) {
	Convey("an account's priority takes precedence over the route's, even if it is 0", t, func() {
		s := limpetsite.NewState()
		c := config(1, "k")
		c.Accounts = append(c.Accounts, limpetsite.Account{Name: "first", HasPriority: true}, limpetsite.Account{Name: "last", Priority: 9, HasPriority: true})
		s.Apply(limpetsite.Record{Key: "c", Revision: 1, Config: c}, startTime)
		route := &limpetsite.Route{Priority: 4}
		So(s.Snapshot().Priority("acme", route), ShouldEqual, 4)
		So(s.Snapshot().Priority("first", route), ShouldEqual, 0)
		So(s.Snapshot().Priority("last", route), ShouldEqual, 9)
	})
}
