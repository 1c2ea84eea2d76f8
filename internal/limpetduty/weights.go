package limpetduty

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpettask"
)

// A WeightLoader brings a service's engines to the newest published version of
// the weights. It runs as part of the duty of the job that publishes them, under
// that duty's lease.
type WeightLoader struct {
	Service string
	// Fence is the fencing token of the job's lease.
	Fence uint64
	// InitialDelay is the wait before the first order. Engines that ignore
	// fencing tokens may still receive an order that the previous holder sent
	// just before its lease expired.
	InitialDelay time.Duration
	Engine       limpetengine.Engine
	// Servers returns all running servers of the service.
	Servers func(ctx context.Context) ([]limpetorder.Server, error)
	// LeaseValidFor reports whether the duty is certain to stay held for d.
	LeaseValidFor func(d time.Duration) bool
	Log           *limpetlog.Logger
	Now           func() time.Time

	published atomic.Uint64
	// activeVersion is the version that was last observed on all engines.
	activeVersion uint64
	// attempts counts, by server ID, the attempts to update an engine since a
	// new version was last observed on all engines.
	attempts map[string]int
}

const (
	weightSyncPeriod = 300 * time.Millisecond
	// maxParallelCalls bounds the concurrent calls to engines, both for orders
	// and for load reports.
	maxParallelCalls = 64
	// stageLeaseMargin is the time for which the duty must stay held when a
	// stage order is sent.
	stageLeaseMargin = 500 * time.Millisecond
	// attemptsBeforeWarning is the number of attempts to update an engine after
	// which a warning is logged.
	attemptsBeforeWarning = 3
)

// Publish sets the version that all engines should have.
func (w *WeightLoader) Publish(version uint64) { w.published.Store(version) }

// Run updates engines to the published version until ctx is canceled. It also
// updates engines that fell behind because of a crash or a failed weight update.
func (w *WeightLoader) Run(ctx context.Context) {
	w.attempts = map[string]int{}
	limpettask.Sleep(ctx, w.InitialDelay)
	for limpettask.Sleep(ctx, limpettask.Jitter(weightSyncPeriod)) {
		if version := w.published.Load(); version > 0 {
			w.reconcile(ctx, version)
		}
	}
}

// An engineState holds an engine's load report, or the error from reading it,
// during one reconcile.
type engineState struct {
	server limpetorder.Server
	load   limpetengine.LoadReport
	err    error
}

func (w *WeightLoader) reconcile(ctx context.Context, version uint64) {
	servers, err := w.Servers(ctx)
	if err != nil {
		return
	}
	states := make([]engineState, len(servers))
	forEach(len(servers), func(i int) {
		states[i].server = servers[i]
		states[i].load, states[i].err = w.Engine.Load(ctx, servers[i].Address)
	})
	var behind []engineState
	for _, s := range states {
		if s.err == nil && s.load.Version != version {
			behind = append(behind, s)
		}
	}
	if len(behind) == 0 {
		if len(servers) > 0 && w.activeVersion != version {
			w.activeVersion = version
			w.attempts = map[string]int{}
			w.Log.Emit(limpetlog.WeightsActive, limpetlog.Value("service", w.Service), limpetlog.Value("version", version))
		}
		return
	}
	w.stageAndActivate(ctx, behind, version)
}

// stageAndActivate stages the version on engines that lack it and activates it
// as soon as it is staged. Staging does not disturb running streams, so all
// engines may stage at the same time.
func (w *WeightLoader) stageAndActivate(ctx context.Context, behind []engineState, version uint64) {
	forEach(len(behind), func(i int) {
		s := behind[i]
		if s.load.Staged != version {
			if !w.sendOrder(ctx, s, limpetengine.Stage, version, stageLeaseMargin) {
				return
			}
		}
		w.sendOrder(ctx, s, limpetengine.Activate, version, MaxOrderLatency)
	})
	for _, s := range behind {
		w.attempts[s.server.ID]++
		if w.attempts[s.server.ID] == attemptsBeforeWarning {
			w.Log.Emit(limpetlog.WeightUpdateFailed, limpetlog.Server(s.server.ID), limpetlog.Value("version", version), limpetlog.Value("reported", s.load.Version))
		}
	}
}

// sendOrder sends an order if the duty is certain to stay held for leaseMargin,
// and reports whether the engine accepted it.
func (w *WeightLoader) sendOrder(ctx context.Context, s engineState, kind limpetengine.OrderKind, version uint64, leaseMargin time.Duration) bool {
	if !w.LeaseValidFor(leaseMargin) {
		return false
	}
	err := w.Engine.Order(ctx, s.server.Address, limpetengine.Order{
		ID: fmt.Sprintf("%d-%s-%d", w.Fence, kind, version), Fence: w.Fence, Kind: kind, Version: version,
	})
	if err != nil {
		w.Log.Emit(limpetlog.OrderFailed, limpetlog.Server(s.server.ID), limpetlog.Value("kind", kind), limpetlog.Error(err))
	}
	return err == nil
}

// forEach calls f for 0 to n-1, with at most maxParallelCalls calls at a time.
func forEach(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = g.Wait()
}
