package limpetmember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetmember"
)

func state(name, zone string, reportedAt time.Time) limpetmember.State {
	return limpetmember.State{VM: limpetmember.VM{Name: name, Incarnation: name + "-1", Zone: zone, Peer: name}, ReportedAt: reportedAt}
}

func TestMayAcceptKeys(t *testing.T) {
	const maxAge = 5 * time.Second
	for _, c := range []struct {
		name string
		c    limpetmember.ConfigStatus
		want bool
	}{
		{"recently confirmed", limpetmember.ConfigStatus{Confirmed: true, Age: time.Second}, true},
		{"too old, store up", limpetmember.ConfigStatus{Confirmed: true, Age: time.Minute, ListKnown: true}, false},
		{"too old, store down for all", limpetmember.ConfigStatus{Confirmed: true, Age: time.Minute, ListKnown: true, Listed: 2, Agreeing: 2, StoreDown: true}, true},
		{"too old, one VM does not agree", limpetmember.ConfigStatus{Confirmed: true, Age: time.Minute, ListKnown: true, Listed: 2, Agreeing: 1, StoreDown: true}, false},
		{"too old, list unknown", limpetmember.ConfigStatus{Confirmed: true, Age: time.Minute, StoreDown: true}, false},
		{"never confirmed, others agree", limpetmember.ConfigStatus{Age: time.Minute, ListKnown: true, Listed: 1, Agreeing: 1, StoreDown: true}, true},
		{"never confirmed, alone", limpetmember.ConfigStatus{Age: time.Minute, ListKnown: true, StoreDown: true}, false},
		{"never confirmed, age unset", limpetmember.ConfigStatus{ListKnown: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("keys are accepted only while no withdrawal can be missed", t, func() {
				c.c.MaxAge = maxAge
				So(limpetmember.MayAcceptKeys(c.c), ShouldEqual, c.want)
			})
		})
	}
}

func TestTable(t *testing.T) {
	now := time.Now()
	self := limpetmember.VM{Name: "vm0", Zone: "a"}
	Convey("older reports are ignored, and a VM without reports goes down", t, func() {
		table := limpetmember.New(self)
		So(table.Merge(now, state("vm1", "a", now)), ShouldBeTrue)
		old := state("vm1", "a", now.Add(-time.Second))
		old.Leaving = true
		So(table.Merge(now, old), ShouldBeFalse)
		So(len(table.Live(now)), ShouldEqual, 1)
		So(len(table.Live(now.Add(2*limpetmember.DownTimeout))), ShouldEqual, 0)
		table.Merge(now, state("vm0", "a", now))
		So(len(table.Known()), ShouldEqual, 1)
	})
	Convey("a lagging list does not remove a VM that reports", t, func() {
		table := limpetmember.New(self)
		table.Merge(now, state("vm1", "a", now))
		table.SetListed(nil)
		table.Expire(now.Add(time.Hour))
		So(len(table.Known()), ShouldEqual, 0)
		table.Merge(now, state("vm1", "a", now))
		table.Expire(now.Add(time.Minute))
		So(len(table.Known()), ShouldEqual, 1)
	})
	Convey("a large system has a longer down timeout", t, func() {
		table := limpetmember.New(self)
		for i := range limpetmember.FullMeshLimit + 1 {
			table.Merge(now, state(fmt.Sprintf("vm%d", i+1), "a", now))
		}
		So(table.Count(), ShouldEqual, limpetmember.FullMeshLimit+1)
		So(len(table.Live(now.Add(2*limpetmember.DownTimeout))), ShouldEqual, limpetmember.FullMeshLimit+1)
		So(len(table.Live(now.Add(2*limpetmember.DownTimeoutLarge))), ShouldEqual, 0)
	})
	Convey("a VM that is listed and has reported counts once", t, func() {
		table := limpetmember.New(self)
		table.Merge(now, state("vm1", "a", now))
		table.SetListed([]limpetmember.VM{{Name: "vm1"}, {Name: "vm2"}})
		So(table.Count(), ShouldEqual, 2)
	})
	Convey("the selection is limited and includes another zone", t, func() {
		table := limpetmember.New(self)
		for i := range 50 {
			zone := "a"
			if i == 7 {
				zone = "b"
			}
			table.Merge(now, state(fmt.Sprintf("vm%d", i+1), zone, now))
		}
		r := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			peers := table.RandomPeers(3, r)
			So(len(peers), ShouldEqual, 3)
			So(peers[0].Zone == "b" || peers[1].Zone == "b" || peers[2].Zone == "b", ShouldBeTrue)
		}
	})
}

// Guards against charging an account again for all that it consumed on a VM of a
// large system, after a relayed report, which has no totals.
func TestRelayedReportKeepsTotals(t *testing.T) {
	now := time.Now()
	table := limpetmember.New(limpetmember.VM{Name: "vm0", Zone: "a"})
	direct := state("vm1", "a", now)
	direct.Consumed = map[string]uint64{"drafts/a1": 900}
	table.Merge(now, direct)
	totals := func() map[string]uint64 { return table.Known()[0].Consumed }
	Convey("a relayed report of the same process leaves the totals as they are", t, func() {
		table.Merge(now, state("vm1", "a", now.Add(time.Second)))
		So(totals(), ShouldResemble, direct.Consumed)
	})
	Convey("another process has none yet", t, func() {
		restarted := state("vm1", "a", now.Add(2*time.Second))
		restarted.Incarnation = "vm1-2"
		table.Merge(now, restarted)
		So(len(totals()), ShouldEqual, 0)
	})
}

func TestRankIsConsistent(t *testing.T) {
	Convey("all VMs compute the same ranking, and items are spread evenly", t, func() {
		names := []string{"vm1", "vm2", "vm3", "vm4"}
		firsts := map[string]int{}
		for item := range 400 {
			ranks := map[int]bool{}
			for i, self := range names {
				others := append(append([]string{}, names[:i]...), names[i+1:]...)
				rank := limpetmember.Rank(fmt.Sprint(item), self, others)
				So(ranks[rank], ShouldBeFalse)
				ranks[rank] = true
				if rank == 0 {
					firsts[self]++
				}
			}
		}
		for _, name := range names {
			So(firsts[name], ShouldBeBetween, 60, 140)
		}
	})
}
