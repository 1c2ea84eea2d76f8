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
	rewardPause = 150 * time.Millisecond
)

// Rewards returns the reward calls that are due, and marks them as under way.
func (l *Ledger) Rewards(now time.Time) []Reward {
	var due []Reward
	for _, j := range l.line {
		for _, e := range j.entries {
			if e.phase == unscored && !now.Before(e.rewardAt) {
				e.phase = scoring
				due = append(due, Reward{Entry: e, Scorer: e.Item.Scorer})
			}
		}
	}
	slices.SortFunc(due, func(a, b Reward) int { return order(a.Entry, b.Entry) })
	return due
}

// Scored takes the end of a reward call: the signature of a good answer, or the
// number of failing ones. An entry whose calls failed as often as allowed is
// errored; Scored reports whether it is.
func (l *Ledger) Scored(e *Entry, signature string, failures, allowed int, now time.Time) bool {
	if e.phase != scoring {
		return false
	}
	if signature != "" {
		e.text.score = signature
		l.settle(e, limpetjob.Completed)
		return false
	}
	e.rewards += failures
	if e.rewards >= max(allowed, 1) {
		l.settle(e, errored)
		return true
	}
	e.phase = unscored
	e.rewardAt = now.Add(rewardPause)
	return false
}
