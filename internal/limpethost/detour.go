package limpethost

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"time"

	"limpetmount.org/internal/limpetdetour"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// secretKey is the key of the secret by which a VM proves to others that it is
	// one of the system: it reaches the platform's store, which callers do not.
	secretKey        = "relay/secret"
	secretBytes      = 32
	secretRetryDelay = 500 * time.Millisecond
	maxSecretDelay   = 2 * time.Second
	// idleChecksPerContact is the number of health checks of a VM without requests in
	// the time after which a VM must know that it is cut off.
	idleChecksPerContact = 3
)

// startDetour lets calls to backend servers go through other VMs while this one
// reaches none.
func (h *Host) startDetour() {
	h.detour = limpetdetour.New(h.group, limpetdetour.Deps{
		VM: h.Settings.VM, Zone: h.Settings.Zone, Direct: h.deps.Upstream, View: h.View,
		Limited: func(id string) bool { return h.gate.Limited(id) }, Permit: h.permitIfCold, Evacuated: h.evacuated,
		Others: h.otherVMs, PassTo: h.passTo, CheckFrom: h.checkFrom, OnChange: h.reachChanged,
		OnWarm:    func(s *limpetsite.Server) { h.Forwarder.Tracker.KeepWarm(s.ID, h.deps.Now()) },
		IdleAfter: h.Settings.Bounds.Contact / idleChecksPerContact,
		Log:       h.Log, Metrics: h.Metrics.Registry, Now: h.deps.Now,
	})
	if h.deps.Upstream.Probe != nil && h.Settings.ServesCallers {
		h.deps.Upstream = h.detour.Client()
	}
}

// otherVMs returns the VMs that may carry calls.
func (h *Host) otherVMs() []limpetdetour.VM {
	var vms []limpetdetour.VM
	for _, f := range h.roster.others(h.Settings.VM) {
		vms = append(vms, limpetdetour.VM{Name: f.VM, Zone: f.Zone, Address: f.Relay})
	}
	return vms
}

func (h *Host) passTo(ctx context.Context, vm limpetdetour.VM, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	secret := h.secret.Load()
	if secret == nil {
		return nil, limpeterror.Overloaded.New("the secret of the system is not known yet")
	}
	return limpetrelay.NewClient(h.peerClient, vm.Address, h.self()).Pass(ctx, *secret, c)
}

func (h *Host) checkFrom(ctx context.Context, vm limpetdetour.VM, s *limpetsite.Server, healthPath string) (limpetupstream.Condition, error) {
	return limpetrelay.NewClient(h.peerClient, vm.Address, h.self()).CheckServer(ctx, s, healthPath)
}

// carryCall sends a call of another VM. Taken is called before it may be sent. The memory
// of the call is accounted for with its message.
func (h *Host) carryCall(ctx context.Context, c limpetupstream.Call, taken func() error) (*limpetupstream.Reply, error) {
	if h.Draining() {
		return nil, limpeterror.Overloaded.New("this VM is shutting down")
	}
	return h.detour.Carry(ctx, c, taken)
}

// reachChanged hands over the work that needs backend servers when this VM reaches
// none: its runs go back to the director, and it does not compete for the duty.
func (h *Host) reachChanged(cut bool) {
	if !cut {
		return
	}
	h.connector.Withdraw()
	if !h.Settings.HasDisk {
		h.director.SetCandidate(h.group.Context(), false)
	}
}

// isOwn reports whether a secret is that of the system.
func (h *Host) isOwn(secret []byte) bool {
	own := h.secret.Load()
	return own != nil && subtle.ConstantTimeCompare(*own, secret) == 1
}

// loadSecret reads the secret of the system, which the first VM that finds none
// creates.
func (h *Host) loadSecret(ctx context.Context) error {
	// VMs that start together do not all ask the store at once.
	if !limpettask.Sleep(ctx, time.Duration(limpettask.RandomInt(int(maxSecretDelay)))) {
		return nil
	}
	for failed := false; ; failed = true {
		secret, err := h.readSecret(ctx)
		if err == nil {
			h.secret.Store(&secret)
			return nil
		}
		if !failed {
			h.Log.Emit(limpetlog.SecretNotRead, limpetlog.Error(err))
		}
		if !limpettask.Sleep(ctx, limpettask.Jitter(secretRetryDelay)) {
			return nil
		}
	}
}

func (h *Host) readSecret(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := h.deps.Store.Get(ctx, secretKey)
	if err == nil || !limpeterror.Is(err, limpeterror.NotFound) {
		return v.Data, err
	}
	secret := make([]byte, secretBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(secret)
	// If the outcome is unknown, or another VM was first, the next read tells.
	_, err = h.deps.Store.Commit(ctx, limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: secretKey}}, Writes: []limpetstore.Write{{Key: secretKey, Data: secret}},
	})
	return secret, err
}
