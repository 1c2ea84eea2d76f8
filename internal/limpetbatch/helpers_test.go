package limpetbatch_test

import (
	"fmt"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// epoch is the arrival time of the jobs in the tests.
var epoch = time.Unix(1_700_000_000, 0)

func at(offset time.Duration) time.Time { return epoch.Add(offset) }

var rules = limpetbatch.Rules{
	Shares: map[string]float64{"llm": 1}, RunTarget: 7500 * time.Millisecond, ItemTTL: 40 * time.Second, MaxAttempts: 3,
}

// view returns a snapshot of engines that serve the model m, given the weight
// version by engine ID.
func view(slots int, versions map[string]int) *limpetsite.Snapshot {
	state := limpetsite.NewState()
	revision := uint64(1)
	for id, v := range versions {
		revision++
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Server: &limpetsite.Server{
			ID: id, Service: "llm", Address: id, Zone: "a", Slots: slots, Models: map[string]int{"m": v},
		}}, epoch)
	}
	return state.Snapshot()
}

// job returns a job with the given groups of expected tokens per item.
func job(id string, desired int, groups ...[]int) *limpetjob.Job {
	j := &limpetjob.Job{ID: id, Account: "acme", Host: "h", Path: "/p/", Model: "m", MinVersion: 1, DesiredGroups: desired, Arrived: epoch}
	for g, sizes := range groups {
		for n, size := range sizes {
			j.Items = append(j.Items, limpetjob.Item{
				ID: fmt.Sprintf("%s-g%d-%d", id, g, n), Path: "/p/1", Group: fmt.Sprintf("g%d", g), ExpectedTokens: size,
			})
		}
	}
	return j
}

// scheduler returns a scheduler with the engines of a snapshot.
func scheduler(v *limpetsite.Snapshot) *limpetbatch.Scheduler {
	s := limpetbatch.New()
	s.UpdateEngines(v, epoch)
	return s
}

// feed delivers the events from one number to another to a run, generated under
// a version.
func feed(s *limpetbatch.Scheduler, r *limpetbatch.Run, from, to, version int, now time.Time) bool {
	for n := from; n <= to; n++ {
		if !s.HandleEvent(r, limpetupstream.Event{ID: n, Data: fmt.Sprintf("piece %d", n)}, version, now) {
			return false
		}
	}
	return true
}

// finish delivers the rest of a text with the given number of events to a run,
// and ends it.
func finish(s *limpetbatch.Scheduler, r *limpetbatch.Run, events, version int, now time.Time) {
	s.HandleHeader(r, version, now)
	feed(s, r, r.After+1, events, version, now)
	s.HandleEnd(r, limpetbatch.Complete, now)
}

func itemIDs(runs []*limpetbatch.Run) []string {
	ids := []string{}
	for _, r := range runs {
		ids = append(ids, r.Entry.Item.ID)
	}
	return ids
}

// commitAll commits all chunks and returns their results in order.
func commitAll(s *limpetbatch.Scheduler) []limpetjob.Result {
	var all []limpetjob.Result
	for {
		chunks := s.PendingChunks(8)
		if len(chunks) == 0 {
			return all
		}
		for _, c := range chunks {
			all = append(all, c.Chunk.Results...)
			s.MarkCommitted(c.Job)
		}
	}
}
