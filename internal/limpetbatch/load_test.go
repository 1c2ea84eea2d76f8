package limpetbatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
)

// A fleet plays engines that produce events at their own pace.
type fleet struct {
	ledger *limpetbatch.Ledger
	view   *limpetsite.Snapshot
	// paces holds the time between events by engine.
	paces map[string]time.Duration
	// lengths holds the true number of events by item.
	lengths map[string]int
	next    map[*limpetbatch.Run]time.Time
	// strike is told after a second of each engine that makes a long text.
	strike func(id string)
	// later holds jobs that arrive during the play.
	later []*limpetjob.Job
	// crowding is what each neighbour adds to the time between events.
	crowding time.Duration
	// context is what each event of the texts at an engine adds to the time
	// between events there.
	context time.Duration
	// done holds the items that are listed.
	done map[string]bool
	// down engines are silent in a span of time.
	down map[string][2]time.Duration
}

const step = time.Millisecond

// play runs until all groups but one are whole, and returns when.
func (f *fleet) play(limit time.Duration) time.Duration {
	for passed := time.Duration(0); passed < limit; passed += step {
		now := at(passed)
		for len(f.later) > 0 && !f.later[0].Arrived.After(now) {
			f.ledger.Add(f.later[0], rules, nil, now)
			f.later = f.later[1:]
		}
		if passed == time.Second && f.strike != nil {
			f.strikeLong()
		}
		for _, r := range f.ledger.Overdue(f.view, now) {
			delete(f.next, r)
		}
		for _, r := range f.ledger.Dispatch(f.view, now) {
			f.ledger.Head(r, 1, now)
			f.next[r] = now.Add(f.paces[r.Server.ID])
		}
		for _, r := range f.underWay() {
			f.advance(r, f.next[r], passed)
		}
		for _, r := range listed(f.ledger) {
			f.done[r.ID] = true
		}
		if f.whole() {
			return passed
		}
	}
	return limit
}

// underWay returns the runs in an order that is the same in every play.
func (f *fleet) underWay() []*limpetbatch.Run {
	return slices.SortedFunc(maps.Keys(f.next), func(a, b *limpetbatch.Run) int {
		return cmp.Compare(a.Entry.Item.ID, b.Entry.Item.ID)
	})
}

func (f *fleet) advance(r *limpetbatch.Run, due time.Time, passed time.Duration) {
	now := at(passed)
	if span, ok := f.down[r.Server.ID]; ok && passed >= span[0] && passed < span[1] {
		return
	}
	if now.Before(due) {
		return
	}
	n := r.Entry.Events() + 1
	if !feed(f.ledger, r, n, n, 1, now) {
		delete(f.next, r)
		return
	}
	f.next[r] = now.Add(f.paceOf(r.Server.ID))
	if n >= f.lengths[r.Entry.Item.ID] {
		delete(f.next, r)
		f.ledger.Ended(r, limpetbatch.Whole, now)
	}
}

// paceOf returns the time between events at an engine, which each neighbour
// makes longer.
func (f *fleet) paceOf(id string) time.Duration {
	neighbours, read := -1, 0
	for r := range f.next {
		if r.Server.ID == id {
			neighbours++
			read += r.Entry.Events()
		}
	}
	return f.paces[id] + time.Duration(neighbours)*f.crowding + time.Duration(read)*f.context
}

func (f *fleet) strikeLong() {
	for r := range f.next {
		if f.lengths[r.Entry.Item.ID] >= longText {
			f.strike(r.Server.ID)
		}
	}
}

// whole reports whether all groups but one are.
func (f *fleet) whole() bool {
	n := 0
	for g := range groups {
		open := groupSize
		for i := range groupSize {
			if f.done[fmt.Sprintf("j-g%d-%d", g, i)] {
				open--
			}
		}
		if open == 0 {
			n++
		}
	}
	return n >= groups-1
}

const (
	groups    = 10
	groupSize = 4
	longText  = 150
	// due is the time in which the users want a step's results.
	due = 7500 * time.Millisecond
)

// newFleet returns five engines of eight places and a step whose texts are
// short but for one in twelve, which is as long as texts get.
func newFleet() *fleet { return newFleetWith(12, longText) }

// newFleetWith has one long text of so many events in so many.
func newFleetWith(every, long int) *fleet {
	versions := map[string]int{}
	f := &fleet{paces: map[string]time.Duration{}, lengths: map[string]int{}, next: map[*limpetbatch.Run]time.Time{}, done: map[string]bool{}, down: map[string][2]time.Duration{}}
	for n := range 5 {
		id := fmt.Sprintf("e%d", n)
		versions[id] = 1
		f.paces[id] = pace
	}
	var sizes [][]int
	for g := range groups {
		group := []int{}
		for n := range groupSize {
			events := 18 + 3*((g+n)%5)
			if (g*groupSize+n)%every == 5 {
				events = long
			}
			f.lengths[fmt.Sprintf("j-g%d-%d", g, n)] = events
			group = append(group, events*64)
		}
		sizes = append(sizes, group)
	}
	f.view = view(8, versions)
	f.ledger = ledger(f.view)
	f.ledger.Add(job("j", groups-1, sizes...), rules, nil, epoch)
	return f
}

func TestLoadOfAStep(t *testing.T) {
	Convey("pattern: a step with a heavy tail, calm engines", t, func() {
		f := newFleet()
		took := f.play(20 * time.Second)
		t.Log(took)
		So(took, ShouldBeLessThan, due)
	})
	Convey("pattern: engines four times slower, those that make the long texts", t, func() {
		f := newFleet()
		f.strike = func(id string) { f.paces[id] = 4 * pace }
		took := f.play(20 * time.Second)
		t.Log(took)
		So(took, ShouldBeLessThan, due)
	})
	Convey("pattern: the engines of the long texts fall silent", t, func() {
		f := newFleet()
		f.strike = func(id string) { f.down[id] = [2]time.Duration{time.Second, 4 * time.Second} }
		took := f.play(20 * time.Second)
		t.Log(took)
		So(took, ShouldBeLessThan, due)
	})
	Convey("pattern: short work of the next steps arrives all the time beside long texts", t, func() {
		f := newFleet()
		f.crowding = 1200 * time.Microsecond
		for id := range f.paces {
			f.paces[id] = 44 * time.Millisecond
		}
		for wave := range 7 {
			other := job(fmt.Sprintf("k%d", wave), 1)
			other.Arrived = at(time.Duration(wave+1) * time.Second)
			for n := range 18 {
				id := fmt.Sprintf("k%d-%d", wave, n)
				f.lengths[id] = 20
				other.Items = append(other.Items, limpetjob.Item{ID: id, Path: "/p/1", Group: id, Expected: 20 * 64})
			}
			f.later = append(f.later, other)
		}
		took := f.play(20 * time.Second)
		t.Log(took)
		So(took, ShouldBeLessThan, due)
	})
	Convey("pattern: two engines silent by turns", t, func() {
		f := newFleet()
		f.down["e1"] = [2]time.Duration{500 * time.Millisecond, 2500 * time.Millisecond}
		f.down["e3"] = [2]time.Duration{3 * time.Second, 6 * time.Second}
		took := f.play(20 * time.Second)
		t.Log(took)
		So(took, ShouldBeLessThan, due)
	})
}

func TestLoadWithAllPlacesTaken(t *testing.T) {
	Convey("pattern: all places taken by other work, the engines of the long texts three times slower", t, func() {
		f := newFleet()
		other := job("k", 1)
		for n := range 300 {
			id := fmt.Sprintf("k-%d", n)
			f.lengths[id] = 60
			other.Items = append(other.Items, limpetjob.Item{ID: id, Path: "/p/1", Group: id, Expected: 60 * 64})
		}
		other.Arrived = at(time.Second)
		f.ledger.Add(other, rules, nil, epoch)
		f.strike = func(id string) { f.paces[id] = 3 * pace }
		took := f.play(20 * time.Second)
		t.Log(took)
		So(took, ShouldBeLessThan, due)
	})
}

func TestLoadOfLongContexts(t *testing.T) {
	Convey("pattern: several of the longest texts at once, beside short work all the time; engines slow down with what their runs have read", t, func() {
		f := newFleetWith(8, 187)
		f.context = 24 * time.Microsecond
		for id := range f.paces {
			f.paces[id] = 34600 * time.Microsecond
		}
		for wave := range 14 {
			other := job(fmt.Sprintf("k%d", wave), 1)
			other.Arrived = at(time.Duration(wave+1) * 500 * time.Millisecond)
			for n := range 10 {
				id := fmt.Sprintf("k%d-%d", wave, n)
				f.lengths[id] = 25
				other.Items = append(other.Items, limpetjob.Item{ID: id, Path: "/p/1", Group: id, Expected: 25 * 64})
			}
			f.later = append(f.later, other)
		}
		took := f.play(20 * time.Second)
		t.Log(took)
		So(took, ShouldBeLessThan, due)
	})
}
