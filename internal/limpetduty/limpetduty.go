// Package limpetduty implements duties: tasks that run on exactly one VM at a
// time, protected by a lease with a fencing token. The duties are loading a
// rollout job's weights, ordering backend servers, and reporting usage. The
// Manager decides which duties this VM acquires and runs.
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

// A Duty is a task that at most one VM runs at a time. Run returns when its
// context is canceled; fence is the fencing token of the acquisition.
type Duty struct {
	Name string
	Run  func(ctx context.Context, fence uint64)
}

// ManagerConfig holds a Manager's settings and dependencies.
type ManagerConfig struct {
	View   func() *limpetview.View
	Holder *limpetlease.Holder
	// Self is the name of this VM.
	Self          string
	LeaseDuration time.Duration
	// Desired returns the duties that some VM must run.
	Desired func() []Duty
	Log     *limpetlog.Logger
	Now     func() time.Time
}

// A Manager acquires duties for this VM and runs those that it holds.
type Manager struct {
	ManagerConfig
	mu sync.Mutex
	// running maps the name of each running duty to its goroutines.
	running map[string]*limpettask.Group
	// unheldSince maps each duty without a known holder to the time at which
	// this was first observed, or at which this VM last failed to acquire the
	// duty because another VM held it.
	unheldSince map[string]time.Time
	stopping    bool
}

const (
	reconcilePeriod = 300 * time.Millisecond
	// rankDelay is how long a VM waits for each VM ranked before it to acquire
	// an unheld duty.
	rankDelay      = 2 * time.Second
	acquireTimeout = 2 * time.Second
)

// NewManager returns a Manager that holds no duties.
func NewManager(config ManagerConfig) *Manager {
	return &Manager{ManagerConfig: config, running: map[string]*limpettask.Group{}, unheldSince: map[string]time.Time{}}
}

// Run acquires and releases duties until ctx is canceled.
func (m *Manager) Run(ctx context.Context) {
	for limpettask.Sleep(ctx, limpettask.Jitter(reconcilePeriod)) {
		m.reconcile(ctx)
	}
	m.Stop()
}

func (m *Manager) reconcile(ctx context.Context) {
	desired := m.Desired()
	m.stopObsolete(ctx, desired)
	v := m.View()
	for _, d := range desired {
		if m.isRunning(d.Name) || m.heldElsewhere(v, d.Name) {
			delete(m.unheldSince, d.Name)
			continue
		}
		if m.mayAcquire(v, d.Name) {
			m.acquire(ctx, d)
		}
	}
}

func (m *Manager) isRunning(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[name] != nil || m.stopping
}

// heldElsewhere reports whether another VM recently announced that it holds the
// duty. A VM that has been silent for longer than the lease duration may have
// lost its lease; only an attempt to acquire the duty can tell.
func (m *Manager) heldElsewhere(v *limpetview.View, name string) bool {
	now := m.Now()
	return slices.ContainsFunc(v.Members, func(s limpetmember.State) bool {
		return now.Sub(s.ReportedAt) < m.LeaseDuration && slices.Contains(s.Duties, name)
	})
}

// mayAcquire reports whether this VM may try to acquire an unheld duty. VMs try
// in order of their rank for the duty, rankDelay apart, so that they do not all
// contend for it.
func (m *Manager) mayAcquire(v *limpetview.View, name string) bool {
	if !v.ConfigLoaded || v.Draining {
		return false
	}
	now := m.Now()
	since, ok := m.unheldSince[name]
	if !ok {
		since = now
		m.unheldSince[name] = now
	}
	names := make([]string, 0, len(v.Members))
	for _, s := range v.Members {
		names = append(names, s.Name)
	}
	rank := limpetmember.Rank(name, m.Self, names)
	return now.Sub(since) >= time.Duration(rank)*rankDelay
}

func (m *Manager) acquire(ctx context.Context, d Duty) {
	acquireCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	fence, err := m.Holder.Acquire(acquireCtx, d.Name)
	if err != nil {
		if limpeterror.Is(err, limpeterror.Conflict) {
			m.unheldSince[d.Name] = m.Now()
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

// stopObsolete stops duties that are no longer held or no longer desired.
func (m *Manager) stopObsolete(ctx context.Context, desired []Duty) {
	held := m.Holder.Duties()
	for name, g := range m.runningCopy() {
		_, ok := held[name]
		isDesired := slices.ContainsFunc(desired, func(d Duty) bool { return d.Name == name })
		if ok && isDesired {
			continue
		}
		_ = g.Stop()
		m.mu.Lock()
		delete(m.running, name)
		m.mu.Unlock()
		if ok {
			// If this fails, the duty stays held until the lease expires.
			_ = m.Holder.ReleaseDuty(ctx, name)
		}
		m.Log.Emit(limpetlog.LeaseReleased, limpetlog.Value("duty", name))
	}
}

// runningCopy returns a copy of the map of running duties.
func (m *Manager) runningCopy() map[string]*limpettask.Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := make(map[string]*limpettask.Group, len(m.running))
	for name, g := range m.running {
		running[name] = g
	}
	return running
}

// Stop stops all duties and acquires no new ones. Releasing the lease is up to
// the caller.
func (m *Manager) Stop() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	for name, g := range m.runningCopy() {
		_ = g.Stop()
		m.mu.Lock()
		delete(m.running, name)
		m.mu.Unlock()
		m.Log.Emit(limpetlog.LeaseReleased, limpetlog.Value("duty", name))
	}
}
