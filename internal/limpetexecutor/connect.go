package limpetexecutor

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
	// busyRetryDelay is the delay between attempts to find a director while
	// runs are held, and idleRetryDelay the delay otherwise.
	busyRetryDelay = 150 * time.Millisecond
	idleRetryDelay = 500 * time.Millisecond
	// declinedRetryDelay is how long a VM that the director did not need waits
	// before it offers itself again.
	declinedRetryDelay = 8 * time.Second
)

// A Connector offers a VM to the director, and to its successor when the director
// is lost.
type Connector struct {
	Executor *Executor
	// Session is the prefix of the session IDs of this VM.
	Session string
	// DirectorAddress reads the director's address from the store; it is empty if there is
	// no director other than this VM.
	DirectorAddress func(ctx context.Context) (address string, err error)
	Link            func(address string) Link
	// Enabled reports whether this VM may execute runs for another one.
	Enabled func() bool

	mu sync.Mutex
	// seen is the address of the director that responded last, at seenAt.
	seen   string
	seenAt time.Time
	// current is the address of the director that the offer is open with, and
	// cancel ends the offer.
	current string
	cancel  context.CancelFunc
}

// DirectorSeen records that a director responded as such. An offer to another director
// ends.
func (s *Connector) DirectorSeen(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen, s.seenAt = address, s.Executor.Now()
	if s.cancel != nil && s.current != address {
		s.cancel()
	}
}

// Run offers the VM to directors until ctx is done.
func (s *Connector) Run(ctx context.Context) error {
	var last string
	var failedAt time.Time
	for number := 0; ctx.Err() == nil; number++ {
		s.Executor.dropExpired()
		var err error
		if address := s.findDirector(ctx, last, failedAt); address != "" && s.Enabled() {
			err = s.offer(ctx, address, number)
			last, failedAt = address, s.Executor.Now()
		}
		limpettask.Sleep(ctx, limpettask.Jitter(s.retryDelay(err)))
	}
	return nil
}

// retryDelay returns the time until the next attempt to find a director, given
// the error of the last offer; nil if none was made.
func (s *Connector) retryDelay(err error) time.Duration {
	switch {
	case errors.Is(err, context.Canceled):
		// The offer ended because another director was found.
		return 0
	case s.Executor.Busy():
		return busyRetryDelay
	case limpeterror.Is(err, limpeterror.Conflict):
		return declinedRetryDelay
	default:
		return idleRetryDelay
	}
}

// findDirector returns the address of a director other than the last one that
// was lost, unless that one has been heard from since. It is empty if there is
// none.
func (s *Connector) findDirector(ctx context.Context, last string, failedAt time.Time) string {
	s.mu.Lock()
	seen, lastSeen := s.seen, s.seenAt
	s.mu.Unlock()
	if seen != "" && lastSeen.After(failedAt) {
		return seen
	}
	if !s.Executor.Busy() {
		return ""
	}
	if address, err := s.DirectorAddress(ctx); err == nil && address != last {
		return address
	}
	return ""
}

// offer executes runs for a director until either side ends the offer.
func (s *Connector) offer(ctx context.Context, address string, number int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCurrent(address, cancel)
	defer s.setCurrent("", nil)
	s.Executor.group.Go(func(context.Context) error { return s.watchForSuccessor(ctx, address, cancel) })
	err := s.Executor.Serve(ctx, s.Link(address), s.Session+"."+strconv.Itoa(number))
	if err != nil && !limpeterror.Is(err, limpeterror.Conflict) {
		s.Executor.Log.Emit(limpetlog.ExecutorDetached, limpetlog.Value("address", address), limpetlog.Error(err))
	}
	return err
}

func (s *Connector) setCurrent(address string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.cancel = address, cancel
}

// watchForSuccessor ends an offer once another VM is the director. It looks for
// one only while the current director is unsure of its lease.
func (s *Connector) watchForSuccessor(ctx context.Context, address string, onFound func()) error {
	for limpettask.Sleep(ctx, limpettask.Jitter(busyRetryDelay)) {
		if !s.Executor.Unsure() {
			continue
		}
		if other, err := s.DirectorAddress(ctx); err == nil && other != "" && other != address {
			onFound()
		}
	}
	return nil
}
