package limpethttp

import "sync/atomic"

// Slots bounds the requests that run at once. It is safe for concurrent use.
type Slots struct {
	limit func() int
	used  atomic.Int64
	// waiting is the part of used that TakeWaiting took.
	waiting atomic.Int64
}

// waitingShare is the part of the slots, one in waitingShare, for requests that wait, so
// that they do not keep others out for as long as they wait.
const waitingShare = 2

// NewSlots returns limit slots. Limit is asked each time, so that it may change.
func NewSlots(limit func() int) *Slots { return &Slots{limit: limit} }

// Used returns the number of slots that are taken.
func (s *Slots) Used() int { return int(s.used.Load()) }

// Take takes a slot. It reports false if there is none.
func (s *Slots) Take() bool {
	if s.used.Add(1) <= int64(s.limit()) {
		return true
	}
	s.used.Add(-1)
	return false
}

// Release gives a slot back.
func (s *Slots) Release() { s.used.Add(-1) }

// TakeWaiting takes a slot for a request that may wait long, of which there may be fewer at
// once. It reports false if there is none.
func (s *Slots) TakeWaiting() bool {
	if s.waiting.Add(1) <= int64(s.limit()/waitingShare) && s.Take() {
		return true
	}
	s.waiting.Add(-1)
	return false
}

// ReleaseWaiting gives a slot of TakeWaiting back.
func (s *Slots) ReleaseWaiting() {
	s.waiting.Add(-1)
	s.Release()
}
