package limpetsite_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetsite"
)

func TestStartedAgain(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var state *limpetsite.State
	revision := uint64(0)
	apply := func(id, version string, born time.Time, at time.Time) {
		revision++
		r := limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Deleted: version == ""}
		if version != "" {
			r.Server = &limpetsite.Server{ID: id, Service: "chat", Incarnation: born.UnixMilli(), Software: limpetsite.SoftwareOf("chat", version)}
		}
		state.Apply(r, at)
	}
	chosen := limpetsite.Start{Server: "s", Incarnation: now.UnixMilli(), Software: limpetsite.SoftwareOf("chat", "v1")}
	restarted := now.Add(10 * time.Second)
	startedAgain := func(began time.Time) bool { return state.Snapshot().StartedAgain(chosen, began) }
	Convey("a start with other software counts for answers that began after it", t, func() {
		state = limpetsite.NewState()
		apply("s", "v1", now, now)
		So(startedAgain(restarted), ShouldBeFalse)
		apply("s", "v2", restarted, restarted)
		So(startedAgain(restarted.Add(time.Second)), ShouldBeTrue)
		So(startedAgain(restarted.Add(-time.Second)), ShouldBeFalse)
		Convey("also when the first software runs again", func() {
			apply("s", "v1", restarted.Add(5*time.Second), restarted.Add(5*time.Second))
			So(startedAgain(restarted.Add(time.Second)), ShouldBeTrue)
		})
		Convey("also when the server is gone, until that is forgotten", func() {
			apply("s", "", now, restarted.Add(5*time.Second))
			So(startedAgain(restarted.Add(time.Second)), ShouldBeTrue)
			apply("other", "v1", now, restarted)
			apply("other", "", now, restarted.Add(10*time.Minute))
			So(startedAgain(restarted.Add(time.Second)), ShouldBeFalse)
		})
		Convey("and no flood of servers grows the memory without bound", func() {
			for n := range 4_500 {
				id := fmt.Sprintf("f%d", n)
				apply(id, "v1", now, restarted)
				apply(id, "", now, restarted.Add(time.Duration(n)*time.Millisecond))
			}
			So(startedAgain(restarted.Add(time.Second)), ShouldBeTrue)
		})
	})
}
