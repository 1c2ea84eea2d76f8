package limpetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/platform/limpetplatformstub"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults. Faults
	// overlap, since most last longer.
	meanFaultInterval = 900 * time.Millisecond
	minFaultTime      = 300 * time.Millisecond
	maxFaultTime      = 4 * time.Second
)

// A fault is a disturbance that a run can inject. inject injects it and returns
// a function that reverts it.
type fault struct {
	name   string
	inject func(h *harness, random *rand.Rand) (revert func())
}

// storeProxy returns a fault of the connection between a random VM and the store.
func storeProxy(name string, m Mode) fault {
	return fault{name, func(h *harness, random *rand.Rand) func() {
		vm := h.vms[random.IntN(len(h.vms))]
		vm.MarkDisrupted()
		vm.Store.SetMode(m)
		return func() { vm.MarkDisrupted(); vm.Store.SetMode(Forward) }
	}}
}

// signal returns a fault that sends a signal to the process of a random VM.
func signal(name string, s syscall.Signal) fault {
	return fault{name, func(h *harness, random *rand.Rand) func() {
		h.vms[random.IntN(len(h.vms))].Signal(s)
		return func() {}
	}}
}

// serverProxy returns a fault of the connections to a random server.
func serverProxy(name string, m Mode) fault {
	return fault{name, func(h *harness, random *rand.Rand) func() {
		p := h.proxies[random.IntN(len(h.proxies))]
		p.SetMode(m)
		return func() { p.SetMode(Forward) }
	}}
}

// store returns a fault of the store itself, which affects all VMs.
func store(name string, set, reset func(s *limpetstub.Store)) fault {
	return fault{name, func(h *harness, _ *rand.Rand) func() {
		for _, vm := range h.vms {
			vm.MarkDisrupted()
		}
		set(h.store)
		return func() {
			reset(h.store)
			for _, vm := range h.vms {
				vm.MarkDisrupted()
			}
		}
	}}
}

// withFault sets the function that decides which calls of the store fail.
func withFault(f func(kind, key string) limpetstub.Fault) func(s *limpetstub.Store) {
	return func(s *limpetstub.Store) {
		s.Lock()
		defer s.Unlock()
		s.Fault = f
	}
}

// lossInterval is the number of store calls of which the last loses its answer if
// it is a commit.
const lossInterval = 4

// loseAnswers drops the answers of some commits after they took effect.
func loseAnswers() func(kind, key string) limpetstub.Fault {
	n := 0
	return func(kind, _ string) limpetstub.Fault {
		if n++; kind == "commit" && n%lossInterval == 0 {
			return limpetstub.ReplyLost
		}
		return limpetstub.NoFault
	}
}

// faults lists the faults that a run draws from.
var faults = []fault{
	storeProxy("store slow for a VM", Delay), storeProxy("store silent for a VM", Blackhole), storeProxy("store cut one way", DropResponses),
	storeProxy("store refuses a VM", Refuse),
	signal("killed", syscall.SIGKILL), signal("stopped as planned", syscall.SIGTERM), signal("settings changed", syscall.SIGHUP),
	{"paused", func(h *harness, random *rand.Rand) func() {
		vm := h.vms[random.IntN(len(h.vms))]
		vm.Signal(syscall.SIGSTOP)
		return func() { vm.Signal(syscall.SIGCONT) }
	}},
	{"all killed", func(h *harness, _ *rand.Rand) func() {
		for _, vm := range h.vms {
			vm.Signal(syscall.SIGKILL)
		}
		return func() {}
	}},
	{"connections to the store reset", func(h *harness, random *rand.Rand) func() {
		vm := h.vms[random.IntN(len(h.vms))]
		vm.MarkDisrupted()
		vm.Store.Reset()
		return func() {}
	}},
	serverProxy("server slow", Delay), serverProxy("server silent", Blackhole), serverProxy("server answers nothing", DropResponses), serverProxy("server refuses", Refuse),
	{"server loses answers", func(h *harness, random *rand.Rand) func() {
		s := h.servers[random.IntN(len(h.servers))]
		s.DropsAnswers.Store(true)
		return func() { s.DropsAnswers.Store(false) }
	}},
	{"server says that it leaves", func(h *harness, random *rand.Rand) func() {
		s := h.servers[random.IntN(len(h.servers))]
		s.Leaving.Store(true)
		return func() { s.Leaving.Store(false); s.Restart() }
	}},
	{"server crashed by a request", func(h *harness, random *rand.Rand) func() {
		h.sendCrash(random, fmt.Sprintf("%s %d", limpetplatformstub.CrashBody, random.Uint64()))
		return func() {}
	}},
	{"connections to a server reset", func(h *harness, random *rand.Rand) func() {
		h.proxies[random.IntN(len(h.proxies))].Reset()
		return func() {}
	}},
	store("store down", func(s *limpetstub.Store) { s.SetDown(true) }, func(s *limpetstub.Store) { s.SetDown(false) }),
	store("store loses answers", withFault(loseAnswers()), withFault(nil)),
	store("store forgets", func(s *limpetstub.Store) { s.Compact() }, func(*limpetstub.Store) {}),
}

// injectFaults injects random faults for a time, and reverts them all before it
// returns.
func (h *harness) injectFaults(ctx context.Context, random *rand.Rand, length time.Duration) {
	deadline := time.Now().Add(length)
	group := limpettask.New(ctx)
	for time.Now().Before(deadline) {
		f := faults[random.IntN(len(faults))]
		span := minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime)))
		revert := f.inject(h, random)
		h.countFault(f.name)
		group.Go(func(ctx context.Context) error {
			limpettask.Sleep(ctx, min(span, time.Until(deadline)))
			revert()
			return nil
		})
		limpettask.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanFaultInterval)))
	}
	limpettask.Sleep(ctx, minFaultTime)
	// Each fault is reverted at the deadline at the latest.
	_ = group.Stop()
}
