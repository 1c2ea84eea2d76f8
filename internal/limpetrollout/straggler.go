package limpetrollout

import (
	"slices"
	"time"
)

// Limits of the straggler policy.
const (
	// A sample is a straggler after stragglerFactor times the median duration.
	stragglerFactor = 2
	// stragglerShare is the largest share of a step's samples that may still be
	// running when stragglers are duplicated.
	stragglerShare = 0.25
	// stragglerMinFinished is the number of finished samples that the median
	// needs.
	stragglerMinFinished = 4
)

// A RunningSample describes a sample that is being generated, as input to the
// straggler policy.
type RunningSample struct {
	Step     uint64
	Number   int
	Started  time.Time
	Attempts int
}

// Stragglers returns the running samples that should get a second attempt:
// those that have taken more than twice the median duration of the finished
// samples, once only the tail of the step is running (Dean, Barroso: The tail
// at scale, 2013). Durations are those of the step's finished samples, and
// samples is the size of the step.
func Stragglers(running []RunningSample, durations []time.Duration, samples int, now time.Time) []RunningSample {
	if len(durations) < stragglerMinFinished || float64(len(running)) > max(1, stragglerShare*float64(samples)) {
		return nil
	}
	sorted := slices.Sorted(slices.Values(durations))
	limit := stragglerFactor * sorted[len(sorted)/2]
	var stragglers []RunningSample
	for _, r := range running {
		if r.Attempts == 1 && now.Sub(r.Started) > limit {
			stragglers = append(stragglers, r)
		}
	}
	return stragglers
}
