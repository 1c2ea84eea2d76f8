package limpetdirector

import "time"

const (
	// initialInterval and initialChange are used until values have been
	// measured.
	initialInterval = 4 * time.Second
	initialChange   = time.Second
	minInterval     = 2 * time.Second
	maxInterval     = 10 * time.Minute
	smoothingFactor = 0.25
)

// A weightTiming estimates how often weight versions are published and how long
// an engine takes to update its weights.
type weightTiming struct {
	lastPublished map[string]publishedVersion
	meanInterval  time.Duration
	meanChange    time.Duration
}

type publishedVersion struct {
	version int
	at      time.Time
}

// interval updates the estimate from the newest version of each model, and
// returns the mean time between versions.
func (r *weightTiming) interval(versions map[string]int, now time.Time) time.Duration {
	if r.lastPublished == nil {
		r.lastPublished, r.meanInterval, r.meanChange = map[string]publishedVersion{}, initialInterval, initialChange
	}
	for model, version := range versions {
		last, known := r.lastPublished[model]
		if known && version <= last.version {
			continue
		}
		if known {
			sample := now.Sub(last.at) / time.Duration(version-last.version)
			r.meanInterval = ewma(r.meanInterval, min(max(sample, minInterval), maxInterval))
		}
		r.lastPublished[model] = publishedVersion{version: version, at: now}
	}
	return r.meanInterval
}

func (r *weightTiming) recordChange(took time.Duration) { r.meanChange = ewma(r.meanChange, took) }

// changeTime returns the mean time of an update.
func (r *weightTiming) changeTime() time.Duration {
	if r.meanChange == 0 {
		return initialChange
	}
	return r.meanChange
}

func ewma(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothingFactor*float64(sample-old))
}
