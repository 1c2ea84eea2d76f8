package limpetcarry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// seekPause is the pause between looks for a director while runs are held,
	// and seekIdle the one without.
	seekPause = 150 * time.Millisecond
	seekIdle  = 500 * time.Millisecond
	// enoughPause is how long a VM that the director has no use for waits until
	// it offers itself again.
	enoughPause = 8 * time.Second
)

// A Seeker offers a carrier to the director, and to the next one when that is
// lost.
type Seeker struct {
	Carrier *Carrier
	// Session begins the names of this VM's offers.
	Session string
	// Term reads from the store where the director is; empty when there is
	// none but this VM.
	Term func(ctx context.Context) (address string, err error)
	Link func(address string) Link
	// Able reports whether this VM may carry runs for another one.
	Able func() bool

	mu      sync.Mutex
	heard   string
	heardAt time.Time
	// at is the director that the VM has an offer with, and cancel ends it.
	at     string
	cancel context.CancelFunc
}

// Heard records that a director's word is good. An offer to another one ends.
func (s *Seeker) Heard(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard, s.heardAt = address, s.Carrier.Now()
	if s.cancel != nil && s.at != address {
		s.cancel()
	}
}

// Run offers the carrier until ctx ends.
func (s *Seeker) Run(ctx context.Context) error {
	var last string
	var failed time.Time
	for number := 0; ctx.Err() == nil; number++ {
		s.Carrier.Tend()
		var err error
		if address := s.find(ctx, last, failed); address != "" && s.Able() {
			err = s.offer(ctx, address, number)
			last, failed = address, s.Carrier.Now()
		}
		limpettask.Sleep(ctx, limpettask.Jitter(s.pause(err)))
	}
	return nil
}

// pause returns the time until the next look for a director after an offer
// that ended so, or none.
func (s *Seeker) pause(err error) time.Duration {
	switch {
	case errors.Is(err, context.Canceled):
		// Another director was found.
		return 0
	case s.Carrier.Busy():
		return seekPause
	case limpeterror.Is(err, limpeterror.Conflict):
		return enoughPause
	default:
		return seekIdle
	}
}

// find returns where a director is that is not the one that was lost last, or
// that was heard since; empty when there is none.
func (s *Seeker) find(ctx context.Context, last string, failed time.Time) string {
	s.mu.Lock()
	heard, at := s.heard, s.heardAt
	s.mu.Unlock()
	if heard != "" && at.After(failed) {
		return heard
	}
	if !s.Carrier.Busy() {
		return ""
	}
	if address, err := s.Term(ctx); err == nil && address != last {
		return address
	}
	return ""
}

// offer carries runs for a director until one of the two ends it.
func (s *Seeker) offer(ctx context.Context, address string, number int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.set(address, cancel)
	defer s.set("", nil)
	s.Carrier.group.Go(func(context.Context) error { return s.seekSuccessor(ctx, address, cancel) })
	err := s.Carrier.Serve(ctx, s.Link(address), s.Session+"."+strconv.Itoa(number))
	if err != nil && !limpeterror.Is(err, limpeterror.Conflict) {
		s.Carrier.Log.Emit(limpetlog.CarryLost, limpetlog.Value("address", address), limpetlog.Error(err))
	}
	return err
}

func (s *Seeker) set(address string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at, s.cancel = address, cancel
}

// seekSuccessor ends an offer once another VM is the director, which is looked
// for while the present one is not sure of itself.
func (s *Seeker) seekSuccessor(ctx context.Context, address string, found func()) error {
	for limpettask.Sleep(ctx, limpettask.Jitter(seekPause)) {
		if !s.Carrier.Unsure() {
			continue
		}
		if other, err := s.Term(ctx); err == nil && other != "" && other != address {
			found()
		}
	}
	return nil
}
