package limpetbatch

import "time"

// A Timing says where the time of an item went, from the arrival of its job until
// its text was complete. It covers what this director has seen.
type Timing struct {
	// Queue is the time until its first run, and Interrupted the time between the
	// last event, or the start, of a run that did not complete the text and the
	// start of the next one.
	Queue, Interrupted time.Duration
	// Prompt is the time from the start of each run to its first event.
	Prompt time.Duration
	// Alone and Beside are the times between events while the engine had no other
	// run, and while it had some.
	Alone, Beside time.Duration
	// WeightChange is the time during which the engine changed the weights of the
	// item's model.
	WeightChange time.Duration
	// Runs is the number of runs.
	Runs int
	// intervals is the number of intervals that Alone and Beside are made of, and
	// batchRuns and batchContext the sums of the engine's runs and of the tokens
	// that they had generated, each at the end of an interval.
	intervals, batchRuns, batchContext int
}

// MeanBatch returns the mean number of runs on the item's engines, its own
// included, and the mean number of tokens that these had generated.
func (t Timing) MeanBatch() (runs, context float64) {
	n := float64(max(t.intervals, 1))
	return float64(t.batchRuns) / n, float64(t.batchContext) / n
}

// Timing returns where the item's time went.
func (e *Entry) Timing() Timing { return e.timing }

// startTiming records the start of a run.
func (e *Entry) startTiming(now time.Time) {
	if e.timing.Runs == 0 {
		e.timing.Queue = now.Sub(e.Job.Arrived)
	} else {
		e.timing.Interrupted += now.Sub(e.progressAt)
	}
	e.timing.Runs++
	e.progressAt = now
}

// recordTiming records an event of a run on an engine.
func (s *Scheduler) recordTiming(r *Run, g *engine, now time.Time) {
	e := r.Entry
	before := e.progressAt
	e.progressAt = now
	if before.IsZero() {
		// The run was started by an earlier director.
		return
	}
	took := now.Sub(before)
	switch {
	case r.events == 0:
		e.timing.Prompt += took
		return
	case g.changes(e.Job.Model):
		e.timing.WeightChange += took
		return
	case len(g.runs) == 1:
		e.timing.Alone += took
	default:
		e.timing.Beside += took
	}
	context := 0
	for _, other := range g.runs {
		context += other.Entry.context()
	}
	e.timing.intervals++
	e.timing.batchRuns += len(g.runs)
	e.timing.batchContext += context
	if s.ObserveInterval != nil {
		s.ObserveInterval(e.Job.Model, len(g.runs), context, took)
	}
}

// context returns the number of tokens that were generated for an item.
func (e *Entry) context() int { return e.text.lastEvent * tokensPerEvent }

// endLoadingTiming records the end of a change of weights for a run that it
// suspended.
func (r *Run) endLoadingTiming(now time.Time) {
	e := r.Entry
	if r.events > 0 && !e.progressAt.IsZero() {
		e.timing.WeightChange += now.Sub(e.progressAt)
		e.progressAt = now
	}
}
