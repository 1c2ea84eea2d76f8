package limpetbatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetsite"
)

// twoSpeeds is a slow service of three engines and a fast one of six.
func twoSpeeds(slots int) engines {
	all := engines{}
	for service, count := range map[string]int{"slow": 3, "fast": 6} {
		for n := range count {
			e := engine(fmt.Sprint(service, n), "v1", slots)
			e.Service, e.Software = service, limpetsite.SoftwareOf(service, "v1")
			all[e.ID] = e
		}
	}
	return all
}

// addJobs adds a job of each service.
func addJobs(s *limpetbatch.Scheduler, items int) {
	for _, service := range []string{"slow", "fast"} {
		of := rules
		of.Route, of.Shares = service, map[string]float64{service: 1}
		sizes := make([][]int, items)
		for n := range sizes {
			sizes[n] = []int{6400}
		}
		s.AddJob(job(service, items, sizes...), of, nil, epoch)
	}
}

// generate lets each run have an event every so often, by the engine, for a time.
func generate(s *limpetbatch.Scheduler, runs []*limpetbatch.Run, intervals func(engine string) time.Duration, from, took time.Duration) {
	for now := from; now < from+took; now += 10 * time.Millisecond {
		for _, r := range runs {
			if interval := intervals(r.Server.ID); (now-from)%interval == 0 {
				feed(s, r, r.Entry.Events()+1, r.Entry.Events()+1, 1, at(now))
			}
		}
	}
}

// Guards against sound engines that are taken for ill, and get one run at a time, since
// those of another service are faster.
func TestEnginesAreComparedWithinTheirService(t *testing.T) {
	intervals := func(ill string) func(string) time.Duration {
		return func(id string) time.Duration {
			switch {
			case id == ill:
				return 330 * time.Millisecond
			case id[:4] == "slow":
				return 110 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
	}
	begin := func() (*limpetbatch.Scheduler, *limpetsite.Snapshot, []*limpetbatch.Run) {
		v := twoSpeeds(8).view()
		s := scheduler(v)
		addJobs(s, 60)
		runs := s.Dispatch(v, epoch)
		for _, r := range runs {
			s.HandleHeader(r, 1, epoch)
		}
		return s, v, runs
	}
	Convey("engines of a slow service take as many runs as they have slots, and keep them", t, func() {
		s, v, runs := begin()
		generate(s, runs, intervals(""), 0, 1500*time.Millisecond)
		So(s.DetachOverdue(v, at(1500*time.Millisecond)), ShouldBeEmpty)
		for _, r := range runs {
			if r.Server.Service == "slow" {
				s.HandleEnd(r, limpetbatch.Complete, at(1500*time.Millisecond))
			}
		}
		atSlow := 0
		for _, r := range s.Dispatch(v, at(1500*time.Millisecond)) {
			if r.Server.Service == "slow" {
				atSlow++
			}
		}
		So(atSlow, ShouldEqual, 24)
	})
	Convey("an engine that is ill is found in the slow service", t, func() {
		v := twoSpeeds(8).view()
		s := scheduler(v)
		addJobs(s, 12)
		runs := s.Dispatch(v, epoch)
		for _, r := range runs {
			s.HandleHeader(r, 1, epoch)
		}
		generate(s, runs, intervals("slow1"), 0, 1500*time.Millisecond)
		moved := s.DetachOverdue(v, at(1500*time.Millisecond))
		So(len(moved), ShouldEqual, 4)
		for _, r := range moved {
			So(r.Server.ID, ShouldEqual, "slow1")
		}
	})
	Convey("runs leave an ill engine although items of another service wait for slots", t, func() {
		v := twoSpeeds(8).view()
		s := scheduler(v)
		addJobs(s, 12)
		of := rules
		of.Route, of.Shares = "fast", map[string]float64{"fast": 1}
		sizes := make([][]int, 300)
		for n := range sizes {
			sizes[n] = []int{6400}
		}
		s.AddJob(job("more", 300, sizes...), of, nil, epoch)
		runs := s.Dispatch(v, epoch)
		for _, r := range runs {
			s.HandleHeader(r, 1, epoch)
		}
		generate(s, runs, intervals("slow1"), 0, 1500*time.Millisecond)
		So(len(s.DetachOverdue(v, at(1500*time.Millisecond))), ShouldEqual, 4)
	})
}
