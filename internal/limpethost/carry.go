package limpethost

import (
	"context"

	"limpetmount.org/internal/limpetcarry"
	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
)

// carrier returns what offers this VM to directors as a sender of runs.
func (h *Host) carrier() *limpetcarry.Seeker {
	c := limpetcarry.New(h.group, h.Settings.VM, h.Settings.Zone, h.deps.Now, h.Log)
	c.Send, c.Refuses = h.deps.Peer.Send, h.refuses
	shared := limpetrelay.NewHTTP()
	return &limpetcarry.Seeker{
		Carrier: c, Session: h.Settings.VM + "." + h.deps.Incarnation, Term: h.term,
		Link: func(address string) limpetcarry.Link {
			return limpetrelay.NewClient(shared, address, h.Settings.ReadyAddress).Link()
		},
		Able: func() bool { return !h.draining.Load() && !h.director.Directing() },
	}
}

// term reads where the director is; empty when it is this VM or nobody.
func (h *Host) term(ctx context.Context) (string, error) {
	t, err := limpetdirector.ReadTerm(ctx, h.deps.Store)
	if err != nil {
		h.Log.Emit(limpetlog.TermNotRead, limpetlog.Error(err))
		return "", err
	}
	if t.VM == h.Settings.VM {
		return "", nil
	}
	return t.Address, nil
}

// refuses reports whether this VM knows that a server must get no work.
func (h *Host) refuses(id string) bool {
	view := h.View()
	return view.Server(id) != nil && !view.Takes(id)
}
