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

// A WeightLoader holds the duty of bringing a service's engines to the newest
// published version. It belongs to the job that publishes, under its lease.
type WeightLoader struct {
	Service string
	Fence   uint64
	// Settle is the wait before the first order. Engines that ignore fencing
	// numbers may still get an order that the former holder sent at the end of
	// its lease.
	Settle time.Duration
	Engine limpetengine.Engine
	// Servers returns all running servers of the service.
	Servers func(ctx context.Context) ([]limpetorder.Server, error)
	Holds   func(ahead time.Duration) bool
	Log     *limpetlog.Logger
	Now     func() time.Time

	published atomic.Uint64
	active    uint64
	tries     map[string]int
}

const (
	weightPeriod = 300 * time.Millisecond
	ordersAtOnce = 64
	stageAhead   = 500 * time.Millisecond
	// triesToWarn failed swaps of one engine are told to the operator.
	triesToWarn = 3
)

// Publish sets the version that the engines shall have.
func (w *WeightLoader) Publish(version uint64) { w.published.Store(version) }

// Run brings engines to the published version until ctx ends. Engines that
// were behind because of a crash or a failed swap are brought up again.
func (w *WeightLoader) Run(ctx context.Context) {
	w.tries = map[string]int{}
	limpettask.Sleep(ctx, w.Settle)
	for limpettask.Sleep(ctx, limpettask.Jitter(weightPeriod)) {
		if version := w.published.Load(); version > 0 {
			w.round(ctx, version)
		}
	}
}

// An engineState holds an engine's report during a round.
type engineState struct {
	server limpetorder.Server
	load   limpetengine.Load
	err    error
}

func (w *WeightLoader) round(ctx context.Context, version uint64) {
	servers, err := w.Servers(ctx)
	if err != nil {
		return
	}
	states := make([]engineState, len(servers))
	each(len(servers), func(i int) {
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
		if len(servers) > 0 && w.active != version {
			w.active = version
			w.tries = map[string]int{}
			w.Log.Emit(limpetlog.WeightsActive, limpetlog.Value("service", w.Service), limpetlog.Value("version", version))
		}
		return
	}
	w.advance(ctx, behind, version)
}

// advance stages the version where it is missing and activates it where it is
// staged. Staging does not disturb running streams, so all engines do it at
// once; each engine is activated as soon as it can be.
func (w *WeightLoader) advance(ctx context.Context, behind []engineState, version uint64) {
	each(len(behind), func(i int) {
		s := behind[i]
		if s.load.Staged != version {
			if !w.order(ctx, s, limpetengine.Stage, version, stageAhead) {
				return
			}
		}
		w.order(ctx, s, limpetengine.Activate, version, OrderFlight)
	})
	for _, s := range behind {
		w.tries[s.server.ID]++
		if w.tries[s.server.ID] == triesToWarn {
			w.Log.Emit(limpetlog.WeightsFailed, limpetlog.Server(s.server.ID), limpetlog.Value("version", version), limpetlog.Value("reported", s.load.Version))
		}
	}
}

func (w *WeightLoader) order(ctx context.Context, s engineState, kind limpetengine.OrderKind, version uint64, ahead time.Duration) bool {
	if !w.Holds(ahead) {
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

// each runs f for 0 to n-1, a bounded number at a time.
func each(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(ordersAtOnce)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = g.Wait()
}
