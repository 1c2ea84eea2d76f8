package limpetbatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetsite"
)

const (
	burstStep = 5 * time.Millisecond
	// burstTime is how long engines crash.
	burstTime = 6 * time.Second
	// maxUnplaced is the time within which a waiting item must be at an engine
	// while engines are calm and have room. The users allow 5 s.
	maxUnplaced = 5 * time.Second
	burstItems  = 24
)

// A burst is a fleet of engines that crash at random, with a job on it.
type burst struct {
	random    *rand.Rand
	scheduler *limpetbatch.Scheduler
	state     *limpetsite.State
	view      *limpetsite.Snapshot
	revision  uint64
	// engines holds when each engine is up again, and whether it is silent or
	// refuses connections until then.
	engines map[string]downtime
	next    map[*limpetbatch.Run]time.Time
	// lastPlaced holds when each item was last at an engine.
	lastPlaced map[string]time.Time
	done       map[string]bool
}

type downtime struct {
	until  time.Time
	silent bool
}

func newBurst(seed uint64) *burst {
	b := &burst{
		random: rand.New(rand.NewPCG(seed, 0)), scheduler: limpetbatch.New(), state: limpetsite.NewState(), engines: map[string]downtime{},
		next: map[*limpetbatch.Run]time.Time{}, lastPlaced: map[string]time.Time{}, done: map[string]bool{},
	}
	for n := range 5 {
		b.register(fmt.Sprintf("e%d", n), epoch)
	}
	var groups [][]int
	for range burstItems / 4 {
		groups = append(groups, []int{20 * 64, 25 * 64, 30 * 64, 60 * 64})
	}
	j := job("j", len(groups), groups...)
	b.scheduler.AddJob(j, limpetbatch.Rules{Shares: map[string]float64{"llm": 1}, RunTarget: time.Minute, ItemTTL: 5 * time.Minute, MaxAttempts: 3}, nil, epoch)
	for n := range j.Items {
		b.lastPlaced[j.Items[n].ID] = epoch
	}
	return b
}

// register registers an engine as a new incarnation.
func (b *burst) register(id string, now time.Time) {
	b.revision++
	b.state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: b.revision, Server: &limpetsite.Server{
		ID: id, Service: "llm", Address: id, Zone: "a", Slots: 6, Models: map[string]int{"m": 1}, Incarnation: int64(b.revision),
	}}, now)
	b.engines[id] = downtime{}
	b.publish()
}

func (b *burst) publish() {
	b.view = b.state.Snapshot()
	b.scheduler.UpdateEngines(b.view, epoch)
}

// crash takes an engine down, ends its runs or lets them fall silent, and
// removes its entry in some cases.
func (b *burst) crash(id string, now time.Time) {
	d := downtime{until: now.Add(time.Duration(b.random.IntN(1800)+200) * time.Millisecond), silent: b.random.IntN(3) == 0}
	b.engines[id] = d
	for _, r := range b.runs() {
		if r.Server.ID != id {
			continue
		}
		delete(b.next, r)
		if !d.silent {
			b.scheduler.HandleEnd(r, limpetbatch.Interrupted, now)
		}
	}
	if b.random.IntN(2) == 0 {
		b.revision++
		b.state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: b.revision, Deleted: true}, now)
		b.publish()
	}
}

// runs returns the runs that generate events, in a fixed order.
func (b *burst) runs() []*limpetbatch.Run {
	return slices.SortedFunc(maps.Keys(b.next), func(x, y *limpetbatch.Run) int { return cmp.Compare(x.Entry.Item.ID, y.Entry.Item.ID) })
}

// advance moves the fleet on to a time.
func (b *burst) advance(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(b.engines)) {
		if d := b.engines[id]; !d.until.IsZero() && !now.Before(d.until) {
			b.register(id, now)
		}
	}
	for _, r := range b.scheduler.DetachOverdue(b.view, now) {
		delete(b.next, r)
	}
	for _, r := range b.scheduler.Dispatch(b.view, now) {
		b.lastPlaced[r.Entry.Item.ID] = now
		d := b.engines[r.Server.ID]
		switch {
		case d.until.IsZero():
			b.scheduler.HandleHeader(r, 1, now)
			b.next[r] = now.Add(300 * time.Millisecond)
		case !d.silent:
			b.scheduler.HandleEnd(r, limpetbatch.Interrupted, now)
		}
	}
	for _, r := range b.runs() {
		b.lastPlaced[r.Entry.Item.ID] = now
		if now.Before(b.next[r]) {
			continue
		}
		n := r.Entry.Events() + 1
		if !feed(b.scheduler, r, n, n, 1, now) {
			delete(b.next, r)
			continue
		}
		b.next[r] = now.Add(eventInterval)
		if n*64 >= r.Entry.Item.ExpectedTokens {
			delete(b.next, r)
			b.scheduler.HandleEnd(r, limpetbatch.Complete, now)
		}
	}
	for _, r := range commitAll(b.scheduler) {
		b.done[r.ID] = true
	}
}

// longestUnplaced returns the longest time for which an item that is not done
// has been at no engine since a time.
func (b *burst) longestUnplaced(since, now time.Time) time.Duration {
	longest := time.Duration(0)
	for id, at := range b.lastPlaced {
		if b.done[id] {
			continue
		}
		if at.Before(since) {
			at = since
		}
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// Guards against incident 21: an item under which engines crashed was not placed
// again after the burst.
func TestItemsArePlacedAfterABurstOfCrashes(t *testing.T) {
	worst := time.Duration(0)
	Convey("whatever crashed before, each item is soon at an engine again once engines are calm, and completes", t, func() {
		for seed := range uint64(60) {
			b := newBurst(seed)
			nextCrash, longest := epoch, time.Duration(0)
			for offset := time.Duration(0); offset < burstTime+20*time.Second && len(b.done) < burstItems; offset += burstStep {
				now := at(offset)
				if offset < burstTime && !now.Before(nextCrash) {
					for _, id := range slices.Sorted(maps.Keys(b.engines)) {
						if b.random.IntN(10) < 4 && b.engines[id].until.IsZero() {
							b.crash(id, now)
						}
					}
					nextCrash = now.Add(time.Duration(b.random.IntN(350)+50) * time.Millisecond)
				}
				b.advance(now)
				// The last engine is up 2 s after the burst.
				if calm := burstTime + 2*time.Second; offset > calm {
					longest = max(longest, b.longestUnplaced(at(calm), now))
				}
			}
			worst = max(worst, longest)
			if longest > maxUnplaced || len(b.done) < burstItems {
				t.Errorf("seed %d: an item was at no engine for %s, and %d of %d items are done", seed, longest, len(b.done), burstItems)
			}
		}
		t.Log("longest time without an engine", worst)
	})
}
