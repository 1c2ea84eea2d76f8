package limpetbatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
)

// engines holds engines by ID.
type engines map[string]*limpetsite.Server

// engine returns an engine of the model m.
func engine(id, version string, slots int) *limpetsite.Server {
	return &limpetsite.Server{
		ID: id, Service: "llm", Address: id, Zone: "a", Slots: slots, Models: map[string]int{"m": 1}, Incarnation: 1, Software: limpetsite.SoftwareOf("llm", version),
	}
}

// versioned returns engines of given software versions by ID.
func versioned(slots int, versions map[string]string) engines {
	all := engines{}
	for id, version := range versions {
		all[id] = engine(id, version, slots)
	}
	return all
}

func (e engines) view() *limpetsite.Snapshot {
	state, revision := limpetsite.NewState(), uint64(0)
	for id, server := range e {
		revision++
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Server: server}, epoch)
	}
	return state.Snapshot()
}

// begin starts the only item of a job and gives its text some events.
func begin(s *limpetbatch.Scheduler, v *limpetsite.Snapshot, events int) *limpetbatch.Run {
	s.AddJob(job("j", 1, []int{1000}), rules, nil, epoch)
	r := s.Dispatch(v, epoch)[0]
	s.HandleHeader(r, 1, epoch)
	feed(s, r, 1, events, 1, epoch)
	return r
}

// Guards against texts with events of two software versions: an item that was
// interrupted went on at any engine.
func TestTextsStayWithOneSoftware(t *testing.T) {
	// The engine that begins the text is the only one at first.
	for name, interrupt := range map[string]func(*limpetbatch.Scheduler, *limpetsite.Snapshot, *limpetbatch.Run, time.Time){
		"a broken stream": func(s *limpetbatch.Scheduler, _ *limpetsite.Snapshot, r *limpetbatch.Run, now time.Time) {
			s.HandleEnd(r, limpetbatch.Interrupted, now)
		},
		"an executor that left": func(s *limpetbatch.Scheduler, _ *limpetsite.Snapshot, r *limpetbatch.Run, now time.Time) {
			s.Requeue(r, now)
		},
		"a silent engine": func(s *limpetbatch.Scheduler, v *limpetsite.Snapshot, _ *limpetbatch.Run, now time.Time) {
			s.DetachOverdue(v, now.Add(2*time.Second))
		},
		"a change of weights": func(s *limpetbatch.Scheduler, v *limpetsite.Snapshot, r *limpetbatch.Run, now time.Time) {
			s.SetLoading(r.Server.ID, "m", now)
			s.Evacuate(r.Server.ID, "m", v, now)
		},
	} {
		Convey("a text goes on only at an engine of the software that began it, after "+name, t, func() {
			all := versioned(4, map[string]string{"old-1": "v1"})
			s := scheduler(all.view())
			r := begin(s, all.view(), 8)
			for n := range 6 {
				id := fmt.Sprintf("new-%d", n)
				all[id] = engine(id, "v2", 4)
			}
			all["old-2"] = engine("old-2", "v1", 4)
			v := all.view()
			s.UpdateEngines(v, epoch)
			interrupt(s, v, r, at(time.Second))
			runs := s.Dispatch(v, at(time.Second+50*time.Millisecond))
			if len(runs) == 0 {
				runs = s.Dispatch(v, at(3*time.Second))
			}
			So(len(runs), ShouldEqual, 1)
			So(runs[0].Server.Software, ShouldEqual, limpetsite.SoftwareOf("llm", "v1"))
			So(runs[0].After, ShouldEqual, 8)
		})
	}
	Convey("drafts and runs of another VM bring the software that began their texts", t, func() {
		all := versioned(4, map[string]string{"old": "v1", "new-1": "v2", "new-2": "v2"})
		for name, take := range map[string]func(*limpetbatch.Scheduler, *limpetbatch.Job, limpetjob.Draft){
			"draft": func(s *limpetbatch.Scheduler, j *limpetbatch.Job, d limpetjob.Draft) {
				s.Resume(j, []limpetjob.Draft{d}, epoch)
			},
			"attach": func(s *limpetbatch.Scheduler, j *limpetbatch.Job, d limpetjob.Draft) {
				s.Attach(j, d, "gone", true, epoch)
			},
		} {
			first := scheduler(all.view())
			r := begin(first, versioned(4, map[string]string{"old": "v1"}).view(), 8)
			next := scheduler(all.view())
			take(next, next.AddJob(job("j", 1, []int{1000}), rules, nil, epoch), r.Entry.Draft())
			runs := next.Dispatch(all.view(), at(time.Second))
			So(len(runs), ShouldEqual, 1)
			So(name+" "+runs[0].Server.ID, ShouldEqual, name+" old")
			So(runs[0].After, ShouldEqual, 8)
		}
	})
	Convey("a draft that names no software, as earlier releases wrote them, is not continued", t, func() {
		all := versioned(4, map[string]string{"old": "v1", "new": "v2"})
		s := scheduler(all.view())
		s.Resume(s.AddJob(job("j", 1, []int{1000}), rules, nil, epoch), []limpetjob.Draft{draft("j-g0-0", 8, 1)}, epoch)
		runs := s.Dispatch(all.view(), epoch)
		So(len(runs), ShouldEqual, 1)
		So(runs[0].After, ShouldEqual, 0)
	})
	Convey("the text of an ended job is continued by a later one at the same software", t, func() {
		all := versioned(4, map[string]string{"old": "v1"})
		s := scheduler(all.view())
		begin(s, all.view(), 8)
		s.RemoveJob("j", epoch)
		all["new-1"], all["new-2"] = engine("new-1", "v2", 4), engine("new-2", "v2", 4)
		s.UpdateEngines(all.view(), at(time.Second))
		later := job("later", 1, []int{1000})
		later.Items[0].ID = "j-g0-0"
		s.AddJob(later, rules, nil, at(time.Second))
		runs := s.Dispatch(all.view(), at(time.Second))
		So(runs[0].Server.ID, ShouldEqual, "old")
		So(runs[0].After, ShouldEqual, 8)
	})
}

func TestTextsBeginAgain(t *testing.T) {
	Convey("a text of whose software no engine is left begins again at once", t, func() {
		all := versioned(4, map[string]string{"old": "v1"})
		s := scheduler(all.view())
		r := begin(s, all.view(), 8)
		all = versioned(4, map[string]string{"new": "v2"})
		s.UpdateEngines(all.view(), at(time.Second))
		s.HandleEnd(r, limpetbatch.Interrupted, at(time.Second))
		runs := s.Dispatch(all.view(), at(time.Second))
		So(len(runs), ShouldEqual, 1)
		So(runs[0].After, ShouldEqual, 0)
		So(runs[0].Dropped, ShouldEqual, 8)
		finish(s, runs[0], 5, 1, at(2*time.Second))
		So(commitAll(s)[0].Text, ShouldEqual, "piece 1\npiece 2\npiece 3\npiece 4\npiece 5")
	})
	Convey("it keeps its text while no other engine could begin it", t, func() {
		all := versioned(4, map[string]string{"old": "v1"})
		s := scheduler(all.view())
		r := begin(s, all.view(), 8)
		s.HandleEnd(r, limpetbatch.Interrupted, at(time.Second))
		none := engines{}.view()
		s.UpdateEngines(none, epoch)
		So(s.Dispatch(none, at(2*time.Second)), ShouldBeEmpty)
		s.UpdateEngines(all.view(), at(time.Second))
		So(s.Dispatch(all.view(), at(10*time.Second))[0].After, ShouldEqual, 8)
	})
	Convey("it waits for a full engine of its software as long as generating it again would take", t, func() {
		all := versioned(1, map[string]string{"old": "v1"})
		s := scheduler(all.view())
		r := begin(s, all.view(), 20)
		all["new"] = engine("new", "v2", 1)
		v := all.view()
		s.UpdateEngines(v, epoch)
		other := draft("other-g0-0", 1, 1)
		other.Software = limpetsite.SoftwareOf("llm", "v1")
		occupying, _ := s.Attach(s.AddJob(job("other", 1, []int{100}), rules, nil, epoch), other, "old", true, epoch)
		So(occupying, ShouldNotBeNil)
		s.Requeue(r, at(100*time.Millisecond))
		So(s.Dispatch(v, at(500*time.Millisecond)), ShouldBeEmpty)
		runs := s.Dispatch(v, at(900*time.Millisecond))
		So(len(runs), ShouldEqual, 1)
		So(runs[0].Server.ID, ShouldEqual, "new")
		So(runs[0].After, ShouldEqual, 0)
	})
}

// Guards against a text that goes on at an engine that was started again with
// other software under its identifier after it had been chosen.
func TestEngineStartedAgainWithOtherSoftware(t *testing.T) {
	born := at(500 * time.Millisecond)
	restarted := engine("e", "v2", 4)
	restarted.Incarnation = born.UnixMilli()
	Convey("events that the new software may have sent are dropped, and the run is canceled", t, func() {
		all := versioned(4, map[string]string{"e": "v1"})
		s := scheduler(all.view())
		s.AddJob(job("j", 1, []int{1000}), rules, nil, epoch)
		r := s.Dispatch(all.view(), epoch)[0]
		s.HandleHeader(r, 1, at(700*time.Millisecond))
		feed(s, r, 1, 3, 1, at(800*time.Millisecond))
		all = engines{"e": restarted, "other": engine("other", "v1", 4)}
		So(s.UpdateEngines(all.view(), at(time.Second)), ShouldResemble, []*limpetbatch.Run{r})
		So(s.Dispatch(all.view(), at(time.Second))[0].After, ShouldEqual, 0)
	})
	Convey("events from before the start stay", t, func() {
		all := versioned(4, map[string]string{"e": "v1"})
		s := scheduler(all.view())
		r := begin(s, all.view(), 8)
		later := *restarted
		later.Incarnation = at(5 * time.Second).UnixMilli()
		all = engines{"e": &later, "other": engine("other", "v1", 4)}
		So(s.UpdateEngines(all.view(), at(time.Second)), ShouldBeEmpty)
		s.HandleEnd(r, limpetbatch.Interrupted, at(6*time.Second))
		again := s.Dispatch(all.view(), at(7*time.Second))[0]
		So(again.After, ShouldEqual, 8)
		So(again.Server.ID, ShouldEqual, "other")
	})
}

func TestNewTextsBeginWhereTheyCanGoOn(t *testing.T) {
	Convey("new items avoid software of which one engine is left or that is being replaced, while others have room", t, func() {
		for name, all := range map[string]engines{
			"one left":       versioned(8, map[string]string{"a-last": "v1", "b": "v2", "c": "v2", "d": "v2"}),
			"being replaced": versioned(8, map[string]string{"a": "v1", "a2": "v1", "a3": "v1", "b": "v2", "c": "v2", "d": "v2"}),
		} {
			if name == "being replaced" {
				for _, id := range []string{"a3"} {
					all[id].Draining = true
				}
			}
			v := all.view()
			s := scheduler(v)
			s.AddJob(job("j", 3, []int{100}, []int{100}, []int{100}), rules, nil, epoch)
			for _, r := range s.Dispatch(v, epoch) {
				So(name+" "+string(r.Server.Software), ShouldEqual, name+" llm/v2")
			}
		}
	})
}
