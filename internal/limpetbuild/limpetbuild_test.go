package limpetbuild

import (
	"runtime/debug"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"
)

func TestRevision(t *testing.T) {
	Convey("the revision is that of the checkout, marked if its files were changed", t, func() {
		commit := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef0123"}
		So(revision([]debug.BuildSetting{commit}), ShouldEqual, "0123456789ab")
		So(revision([]debug.BuildSetting{commit, {Key: "vcs.modified", Value: "true"}}), ShouldEqual, "0123456789ab+")
		So(revision([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}}), ShouldEqual, Unknown)
	})
	Convey("a metric names it", t, func() {
		r := prometheus.NewRegistry()
		Register(r)
		families, err := r.Gather()
		So(err, ShouldBeNil)
		So(families[0].GetMetric()[0].GetLabel()[0].GetValue(), ShouldEqual, Revision())
	})
}
