package limpetdirector

import "time"

const (
	// initialInterval and initialUpdateTime are used until values have been
	// measured.
	initialInterval   = 4 * time.Second
	initialUpdateTime = time.Second
	// minInterval and maxInterval bound each measured time between versions.
	minInterval = 2 * time.Second
	maxInterval = 10 * time.Minute
	// smoothingFactor is the weight of a new sample in the averages.
	smoothingFactor = 0.25
)

// A weightTiming estimates how often weight versions are published and how long
// an engine takes to update its weights.
type weightTiming struct {
	lastPublished  map[string]publishedVersion
	meanInterval   time.Duration
	meanUpdateTime time.Duration
}

type publishedVersion struct {
	version int
	at      time.Time
}

// interval updates the estimate from the newest version of each model, and
// returns the mean time between versions.
func (t *weightTiming) interval(versions map[string]int, now time.Time) time.Duration {
	if t.lastPublished == nil {
		t.lastPublished, t.meanInterval, t.meanUpdateTime = map[string]publishedVersion{}, initialInterval, initialUpdateTime
	}
	for model, version := range versions {
		last, known := t.lastPublished[model]
		if known && version <= last.version {
			continue
		}
		if known {
			sample := now.Sub(last.at) / time.Duration(version-last.version)
			t.meanInterval = ewma(t.meanInterval, min(max(sample, minInterval), maxInterval))
		}
		t.lastPublished[model] = publishedVersion{version: version, at: now}
	}
	return t.meanInterval
}

// recordUpdate adds the time that an update took to the average.
func (t *weightTiming) recordUpdate(took time.Duration) {
	t.meanUpdateTime = ewma(t.meanUpdateTime, took)
}

// updateTime returns the mean time of an update.
func (t *weightTiming) updateTime() time.Duration {
	if t.meanUpdateTime == 0 {
		return initialUpdateTime
	}
	return t.meanUpdateTime
}

func ewma(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothingFactor*float64(sample-old))
}
