package limpetpeer_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetpeer"
)

func TestSigns(t *testing.T) {
	now := time.Now()
	signs := []limpetmember.Sign{
		{ID: 7, Version: 1, ReportedAt: now.Add(-250 * time.Millisecond)},
		{ID: 1 << 31, Version: 300, ReportedAt: now.Add(-20 * time.Second)},
	}
	message := limpetpeer.EncodeSigns(signs, now)
	Convey("signs keep their IDs and versions, and never become newer", t, func() {
		decoded := limpetpeer.DecodeSigns(message, now)
		So(len(decoded), ShouldEqual, len(signs))
		for i, s := range decoded {
			So(s.ID, ShouldEqual, signs[i].ID)
			So(s.Version, ShouldEqual, signs[i].Version)
			So(signs[i].ReportedAt.Sub(s.ReportedAt), ShouldBeBetweenOrEqual, 0, 100*time.Millisecond)
		}
	})
	Convey("surplus elements are ignored, and none are no signs", t, func() {
		message.Ages = message.Ages[:1]
		So(len(limpetpeer.DecodeSigns(message, now)), ShouldEqual, 1)
		So(limpetpeer.DecodeSigns(nil, now), ShouldBeEmpty)
	})
	Convey("a report from the future has no age", t, func() {
		early := limpetpeer.EncodeSigns([]limpetmember.Sign{{ID: 1, ReportedAt: now.Add(time.Second)}}, now)
		So(early.GetAges(), ShouldResemble, []uint32{0})
	})
}
