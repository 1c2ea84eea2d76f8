package limpetbatch

import (
	"slices"
	"strings"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

// A text is the generated output of an item so far, with the weight versions
// that generated it.
type text struct {
	pieces    []string
	lastEvent int
	versions  []int
	// version is the weight version of the last event.
	version  int
	complete bool
	score    string
	bytes    int
}

// add appends an event generated under a weight version.
func (t *text) add(e limpetupstream.Event, version int) {
	t.pieces = append(t.pieces, e.Data)
	t.lastEvent = e.ID
	t.version = version
	t.bytes += len(e.Data)
	if !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
}

func (t *text) join() string { return strings.Join(t.pieces, "\n") }

// minVersion returns the lowest weight version of a text that is not empty.
func (t *text) minVersion() int { return slices.Min(t.versions) }

// A retainedText is the text of an item whose job has ended.
type retainedText struct {
	account, model, path string
	text                 text
	scorer               *limpetjob.Scorer
	retainedAt           time.Time
}

const (
	// textRetention is how long texts of ended jobs are retained for a later job.
	textRetention = 45 * time.Second
	// maxRetainedBytes bounds the total size of these texts.
	maxRetainedBytes = 24 << 20
)

// retain keeps the text of an item for a later job that submits the item again.
func (s *Scheduler) retain(e *Entry, now time.Time) {
	if e.phase == committed && e.result.State != limpetjob.Completed || len(e.text.versions) == 0 {
		return
	}
	s.retained[e.Item.ID] = &retainedText{
		account: e.Job.Account, model: e.Job.Model, path: e.Item.Path, text: e.text, scorer: e.Item.Scorer, retainedAt: now,
	}
}

// ExpireTexts drops the texts that have been retained for too long. If the
// others exceed maxRetainedBytes, it also drops some of these, in no particular
// order.
func (s *Scheduler) ExpireTexts(now time.Time) {
	total := 0
	for id, k := range s.retained {
		if now.Sub(k.retainedAt) > textRetention {
			delete(s.retained, id)
			continue
		}
		total += k.text.bytes
	}
	for id, k := range s.retained {
		if total <= maxRetainedBytes {
			return
		}
		total -= k.text.bytes
		delete(s.retained, id)
	}
}

// reuseRetained takes texts of earlier jobs for the items of a new one, if it
// accepts their weight versions.
func (s *Scheduler) reuseRetained(j *Job, now time.Time) {
	for _, e := range j.entries {
		k := s.retained[e.Item.ID]
		if k == nil {
			continue
		}
		e.group.resubmitted = true
		if k.account != j.Account || k.model != j.Model || k.path != e.Item.Path {
			continue
		}
		if k.text.minVersion() < j.MinVersion || (j.Rules.OnPolicy && len(k.text.versions) > 1) {
			continue
		}
		e.text = k.text
		e.text.pieces = slices.Clone(k.text.pieces)
		e.text.versions = slices.Clone(k.text.versions)
		if !e.text.complete {
			continue
		}
		if e.text.score != "" && !sameScorer(k.scorer, e.Item.Scorer) {
			e.text.score = ""
		}
		s.complete(e, now)
	}
}

func sameScorer(a, b *limpetjob.Scorer) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID && a.Host == b.Host && a.Path == b.Path && string(a.Body) == string(b.Body)
}

// complete moves an entry with a complete text on to its reward call, or
// settles it if it needs none.
func (s *Scheduler) complete(e *Entry, now time.Time) {
	e.text.complete = true
	if e.Item.Scorer != nil && e.text.score == "" {
		e.phase = unscored
		e.nextReward = now
		return
	}
	s.settle(e, limpetjob.Completed)
}

// settle sets the result of an entry.
func (s *Scheduler) settle(e *Entry, state limpetjob.State) {
	e.phase = settled
	e.group.unsettled--
	e.result = limpetjob.Result{ID: e.Item.ID, State: state}
	if state == limpetjob.Completed {
		e.result.Text, e.result.Versions, e.result.Score = e.text.join(), e.text.versions, e.text.score
	}
	e.Job.uncommitted = append(e.Job.uncommitted, e)
}

// Events returns the number of events in the entry's text.
func (e *Entry) Events() int { return len(e.text.pieces) }

// Moves returns how often DetachOverdue detached a run of the entry so that
// another engine can continue it.
func (e *Entry) Moves() int { return e.moves }

// Required reports whether the trainer is expected to wait for the entry.
func (e *Entry) Required() bool { return e.group.required }
