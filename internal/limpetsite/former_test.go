package limpetsite

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an entry that names another start each time it is written.
func TestStartsOfOneServerAreBounded(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var former formerStarts
	for n := range 1000 {
		former = former.with(&Server{ID: "s", Incarnation: int64(n)}, now.Add(time.Duration(n)*time.Millisecond))
	}
	Convey("only the latest starts are kept", t, func() {
		So(len(former["s"]), ShouldEqual, maxStartsOfServer)
		So(former["s"][maxStartsOfServer-1].server.Incarnation, ShouldEqual, 999)
	})
}
