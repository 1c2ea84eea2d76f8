package limpetbatch_test

import (
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
		l := scheduler(v)
		l.AddJob(job("j", 2, []int{900, 100}, []int{200, 300}, []int{400, 50}), rules, nil, epoch)
		So(itemIDs(l.Dispatch(v, epoch)), ShouldResemble, []string{"j-g2-0", "j-g1-1", "j-g1-0", "j-g2-1"})
	})
	Convey("the job with the earlier deadline goes first", t, func() {
		v := view(1, map[string]int{"e1": 1})
		l := scheduler(v)
		later := job("a", 1, []int{500})
		later.Arrived = at(time.Second)
		l.AddJob(later, rules, nil, epoch)
		l.AddJob(job("b", 1, []int{100}), rules, nil, epoch)
		So(itemIDs(l.Dispatch(v, epoch)), ShouldResemble, []string{"b-g0-0"})
	})
	Convey("a resubmitted group is required however long it is", t, func() {
		v := view(2, map[string]int{"e1": 1})
		l := scheduler(v)
		first := job("j", 1, []int{100})
		l.AddJob(first, rules, nil, epoch)
		run := l.Dispatch(v, epoch)[0]
		l.HandleHeader(run, 1, epoch)
		feed(l, run, 1, 3, 1, epoch)
		l.RemoveJob("j", at(time.Second))
		second := job("k", 1, []int{5000}, []int{10})
		second.Items[0] = first.Items[0]
		second.Items[0].ExpectedTokens = 5000
		l.AddJob(second, rules, nil, at(time.Second))
		starts := l.Dispatch(v, at(time.Second))
		So(itemIDs(starts)[0], ShouldEqual, "j-g0-0")
		So(starts[0].After, ShouldEqual, 3)
	})
}

func TestEligibleEngines(t *testing.T) {
	Convey("an engine with an older weight version than the job accepts gets no run", t, func() {
		v := view(4, map[string]int{"old": 1, "new": 2})
		l := scheduler(v)
		j := job("j", 1, []int{1}, []int{1}, []int{1})
		j.MinVersion = 2
		l.AddJob(j, rules, nil, epoch)
		starts := l.Dispatch(v, epoch)
		So(len(starts), ShouldEqual, 3)
		for _, r := range starts {
			So(r.Server.ID, ShouldEqual, "new")
		}
	})
	Convey("an engine gets no run while its weights are changing", t, func() {
		v := view(4, map[string]int{"e1": 1})
		l := scheduler(v)
		l.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		l.SetLoading("e1", "m", epoch)
		So(l.Dispatch(v, epoch), ShouldBeEmpty)
		l.SetLoading("e1", "", at(time.Second))
		So(len(l.Dispatch(v, at(time.Second))), ShouldEqual, 1)
	})
	Convey("an engine gets no more runs than it has slots", t, func() {
		v := view(2, map[string]int{"e1": 1, "e2": 1})
		l := scheduler(v)
		l.AddJob(job("j", 6, []int{1}, []int{1}, []int{1}, []int{1}, []int{1}, []int{1}), rules, nil, epoch)
		So(len(l.Dispatch(v, epoch)), ShouldEqual, 4)
		So(l.Dispatch(v, epoch), ShouldBeEmpty)
	})
}

func TestWeightVersions(t *testing.T) {
	start := func(min int, onPolicy bool) (*limpetbatch.Scheduler, *limpetbatch.Run) {
		v := view(4, map[string]int{"e1": 5})
		l := scheduler(v)
		j := job("j", 1, []int{100})
		j.MinVersion = min
		r := rules
		r.OnPolicy = onPolicy
		l.AddJob(j, r, nil, epoch)
		return l, l.Dispatch(v, epoch)[0]
	}
	Convey("a result names all weight versions that generated its text", t, func() {
		l, r := start(4, false)
		l.HandleHeader(r, 4, epoch)
		feed(l, r, 1, 2, 4, epoch)
		l.HandleEvent(r, limpetupstream.Event{ID: 3, Data: "piece 3", Version: 5}, 5, epoch)
		l.HandleEnd(r, limpetbatch.Complete, epoch)
		results := commitAll(l)
		So(results[0].Versions, ShouldResemble, []int{4, 5})
		So(results[0].Text, ShouldEqual, "piece 1\npiece 2\npiece 3")
	})
	Convey("a run under a version older than the job accepts is rejected", t, func() {
		l, r := start(5, false)
		So(l.HandleHeader(r, 4, epoch), ShouldBeFalse)
		So(commitAll(l), ShouldBeEmpty)
	})
	Convey("an on-policy text starts again when the weight version changes", t, func() {
		l, r := start(4, true)
		l.HandleHeader(r, 4, epoch)
		feed(l, r, 1, 2, 4, epoch)
		So(l.HandleEvent(r, limpetupstream.Event{ID: 3, Version: 5}, 5, epoch), ShouldBeFalse)
		again := l.Dispatch(view(4, map[string]int{"e1": 5}), at(time.Second))
		So(again[0].After, ShouldEqual, 0)
	})
	Convey("a missing or repeated event ends the run, and the next run continues the text", t, func() {
		for _, id := range []int{2, 4} {
			l, r := start(4, false)
			l.HandleHeader(r, 5, epoch)
			feed(l, r, 1, 2, 5, epoch)
			So(l.HandleEvent(r, limpetupstream.Event{ID: id, Data: "x"}, 5, epoch), ShouldBeFalse)
			So(l.HandleEvent(r, limpetupstream.Event{ID: 3, Data: "x"}, 5, epoch), ShouldBeFalse)
			So(l.Dispatch(view(4, map[string]int{"e1": 5}), at(time.Second))[0].After, ShouldEqual, 2)
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
			l := scheduler(v)
			l.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
			now := epoch
			for n := range c.runs {
				now = now.Add(time.Second)
				starts := l.Dispatch(v, now)
				So(len(starts), ShouldEqual, 1)
				So(l.HandleEnd(starts[0], c.ending, now), ShouldEqual, n == c.runs-1)
			}
			So(commitAll(l)[0].State, ShouldEqual, c.state)
		})
	}
	Convey("rejected, interrupted and misdirected runs do not settle an item, and the next run uses another engine", t, func() {
		l := scheduler(v)
		l.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		now := epoch
		for _, ending := range []limpetbatch.Ending{limpetbatch.Rejected, limpetbatch.Interrupted, limpetbatch.Misdirected} {
			first := l.Dispatch(v, now)[0]
			So(l.HandleEnd(first, ending, now), ShouldBeFalse)
			now = now.Add(50 * time.Millisecond)
			second := l.Dispatch(v, now)[0]
			So(second.Server.ID, ShouldNotEqual, first.Server.ID)
			l.HandleEnd(second, limpetbatch.Rejected, now)
			now = now.Add(6 * time.Second)
		}
		So(commitAll(l), ShouldBeEmpty)
	})
	Convey("an item whose runs are interrupted one after the other is delayed", t, func() {
		l := scheduler(v)
		l.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		now := epoch
		for range 3 {
			starts := l.Dispatch(v, now)
			So(len(starts), ShouldEqual, 1)
			l.HandleEnd(starts[0], limpetbatch.Interrupted, now)
			now = now.Add(time.Second)
		}
		So(l.Dispatch(v, now), ShouldBeEmpty)
	})
	Convey("an item is given up when its ItemTTL is over, and not before", t, func() {
		l := scheduler(v)
		l.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		given, _ := l.ExpireItems(at(40 * time.Second))
		So(given, ShouldBeEmpty)
		given, _ = l.ExpireItems(at(41 * time.Second))
		So(len(given), ShouldEqual, 1)
		So(commitAll(l)[0].State, ShouldEqual, limpetjob.Errored)
	})
}

func TestRewardCalls(t *testing.T) {
	scored := func() (*limpetbatch.Scheduler, limpetbatch.RewardCall) {
		v := view(4, map[string]int{"e1": 1})
		l := scheduler(v)
		j := job("j", 1, []int{1})
		j.Items[0].Scorer = &limpetjob.Scorer{ID: "s", Host: "h", Path: "/s"}
		l.AddJob(j, rules, nil, epoch)
		finish(l, l.Dispatch(v, epoch)[0], 2, 1, epoch)
		return l, l.StartRewardCalls(epoch)[0]
	}
	Convey("a result has the signature of its reward call", t, func() {
		l, r := scored()
		So(commitAll(l), ShouldBeEmpty)
		l.HandleScore(r.Entry, "signature", 0, 4, epoch)
		So(commitAll(l)[0].Score, ShouldEqual, "signature")
	})
	Convey("an item is errored when its reward calls have failed as often as allowed", t, func() {
		l, r := scored()
		l.HandleScore(r.Entry, "", 3, 4, epoch)
		So(commitAll(l), ShouldBeEmpty)
		again := l.StartRewardCalls(at(time.Second))
		So(len(again), ShouldEqual, 1)
		l.HandleScore(again[0].Entry, "", 1, 4, at(time.Second))
		So(commitAll(l)[0].State, ShouldEqual, limpetjob.Errored)
	})
	Convey("a reward call without a response is repeated and does not count as a failure", t, func() {
		l, r := scored()
		for n := range 20 {
			l.HandleScore(r.Entry, "", 0, 4, at(time.Duration(n)*time.Second))
			r = l.StartRewardCalls(at(time.Duration(n+1) * time.Second))[0]
		}
		So(commitAll(l), ShouldBeEmpty)
	})
}

func TestTakeover(t *testing.T) {
	v := view(4, map[string]int{"e1": 3})
	Convey("items with committed results are not generated again", t, func() {
		l := scheduler(v)
		j := l.AddJob(job("j", 2, []int{1}, []int{1}), rules, []limpetjob.Result{{ID: "j-g1-0", State: limpetjob.Completed}}, epoch)
		So(itemIDs(l.Dispatch(v, epoch)), ShouldResemble, []string{"j-g0-0"})
		So(j.Committed(), ShouldEqual, 1)
	})
	Convey("a draft is continued only if the job accepts its versions", t, func() {
		for min, after := range map[int]int{2: 20, 3: 0} {
			l := scheduler(v)
			spec := job("j", 1, []int{1})
			spec.MinVersion = min
			j := l.AddJob(spec, rules, nil, epoch)
			l.Resume(j, []limpetjob.Draft{{Item: "j-g0-0", Pieces: make([]string, 20), LastEvent: 20, Versions: []int{2}, Version: 2}}, epoch)
			So(l.Dispatch(v, epoch)[0].After, ShouldEqual, after)
		}
	})
	Convey("long unfinished texts are returned as drafts, and again only after they have grown", t, func() {
		l := scheduler(v)
		l.AddJob(job("j", 1, []int{1, 1}), rules, nil, epoch)
		starts := l.Dispatch(v, epoch)
		l.HandleHeader(starts[0], 3, epoch)
		feed(l, starts[0], 1, 20, 3, epoch)
		l.HandleHeader(starts[1], 3, epoch)
		feed(l, starts[1], 1, 2, 3, epoch)
		sets := l.Drafts(8)
		So(len(sets), ShouldEqual, 1)
		So(len(sets[0].Drafts), ShouldEqual, 1)
		So(sets[0].Drafts[0].LastEvent, ShouldEqual, 20)
		So(l.Drafts(8), ShouldBeEmpty)
	})
	Convey("results that another VM committed detach the runs of their items", t, func() {
		l := scheduler(v)
		j := l.AddJob(job("j", 1, []int{1}), rules, nil, epoch)
		run := l.Dispatch(v, epoch)[0]
		detached := l.Reconcile(j, []limpetjob.Result{{ID: "j-g0-0", State: limpetjob.Completed}})
		So(detached, ShouldResemble, []*limpetbatch.Run{run})
		So(l.HandleEnd(run, limpetbatch.Complete, epoch), ShouldBeFalse)
		So(commitAll(l), ShouldBeEmpty)
	})
	Convey("a chunk that was not written is returned again, with the results settled since", t, func() {
		l := scheduler(v)
		j := l.AddJob(job("j", 1, []int{1, 1}), rules, nil, epoch)
		starts := l.Dispatch(v, epoch)
		finish(l, starts[0], 1, 3, epoch)
		So(len(l.PendingChunks(8)), ShouldEqual, 1)
		So(l.PendingChunks(8), ShouldBeEmpty)
		l.MarkStoreUnknown(j)
		l.Reconcile(j, nil)
		finish(l, starts[1], 1, 3, epoch)
		So(len(l.PendingChunks(8)[0].Chunk.Results), ShouldEqual, 2)
	})
	Convey("a text of an ended job is reused only if the new job accepts its versions", t, func() {
		for min, complete := range map[int]bool{3: true, 4: false} {
			l := scheduler(v)
			l.AddJob(job("j", 1, []int{1, 1}), rules, nil, epoch)
			starts := l.Dispatch(v, epoch)
			finish(l, starts[0], 2, 3, epoch)
			l.RemoveJob("j", epoch)
			again := job("j", 1, []int{1, 1})
			again.ID, again.MinVersion = "k", min
			l.AddJob(again, rules, nil, epoch)
			So(len(commitAll(l)) == 1, ShouldEqual, complete)
		}
	})
}
