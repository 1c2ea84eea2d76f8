package limpetbatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

func TestItemOrder(t *testing.T) {
	Convey("items of required groups go first, the longest of them before the others", t, func() {
		v := view(4, map[string]int{"e1": 1})
		s := scheduler(v)
		s.AddJob(job("j", 2, []int{900, 100}, []int{200, 300}, []int{400, 50}), rules, nil, epoch)
		So(itemIDs(s.Dispatch(v, epoch)), ShouldResemble, []string{"j-g2-0", "j-g1-1", "j-g1-0", "j-g2-1"})
	})
	Convey("the job with the earlier deadline goes first", t, func() {
		v := view(1, map[string]int{"e1": 1})
		s := scheduler(v)
		later := job("a", 1, []int{500})
		later.Arrived = at(time.Second)
		s.AddJob(later, rules, nil, epoch)
		s.AddJob(job("b", 1, []int{100}), rules, nil, epoch)
		So(itemIDs(s.Dispatch(v, epoch)), ShouldResemble, []string{"b-g0-0"})
	})
	Convey("a resubmitted group is required however long it is", t, func() {
		v := view(2, map[string]int{"e1": 1})
		s := scheduler(v)
		first := job("j", 1, []int{100})
		s.AddJob(first, rules, nil, epoch)
		run := s.Dispatch(v, epoch)[0]
		s.HandleHeader(run, 1, epoch)
		feed(s, run, 1, 3, 1, epoch)
		s.RemoveJob("j", at(time.Second))
		second := job("k", 1, []int{5000}, []int{10})
		second.Items[0] = first.Items[0]
		second.Items[0].ExpectedTokens = 5000
		s.AddJob(second, rules, nil, at(time.Second))
		starts := s.Dispatch(v, at(time.Second))
		So(itemIDs(starts)[0], ShouldEqual, "j-g0-0")
		So(starts[0].After, ShouldEqual, 3)
	})
}

func TestEligibleEngines(t *testing.T) {
	Convey("an engine with an older weight version than the job accepts gets no run", t, func() {
		v := view(4, map[string]int{"old": 1, "new": 2})
		s := scheduler(v)
		j := job("j", 1, []int{1}, []int{1}, []int{1})
		j.MinVersion = 2
		s.AddJob(j, rules, nil, epoch)
		starts := s.Dispatch(v, epoch)
		So(len(starts), ShouldEqual, 3)
		for _, r := range starts {
			So(r.Server.ID, ShouldEqual, "new")
		}
	})
	Convey("an engine gets no run while its weights are changing", t, func() {
		v := view(4, map[string]int{"e1": 1})
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		s.SetLoading("e1", "m", epoch)
		So(s.Dispatch(v, epoch), ShouldBeEmpty)
		s.SetLoading("e1", "", at(time.Second))
		So(len(s.Dispatch(v, at(time.Second))), ShouldEqual, 1)
	})
	Convey("an engine gets no more runs than it has slots", t, func() {
		v := view(2, map[string]int{"e1": 1, "e2": 1})
		s := scheduler(v)
		s.AddJob(job("j", 6, []int{1}, []int{1}, []int{1}, []int{1}, []int{1}, []int{1}), rules, nil, epoch)
		So(len(s.Dispatch(v, epoch)), ShouldEqual, 4)
		So(s.Dispatch(v, epoch), ShouldBeEmpty)
	})
}

func TestWeightVersions(t *testing.T) {
	start := func(min int, onPolicy bool) (*limpetbatch.Scheduler, *limpetbatch.Run) {
		v := view(4, map[string]int{"e1": 5})
		s := scheduler(v)
		j := job("j", 1, []int{100})
		j.MinVersion = min
		r := rules
		r.OnPolicy = onPolicy
		s.AddJob(j, r, nil, epoch)
		return s, s.Dispatch(v, epoch)[0]
	}
	Convey("a result names all weight versions that generated its text", t, func() {
		s, r := start(4, false)
		s.HandleHeader(r, 4, epoch)
		feed(s, r, 1, 2, 4, epoch)
		s.HandleEvent(r, limpetupstream.Event{ID: 3, Data: "piece 3", Version: 5}, 5, epoch)
		s.HandleEnd(r, limpetbatch.Complete, epoch)
		results := commitAll(s)
		So(results[0].Versions, ShouldResemble, []int{4, 5})
		So(results[0].Text, ShouldEqual, "piece 1\npiece 2\npiece 3")
	})
	Convey("a run under a version older than the job accepts is rejected", t, func() {
		s, r := start(5, false)
		So(s.HandleHeader(r, 4, epoch), ShouldBeFalse)
		So(commitAll(s), ShouldBeEmpty)
	})
	Convey("an on-policy text starts again when the weight version changes", t, func() {
		s, r := start(4, true)
		s.HandleHeader(r, 4, epoch)
		feed(s, r, 1, 2, 4, epoch)
		So(s.HandleEvent(r, limpetupstream.Event{ID: 3, Version: 5}, 5, epoch), ShouldBeFalse)
		again := s.Dispatch(view(4, map[string]int{"e1": 5}), at(time.Second))
		So(again[0].After, ShouldEqual, 0)
	})
	Convey("a missing or repeated event ends the run, and the next run continues the text", t, func() {
		for _, id := range []int{2, 4} {
			s, r := start(4, false)
			s.HandleHeader(r, 5, epoch)
			feed(s, r, 1, 2, 5, epoch)
			So(s.HandleEvent(r, limpetupstream.Event{ID: id, Data: "x"}, 5, epoch), ShouldBeFalse)
			So(s.HandleEvent(r, limpetupstream.Event{ID: 3, Data: "x"}, 5, epoch), ShouldBeFalse)
			So(s.Dispatch(view(4, map[string]int{"e1": 5}), at(time.Second))[0].After, ShouldEqual, 2)
		}
	})
}

func TestFailures(t *testing.T) {
	v := view(4, map[string]int{"e1": 1, "e2": 1})
	for _, c := range []struct {
		name   string
		ending limpetbatch.Ending
		runs   int
		state  limpetjob.State
	}{
		{"as many responses with status 500 as allowed", limpetbatch.Failed, 3, limpetjob.Errored},
		{"one response with status 422", limpetbatch.Unprocessable, 1, limpetjob.Errored},
	} {
		Convey(c.name+" settle an item as errored", t, func() {
			s := scheduler(v)
			s.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
			now := epoch
			for n := range c.runs {
				now = now.Add(time.Second)
				starts := s.Dispatch(v, now)
				So(len(starts), ShouldEqual, 1)
				So(s.HandleEnd(starts[0], c.ending, now), ShouldEqual, n == c.runs-1)
			}
			So(commitAll(s)[0].State, ShouldEqual, c.state)
		})
	}
	Convey("rejected, interrupted and misdirected runs do not settle an item, and the next run uses another engine", t, func() {
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		now := epoch
		for _, ending := range []limpetbatch.Ending{limpetbatch.Rejected, limpetbatch.Interrupted, limpetbatch.Misdirected} {
			first := s.Dispatch(v, now)[0]
			So(s.HandleEnd(first, ending, now), ShouldBeFalse)
			now = now.Add(50 * time.Millisecond)
			second := s.Dispatch(v, now)[0]
			So(second.Server.ID, ShouldNotEqual, first.Server.ID)
			s.HandleEnd(second, limpetbatch.Rejected, now)
			now = now.Add(6 * time.Second)
		}
		So(commitAll(s), ShouldBeEmpty)
	})
	Convey("an item whose runs are interrupted one after the other is delayed, but never for a second or longer", t, func() {
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		now := epoch
		for n := range 12 {
			starts := s.Dispatch(v, now)
			So(len(starts), ShouldEqual, 1)
			s.HandleEnd(starts[0], limpetbatch.Interrupted, now)
			if n >= 2 {
				So(s.Dispatch(v, now.Add(50*time.Millisecond)), ShouldBeEmpty)
			}
			// Both engines register as new incarnations, so that only the item
			// itself can be what waits.
			v = view(4, map[string]int{fmt.Sprintf("e%d", 2*n+3): 1, fmt.Sprintf("e%d", 2*n+4): 1})
			s.UpdateEngines(v, epoch)
			now = now.Add(time.Second)
		}
	})
	Convey("an item is given up when its ItemTTL is over, and not before", t, func() {
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		expired, _ := s.ExpireItems(at(40 * time.Second))
		So(expired, ShouldBeEmpty)
		expired, _ = s.ExpireItems(at(41 * time.Second))
		So(len(expired), ShouldEqual, 1)
		So(commitAll(s)[0].State, ShouldEqual, limpetjob.Errored)
	})
}

func TestRewardCalls(t *testing.T) {
	scored := func() (*limpetbatch.Scheduler, limpetbatch.RewardCall) {
		v := view(4, map[string]int{"e1": 1})
		s := scheduler(v)
		j := job("j", 1, []int{1})
		j.Items[0].Scorer = &limpetjob.Scorer{ID: "s", Host: "h", Path: "/s"}
		s.AddJob(j, rules, nil, epoch)
		finish(s, s.Dispatch(v, epoch)[0], 2, 1, epoch)
		return s, s.StartRewardCalls(epoch)[0]
	}
	Convey("a result has the signature of its reward call", t, func() {
		s, r := scored()
		So(commitAll(s), ShouldBeEmpty)
		s.HandleScore(r.Entry, "signature", 0, 4, epoch)
		So(commitAll(s)[0].Score, ShouldEqual, "signature")
	})
	Convey("an item is errored when its reward calls have failed as often as allowed", t, func() {
		s, r := scored()
		s.HandleScore(r.Entry, "", 3, 4, epoch)
		So(commitAll(s), ShouldBeEmpty)
		again := s.StartRewardCalls(at(time.Second))
		So(len(again), ShouldEqual, 1)
		s.HandleScore(again[0].Entry, "", 1, 4, at(time.Second))
		So(commitAll(s)[0].State, ShouldEqual, limpetjob.Errored)
	})
	Convey("a reward call without a response is repeated and does not count as a failure", t, func() {
		s, r := scored()
		for n := range 20 {
			s.HandleScore(r.Entry, "", 0, 4, at(time.Duration(n)*time.Second))
			r = s.StartRewardCalls(at(time.Duration(n+1) * time.Second))[0]
		}
		So(commitAll(s), ShouldBeEmpty)
	})
}

func TestTakeover(t *testing.T) {
	v := view(4, map[string]int{"e1": 3})
	Convey("items with committed results are not generated again", t, func() {
		s := scheduler(v)
		j := s.AddJob(job("j", 2, []int{1}, []int{1}), rules, []limpetjob.Result{{ID: "j-g1-0", State: limpetjob.Completed}}, epoch)
		So(itemIDs(s.Dispatch(v, epoch)), ShouldResemble, []string{"j-g0-0"})
		So(j.Committed(), ShouldEqual, 1)
	})
	Convey("a draft is continued only if the job accepts its versions", t, func() {
		for min, after := range map[int]int{2: 20, 3: 0} {
			s := scheduler(v)
			spec := job("j", 1, []int{1})
			spec.MinVersion = min
			j := s.AddJob(spec, rules, nil, epoch)
			s.Resume(j, []limpetjob.Draft{{Item: "j-g0-0", Pieces: make([]string, 20), LastEvent: 20, Versions: []int{2}, Version: 2}}, epoch)
			So(s.Dispatch(v, epoch)[0].After, ShouldEqual, after)
		}
	})
	Convey("long unfinished texts are returned as drafts, and again only after they have grown", t, func() {
		s := scheduler(v)
		s.AddJob(job("j", 1, []int{1, 1}), rules, nil, epoch)
		starts := s.Dispatch(v, epoch)
		s.HandleHeader(starts[0], 3, epoch)
		feed(s, starts[0], 1, 20, 3, epoch)
		s.HandleHeader(starts[1], 3, epoch)
		feed(s, starts[1], 1, 2, 3, epoch)
		sets := s.Drafts(8)
		So(len(sets), ShouldEqual, 1)
		So(len(sets[0].Drafts), ShouldEqual, 1)
		So(sets[0].Drafts[0].LastEvent, ShouldEqual, 20)
		So(s.Drafts(8), ShouldBeEmpty)
	})
	Convey("failures are kept with the drafts, whatever the length of the text", t, func() {
		// Guards against an item that each new director sends anew as often as
		// it may fail.
		now := epoch
		var drafts []limpetjob.Draft
		for director := range rules.MaxAttempts {
			s := scheduler(v)
			j := s.AddJob(job("j", 1, []int{1, 1}), rules, nil, epoch)
			s.Resume(j, drafts, now)
			now = now.Add(time.Second)
			starts := s.Dispatch(v, now)
			last := director == rules.MaxAttempts-1
			So(s.HandleEnd(starts[0], limpetbatch.Failed, now), ShouldEqual, last)
			if last {
				break
			}
			sets := s.Drafts(8)
			So(len(sets), ShouldEqual, 1)
			drafts = sets[0].Drafts
			So(drafts, ShouldResemble, []limpetjob.Draft{{Item: "j-g0-0", Failures: director + 1}})
		}
	})
	Convey("failed reward calls are kept with the drafts", t, func() {
		// Guards against an item whose reward call each new director makes anew as
		// often as it may fail.
		const allowed = 3
		var drafts []limpetjob.Draft
		for director := range allowed {
			s := scheduler(v)
			spec := job("j", 1, []int{1})
			spec.Items[0].Scorer = &limpetjob.Scorer{}
			j := s.AddJob(spec, rules, nil, epoch)
			s.Resume(j, drafts, epoch)
			if starts := s.Dispatch(v, epoch); len(starts) > 0 {
				finish(s, starts[0], 2, 3, epoch)
			}
			calls := s.StartRewardCalls(epoch)
			So(len(calls), ShouldEqual, 1)
			So(s.HandleScore(calls[0].Entry, "", 1, allowed, epoch), ShouldEqual, director == allowed-1)
			if sets := s.Drafts(8); len(sets) > 0 {
				drafts = sets[0].Drafts
			}
		}
	})
	Convey("results that another VM committed detach the runs of their items", t, func() {
		s := scheduler(v)
		j := s.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		run := s.Dispatch(v, epoch)[0]
		detached := s.Reconcile(j, []limpetjob.Result{{ID: "j-g0-0", State: limpetjob.Completed}})
		So(detached, ShouldResemble, []*limpetbatch.Run{run})
		So(s.HandleEnd(run, limpetbatch.Complete, epoch), ShouldBeFalse)
		So(commitAll(s), ShouldBeEmpty)
	})
	Convey("a chunk that was not written is returned again, with the results settled since", t, func() {
		s := scheduler(v)
		j := s.AddJob(job("j", 1, []int{1, 1}), rules, nil, epoch)
		starts := s.Dispatch(v, epoch)
		finish(s, starts[0], 1, 3, epoch)
		So(len(s.PendingChunks(8)), ShouldEqual, 1)
		So(s.PendingChunks(8), ShouldBeEmpty)
		s.MarkStoreUnknown(j)
		s.Reconcile(j, nil)
		finish(s, starts[1], 1, 3, epoch)
		So(len(s.PendingChunks(8)[0].Chunk.Results), ShouldEqual, 2)
	})
	Convey("a text of an ended job is reused only if the new job accepts its versions", t, func() {
		for min, complete := range map[int]bool{3: true, 4: false} {
			s := scheduler(v)
			s.AddJob(job("j", 1, []int{1, 1}), rules, nil, epoch)
			starts := s.Dispatch(v, epoch)
			finish(s, starts[0], 2, 3, epoch)
			s.RemoveJob("j", epoch)
			again := job("j", 1, []int{1, 1})
			again.ID, again.MinVersion = "k", min
			s.AddJob(again, rules, nil, epoch)
			So(len(commitAll(s)) == 1, ShouldEqual, complete)
		}
	})
}
