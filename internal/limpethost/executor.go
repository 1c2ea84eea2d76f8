package limpethost

import (
	"context"

	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetlookup"
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

// newFinder returns the finder of the director.
func (h *Host) newFinder() *limpetlookup.Finder {
	return limpetlookup.New(limpetlookup.Deps{
		VM: h.Settings.VM, Now: h.deps.Now,
		Read: func(ctx context.Context) (limpetlookup.Director, error) {
			t, err := limpetdirector.ReadTerm(ctx, h.deps.Store)
			return limpetlookup.Director{VM: t.VM, Address: t.Address}, err
		},
		Ask: func(ctx context.Context, vm limpetlookup.VM) (limpetlookup.Director, error) {
			name, address, err := limpetrelay.NewClient(h.peerClient, vm.Address, h.self()).Term(ctx)
			return limpetlookup.Director{VM: name, Address: address}, err
		},
		Others: func() []limpetlookup.VM {
			var vms []limpetlookup.VM
			for _, f := range h.roster.others(h.Settings.VM) {
				vms = append(vms, limpetlookup.VM{Name: f.VM, Address: f.Relay})
			}
			return vms
		},
	})
}

// answerTerm answers other VMs that look for the director.
func (h *Host) answerTerm(ctx context.Context) (vm, address string, err error) {
	d, err := h.finder.Answer(ctx)
	return d.VM, d.Address, err
}

// directorAddress returns the recorded director's address. It is empty if there is no
// director, or if this VM is the director.
func (h *Host) directorAddress(ctx context.Context) (string, error) {
	d, err := h.finder.Find(ctx)
	if err != nil {
		h.Log.Emit(limpetlog.DirectorLookupFailed, limpetlog.Error(err))
		return "", err
	}
	if d.VM == h.Settings.VM {
		return "", nil
	}
	return d.Address, nil
}

// refuses reports whether this VM knows that a server must not get work.
func (h *Host) refuses(s *limpetsite.Server) bool {
	view := h.View()
	if view.Server(s.ID) == nil {
		return view.IsLeaving(s.ID, s.Incarnation)
	}
	return !view.AcceptsWork(s.ID)
}
