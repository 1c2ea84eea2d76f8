package limpetsite_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetsite"
)

var epoch = time.Unix(1_700_000_000, 0)

func server(id string, draining bool) *limpetsite.Server {
	return &limpetsite.Server{ID: id, Service: "desk", Address: id, Zone: "a", Slots: 4, Draining: draining}
}

func put(s *limpetsite.State, revision uint64, v *limpetsite.Server, now time.Time) {
	s.Apply(limpetsite.Record{Key: limpetsite.ServerKey + v.ID, Revision: revision, Server: v}, now)
}

func remove(s *limpetsite.State, revision uint64, id string, now time.Time) {
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
	s.Apply(limpetsite.Record{Key: "config", Revision: 1, Config: config(1, "k")}, epoch)
	view := s.Snapshot()
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/ab/": "", "/A/x": ""} {
		t.Run(path, func(t *testing.T) {
			Convey("the longest prefix that begins the path wins", t, func() {
				r := view.Route("h:80", path)
				if want == "" {
					So(r, ShouldBeNil)
					return
				}
				So(r.Name, ShouldEqual, want)
			})
		})
	}
	Convey("another host has none of its routes", t, func() { So(view.Route("other", "/a/x"), ShouldBeNil) })
	Convey("a key leads to its account, and no other", t, func() {
		So(view.Account("k").Name, ShouldEqual, "acme")
		So(view.Account("K"), ShouldBeNil)
		So(view.Account(""), ShouldBeNil)
	})
}

func TestNothingGoesBack(t *testing.T) {
	Convey("an older configuration never replaces a newer one", t, func() {
		s := limpetsite.NewState()
		s.Apply(limpetsite.Record{Key: "config", Revision: 7, Config: config(2)}, epoch)
		_, changed := s.Apply(limpetsite.Record{Key: "config", Revision: 5, Config: config(1, "withdrawn")}, epoch)
		So(changed, ShouldBeFalse)
		So(s.Snapshot().Account("withdrawn"), ShouldBeNil)
	})
	Convey("a late entry does not bring a server back", t, func() {
		s := limpetsite.NewState()
		put(s, 3, server("x", false), epoch)
		remove(s, 9, "x", epoch)
		put(s, 6, server("x", false), epoch)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("a named version only grows", t, func() {
		s := limpetsite.NewState()
		s.Apply(limpetsite.Record{Key: "v", Revision: 2, Named: &limpetsite.Named{Model: "m", Version: 4}}, epoch)
		s.Apply(limpetsite.Record{Key: "v", Revision: 3, Named: &limpetsite.Named{Model: "m", Version: 3}}, epoch)
		So(s.Snapshot().Named["m"], ShouldEqual, 4)
	})
}

func TestServers(t *testing.T) {
	Convey("a draining server is known but gets nothing", t, func() {
		s := limpetsite.NewState()
		put(s, 1, server("x", true), epoch)
		view := s.Snapshot()
		So(view.Servers("desk"), ShouldBeEmpty)
		So(view.Takes("x"), ShouldBeFalse)
		So(view.Server("x"), ShouldNotBeNil)
	})
	Convey("an entry that cannot be read names no server, and the others hold", t, func() {
		s := limpetsite.NewState()
		put(s, 1, server("x", false), epoch)
		put(s, 2, server("y", false), epoch)
		s.Apply(limpetsite.Record{Key: limpetsite.ServerKey + "x", Revision: 3}, epoch)
		So(s.Snapshot().Server("x"), ShouldBeNil)
		So(s.Snapshot().Takes("y"), ShouldBeTrue)
	})
	Convey("a server that a listing lacks is gone", t, func() {
		s := limpetsite.NewState()
		put(s, 1, server("x", false), epoch)
		s.Listed(map[string]bool{}, 5, epoch)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("a listing older than an entry does not remove it", t, func() {
		s := limpetsite.NewState()
		put(s, 8, server("x", false), epoch)
		s.Listed(map[string]bool{}, 5, epoch)
		So(s.Snapshot().Takes("x"), ShouldBeTrue)
	})
}

func TestLapsedEntries(t *testing.T) {
	lapse := func() *limpetsite.State {
		s := limpetsite.NewState()
		put(s, 1, server("x", false), epoch)
		s.Disturbed(epoch)
		remove(s, 2, "x", epoch.Add(time.Second))
		return s
	}
	Convey("an entry that lapses around an outage is kept until it can be back", t, func() {
		s := lapse()
		So(s.Snapshot().Takes("x"), ShouldBeTrue)
		gone, _ := s.Expire(epoch.Add(2 * time.Second))
		So(gone, ShouldBeEmpty)
		gone, _ = s.Expire(epoch.Add(2500 * time.Millisecond))
		So(len(gone), ShouldEqual, 1)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("an entry that comes back stays", t, func() {
		s := lapse()
		put(s, 3, server("x", false), epoch.Add(1500*time.Millisecond))
		s.Expire(epoch.Add(time.Minute))
		So(s.Snapshot().Takes("x"), ShouldBeTrue)
	})
	Convey("a draining server that vanishes is gone, outage or not", t, func() {
		s := limpetsite.NewState()
		put(s, 1, server("x", true), epoch)
		s.Disturbed(epoch)
		remove(s, 2, "x", epoch)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
	Convey("in calm times a vanished entry is gone at once", t, func() {
		s := limpetsite.NewState()
		put(s, 1, server("x", false), epoch)
		remove(s, 2, "x", epoch)
		So(s.Snapshot().Server("x"), ShouldBeNil)
	})
}

func TestRoutineChanges(t *testing.T) {
	Convey("weights alone are routine; what decides where requests go is not", t, func() {
		s := limpetsite.NewState()
		change := func(revision uint64, v *limpetsite.Server) limpetsite.Change {
			c, changed := s.Apply(limpetsite.Record{Key: limpetsite.ServerKey + v.ID, Revision: revision, Server: v}, epoch)
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
	Convey("an account's rank takes precedence over the route's, also when it is 0", t, func() {
		s := limpetsite.NewState()
		c := config(1, "k")
		c.Accounts = append(c.Accounts, limpetsite.Account{Name: "first", Ranked: true}, limpetsite.Account{Name: "last", Priority: 9, Ranked: true})
		s.Apply(limpetsite.Record{Key: "c", Revision: 1, Config: c}, epoch)
		route := &limpetsite.Route{Priority: 4}
		So(s.Snapshot().Priority("acme", route), ShouldEqual, 4)
		So(s.Snapshot().Priority("first", route), ShouldEqual, 0)
		So(s.Snapshot().Priority("last", route), ShouldEqual, 9)
	})
}
