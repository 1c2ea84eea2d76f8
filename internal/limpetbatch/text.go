package limpetbatch

import (
	"slices"
	"strings"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetupstream"
)

// A text is what is generated of an item, with the versions that made it.
type text struct {
	pieces   []string
	last     int
	versions []int
	// version is that of the last event.
	version int
	whole   bool
	score   string
	bytes   int
}

// add appends an event made under a version.
func (t *text) add(e limpetupstream.Event, version int) {
	t.pieces = append(t.pieces, e.Data)
	t.last = e.ID
	t.version = version
	t.bytes += len(e.Data)
	if !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
}

func (t *text) join() string { return strings.Join(t.pieces, "\n") }

// oldest returns the lowest version of a text that is not empty.
func (t *text) oldest() int { return slices.Min(t.versions) }

// kept is the text of an item of a job that ended.
type kept struct {
	account, model, path string
	text                 text
	scorer               *limpetjob.Scorer
	at                   time.Time
}

const (
	// keepFor is how long texts of ended jobs are kept for a later job.
	keepFor = 45 * time.Second
	// keepBytes bounds these texts.
	keepBytes = 24 << 20
)

// keep stores what is generated of an item for a later job that asks again.
func (l *Ledger) keep(e *Entry, now time.Time) {
	if e.phase == listed && e.result.State != limpetjob.Completed || len(e.text.versions) == 0 {
		return
	}
	l.earlier[e.Item.ID] = &kept{
		account: e.Job.Account, model: e.Job.Model, path: e.Item.Path, text: e.text, scorer: e.Item.Scorer, at: now,
	}
}

// Expire drops texts that are old, and the oldest ones beyond the bound.
func (l *Ledger) Expire(now time.Time) {
	total := 0
	for id, k := range l.earlier {
		if now.Sub(k.at) > keepFor {
			delete(l.earlier, id)
			continue
		}
		total += k.text.bytes
	}
	for id, k := range l.earlier {
		if total <= keepBytes {
			return
		}
		total -= k.text.bytes
		delete(l.earlier, id)
	}
}

// reuse takes over texts of earlier jobs whose versions fit.
func (l *Ledger) reuse(j *Job, now time.Time) {
	for _, e := range j.entries {
		k := l.earlier[e.Item.ID]
		if k == nil {
			continue
		}
		e.group.carried = true
		if k.account != j.Account || k.model != j.Model || k.path != e.Item.Path {
			continue
		}
		if k.text.oldest() < j.MinVersion || (j.Rules.OnPolicy && len(k.text.versions) > 1) {
			continue
		}
		e.text = k.text
		e.text.pieces = slices.Clone(k.text.pieces)
		e.text.versions = slices.Clone(k.text.versions)
		if !e.text.whole {
			continue
		}
		if e.text.score != "" && !sameScorer(k.scorer, e.Item.Scorer) {
			e.text.score = ""
		}
		l.complete(e, now)
	}
}

func sameScorer(a, b *limpetjob.Scorer) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID && a.Host == b.Host && a.Path == b.Path && string(a.Body) == string(b.Body)
}

// complete moves an entry with a whole text on to its reward call, or settles
// it when none is needed.
func (l *Ledger) complete(e *Entry, now time.Time) {
	e.text.whole = true
	if e.Item.Scorer != nil && e.text.score == "" {
		e.phase = unscored
		e.rewardAt = now
		return
	}
	l.settle(e, limpetjob.Completed)
}

// settle gives an entry its result.
func (l *Ledger) settle(e *Entry, state limpetjob.State) {
	e.phase = settled
	e.group.open--
	e.result = limpetjob.Result{ID: e.Item.ID, State: state}
	if state == limpetjob.Completed {
		e.result.Text, e.result.Versions, e.result.Score = e.text.join(), e.text.versions, e.text.score
	}
	e.Job.unlisted = append(e.Job.unlisted, e)
}

// Events returns the number of events that the entry's text has.
func (e *Entry) Events() int { return len(e.text.pieces) }

// Moves returns how often the entry was given up for another engine.
func (e *Entry) Moves() int { return e.moves }

// Must reports whether the trainer is expected to wait for the entry.
func (e *Entry) Must() bool { return e.group.must }
