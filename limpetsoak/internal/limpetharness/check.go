package limpetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"limpetmount.org/platform/limpetplatformstub"
)

const (
	// completionTime is allowed for open jobs to complete without faults.
	completionTime = 15 * time.Second
	// withdrawalTime is allowed for the withdrawal of a key to take effect without
	// faults.
	withdrawalTime = 2 * time.Second
)

// checkAfterFaults checks what must hold once the system has recovered from all
// faults.
func (h *harness) checkAfterFaults(ctx context.Context) {
	if err := h.waitReady(readyTimeout); err != nil {
		h.addViolation("after the faults: %v", err)
		return
	}
	h.checkJobs(ctx)
	h.checkLimits(ctx)
	h.checkCrashes(ctx)
	h.checkKeys(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.refused {
		if h.record.Ran(id) > 0 {
			h.violations[fmt.Sprintf("request %s was refused as not run, but ran later", id)]++
		}
	}
}

// checkJobs reads every accepted job from its start. Results that were read
// before must be unchanged, and jobs that were not ended must complete.
func (h *harness) checkJobs(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.plan.Seed, 13))
	h.mu.Lock()
	jobs := map[string]*trackedJob{}
	for id, j := range h.jobs {
		jobs[id] = j
	}
	h.mu.Unlock()
	deadline := time.Now().Add(completionTime)
	for id, j := range jobs {
		if !h.readWithRetry(ctx, random, id) {
			h.addViolation("job %s was accepted and cannot be read", id)
		}
		for !j.ended && !h.complete(id) {
			if time.Now().After(deadline) {
				h.addViolation("job %s is not complete %s after the last fault: %d of %d results", id, recoveryTime+completionTime, len(j.seen), len(j.items))
				break
			}
			h.readJob(ctx, random, id, -1)
		}
	}
}

const (
	// crashRepetitions is how often a request that crashes servers is repeated,
	// and crashInterval the time between repetitions.
	crashRepetitions = 80
	crashInterval    = 100 * time.Millisecond
	// contactTime is the time after the crash of crashLimit servers after which
	// at most maxLaterCrashes repetitions may crash further ones.
	contactTime     = 3 * time.Second
	crashLimit      = 3
	maxLaterCrashes = 3
)

// sendCrash sends a request with the given body to a random VM.
func (h *harness) sendCrash(random *rand.Rand, body string) {
	vm := h.edges[random.IntN(len(h.edges))]
	h.group.Go(func(ctx context.Context) error {
		// The answer does not matter; the record has what servers saw.
		h.caller.Crash(ctx, vm.Front, fmt.Sprintf("c%d", random.Uint64()), body)
		return nil
	})
}

// checkCrashes repeats a request that crashes servers, and checks that VMs stop
// sending it and serve other requests.
func (h *harness) checkCrashes(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.plan.Seed, 14))
	body := limpetplatformstub.CrashBody + " repeatedly"
	for _, s := range h.servers {
		s.GivesUp.Store(true)
	}
	for range crashRepetitions {
		h.sendCrash(random, body)
		time.Sleep(crashInterval)
	}
	crashes, later := h.record.Crashes(body), 0
	for n, at := range crashes {
		if n >= crashLimit && at.Sub(crashes[crashLimit-1]) > contactTime {
			later++
		}
	}
	if later > maxLaterCrashes {
		h.addViolation("a request that crashed %d servers crashed %d more later than %s after that", crashLimit, later, contactTime)
	}
	for _, vm := range h.edges {
		if exchange := h.caller.Plain(ctx, vm.Front, "after-crashes-"+vm.Name, false); exchange.Err != nil || exchange.Status != http.StatusOK {
			h.addViolation("%s answers an ordinary request after the crashes with status %d: %v", vm.Name, exchange.Status, exchange.Err)
		}
	}
}

// checkKeys withdraws a key and checks on each VM that this key is refused and
// the other one still accepted.
func (h *harness) checkKeys(ctx context.Context) {
	h.writeConfig(2, keyValid)
	time.Sleep(withdrawalTime)
	for _, vm := range h.edges {
		for key, want := range map[string]int{keyValid: http.StatusOK, keyWithdrawn: http.StatusUnauthorized} {
			id := fmt.Sprintf("key-%s-%d", vm.Name, want)
			caller := h.caller
			caller.Key = key
			if exchange := caller.Plain(ctx, vm.Front, id, false); exchange.Err != nil || exchange.Status != want {
				h.addViolation("%s answers a key with status %d, want %d: %v", vm.Name, exchange.Status, want, exchange.Err)
			}
		}
	}
}

// readWithRetry reads a job from its start. It retries once, since the VM that
// was chosen at random may have no answer.
func (h *harness) readWithRetry(ctx context.Context, random *rand.Rand, id string) bool {
	for range 2 {
		if h.readJob(ctx, random, id, 0) {
			return true
		}
	}
	return false
}
