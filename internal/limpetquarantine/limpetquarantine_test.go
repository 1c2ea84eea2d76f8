package limpetquarantine_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetquarantine"
)

var rules = limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}

func crash(fingerprint uint64, server string) limpetquarantine.Crash {
	return limpetquarantine.Crash{Fingerprint: fingerprint, Account: "desk", Server: server}
}

func TestReports(t *testing.T) {
	now := time.Now()
	Convey("crashes of two distinct servers quarantine a request, two crashes of one server do not", t, func() {
		s := limpetquarantine.New(rules)
		So(s.Report(now, crash(1, "e1/1")), ShouldBeFalse)
		So(s.Report(now, crash(1, "e1/1")), ShouldBeFalse)
		So(s.View().Suspects[1], ShouldBeTrue)
		So(s.Report(now, crash(1, "e2/1")), ShouldBeTrue)
		So(s.Report(now, crash(1, "e3/1")), ShouldBeFalse)
		So(s.View().Quarantined[1].Account, ShouldEqual, "desk")
		s.Expire(now.Add(time.Hour))
		So(len(s.View().Quarantined), ShouldEqual, 1)
		s.Release(1)
		So(len(s.View().Quarantined), ShouldEqual, 0)
	})
	Convey("a crash after a part of the answer counts half", t, func() {
		s := limpetquarantine.New(rules)
		partial := func(server string) limpetquarantine.Crash {
			c := crash(1, server)
			c.Partial = true
			return c
		}
		So(s.Report(now, partial("e1/1")), ShouldBeFalse)
		So(s.Report(now, partial("e2/1")), ShouldBeFalse)
		So(s.Report(now, partial("e3/1")), ShouldBeFalse)
		So(s.Report(now, crash(1, "e1/1")), ShouldBeTrue)
	})
	Convey("a suspect without a new report expires, and so does a quarantined request if a time is set for it", t, func() {
		expiring := rules
		expiring.QuarantineTTL = time.Hour
		s := limpetquarantine.New(expiring)
		s.Report(now, crash(1, "e1/1"))
		s.Report(now, crash(2, "e1/1"))
		s.Report(now, crash(2, "e2/1"))
		So(s.Expire(now.Add(2*time.Minute)), ShouldResemble, []uint64{1})
		So(len(s.View().Quarantined), ShouldEqual, 1)
		So(s.Expire(now.Add(2*time.Hour)), ShouldResemble, []uint64{2})
		So(s.Len(), ShouldEqual, 0)
	})
	Convey("a record ends with its last crash that is not withdrawn", t, func() {
		s := limpetquarantine.New(rules)
		s.Report(now, crash(1, "e1/1"))
		s.Report(now, crash(1, "e2/1"))
		s.Withdraw(1, "e1/1")
		So(s.View().Suspects[1], ShouldBeTrue)
		s.Withdraw(1, "e2/1")
		So(s.Len(), ShouldEqual, 0)
	})
	Convey("a flood of requests drops the oldest suspects, and no quarantined request while there is a suspect", t, func() {
		bounded := rules
		bounded.MaxRequests = 10
		s := limpetquarantine.New(bounded)
		s.Report(now, crash(1, "e1/1"))
		s.Report(now, crash(1, "e2/1"))
		for n := range 100 {
			s.Report(now.Add(time.Duration(n+1)*time.Second), crash(uint64(n+2), "e1/1"))
		}
		So(s.Len(), ShouldEqual, 10)
		So(s.View().Quarantined, ShouldContainKey, uint64(1))
		So(s.View().Suspects, ShouldContainKey, uint64(101))
		So(s.View().Suspects, ShouldNotContainKey, uint64(92))
	})
	Convey("trials of a quarantined request come ever more seldom, in whatever order they are learned", t, func() {
		s := limpetquarantine.New(rules)
		s.RecordTrial(now.Add(30*time.Second), 1, 1)
		So(len(s.View().Suspects)+len(s.View().Quarantined), ShouldEqual, 0)
		s.Report(now, crash(1, "e1/1"))
		s.Report(now, crash(1, "e2/1"))
		s.RecordTrial(now, 1, 1)
		So(s.View().Quarantined[1].NextTrial(), ShouldEqual, now.Add(150*time.Second))
		s.Report(now, crash(2, "e1/1"))
		s.Report(now, crash(2, "e2/1"))
		So(s.View().Quarantined[2].NextTrial(), ShouldEqual, now.Add(30*time.Second))
	})
	Convey("a view is not affected by later reports", t, func() {
		s := limpetquarantine.New(rules)
		s.Report(now, crash(1, "e1/1"))
		s.Report(now, crash(1, "e2/1"))
		v := s.View()
		s.Report(now, crash(1, "e3/1"))
		s.Withdraw(1, "e1/1")
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
