package limpethttp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

// Bodies bounds the memory that the bodies of requests take together, from before they
// are read until their requests are answered. It is safe for concurrent use.
type Bodies struct {
	*Budget

	// overflow, if set, is the account from which bodies take memory that find none here.
	overflow *Bodies

	mu sync.Mutex
	// reading holds the bodies that are being read.
	reading map[*bodyRead]bool
	// GivenUp counts the bodies that made way for others.
	GivenUp atomic.Int64
}

// A bodyRead is a body that is being read.
type bodyRead struct {
	bodies *Bodies
	hold   *Hold
	giveUp func()
	// copies is the number of times that it stands in memory, and begun when the read
	// began.
	copies int64
	begun  time.Time
	// The mutex of bodies guards these fields: the memory that it takes, what has
	// arrived, in bytes, and when bytes arrived last.
	held, arrived int64
	progress      time.Time
	gaveUp        bool
}

const (
	// stalledAfter is the time without progress after which a body makes way for
	// others when there is no memory. Packets that are lost once or twice are sent
	// again within it.
	stalledAfter = 2 * time.Second
	// slowestArrival is the time within which a body must arrive to keep its memory when
	// others need it. Few deadlines of callers are longer.
	slowestArrival = time.Minute
	// makeWayTimeout bounds the wait for the memory of bodies that are given up.
	makeWayTimeout = 500 * time.Millisecond
	makeWayPoll    = 5 * time.Millisecond
	// maxRoomWait is the longest time for which a body waits for others to end.
	maxRoomWait = 300 * time.Millisecond
)

// NewBodies returns bodies that take limit bytes together. Limit is asked each time, so
// that it may change.
func NewBodies(limit func() int64) *Bodies {
	return &Bodies{Budget: &Budget{limit: limit, share: maxBodyShare}, reading: map[*bodyRead]bool{}}
}

// Hold returns a hold of no bytes. Bodies that are read without progress make way for it.
func (b *Bodies) Hold() *Hold { return &Hold{budget: b.Budget, bodies: b} }

// NewReserved returns bodies that take limit bytes together, and more from overflow where
// there is room. Bodies of overflow take nothing of the limit.
func NewReserved(limit func() int64, overflow *Bodies) *Bodies {
	b := NewBodies(limit)
	b.overflow = overflow
	return b
}

// Read reads a body to its end. Length is its stated length, for which there must be
// room before anything is read, or negative; limit is the length that it has at most.
// Copies is the number of times that the body stands in memory while its request is
// handled. GiveUp, which may be nil, makes reads of r fail; it is called when another body
// needs the memory and this one makes no progress. The hold is released by the caller, and
// on an error by Read. The error has type Overloaded if there is no room, and is that of r
// otherwise.
func (b *Bodies) Read(r io.Reader, length, limit int64, copies int, giveUp func()) ([]byte, *Hold, error) {
	read := b.begin(copies, giveUp)
	data, err := read.readBody(r, length, limit, int64(copies))
	err = read.end(err)
	if err != nil {
		read.hold.Release()
		return nil, nil, err
	}
	return data, read.hold, nil
}

func (b *Bodies) begin(copies int, giveUp func()) *bodyRead {
	now := time.Now()
	read := &bodyRead{bodies: b, hold: b.Hold(), giveUp: giveUp, copies: int64(copies), begun: now, progress: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading[read] = true
	return read
}

// end is called when a body has been read, or the read failed with err. It returns the
// error for its reader.
func (h *bodyRead) end(err error) error {
	h.bodies.mu.Lock()
	defer h.bodies.mu.Unlock()
	delete(h.bodies.reading, h)
	if err != nil && h.gaveUp {
		return limpeterror.Overloaded.Wrap(err, "no memory for a body without progress")
	}
	return err
}

// A LimitedBody is a body whose memory is accounted for as it is read.
type LimitedBody struct {
	io.ReadCloser
	read   *bodyRead
	copies int64
	// stated is the stated length, and size that which has been read.
	stated, size int64
}

// Limit returns a body that takes its memory, copies times. That of its stated length,
// which may be negative, is taken at once, and more as it is read; its reads fail if there
// is no room. The error has type Overloaded if there is no room at once. The caller
// releases the body.
func (b *Bodies) Limit(r io.ReadCloser, length int64, copies int, giveUp func()) (*LimitedBody, error) {
	l := &LimitedBody{ReadCloser: r, read: b.begin(copies, giveUp), copies: int64(copies), stated: max(0, length)}
	if err := l.resize(l.stated * l.copies); err != nil {
		l.Release()
		return nil, err
	}
	return l, nil
}

// Bound returns a handler that bounds the memory of bodies while next handles their
// requests, which hold them copies times. Refused is called for each that finds none at
// once.
func (b *Bodies) Bound(next http.Handler, copies int, refused func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body, err := b.Limit(r.Body, r.ContentLength, copies, GiveUpBody(r))
		if err != nil {
			refused()
			Refuse(w, "no memory for the body")
			return
		}
		defer body.Release()
		r = r.WithContext(context.WithValue(r.Context(), limitedBodyKey{}, body))
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

type limitedBodyKey struct{}

// Decoded is called by the handler of a request whose body Bound accounts for, when it has
// decoded all of it and no longer needs the copies that this took. The body then takes its
// size once.
func Decoded(ctx context.Context) {
	l, _ := ctx.Value(limitedBodyKey{}).(*LimitedBody)
	if l == nil {
		return
	}
	l.copies, l.stated = 1, 0
	// A body that takes less always finds room.
	_ = l.resize(l.size)
}

// Read implements io.Reader.
func (l *LimitedBody) Read(p []byte) (int, error) {
	n, err := progressReader{l.ReadCloser, l.read}.Read(p)
	l.size += int64(n)
	if full := l.resize(max(l.stated, l.size) * l.copies); full != nil {
		return 0, l.read.end(full)
	}
	if err != nil {
		err = l.read.end(err)
	}
	return n, err
}

// resize changes the memory that the body takes. If its account has no room, all of it
// moves to the account's overflow.
func (l *LimitedBody) resize(size int64) error {
	err := l.read.resize(size)
	overflow := l.read.bodies.overflow
	if err == nil || overflow == nil {
		return err
	}
	moved := overflow.begin(int(l.copies), l.read.giveUp)
	l.read.bodies.mu.Lock()
	moved.begun, moved.progress, moved.arrived = l.read.begun, l.read.progress, l.read.arrived
	gaveUp := l.read.gaveUp
	l.read.bodies.mu.Unlock()
	if !gaveUp {
		err = moved.resize(size)
	}
	if err != nil {
		// The error that counts is that of the resize.
		_ = moved.end(nil)
		return err
	}
	l.Release()
	l.read = moved
	return nil
}

// Release gives the memory back.
func (l *LimitedBody) Release() {
	// The result says why the read ended, which its reader knows.
	_ = l.read.end(nil)
	l.read.hold.Release()
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

// A progressReader notes the progress of a body.
type progressReader struct {
	io.Reader
	read *bodyRead
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.read.bodies.mu.Lock()
		p.read.progress = time.Now()
		p.read.arrived += int64(n)
		p.read.bodies.mu.Unlock()
	}
	return n, err
}

func (h *bodyRead) readBody(r io.Reader, length, limit, copies int64) ([]byte, error) {
	r = progressReader{r, h}
	if length >= 0 {
		if err := h.resize(length * copies); err != nil {
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
			return data, h.resize(int64(cap(data)) * copies)
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		size := h.hold.nextSize(int64(cap(data)), limit)
		// The old and the new memory stand side by side.
		if err := h.resize(max(size+int64(cap(data)), size*copies)); err != nil {
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
	largeBodyShare = 2
	// endBytes are left free for the read that finds the end of the body.
	endBytes = 512
)

// nextSize returns the size of the memory for a body that has filled size bytes.
func (h *Hold) nextSize(size, limit int64) int64 {
	if size < largeBodyBytes {
		return 2 * size
	}
	budget := h.budget.limit()
	next := max(2*size, min(limit, budget/largeBodyShare)+endBytes)
	// The old and the new memory stand side by side: one step further, a body of the
	// limit would not fit any more.
	if size+limit+endBytes <= budget && next+limit+endBytes > budget {
		next = limit + endBytes
	}
	// A body over the limit is refused once it has filled the room for one of the limit.
	return max(size+endBytes, min(next, limit+endBytes))
}

// resizeBody is Resize for a body. The error has type Overloaded.
func (h *Hold) resizeBody(size int64) error {
	if err := h.Resize(size); err != nil {
		return limpeterror.Overloaded.Wrap(err, "no memory for the body")
	}
	return nil
}

// resize changes the memory that a body takes while it is read. Without room it waits
// for a random time: of several bodies that hold a part each, those that give up first
// leave theirs to the others, so that not all of them fail.
func (h *bodyRead) resize(size int64) error {
	err := h.hold.resizeBody(size)
	if err != nil && size <= h.hold.budget.limit() {
		ends := time.Now().Add(time.Duration(limpettask.RandomInt(int(maxRoomWait))))
		for err != nil && time.Now().Before(ends) {
			time.Sleep(makeWayPoll)
			err = h.hold.resizeBody(size)
		}
	}
	if err != nil {
		return err
	}
	h.bodies.mu.Lock()
	h.held = h.hold.taken
	h.bodies.mu.Unlock()
	return nil
}

// late reports whether a body makes way for others: nothing has arrived for some time,
// or too little since it began. The caller holds the mutex of bodies.
func (h *bodyRead) late(now time.Time) bool {
	if now.Sub(h.progress) >= stalledAfter {
		return true
	}
	due := float64(h.held) * (now.Sub(h.begun) - stalledAfter).Seconds() / slowestArrival.Seconds()
	return float64(h.arrived*h.copies) < due
}

// retry resizes a hold when the bodies that make way have given their memory back.
func (h *Hold) retry(size int64) error {
	for ends := time.Now().Add(makeWayTimeout); ; {
		err := h.resize(size)
		if err == nil || time.Now().After(ends) {
			return err
		}
		time.Sleep(makeWayPoll)
	}
}

// makeWay gives up bodies without progress, first those that hold most, until there is
// room for one of some size. It gives up none if that does not make room.
func (b *Bodies) makeWay(asking *Hold, size int64) bool {
	limit := b.limit()
	if size > limit {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	need := b.used.Load() + size - asking.taken - limit
	var stalled []*bodyRead
	var free int64
	for r := range b.reading {
		switch {
		case r.hold == asking || r.giveUp == nil || r.held == 0:
		case r.gaveUp:
			need -= r.held
		case r.late(time.Now()):
			stalled = append(stalled, r)
			free += r.held
		}
	}
	if free < need {
		return false
	}
	slices.SortFunc(stalled, func(a, b *bodyRead) int { return cmp.Compare(b.held, a.held) })
	for _, r := range stalled {
		if need <= 0 {
			break
		}
		need -= r.held
		r.gaveUp = true
		r.giveUp()
		b.GivenUp.Add(1)
	}
	return true
}
