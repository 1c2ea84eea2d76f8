// Package limpetrollout runs rollout jobs: steps of samples, the labels that
// tell which weights produced each sample, and the ledger through which each
// sample is delivered exactly once. The package must not import transport
// packages; generation, scoring and the store are injected.
package limpetrollout

import (
	"encoding/json"
	"slices"

	"limpetmount.org/internal/limpeterror"
)

// A VersionRange labels the tokens of the half-open interval [From, To) with
// the weight version and the engine incarnation that produced them.
type VersionRange struct {
	From        int    `json:"from"`
	To          int    `json:"to"`
	Version     uint64 `json:"version"`
	Incarnation string `json:"incarnation"`
}

// Labels collects the version ranges of a sample while its tokens arrive.
type Labels struct {
	Ranges []VersionRange
}

// Tokens returns the number of labelled tokens.
func (l *Labels) Tokens() int {
	if len(l.Ranges) == 0 {
		return 0
	}
	return l.Ranges[len(l.Ranges)-1].To
}

// Add labels the token at index. It fails if the index is not the next one, if
// the label is missing, or if the version decreases within one incarnation of
// an engine: the weights that produced the stream are then unknown.
func (l *Labels) Add(index int, version uint64, incarnation string) error {
	if index != l.Tokens() {
		return limpeterror.Invalid.New("token %d follows token %d", index, l.Tokens()-1)
	}
	if version == 0 || incarnation == "" {
		return limpeterror.Invalid.New("token %d has no weight version", index)
	}
	if n := len(l.Ranges); n > 0 && l.Ranges[n-1].Incarnation == incarnation {
		last := &l.Ranges[n-1]
		if version < last.Version {
			return limpeterror.Invalid.New("token %d: weight version decreased from %d to %d", index, last.Version, version)
		}
		if version == last.Version {
			last.To++
			return nil
		}
	}
	l.Ranges = append(l.Ranges, VersionRange{From: index, To: index + 1, Version: version, Incarnation: incarnation})
	return nil
}

// Oldest returns the oldest version among the ranges, or 0 if there are none.
func Oldest(ranges []VersionRange) uint64 {
	if len(ranges) == 0 {
		return 0
	}
	return slices.MinFunc(ranges, func(a, b VersionRange) int { return int(a.Version) - int(b.Version) }).Version
}

// Fresh reports whether a sample with the given oldest version is within the
// staleness bound of the newest published version: bound is the number of
// versions by which it may be older.
func Fresh(published, oldest uint64, bound int) bool {
	return oldest > 0 && oldest+uint64(bound) >= published
}

// A BatchEntry identifies a sample in a batch and the attempt that produced it.
type BatchEntry struct {
	Step    uint64 `json:"step"`
	Number  int    `json:"number"`
	Attempt string `json:"attempt"`
	Oldest  uint64 `json:"oldest"`
}

// Bitset is a set of sample numbers.
type Bitset []byte

// Has reports whether the set contains n.
func (b Bitset) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Add adds n to the set, which must have been allocated for it.
func (b Bitset) Add(n int) { b[n/8] |= 1 << (n % 8) }

// A Step holds the delivery state of a step. Samples is the number of its
// samples, and Parts the number of store keys that hold its prompts. Digest is
// that of its encoded spec. Delivered holds the samples that are acknowledged.
type Step struct {
	Number    uint64 `json:"number"`
	Samples   int    `json:"samples"`
	Parts     int    `json:"parts"`
	Digest    string `json:"digest"`
	Delivered Bitset `json:"delivered"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

// Unacknowledged returns the number of samples that are not acknowledged.
func (s Step) Unacknowledged() int {
	count := 0
	for n := range s.Samples {
		if !s.Delivered.Has(n) {
			count++
		}
	}
	return count
}

// A Ledger is a job's state in the store. Each write sets WriteID to a new
// value, by which a writer recognizes its own writes. Session is the number of
// the current trainer session, and Published the newest version of the weights.
// Batch holds the samples of the current cursor; the fetch of the next cursor
// acknowledges them. Steps holds the steps that are not completed.
type Ledger struct {
	WriteID   string       `json:"operation"`
	Session   uint64       `json:"session"`
	Trainer   string       `json:"trainer"`
	Published uint64       `json:"published"`
	Cursor    uint64       `json:"cursor"`
	Batch     []BatchEntry `json:"batch,omitempty"`
	Steps     []Step       `json:"steps,omitempty"`
	LastStep  uint64       `json:"last_step"`
}

// DecodeLedger decodes a stored ledger. Empty data gives an empty ledger.
func DecodeLedger(data []byte) (Ledger, error) {
	var l Ledger
	if len(data) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, limpeterror.Invalid.Wrap(err, "job ledger")
	}
	for _, s := range l.Steps {
		if s.Samples < 0 || len(s.Delivered)*8 < s.Samples {
			return l, limpeterror.Invalid.New("job ledger: step %d has %d samples and %d bytes of deliveries", s.Number, s.Samples, len(s.Delivered))
		}
	}
	for _, b := range l.Batch {
		if s := l.step(b.Step); s != nil && (b.Number < 0 || b.Number >= s.Samples) {
			return l, limpeterror.Invalid.New("job ledger: batch names sample %d of step %d", b.Number, b.Step)
		}
	}
	return l, nil
}

func (l *Ledger) step(number uint64) *Step {
	for i := range l.Steps {
		if l.Steps[i].Number == number {
			return &l.Steps[i]
		}
	}
	return nil
}

// OpenSession starts a session for a trainer process. It has no effect if the
// trainer holds the current session. A new session fences the previous one.
func (l *Ledger) OpenSession(trainer string) {
	if l.Trainer == trainer && l.Session > 0 {
		return
	}
	l.Session++
	l.Trainer = trainer
}

// CheckSession returns an error if session is not the current session.
func (l *Ledger) CheckSession(session uint64) error {
	if session != l.Session {
		return limpeterror.Fenced.New("trainer session %d is not the current session %d", session, l.Session)
	}
	return nil
}

// Publish records a published version of the weights.
func (l *Ledger) Publish(version uint64) error {
	if version < l.Published {
		return limpeterror.Conflict.New("version %d is older than the published version %d", version, l.Published)
	}
	l.Published = version
	return nil
}

// AddStep records a step. Adding the same step again has no effect.
func (l *Ledger) AddStep(s Step) error {
	if existing := l.step(s.Number); existing != nil {
		if existing.Digest != s.Digest {
			return limpeterror.Conflict.New("step %d exists with other prompts", s.Number)
		}
		return nil
	}
	if s.Number <= l.LastStep {
		return limpeterror.Conflict.New("step %d is not after step %d", s.Number, l.LastStep)
	}
	s.Delivered = make(Bitset, (s.Samples+7)/8)
	l.Steps = append(l.Steps, s)
	l.LastStep = s.Number
	return nil
}

// Cancel ends a step. Its samples that are not in a batch are dropped.
func (l *Ledger) Cancel(number uint64) error {
	s := l.step(number)
	if s == nil {
		return limpeterror.NotFound.New("no open step %d", number)
	}
	s.Cancelled = true
	return nil
}

// NeedsSample reports whether a sample is still to be delivered: its step is
// listed and not cancelled, and the sample is neither acknowledged nor in the
// current batch.
func (l *Ledger) NeedsSample(step uint64, number int) bool {
	s := l.step(step)
	if s == nil || s.Cancelled || s.Delivered.Has(number) {
		return false
	}
	return !slices.ContainsFunc(l.Batch, func(b BatchEntry) bool { return b.Step == step && b.Number == number })
}

// Advance acknowledges the current batch. The new batch consists of those ready
// samples that are still to be delivered and are not too stale. Cursor must be
// the ledger's plus one. Completed steps are removed from the ledger.
func (l *Ledger) Advance(cursor uint64, ready []BatchEntry, bound int) error {
	if cursor != l.Cursor+1 {
		return limpeterror.Conflict.New("cursor %d does not follow cursor %d", cursor, l.Cursor)
	}
	for _, b := range l.Batch {
		if s := l.step(b.Step); s != nil {
			s.Delivered.Add(b.Number)
		}
	}
	l.Batch = nil
	l.Cursor = cursor
	for _, r := range ready {
		if l.NeedsSample(r.Step, r.Number) && Fresh(l.Published, r.Oldest, bound) {
			l.Batch = append(l.Batch, r)
		}
	}
	l.Steps = slices.DeleteFunc(l.Steps, func(s Step) bool {
		return l.remaining(s) == 0 && !slices.ContainsFunc(l.Batch, func(b BatchEntry) bool { return b.Step == s.Number })
	})
	return nil
}

// remaining returns the number of samples of a step that are still to be
// acknowledged, which is 0 for a cancelled step.
func (l *Ledger) remaining(s Step) int {
	if s.Cancelled {
		return 0
	}
	return s.Unacknowledged()
}

// PruneBatch removes samples from the current batch that can no longer be
// delivered: their content was lost with a previous owner, or they have become
// too stale. They have not been acknowledged, so they are generated again.
func (l *Ledger) PruneBatch(keep func(BatchEntry) bool, bound int) (changed bool) {
	length := len(l.Batch)
	l.Batch = slices.DeleteFunc(l.Batch, func(b BatchEntry) bool {
		return !keep(b) || !Fresh(l.Published, b.Oldest, bound)
	})
	return len(l.Batch) != length
}

// HasOpenSteps reports whether any step that is not cancelled has unacknowledged
// samples.
func (l *Ledger) HasOpenSteps() bool {
	return slices.ContainsFunc(l.Steps, func(s Step) bool { return l.remaining(s) > 0 })
}

// Clone returns a deep copy of l.
func (l *Ledger) Clone() Ledger {
	c := *l
	c.Batch = slices.Clone(l.Batch)
	c.Steps = slices.Clone(l.Steps)
	for i := range c.Steps {
		c.Steps[i].Delivered = slices.Clone(c.Steps[i].Delivered)
	}
	return c
}
