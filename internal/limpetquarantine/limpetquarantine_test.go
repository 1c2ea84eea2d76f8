package limpetquarantine_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetquarantine"
)

func TestReports(t *testing.T) {
	now := time.Now()
	Convey("crashes of two distinct servers quarantine a request, two crashes of one server do not", t, func() {
		s := limpetquarantine.New(time.Minute)
		So(s.Report(now, 1, "desk", "e1/1"), ShouldBeFalse)
		So(s.Report(now, 1, "desk", "e1/1"), ShouldBeFalse)
		So(s.View().Suspects[1], ShouldBeTrue)
		So(s.Report(now, 1, "desk", "e2/1"), ShouldBeTrue)
		So(s.Report(now, 1, "desk", "e3/1"), ShouldBeFalse)
		So(s.View().Quarantined[1].Account, ShouldEqual, "desk")
		s.Expire(now.Add(time.Hour))
		So(len(s.View().Quarantined), ShouldEqual, 1)
		s.Release(1)
		So(len(s.View().Quarantined), ShouldEqual, 0)
	})
	Convey("a suspect without a new report expires", t, func() {
		s := limpetquarantine.New(time.Minute)
		s.Report(now, 1, "desk", "e1/1")
		s.Expire(now.Add(2 * time.Minute))
		So(len(s.View().Suspects), ShouldEqual, 0)
	})
	Convey("a view is not affected by later reports", t, func() {
		s := limpetquarantine.New(time.Minute)
		s.Report(now, 1, "desk", "e1/1")
		s.Report(now, 1, "desk", "e2/1")
		v := s.View()
		s.Report(now, 1, "desk", "e3/1")
		So(len(v.Quarantined[1].Servers), ShouldEqual, 2)
	})
}

func TestBlame(t *testing.T) {
	Convey("if suspects are in the batch, only they are blamed", t, func() {
		So(limpetquarantine.Blame([]uint64{1, 2, 3}, map[uint64]bool{2: true}), ShouldResemble, []uint64{2})
		So(limpetquarantine.Blame([]uint64{1, 2, 3}, nil), ShouldResemble, []uint64{1, 2, 3})
	})
}

func TestFingerprint(t *testing.T) {
	Convey("the fingerprint delimits account, target and body", t, func() {
		So(limpetquarantine.Fingerprint("a", "b", []byte("c")), ShouldNotEqual, limpetquarantine.Fingerprint("ab", "", []byte("c")))
		So(limpetquarantine.Fingerprint("a", "b", []byte("c")), ShouldEqual, limpetquarantine.Fingerprint("a", "b", []byte("c")))
	})
}

func TestName(t *testing.T) {
	Convey("a name is parsed back, and other texts are not names", t, func() {
		f := limpetquarantine.Fingerprint("a", "b", nil)
		parsed, err := limpetquarantine.ParseName(limpetquarantine.Name(f))
		So(err, ShouldBeNil)
		So(parsed, ShouldEqual, f)
		for _, text := range []string{"", "q", "x0000000000000001", "q00000000000000012", "qzz"} {
			_, err := limpetquarantine.ParseName(text)
			So(limpeterror.Is(err, limpeterror.Invalid), ShouldBeTrue)
		}
	})
}
