// Package limpetduty owns the work that exactly one VM does at a time, under
// a lease: rollout jobs' weights, orders for backend servers, and usage
// reports. The Manager decides which duties this VM takes over.
package limpetduty

import (
	"context"
	"slices"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetview"
)

// A Duty names work and how to do it. Run ends when its context does; fence is
// the fencing number of the lease.
type Duty struct {
	Name string
	Run  func(ctx context.Context, fence uint64)
}

// ManagerSeams holds what a Manager uses of the rest of the system.
type ManagerSeams struct {
	View   func() *limpetview.View
	Holder *limpetlease.Holder
	Self   string
	// Lease is the duration of a lease.
	Lease time.Duration
	// Wanted returns the duties that some VM must do.
	Wanted func() []Duty
	Log    *limpetlog.Logger
	Now    func() time.Time
}

// A Manager holds the duties that run on this VM.
type Manager struct {
	ManagerSeams
	mu      sync.Mutex
	running map[string]*limpettask.Group
	// free is when a duty was first seen without a holder.
	free     map[string]time.Time
	stopping bool
}

const (
	managePeriod = 300 * time.Millisecond
	// rankDelay is how long a VM leaves a free duty to each better-ranked one.
	rankDelay      = 2 * time.Second
	acquireTimeout = 2 * time.Second
)

// NewManager returns a manager without duties.
func NewManager(seams ManagerSeams) *Manager {
	return &Manager{ManagerSeams: seams, running: map[string]*limpettask.Group{}, free: map[string]time.Time{}}
}

// Run takes duties over and gives them up until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for limpettask.Sleep(ctx, limpettask.Jitter(managePeriod)) {
		m.round(ctx)
	}
	m.Stop()
}

func (m *Manager) round(ctx context.Context) {
	wanted := m.Wanted()
	m.stopLost(ctx, wanted)
	v := m.View()
	for _, d := range wanted {
		if m.isRunning(d.Name) || m.heldElsewhere(v, d.Name) {
			delete(m.free, d.Name)
			continue
		}
		if m.turn(v, d.Name) {
			m.take(ctx, d)
		}
	}
}

func (m *Manager) isRunning(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[name] != nil || m.stopping
}

// heldElsewhere reports whether another VM said of late that it holds a duty.
// A holder that was silent for longer than a lease lasts may have lost it; the
// acquisition then tells.
func (m *Manager) heldElsewhere(v *limpetview.View, name string) bool {
	now := m.Now()
	return slices.ContainsFunc(v.Members, func(s limpetmember.State) bool {
		return now.Sub(s.Heard) < m.Lease && slices.Contains(s.Duties, name)
	})
}

// turn reports whether it is this VM's turn to try a free duty.
func (m *Manager) turn(v *limpetview.View, name string) bool {
	if !v.Loaded || v.Draining {
		return false
	}
	now := m.Now()
	since, ok := m.free[name]
	if !ok {
		since = now
		m.free[name] = now
	}
	names := make([]string, 0, len(v.Members))
	for _, s := range v.Members {
		names = append(names, s.Name)
	}
	rank := limpetmember.Rank(name, m.Self, names)
	return now.Sub(since) >= time.Duration(rank)*rankDelay
}

func (m *Manager) take(ctx context.Context, d Duty) {
	acquireCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	fence, err := m.Holder.Acquire(acquireCtx, d.Name)
	if err != nil {
		if limpeterror.Is(err, limpeterror.Conflict) {
			m.free[d.Name] = m.Now()
		}
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	m.Log.Emit(limpetlog.LeaseAcquired, limpetlog.Value("duty", d.Name), limpetlog.Value("fence", fence))
	g := limpettask.New(ctx)
	m.running[d.Name] = g
	g.Go(func(ctx context.Context) error {
		d.Run(ctx, fence)
		return nil
	})
}

// stopLost ends duties that are no longer held or no longer wanted.
func (m *Manager) stopLost(ctx context.Context, wanted []Duty) {
	held := m.Holder.Duties()
	for name, g := range m.snapshot() {
		_, ok := held[name]
		isWanted := slices.ContainsFunc(wanted, func(d Duty) bool { return d.Name == name })
		if ok && isWanted {
			continue
		}
		_ = g.Stop()
		m.mu.Lock()
		delete(m.running, name)
		m.mu.Unlock()
		if ok {
			// Without the deletion the duty stays until the lease ends.
			_ = m.Holder.Leave(ctx, name)
		}
		m.Log.Emit(limpetlog.LeaseReleased, limpetlog.Value("duty", name))
	}
}

func (m *Manager) snapshot() map[string]*limpettask.Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := make(map[string]*limpettask.Group, len(m.running))
	for name, g := range m.running {
		running[name] = g
	}
	return running
}

// Stop ends all duties and takes no new ones. The lease is left to the caller.
func (m *Manager) Stop() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	for name, g := range m.snapshot() {
		_ = g.Stop()
		m.mu.Lock()
		delete(m.running, name)
		m.mu.Unlock()
		m.Log.Emit(limpetlog.LeaseReleased, limpetlog.Value("duty", name))
	}
}
