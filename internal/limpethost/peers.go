package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	maxPeersAsked = 4
	peerTimeout   = 400 * time.Millisecond
)

// storeReachableElsewhere reports whether other VMs reach the store. If no VM
// made contact recently, it reports false. If none of those that did responds
// now, this VM must assume that it is the one that is isolated, and reports
// true.
func (h *Host) storeReachableElsewhere(ctx context.Context) bool {
	addresses := h.roster.recentReadyAddresses()
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := min(maxPeersAsked, len(addresses))
	answers := make(chan peerAnswer, asked)
	group := limpettask.New(ctx)
	first := limpettask.RandomInt(len(addresses))
	for n := range asked {
		address := addresses[(first+n)%len(addresses)]
		group.Go(func(ctx context.Context) error {
			ready, err := h.deps.AskReady(ctx, address)
			answers <- peerAnswer{ready: ready, err: err}
			return nil
		})
	}
	responded := false
	for range asked {
		a := <-answers
		if a.ready {
			return true
		}
		responded = responded || a.err == nil
	}
	h.Log.Emit(limpetlog.StoreCheckedThroughPeers, limpetlog.Value("asked", asked), limpetlog.Value("heard", responded))
	return !responded
}

type peerAnswer struct {
	ready bool
	err   error
}
