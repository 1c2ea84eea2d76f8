package limpetbatch

import (
	"slices"
	"time"

	"limpetmount.org/internal/limpetjob"
)

// A Reward is a reward call that is due.
type Reward struct {
	Entry  *Entry
	Scorer *limpetjob.Scorer
}

const (
	rewardRetryDelay = 150 * time.Millisecond
)

// Rewards returns the reward calls that are due and marks them as in progress.
func (l *Ledger) Rewards(now time.Time) []Reward {
	var due []Reward
	for _, j := range l.jobsByArrival {
		for _, e := range j.entries {
			if e.phase == unscored && !now.Before(e.nextReward) {
				e.phase = scoring
				due = append(due, Reward{Entry: e, Scorer: e.Item.Scorer})
			}
		}
	}
	slices.SortFunc(due, func(a, b Reward) int { return compareEntries(a.Entry, b.Entry) })
	return due
}

// Scored handles the end of a reward call, with the signature of a successful
// response or the number of failures. An entry whose calls failed as often as
// allowed is errored; Scored reports whether it is.
func (l *Ledger) Scored(e *Entry, signature string, failures, allowed int, now time.Time) bool {
	if e.phase != scoring {
		return false
	}
	if signature != "" {
		e.text.score = signature
		l.settle(e, limpetjob.Completed)
		return false
	}
	e.rewardFailures += failures
	if e.rewardFailures >= max(allowed, 1) {
		l.settle(e, errored)
		return true
	}
	e.phase = unscored
	e.nextReward = now.Add(rewardRetryDelay)
	return false
}
