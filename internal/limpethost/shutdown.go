package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// rotationShare is the part of the grace that a VM may wait for the
	// balancer to stop sending callers.
	rotationShare = 3
	// lastWork is left of the grace for what follows the last request.
	lastWork = 700 * time.Millisecond
)

// Shutdown leaves the balancer's rotation, finishes open requests and ends.
// Grace is the time until the process is killed, rotation how long the
// balancer may still send callers to a VM that is not ready. Finish takes no
// more callers and returns when all are answered, or when its context ends.
func (h *Host) Shutdown(grace, rotation time.Duration, finish func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace-lastWork)
	defer cancel()
	h.Drain()
	if h.Settings.Serves {
		limpettask.Sleep(ctx, min(rotation, grace/rotationShare))
		if err := finish(ctx); err != nil {
			h.Log.Emit(limpetlog.RequestFailed, limpetlog.Value("cause", "the grace is over"), limpetlog.Error(err))
		}
	}
	return h.Stop()
}
