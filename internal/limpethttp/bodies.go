package limpethttp

import (
	"errors"
	"io"

	"limpetmount.org/internal/limpeterror"
)

// Bodies bounds the memory that the bodies of requests take together, from before they
// are read until their requests are answered. It is safe for concurrent use.
type Bodies struct{ *Budget }

// NewBodies returns bodies that take limit bytes together. Limit is asked each time, so
// that it may change.
func NewBodies(limit func() int64) *Bodies {
	return &Bodies{&Budget{limit: limit, share: maxBodyShare}}
}

// Read reads a body to its end. Length is its stated length, for which there must be
// room before anything is read, or negative; limit is the length that it has at most.
// Copies is the number of times that the body stands in memory while its request is
// handled. The hold is released by the caller, and on an error by Read. The error has
// type Overloaded if there is no room, and is that of r otherwise.
func (b *Bodies) Read(r io.Reader, length, limit int64, copies int) ([]byte, *Hold, error) {
	h := b.Hold()
	data, err := h.readBody(r, length, limit, int64(copies))
	if err != nil {
		h.Release()
		return nil, nil, err
	}
	return data, h, nil
}

// Take holds memory for a body that is in memory already. The error has type Overloaded
// if there is no room.
func (b *Bodies) Take(size int) (*Hold, error) {
	h := b.Hold()
	if err := h.resizeBody(int64(size)); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Hold) readBody(r io.Reader, length, limit, copies int64) ([]byte, error) {
	if length >= 0 {
		if err := h.resizeBody(length * copies); err != nil {
			return nil, err
		}
		data := make([]byte, length)
		_, err := io.ReadFull(r, data)
		return data, err
	}
	data := make([]byte, 0, initialBytes)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, h.resizeBody(int64(cap(data)) * copies)
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		size := h.nextSize(int64(cap(data)), limit)
		// The old and the new memory stand side by side.
		if err := h.resizeBody(max(size+int64(cap(data)), size*copies)); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, size), data...)
	}
}

const (
	// largeBodyBytes is the size beyond which a body of unknown length gets room for
	// what it may have at most, so that of several large ones some are read to their
	// ends and not all of them to a part.
	largeBodyBytes = 1 << 20
	// largeBodyShare bounds that room: budget / largeBodyShare.
	largeBodyShare = 3
	// endBytes are left free for the read that finds the end of the body.
	endBytes = 512
)

// nextSize returns the size of the memory for a body that has filled size bytes.
func (h *Hold) nextSize(size, limit int64) int64 {
	if size < largeBodyBytes {
		return 2 * size
	}
	return max(2*size, min(limit, h.budget.limit()/largeBodyShare)+endBytes)
}

// resizeBody is Resize for a body. The error has type Overloaded.
func (h *Hold) resizeBody(size int64) error {
	if err := h.Resize(size); err != nil {
		return limpeterror.Overloaded.Wrap(err, "no memory for the body")
	}
	return nil
}
