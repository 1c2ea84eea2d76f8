package limpethost

import (
	"context"

	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
)

// newConnector returns the connector that offers this VM to directors as an
// executor of runs.
func (h *Host) newConnector() *limpetexecutor.Connector {
	executor := limpetexecutor.New(h.group, h.Settings.VM, h.Settings.Zone, h.deps.Now, h.Log)
	executor.Send, executor.Refuses = h.deps.Upstream.Send, h.refuses
	return &limpetexecutor.Connector{
		Executor: executor, Session: h.Settings.VM + "." + h.deps.Incarnation, DirectorAddress: h.directorAddress,
		Link: func(address string) limpetexecutor.Link {
			return limpetrelay.NewClient(h.peerClient, address, h.self()).Link()
		},
		Enabled: func() bool { return !h.draining.Load() && !h.director.IsDirector() && !h.detour.CutOff() },
	}
}

// directorAddress reads the director's address from the store. It is empty if
// there is no director, or if this VM is the director.
func (h *Host) directorAddress(ctx context.Context) (string, error) {
	t, err := limpetdirector.ReadTerm(ctx, h.deps.Store)
	if err != nil {
		h.Log.Emit(limpetlog.DirectorLookupFailed, limpetlog.Error(err))
		return "", err
	}
	if t.VM == h.Settings.VM {
		return "", nil
	}
	return t.Address, nil
}

// refuses reports whether this VM knows that a server must not get work.
func (h *Host) refuses(s *limpetsite.Server) bool {
	view := h.View()
	if view.Server(s.ID) == nil {
		return view.IsLeaving(s.ID, s.Incarnation)
	}
	return !view.AcceptsWork(s.ID)
}
