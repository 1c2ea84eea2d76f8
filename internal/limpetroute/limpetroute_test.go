package limpetroute_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetroute"
)

func candidate(id, zone string, reported int) limpetroute.Candidate {
	s := limpetroute.NewServer(limpetorder.Server{ID: id, Zone: zone, Class: limpetorder.Standard})
	return limpetroute.Candidate{Server: s, Capacity: 10, OtherRequests: float64(reported), Version: 3}
}

func TestPick(t *testing.T) {
	leaving := candidate("leaving", "a", 0)
	leaving.Leaving = true
	failing := candidate("failing", "a", 0)
	failing.Failing = true
	old := candidate("old", "a", 0)
	old.Version = 1
	cheap := candidate("cheap", "a", 3)
	cheap.Class = limpetorder.Cheap
	busy := candidate("busy", "a", 5)
	busy.OwnRequests.Add(1)
	for _, c := range []struct {
		name       string
		candidates []limpetroute.Candidate
		query      limpetroute.Query
		want       string
	}{
		{"least load", []limpetroute.Candidate{candidate("x", "a", 5), candidate("y", "a", 2)}, limpetroute.Query{Zone: "a"}, "y"},
		{"own zone at equal load", []limpetroute.Candidate{candidate("x", "b", 2), candidate("y", "a", 2)}, limpetroute.Query{Zone: "a"}, "y"},
		{"other zone at much less load", []limpetroute.Candidate{candidate("x", "b", 1), candidate("y", "a", 9)}, limpetroute.Query{Zone: "a"}, "x"},
		{"not a leaving server", []limpetroute.Candidate{leaving, candidate("y", "a", 9)}, limpetroute.Query{Zone: "a"}, "y"},
		{"not a failing server", []limpetroute.Candidate{failing, candidate("y", "a", 9)}, limpetroute.Query{Zone: "a"}, "y"},
		{"a failing server as a last resort", []limpetroute.Candidate{leaving, failing}, limpetroute.Query{Zone: "a"}, "failing"},
		{"not old weights", []limpetroute.Candidate{old, candidate("y", "a", 9)}, limpetroute.Query{Zone: "a", MinVersion: 2}, "y"},
		{"not an excluded server", []limpetroute.Candidate{candidate("x", "a", 0), candidate("y", "a", 9)}, limpetroute.Query{Zone: "a", Exclude: []string{"x"}}, "y"},
		{"cheap servers if preferred", []limpetroute.Candidate{candidate("x", "a", 2), cheap}, limpetroute.Query{Zone: "a", Cheap: true}, "cheap"},
		{"isolated requests avoid servers in use", []limpetroute.Candidate{busy, candidate("y", "a", 9)}, limpetroute.Query{Zone: "a", Isolated: true}, "y"},
		{"none", []limpetroute.Candidate{leaving}, limpetroute.Query{Zone: "a"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the pick is the expected server", t, func() {
				got := limpetroute.Pick(c.candidates, c.query)
				if c.want == "" {
					So(got, ShouldEqual, limpetroute.None)
					return
				}
				So(c.candidates[got].ID, ShouldEqual, c.want)
			})
		})
	}
}

func TestPrefixAffinity(t *testing.T) {
	Convey("equal prefixes go to the same server until it is heavily loaded", t, func() {
		var candidates []limpetroute.Candidate
		for i := range 8 {
			candidates = append(candidates, candidate(fmt.Sprintf("e%d", i), "a", 2))
		}
		q := limpetroute.Query{Zone: "a", Prefix: 42, PromptBytes: 1 << 20}
		first := limpetroute.Pick(candidates, q)
		for i := range candidates {
			if i != first {
				candidates[i].OtherRequests = 0
			}
		}
		So(limpetroute.Pick(candidates, q), ShouldEqual, first)
		candidates[first].OtherRequests = 9
		So(limpetroute.Pick(candidates, q), ShouldNotEqual, first)
	})
}

func TestAnnouncedPrefixes(t *testing.T) {
	Convey("a server that announced the prefix is preferred to the hashed one", t, func() {
		var candidates []limpetroute.Candidate
		for i := range 8 {
			candidates = append(candidates, candidate(fmt.Sprintf("e%d", i), "a", 2))
		}
		q := limpetroute.Query{Zone: "a", Prefix: 42, PromptBytes: 1 << 20}
		hashed := limpetroute.Pick(candidates, q)
		for _, i := range []int{(hashed + 3) % 8, (hashed + 5) % 8} {
			candidates[i].Cached = limpetroute.Prefixes{42: {}}
		}
		candidates[(hashed+3)%8].OtherRequests = 4
		So(limpetroute.Pick(candidates, q), ShouldEqual, (hashed+5)%8)
		candidates[(hashed+5)%8].Leaving = true
		So(limpetroute.Pick(candidates, q), ShouldEqual, (hashed+3)%8)
	})
}

func TestEstimate(t *testing.T) {
	reports := []limpetroute.Report{{OtherRequests: 8}, {OtherRequests: 0}}
	Convey("a new report counts in full, an old one counts as the mean", t, func() {
		So(limpetroute.Estimate(reports, time.Second), ShouldResemble, []float64{8, 0})
		for i := range reports {
			reports[i].Age = time.Minute
		}
		old := limpetroute.Estimate(reports, time.Second)
		So(old[0], ShouldAlmostEqual, 4, 0.01)
		So(old[1], ShouldAlmostEqual, 4, 0.01)
		long := limpetroute.Estimate(reports, time.Hour)
		So(long[0], ShouldBeGreaterThan, 7.9)
	})
}

func TestPickReturnsEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []limpetroute.Candidate
		for i := range rapid.IntRange(0, 20).Draw(t, "n") {
			c := candidate(fmt.Sprintf("e%d", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.IntRange(0, 30).Draw(t, "load"))
			c.Leaving, c.Failing = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "failing")
			c.Version = rapid.Uint64Range(0, 3).Draw(t, "version")
			candidates = append(candidates, c)
		}
		q := limpetroute.Query{Zone: "a", Prefix: rapid.Uint64().Draw(t, "prefix"), MinVersion: rapid.Uint64Range(0, 3).Draw(t, "min")}
		eligible := 0
		for _, c := range candidates {
			if !c.Leaving && c.Version >= q.MinVersion {
				eligible++
			}
		}
		got := limpetroute.Pick(candidates, q)
		if (got == limpetroute.None) != (eligible == 0) {
			t.Fatalf("picked %d of %d eligible", got, eligible)
		}
		if got != limpetroute.None && (candidates[got].Leaving || candidates[got].Version < q.MinVersion) {
			t.Fatalf("picked an ineligible server")
		}
	})
}

func TestSubset(t *testing.T) {
	Convey("each server is in the subsets of as many VMs as there are replicas", t, func() {
		const vms, servers, replicas = 40, 300, 8
		var names []string
		var list []*limpetroute.Server
		for i := range vms {
			names = append(names, fmt.Sprintf("vm%d", i))
		}
		for i := range servers {
			list = append(list, limpetroute.NewServer(limpetorder.Server{ID: fmt.Sprintf("e%d", i)}))
		}
		vmsPerServer := map[string]int{}
		largest := 0
		for _, vm := range names {
			subset := limpetroute.Subset(list, vm, names, replicas)
			largest = max(largest, len(subset))
			for _, s := range subset {
				vmsPerServer[s.ID]++
			}
		}
		for _, s := range list {
			So(vmsPerServer[s.ID], ShouldEqual, replicas)
		}
		So(largest, ShouldBeLessThan, 2*servers*replicas/vms)
		So(len(limpetroute.Subset(list, "vm1", names[:8], replicas)), ShouldEqual, servers)
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 64, 1000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var candidates []limpetroute.Candidate
			for i := range n {
				candidates = append(candidates, candidate(fmt.Sprintf("e%d", i), "a", i%10))
			}
			q := limpetroute.Query{Zone: "a", Prefix: 42}
			b.ReportAllocs()
			for b.Loop() {
				limpetroute.Pick(candidates, q)
			}
		})
	}
}
