package limpethttp

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpeterror"
)

const (
	// freeBytes is the memory that each answer may take without the budget. So
	// ordinary answers do not fail because large ones take all of it.
	freeBytes = 16 << 10
	// maxAnswerShare bounds one answer: budget / maxAnswerShare.
	maxAnswerShare = 2
	// maxBodyShare bounds one request body, of which one may take the whole budget.
	maxBodyShare = 1
	initialBytes = 4 << 10
	// releaseTime is left to holders that were made to give up what they hold.
	releaseTime = 25 * time.Millisecond
)

// A Budget bounds the memory that the answers of peers take together. It is safe
// for concurrent use.
type Budget struct {
	limit func() int64
	used  atomic.Int64
	// share bounds what one holder takes: limit / share.
	share int64
	// makeRoom, if set, is called when there is no room. It reports whether it has
	// made holders give up what they hold, which takes a moment.
	makeRoom atomic.Pointer[func() bool]
}

// SetMakeRoom sets the function that is called when there is no room. It reports whether
// it has made holders give up what they hold.
func (b *Budget) SetMakeRoom(f func() bool) { b.makeRoom.Store(&f) }

// NewBudget returns a budget of limit bytes for answers. Limit is asked each time, so
// that it may change.
func NewBudget(limit func() int64) *Budget { return &Budget{limit: limit, share: maxAnswerShare} }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Hold returns a hold of no bytes, for one answer.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// A Hold is the part of a budget that one answer takes. Its methods must not be
// called at the same time.
type Hold struct {
	budget *Budget
	// bodies, if set, make way for the hold.
	bodies *Bodies
	taken  int64
}

// Resize changes the memory that the answer takes, in bytes. The error has type
// Unknown: the answer is too large, or all answers together are.
func (h *Hold) Resize(size int64) error {
	err := h.resize(size)
	if err != nil && h.bodies != nil && h.bodies.makeWay(h, size) {
		err = h.retry(size)
	}
	return err
}

func (h *Hold) resize(size int64) error {
	b := h.budget
	if err := b.checkAnswer(size); err != nil {
		return err
	}
	limit, want := b.limit(), max(0, size-freeBytes)
	for ends := time.Now().Add(makeWayTimeout); ; {
		// One that does not get more never keeps it from another one.
		used := b.used.Load()
		total := used + want - h.taken
		if want > h.taken && total > limit {
			if f := b.makeRoom.Load(); f != nil && want <= limit && time.Now().Before(ends) && (*f)() {
				time.Sleep(releaseTime)
				continue
			}
			return limpeterror.Unknown.New("what is held in memory takes more than %d bytes", limit)
		}
		if b.used.CompareAndSwap(used, total) {
			h.taken = want
			return nil
		}
	}
}

// checkAnswer returns an error of type Unknown for the size of an answer that is
// too large.
func (b *Budget) checkAnswer(size int64) error {
	if bound := b.limit() / b.share; size > bound {
		return limpeterror.Unknown.New("more than %d bytes", bound)
	}
	return nil
}

// Release gives all bytes back.
func (h *Hold) Release() {
	h.budget.used.Add(-h.taken)
	h.taken = 0
}

// ReadAll reads an answer to its end. Length is its stated length, or negative.
// The hold is released by the caller, and on an error by ReadAll. Errors of r
// are returned unchanged.
func (b *Budget) ReadAll(r io.Reader, length int64) ([]byte, *Hold, error) {
	h := b.Hold()
	data, err := h.readAll(r, length)
	if err != nil {
		h.Release()
		return nil, nil, err
	}
	return data, h, nil
}

func (h *Hold) readAll(r io.Reader, length int64) ([]byte, error) {
	if err := h.budget.checkAnswer(length); err != nil {
		return nil, err
	}
	// The memory grows with what is received, since the length may be wrong.
	data := make([]byte, 0, initialBytes)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		size := 2 * cap(data)
		if err := h.Resize(int64(size)); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, size), data...)
	}
}
