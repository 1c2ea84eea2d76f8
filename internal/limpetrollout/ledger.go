// Package limpetrollout owns rollout jobs: steps of samples, their labels, and
// the ledger through which each sample is delivered exactly once. It must not
// import transports; generation, scoring and the store are seams.
package limpetrollout

import (
	"encoding/json"
	"slices"

	"limpetmount.org/internal/limpeterror"
)

// A Range labels the tokens from From up to, not including, To with the
// weights that produced them.
type Range struct {
	From        int    `json:"from"`
	To          int    `json:"to"`
	Version     uint64 `json:"version"`
	Incarnation string `json:"incarnation"`
}

// Labels holds the ranges of a sample as its stream's marks arrive.
type Labels struct {
	Ranges []Range
}

// Tokens returns the number of labelled tokens.
func (l *Labels) Tokens() int {
	if len(l.Ranges) == 0 {
		return 0
	}
	return l.Ranges[len(l.Ranges)-1].To
}

// Add labels the token at index. It fails on a gap, on a missing mark, and on
// a version that goes back within one incarnation of an engine: such a stream
// does not tell what produced it.
func (l *Labels) Add(index int, version uint64, incarnation string) error {
	if index != l.Tokens() {
		return limpeterror.Invalid.New("token %d follows token %d", index, l.Tokens()-1)
	}
	if version == 0 || incarnation == "" {
		return limpeterror.Invalid.New("token %d has no version mark", index)
	}
	if n := len(l.Ranges); n > 0 && l.Ranges[n-1].Incarnation == incarnation {
		last := &l.Ranges[n-1]
		if version < last.Version {
			return limpeterror.Invalid.New("token %d: version went back from %d to %d", index, last.Version, version)
		}
		if version == last.Version {
			last.To++
			return nil
		}
	}
	l.Ranges = append(l.Ranges, Range{From: index, To: index + 1, Version: version, Incarnation: incarnation})
	return nil
}

// Oldest returns the oldest version among the ranges, 0 when there are none.
func Oldest(ranges []Range) uint64 {
	if len(ranges) == 0 {
		return 0
	}
	return slices.MinFunc(ranges, func(a, b Range) int { return int(a.Version) - int(b.Version) }).Version
}

// Fresh reports whether a sample with the given oldest version is within the
// staleness bound of the newest published version.
func Fresh(published, oldest uint64, bound int) bool {
	return oldest > 0 && oldest+uint64(bound) >= published
}

// A Sealed names a sample that was put into a batch.
type Sealed struct {
	Step    uint64 `json:"step"`
	Number  int    `json:"number"`
	Attempt string `json:"attempt"`
	Oldest  uint64 `json:"oldest"`
}

// Bits is a set of sample numbers.
type Bits []byte

// Has reports whether n is in the set.
func (b Bits) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Add puts n into the set.
func (b Bits) Add(n int) { b[n/8] |= 1 << (n % 8) }

// A Step holds how far a step was delivered. Samples is its size, Parts the
// number of store keys that hold its prompts.
type Step struct {
	Number    uint64 `json:"number"`
	Samples   int    `json:"samples"`
	Parts     int    `json:"parts"`
	Digest    string `json:"digest"`
	Delivered Bits   `json:"delivered"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

// Left returns the number of samples that were not acknowledged.
func (s Step) Left() int {
	left := 0
	for n := range s.Samples {
		if !s.Delivered.Has(n) {
			left++
		}
	}
	return left
}

// A Ledger holds a job's state in the store. Each change sets Operation to a
// new value. Batch holds the samples of the newest cursor, which the fetch of
// the next cursor acknowledges.
type Ledger struct {
	Operation string   `json:"operation"`
	Session   uint64   `json:"session"`
	Trainer   string   `json:"trainer"`
	Published uint64   `json:"published"`
	Cursor    uint64   `json:"cursor"`
	Batch     []Sealed `json:"batch,omitempty"`
	Steps     []Step   `json:"steps,omitempty"`
	LastStep  uint64   `json:"last_step"`
}

// DecodeLedger reads a stored ledger; empty data is the empty ledger.
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

// OpenSession makes trainer the job's only trainer process. Opening it twice
// changes nothing; another trainer fences the former one.
func (l *Ledger) OpenSession(trainer string) {
	if l.Trainer == trainer && l.Session > 0 {
		return
	}
	l.Session++
	l.Trainer = trainer
}

// CheckSession refuses a trainer that another one has replaced.
func (l *Ledger) CheckSession(session uint64) error {
	if session != l.Session {
		return limpeterror.Fenced.New("trainer session %d is not the current session %d", session, l.Session)
	}
	return nil
}

// Publish records a newer version of the weights.
func (l *Ledger) Publish(version uint64) error {
	if version < l.Published {
		return limpeterror.Conflict.New("version %d is older than the published version %d", version, l.Published)
	}
	l.Published = version
	return nil
}

// AddStep records a step. Adding the same step again changes nothing.
func (l *Ledger) AddStep(s Step) error {
	if old := l.step(s.Number); old != nil {
		if old.Digest != s.Digest {
			return limpeterror.Conflict.New("step %d exists with other prompts", s.Number)
		}
		return nil
	}
	if s.Number <= l.LastStep {
		return limpeterror.Conflict.New("step %d is not after step %d", s.Number, l.LastStep)
	}
	s.Delivered = make(Bits, (s.Samples+7)/8)
	l.Steps = append(l.Steps, s)
	l.LastStep = s.Number
	return nil
}

// Cancel ends a step; its samples that were not handed over are dropped.
func (l *Ledger) Cancel(number uint64) error {
	s := l.step(number)
	if s == nil {
		return limpeterror.NotFound.New("no open step %d", number)
	}
	s.Cancelled = true
	return nil
}

// Wanted reports whether a sample is still to be delivered: its step is open,
// and it is neither acknowledged nor in the current batch.
func (l *Ledger) Wanted(step uint64, number int) bool {
	s := l.step(step)
	if s == nil || s.Cancelled || s.Delivered.Has(number) {
		return false
	}
	return !slices.ContainsFunc(l.Batch, func(b Sealed) bool { return b.Step == step && b.Number == number })
}

// Advance acknowledges the current batch and seals the next one. Cursor must
// follow the ledger's. Samples that are not wanted or not fresh are left out.
func (l *Ledger) Advance(cursor uint64, ready []Sealed, bound int) error {
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
		if l.Wanted(r.Step, r.Number) && Fresh(l.Published, r.Oldest, bound) {
			l.Batch = append(l.Batch, r)
		}
	}
	l.Steps = slices.DeleteFunc(l.Steps, func(s Step) bool {
		return l.unsealed(s) == 0 && !slices.ContainsFunc(l.Batch, func(b Sealed) bool { return b.Step == s.Number })
	})
	return nil
}

func (l *Ledger) unsealed(s Step) int {
	if s.Cancelled {
		return 0
	}
	return s.Left()
}

// Amend drops samples from the current batch that can no longer be handed
// over: their content was lost with an owner, or they have become stale. They
// were never acknowledged, so that they are wanted again.
func (l *Ledger) Amend(keep func(Sealed) bool, bound int) (changed bool) {
	before := len(l.Batch)
	l.Batch = slices.DeleteFunc(l.Batch, func(b Sealed) bool {
		return !keep(b) || !Fresh(l.Published, b.Oldest, bound)
	})
	return len(l.Batch) != before
}

// Open reports whether any step has samples that were not acknowledged.
func (l *Ledger) Open() bool {
	return slices.ContainsFunc(l.Steps, func(s Step) bool { return l.unsealed(s) > 0 })
}

// Clone returns a copy that shares nothing with l.
func (l *Ledger) Clone() Ledger {
	c := *l
	c.Batch = slices.Clone(l.Batch)
	c.Steps = slices.Clone(l.Steps)
	for i := range c.Steps {
		c.Steps[i].Delivered = slices.Clone(c.Steps[i].Delivered)
	}
	return c
}
