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

// trainedModels are the models of a large fleet. Each of its engines has weights
// of all of them.
var trainedModels = []string{"m0", "m1", "m2"}

const (
	currentEngines = 70
	largeStepItems = 136
	largeGroupSize = 8
)

// A largeFleet is a deployment with thousands of engines and three trained models,
// of whose engines currentEngines have the weights that open jobs accept.
type largeFleet struct {
	scheduler *limpetbatch.Scheduler
	view      *limpetsite.Snapshot
	runs      []*limpetbatch.Run
	// busy are the engines that have runs, in the order of their first one.
	busy []string
}

// newLargeFleet returns a fleet with a step of each model, whose items are waiting.
func newLargeFleet(engines int) *largeFleet {
	state := limpetsite.NewState()
	for n := range engines {
		versions := map[string]int{}
		for m, model := range trainedModels {
			versions[model] = 1
			if n%len(trainedModels) == m && n/len(trainedModels) >= engines/len(trainedModels)-currentEngines {
				versions[model] = 2
			}
		}
		id := fmt.Sprintf("e%04d", n)
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: uint64(n + 1), Server: &limpetsite.Server{
			ID: id, Service: "llm", Address: id, Zone: "a", Slots: 6, Models: versions,
		}}, epoch)
	}
	f := &largeFleet{view: state.Snapshot(), scheduler: limpetbatch.New()}
	f.scheduler.UpdateEngines(f.view, epoch)
	for _, model := range trainedModels {
		j := &limpetjob.Job{ID: model, Account: "acme", Host: "h", Path: "/p/", Model: model, MinVersion: 2, DesiredGroups: largeStepItems / largeGroupSize, Arrived: epoch}
		for n := range largeStepItems {
			j.Items = append(j.Items, limpetjob.Item{
				ID: fmt.Sprintf("%s-%d", model, n), Path: "/p/1", Group: fmt.Sprintf("g%d", n/largeGroupSize), ExpectedTokens: 1600 + n%7*64,
			})
		}
		f.scheduler.AddJob(j, rules, nil, epoch)
	}
	return f
}

// dispatch starts what can run, and lets each run generate some events.
func (f *largeFleet) dispatch() {
	f.runs = f.scheduler.Dispatch(f.view, epoch)
	seen := map[string]bool{}
	for _, r := range f.runs {
		f.scheduler.HandleHeader(r, 2, epoch)
		feed(f.scheduler, r, 1, 5, 2, at(200*time.Millisecond))
		if !seen[r.Server.ID] {
			seen[r.Server.ID] = true
			f.busy = append(f.busy, r.Server.ID)
		}
	}
}

// evacuate empties engines whose weights change, as when the next versions of all
// models are published at once.
func (f *largeFleet) evacuate(engines int) {
	for _, id := range f.busy[:min(engines, len(f.busy))] {
		model := ""
		for _, r := range f.runs {
			if r.Server.ID == id {
				model = r.Entry.Job.Model
			}
		}
		f.scheduler.SetLoading(id, model, at(210*time.Millisecond))
		f.scheduler.Evacuate(id, model, f.view, at(210*time.Millisecond))
	}
}

// Guards against the collapse at 300 VMs and 3,000 engines: the director spent
// seconds on the engines that had nothing to do with a decision, and lost its lease.
func TestDecisionsDoNotDependOnIdleEngines(t *testing.T) {
	const (
		// maxPerItem bounds the engines that are examined to place an item, in
		// multiples of those that have the weights it needs.
		maxPerItem = 2
		// maxPerStep bounds, in multiples of all engines, what is examined once for
		// a whole step, however many items it has.
		maxPerStep = 12
	)
	for _, engines := range []int{300, 1000, 2880} {
		Convey(fmt.Sprintf("pattern: steps of three models begin at once, and new weights for all of them are published, before %d engines", engines), t, func() {
			f := newLargeFleet(engines)
			before := f.scheduler.Examined()
			f.dispatch()
			placing := f.scheduler.Examined() - before
			So(len(f.runs), ShouldEqual, len(trainedModels)*largeStepItems)
			So(placing, ShouldBeLessThan, uint64(maxPerItem*currentEngines*len(f.runs)+maxPerStep*engines))

			before = f.scheduler.Examined()
			f.evacuate(currentEngines)
			evacuating := f.scheduler.Examined() - before
			So(evacuating, ShouldBeLessThan, uint64(maxPerItem*currentEngines*len(f.runs)+maxPerStep*engines))

			before = f.scheduler.Examined()
			for n := range 40 {
				now := at(220*time.Millisecond + time.Duration(n)*time.Millisecond)
				f.scheduler.DetachOverdue(f.view, now)
				f.scheduler.Dispatch(f.view, now)
			}
			So(f.scheduler.Examined()-before, ShouldBeLessThan, uint64(40*len(trainedModels)*currentEngines*maxPerStep))
		})
	}
}

func BenchmarkLargeFleet(b *testing.B) {
	for _, engines := range []int{36, 300, 1000, 2880} {
		b.Run(fmt.Sprintf("dispatch/%d", engines), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				f := newLargeFleet(engines)
				b.StartTimer()
				f.dispatch()
			}
		})
		b.Run(fmt.Sprintf("evacuate/%d", engines), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				f := newLargeFleet(engines)
				f.dispatch()
				b.StartTimer()
				f.evacuate(currentEngines)
			}
		})
		b.Run(fmt.Sprintf("step/%d", engines), func(b *testing.B) {
			f := newLargeFleet(engines)
			f.dispatch()
			b.ResetTimer()
			for n := range b.N {
				now := at(220*time.Millisecond + time.Duration(n%100)*time.Millisecond)
				f.scheduler.DetachOverdue(f.view, now)
				f.scheduler.Dispatch(f.view, now)
			}
		})
		b.Run(fmt.Sprintf("view/%d", engines), func(b *testing.B) {
			f := newLargeFleet(engines)
			b.ResetTimer()
			for range b.N {
				f.scheduler.UpdateEngines(f.view, epoch)
			}
		})
	}
}
