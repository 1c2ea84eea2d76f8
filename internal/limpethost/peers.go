package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// peerLife is how long a VM that asked for the deployment can be asked
	// back.
	peerLife     = 30 * time.Second
	peersAsked   = 4
	peerPatience = 400 * time.Millisecond
)

// met records where a VM can be asked for the store.
func (h *Host) met(address string) {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	h.peers[address] = h.deps.Now()
}

// someone returns the addresses of VMs that were met lately.
func (h *Host) someone() []string {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	var addresses []string
	for address, at := range h.peers {
		if h.deps.Now().Sub(at) > peerLife {
			delete(h.peers, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// storeElsewhere reports whether other VMs reach the store. When none of them
// answers either, this VM must take itself for the one that is cut off.
func (h *Host) storeElsewhere(ctx context.Context) bool {
	addresses := h.someone()
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerPatience)
	defer cancel()
	asked := min(peersAsked, len(addresses))
	answers := make(chan peerAnswer, asked)
	group := limpettask.New(ctx)
	first := limpettask.Draw(len(addresses))
	for n := range asked {
		address := addresses[(first+n)%len(addresses)]
		group.Go(func(ctx context.Context) error {
			ready, err := h.deps.AskReady(ctx, address)
			answers <- peerAnswer{ready: ready, err: err}
			return nil
		})
	}
	heard := false
	for range asked {
		a := <-answers
		if a.ready {
			return true
		}
		heard = heard || a.err == nil
	}
	h.Log.Emit(limpetlog.PeersAsked, limpetlog.Value("asked", asked), limpetlog.Value("heard", heard))
	return !heard
}

type peerAnswer struct {
	ready bool
	err   error
}
