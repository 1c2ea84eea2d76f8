package limpetrollout

import (
	"slices"
	"time"
)

// Limits of the straggler policy.
const (
	// stragglerFactor times the median duration makes a sample a straggler.
	stragglerFactor = 2
	// stragglerShare of a step may be duplicated at most.
	stragglerShare = 0.25
	// stragglerEvidence finished samples are needed for a median.
	stragglerEvidence = 4
)

// A Running holds one sample being generated, for the straggler policy.
type Running struct {
	Step     uint64
	Number   int
	Began    time.Time
	Attempts int
}

// Stragglers returns the running samples that should be generated a second
// time elsewhere: those that have taken more than twice the median of the
// finished ones, when the step waits for nothing but its tail (Dean, Barroso:
// The tail at scale, 2013). Durations are those of the step's finished samples.
func Stragglers(running []Running, durations []time.Duration, samples int, now time.Time) []Running {
	if len(durations) < stragglerEvidence || float64(len(running)) > max(1, stragglerShare*float64(samples)) {
		return nil
	}
	sorted := slices.Sorted(slices.Values(durations))
	limit := stragglerFactor * sorted[len(sorted)/2]
	var stragglers []Running
	for _, r := range running {
		if r.Attempts == 1 && now.Sub(r.Began) > limit {
			stragglers = append(stragglers, r)
		}
	}
	return stragglers
}
