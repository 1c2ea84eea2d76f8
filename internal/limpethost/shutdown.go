package limpethost

import (
	"context"
	"time"

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
)

// Shutdown marks the VM as not ready, waits for the load balancer to stop
// sending callers, finishes the open requests and stops the process. Grace is
// the time until the process is killed, and removalDelay the time for which the
// load balancer may keep sending callers to a VM that is not ready. Finish
// must stop accepting callers and return once all requests are answered or its
// context ends.
func (h *Host) Shutdown(grace, removalDelay time.Duration, finish func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopReserve)
	defer cancel()
	h.Drain()
	if h.Settings.ServesCallers {
		limpettask.Sleep(ctx, min(removalDelay, grace/removalDelayDivisor))
		if err := finish(ctx); err != nil {
			h.Log.Emit(limpetlog.RequestFailed, limpetlog.Value("cause", "the grace period ended"), limpetlog.Error(err))
		}
		h.detour.Drain(ctx)
	}
	return h.Stop()
}
