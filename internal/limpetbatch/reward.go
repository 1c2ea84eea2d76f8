package limpetbatch

import (
	"slices"
	"time"

	"limpetmount.org/internal/limpetjob"
)

// A RewardCall is a reward call that is due.
type RewardCall struct {
	Entry  *Entry
	Scorer *limpetjob.Scorer
}

// rewardRetryDelay is the delay before a reward call is repeated.
const rewardRetryDelay = 150 * time.Millisecond

// StartRewardCalls returns the reward calls that are due and marks them as in
// progress.
func (s *Scheduler) StartRewardCalls(now time.Time) []RewardCall {
	var due []RewardCall
	for _, j := range s.jobsByArrival {
		for _, e := range j.entries {
			if e.phase == unscored && !now.Before(e.nextReward) {
				e.phase = scoring
				due = append(due, RewardCall{Entry: e, Scorer: e.Item.Scorer})
			}
		}
	}
	slices.SortFunc(due, func(a, b RewardCall) int { return compareEntries(a.Entry, b.Entry) })
	return due
}

// HandleScore handles the end of a reward call, with the signature of a
// successful response or the number of failures. An entry whose calls failed as
// often as allowed is errored; HandleScore reports whether it is.
func (s *Scheduler) HandleScore(e *Entry, signature string, failures, allowed int, now time.Time) bool {
	if e.phase != scoring {
		return false
	}
	if signature != "" {
		e.text.score = signature
		s.settle(e, limpetjob.Completed)
		return false
	}
	e.rewardFailures += failures
	e.Job.draftsDirty = true
	if e.rewardFailures >= max(allowed, 1) {
		s.settle(e, errored)
		return true
	}
	e.phase = unscored
	e.nextReward = now.Add(rewardRetryDelay)
	return false
}
