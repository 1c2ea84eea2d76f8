package limpethost

import (
	"context"
	"math"
	"time"

	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// removalDelayDivisor bounds the wait for the load balancer to stop sending
	// callers: grace / removalDelayDivisor.
	removalDelayDivisor = 3
	// stopReserve is the part of the grace period reserved for the work after
	// the last request.
	stopReserve = 700 * time.Millisecond
	// removalShare bounds that wait in a short grace period: the time before
	// stopReserve / removalShare.
	removalShare = 2
)

// timeForRequest returns how long a new request may last: until this VM ends, or any time
// while it is not being stopped.
func (h *Host) timeForRequest() time.Duration {
	end := h.requestEnd.Load()
	if end == nil {
		return math.MaxInt64
	}
	return end.Sub(h.deps.Now())
}

// MayFinish reports whether a new request that may last that long ends before this VM
// does.
func (h *Host) MayFinish(d time.Duration) bool { return d <= h.timeForRequest() }

// Shutdown marks the VM as not ready, waits for the load balancer to stop
// sending callers, finishes the open requests and stops the process. Grace is
// the time until the process is killed, and removalDelay the time for which the
// load balancer may keep sending callers to a VM that is not ready. Finish
// must stop accepting callers and return once all requests are answered or its
// context ends. From its start on, requests are refused that may last longer.
func (h *Host) Shutdown(grace, removalDelay time.Duration, finish func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopReserve)
	defer cancel()
	end := h.deps.Now().Add(grace - stopReserve - limpethttp.AnswerReserve)
	h.Drain()
	if h.Settings.ServesCallers {
		limpettask.Sleep(ctx, min(removalDelay, grace/removalDelayDivisor, (grace-stopReserve)/removalShare))
		h.requestEnd.Store(&end)
		if err := finish(ctx); err != nil {
			h.Log.Emit(limpetlog.RequestFailed, limpetlog.Value("cause", "the grace period ended"), limpetlog.Error(err))
		}
		h.detour.Drain(ctx)
	}
	return h.Stop()
}
