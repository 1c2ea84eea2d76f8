package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

const (
	// peerPrefix holds where VMs that serve callers tell whether they are
	// ready, which needs the store.
	peerPrefix   = "vm/"
	peerRetry    = 500 * time.Millisecond
	peerRefresh  = 15 * time.Second
	peersAsked   = 4
	peerPatience = 400 * time.Millisecond
)

// register writes this VM's address for others to ask.
func (h *Host) register(ctx context.Context) error {
	t := limpetstore.Transaction{Writes: []limpetstore.Write{{Key: peerPrefix + h.Settings.VM, Data: []byte(h.Settings.ReadyAddress)}}}
	for ctx.Err() == nil {
		if _, err := h.deps.Store.Commit(ctx, t); err == nil {
			return nil
		}
		limpettask.Sleep(ctx, limpettask.Jitter(peerRetry))
	}
	return nil
}

// learnPeers keeps the addresses of VMs that can be asked.
func (h *Host) learnPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := peerRefresh
		l, err := h.deps.Store.Scan(ctx, peerPrefix, "")
		if err != nil {
			pause = peerRetry
		} else {
			addresses := make([]string, 0, len(l.Values))
			for _, v := range l.Values {
				if v.Key != peerPrefix+h.Settings.VM {
					addresses = append(addresses, string(v.Data))
				}
			}
			h.peers.Store(&addresses)
		}
		limpettask.Sleep(ctx, limpettask.Jitter(pause))
	}
	return nil
}

// storeElsewhere reports whether other VMs reach the store. When none of them
// answers either, this VM must take itself for the one that is cut off.
func (h *Host) storeElsewhere(ctx context.Context) bool {
	addresses := h.peers.Load()
	if addresses == nil || len(*addresses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerPatience)
	defer cancel()
	asked := min(peersAsked, len(*addresses))
	answers := make(chan peerAnswer, asked)
	group := limpettask.New(ctx)
	first := limpettask.Draw(len(*addresses))
	for n := range asked {
		address := (*addresses)[(first+n)%len(*addresses)]
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
