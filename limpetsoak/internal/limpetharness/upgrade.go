package limpetharness

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"limpetmount.org/internal/limpettask"
)

const (
	// killedShare is the share of replaced VMs whose process is killed instead of
	// stopped as planned.
	killedShare = 0.2
	// upgradePasses is the number of passes over the VMs: the upgrade, half of the way
	// back, and the upgrade again.
	upgradePasses = 3
)

// firstBinary returns the program that VMs run at first.
func (p Plan) firstBinary() string {
	if p.Production != "" {
		return p.Production
	}
	return p.Binary
}

// upgrade replaces the VMs one after the other while faults are injected. In the
// middle, half of them go back to the earlier release. At the end of the faults all
// run the new one.
func (h *harness) upgrade(ctx context.Context, random *rand.Rand) error {
	pause := h.plan.Time / time.Duration(upgradePasses*len(h.vms))
	for pass := range upgradePasses {
		binary, count := h.plan.Binary, len(h.vms)
		if pass == 1 {
			binary, count = h.plan.Production, len(h.vms)/2
		}
		for _, n := range random.Perm(len(h.vms))[:count] {
			h.replace(h.vms[n], binary, random)
			if !limpettask.Sleep(ctx, pause) {
				return nil
			}
		}
	}
	return nil
}

// replace lets a VM go on with a program.
func (h *harness) replace(vm *VM, binary string, random *rand.Rand) {
	if !vm.SetBinary(binary) {
		return
	}
	h.mu.Lock()
	h.replaced++
	h.mu.Unlock()
	if random.Float64() < killedShare {
		vm.Signal(syscall.SIGKILL)
		return
	}
	vm.Signal(syscall.SIGTERM)
}
