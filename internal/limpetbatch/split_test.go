package limpetbatch_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetsite"
)

// splitEngines returns engines of two services, of one slot each.
func splitEngines(canary, stable int) engines {
	all := engines{}
	add := func(service string, count int) {
		for n := range count {
			e := engine(fmt.Sprint(service, n), "v1", 1)
			e.Service, e.Software = service, limpetsite.SoftwareOf(service, "v1")
			all[e.ID] = e
		}
	}
	add("canary", canary)
	add("stable", stable)
	return all
}

// Guards against a split by which items wait, follow no weights, or tear groups apart.
func TestSplit(t *testing.T) {
	split := rules
	split.Route, split.Shares = "r", map[string]float64{"canary": 0.25, "stable": 0.75}
	countByService := func(runs []*limpetbatch.Run) map[string]int {
		n := map[string]int{}
		for _, r := range runs {
			n[r.Server.Service]++
		}
		return n
	}
	singles := func(n int) (groups [][]int) {
		for range n {
			groups = append(groups, []int{100})
		}
		return groups
	}
	Convey("items are divided by the weights while both services have room", t, func() {
		v := splitEngines(20, 20).view()
		s := scheduler(v)
		s.AddJob(job("j", 16, singles(16)...), split, nil, epoch)
		So(countByService(s.Dispatch(v, epoch)), ShouldResemble, map[string]int{"canary": 4, "stable": 12})
	})
	Convey("no item waits while one of the services has room", t, func() {
		v := splitEngines(10, 1).view()
		s := scheduler(v)
		s.AddJob(job("j", 16, singles(16)...), split, nil, epoch)
		So(countByService(s.Dispatch(v, epoch)), ShouldResemble, map[string]int{"canary": 10, "stable": 1})
	})
	Convey("a service that had no room gets its share later, and not all items", t, func() {
		v := splitEngines(0, 100).view()
		s := scheduler(v)
		s.AddJob(job("j", 100, singles(100)...), split, nil, epoch)
		So(countByService(s.Dispatch(v, epoch)), ShouldResemble, map[string]int{"stable": 100})
		v = splitEngines(100, 200).view()
		s.UpdateEngines(v, epoch)
		s.AddJob(job("k", 40, singles(40)...), split, nil, epoch)
		// 10 of 40 and what it is owed, which is bounded.
		So(countByService(s.Dispatch(v, epoch))["canary"], ShouldBeBetweenOrEqual, 10, 18)
	})
	Convey("items of a group stay together while the shares allow it", t, func() {
		v := splitEngines(20, 20).view()
		s := scheduler(v)
		s.AddJob(job("j", 4, []int{9, 9, 9, 9}, []int{8, 8, 8, 8}, []int{7, 7, 7, 7}, []int{6, 6, 6, 6}), split, nil, epoch)
		services := map[string]map[string]bool{}
		runs := s.Dispatch(v, epoch)
		for _, r := range runs {
			if services[r.Entry.Item.Group] == nil {
				services[r.Entry.Item.Group] = map[string]bool{}
			}
			services[r.Entry.Item.Group][r.Server.Service] = true
		}
		So(countByService(runs), ShouldResemble, map[string]int{"canary": 4, "stable": 12})
		for _, at := range services {
			So(len(at), ShouldEqual, 1)
		}
	})
	Convey("a service without weight gets none", t, func() {
		v := splitEngines(5, 5).view()
		s := scheduler(v)
		all := rules
		all.Shares = map[string]float64{"stable": 1}
		s.AddJob(job("j", 10, singles(10)...), all, nil, epoch)
		So(countByService(s.Dispatch(v, epoch)), ShouldResemble, map[string]int{"stable": 5})
	})
}
