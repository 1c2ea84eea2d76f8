package limpetmember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetmember"
)

// A gossipSim holds the tables of all VMs of a large system, which exchange
// heartbeats on a simulated clock. One of lossRatio exchanges is lost.
type gossipSim struct {
	vms    []limpetmember.VM
	tables []*limpetmember.Table
	index  map[string]int
	// versions holds the version of each VM's state.
	versions []uint64
	random   *rand.Rand
	now      time.Time
}

const lossRatio = 20

func newGossipSim(count, zones int) *gossipSim {
	s := &gossipSim{index: map[string]int{}, random: rand.New(rand.NewPCG(7, uint64(count))), now: time.Now()}
	for i := range count {
		name := fmt.Sprintf("vm%d", i)
		v := limpetmember.VM{Name: name, Incarnation: name + "-1", Zone: fmt.Sprint(i % zones), Peer: name}
		s.vms = append(s.vms, v)
		s.versions = append(s.versions, 0)
		s.index[name] = i
	}
	for _, v := range s.vms {
		t := limpetmember.New(v)
		t.SetListed(s.vms)
		s.tables = append(s.tables, t)
	}
	return s
}

// run lets the VMs exchange heartbeats for a time, and calls check every few
// seconds.
func (s *gossipSim) run(duration time.Duration, reachable func(a, b int) bool, check func()) {
	const period, checkPeriod = 2, 5
	for tick := range int(duration / time.Second) {
		s.now = s.now.Add(time.Second)
		for i, t := range s.tables {
			if (tick+i)%period != 0 {
				continue
			}
			for _, p := range t.RandomPeer(tick/period%2 == 0, s.random) {
				if j := s.index[p.Name]; reachable(i, j) && s.random.IntN(lossRatio) != 0 {
					s.exchange(i, j)
				}
			}
		}
		if tick%checkPeriod == 0 {
			check()
		}
	}
}

// exchange lets VM i send a heartbeat to VM j. Ages grow by up to signRounding on
// the way.
func (s *gossipSim) exchange(i, j int) {
	const maxStates = 32
	a, b := s.tables[i], s.tables[j]
	signs := aged(a.Signs(s.now))
	b.Merge(s.now, s.own(i))
	b.Refresh(signs)
	states, fresher := b.Missing(s.now, signs, maxStates, s.random)
	a.Merge(s.now, s.own(j))
	a.Refresh(aged(fresher))
	for _, state := range states {
		a.Merge(s.now, state)
	}
}

func (s *gossipSim) own(i int) limpetmember.State {
	return limpetmember.State{VM: s.vms[i], Version: s.versions[i], Leaving: s.versions[i] > 0, ReportedAt: s.now}
}

func aged(signs []limpetmember.Sign) []limpetmember.Sign {
	const signRounding = 100 * time.Millisecond
	for i := range signs {
		signs[i].ReportedAt = signs[i].ReportedAt.Add(-signRounding)
	}
	return signs
}

// misjudged counts the pairs of VMs of which one lists the other wrongly: as down
// while it is up, or the other way round.
func (s *gossipSim) misjudged(up func(i int) bool) int {
	wrong := 0
	for i, table := range s.tables {
		if !up(i) {
			continue
		}
		for j := range s.tables {
			if up(j) && j != i {
				wrong++
			}
		}
		for _, m := range table.Live(s.now) {
			if up(s.index[m.Name]) {
				wrong--
			} else {
				wrong++
			}
		}
	}
	return wrong
}

// Guards against a VM that is taken for the holder of a duty that it gave up, or
// for one without the store, for as long as signs show it alive.
func TestSignOfAChangedState(t *testing.T) {
	now := time.Now()
	table := limpetmember.New(limpetmember.VM{Name: "vm0", Zone: "a"})
	old := state("vm1", "a", now)
	old.Version, old.Duties, old.StoreDown = 1, []string{"orders"}, true
	table.Merge(now, old)
	known := func() limpetmember.State { return table.Known()[0] }
	sign := limpetmember.Sign{ID: limpetmember.SignID(old.Incarnation), Version: 1, ReportedAt: now.Add(time.Second)}
	Convey("a sign of the known version leaves the state as it is", t, func() {
		table.Refresh([]limpetmember.Sign{sign})
		So(known().ReportedAt, ShouldEqual, sign.ReportedAt)
		So(known().Duties, ShouldResemble, old.Duties)
		So(known().StoreDown, ShouldBeTrue)
	})
	Convey("after one of a newer version its duties are unknown, and it counts as one that reaches the store", t, func() {
		sign.Version, sign.ReportedAt = 2, now.Add(2*time.Second)
		table.Refresh([]limpetmember.Sign{sign})
		So(known().ReportedAt, ShouldEqual, sign.ReportedAt)
		So(known().Duties, ShouldBeEmpty)
		So(known().StoreDown, ShouldBeFalse)
	})
	Convey("the newer state counts, although the report that it came with is older than the sign", t, func() {
		next := state("vm1", "a", now.Add(1500*time.Millisecond))
		next.Version, next.Duties = 2, []string{"usage"}
		table.Merge(now, next)
		So(known().ReportedAt, ShouldEqual, sign.ReportedAt)
		So(known().Duties, ShouldResemble, next.Duties)
	})
}

// Guards against VMs of a large system that take each other for down although all
// are up.
func TestLargeSystemStaysLive(t *testing.T) {
	for _, count := range []int{64, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			s := newGossipSim(count, 14)
			everywhere := func(int, int) bool { return true }
			everyone := func(int) bool { return true }
			s.run(settleTime, everywhere, func() {})
			wrong := 0
			s.run(time.Minute, everywhere, func() { wrong += s.misjudged(everyone) })
			Convey("each VM sees all others as live at any moment", t, func() {
				So(wrong, ShouldEqual, 0)
			})
		})
	}
}

// settleTime is longer than a VM needs to hear of all others, or to take a silent
// one for down everywhere.
const settleTime = time.Minute

func TestGossipInALargeSystem(t *testing.T) {
	const count, zones = 64, 4
	everywhere := func(int, int) bool { return true }
	Convey("VMs that ended are down everywhere", t, func() {
		s := newGossipSim(count, zones)
		s.run(settleTime, everywhere, func() {})
		up := func(i int) bool { return i >= 5 }
		s.run(settleTime, func(a, b int) bool { return up(a) && up(b) }, func() {})
		So(s.misjudged(up), ShouldEqual, 0)
	})
	Convey("a zone that is cut off goes on, and is back soon after", t, func() {
		s := newGossipSim(count, zones)
		s.run(settleTime, everywhere, func() {})
		sameSide := func(a, b int) bool { return (a%zones == 0) == (b%zones == 0) }
		s.run(settleTime, sameSide, func() {})
		So(s.misjudged(func(i int) bool { return i%zones == 0 }), ShouldEqual, 0)
		So(s.misjudged(func(i int) bool { return i%zones != 0 }), ShouldEqual, 0)
		s.run(30*time.Second, everywhere, func() {})
		So(s.misjudged(func(int) bool { return true }), ShouldEqual, 0)
	})
	Convey("changed states reach all VMs, many at a time", t, func() {
		s := newGossipSim(count, zones)
		s.run(settleTime, everywhere, func() {})
		for i := range s.versions {
			s.versions[i]++
		}
		s.run(30*time.Second, everywhere, func() {})
		for _, table := range s.tables {
			So(table.Live(s.now), ShouldBeEmpty)
			So(len(table.Known()), ShouldEqual, count-1)
		}
	})
}
