package limpetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"limpetmount.org/internal/limpettask"
	"limpetmount.org/platform/limpetplatformstub"
)

const (
	requestInterval = 25 * time.Millisecond
	requestTimeout  = 4 * time.Second
	// Callers of streams leave after at most streamLeaveAfter events, and come back
	// after streamRetryDelay.
	streamLeaveAfter = 20
	streamRetryDelay = 150 * time.Millisecond
	maxStreamTries   = 8
	stepInterval     = 1200 * time.Millisecond
	stepTimeout      = 8 * time.Second
	jobGroups        = 5
	groupItems       = 3
	readInterval     = 150 * time.Millisecond
	readWait         = 300 * time.Millisecond
)

// A trackedJob is a job whose submission was accepted with status 202.
type trackedJob struct {
	// items maps the job's items to the attempt IDs of their reward calls.
	items map[string]string
	// minVersion is the lowest model version that may generate the items.
	minVersion int
	// seen holds the results by position, as they were first read.
	seen  []limpetplatformstub.Result
	ended bool
}

// sendRequests sends plain requests over persistent connections.
func (h *harness) sendRequests(ctx context.Context, random *rand.Rand, n int) error {
	caller := h.caller
	caller.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for count := 0; ctx.Err() == nil; count++ {
		vm := h.edges[random.IntN(len(h.edges))]
		nonIdempotent := random.IntN(2) == 0
		id := fmt.Sprintf("p%d-%d", n, count)
		start := time.Now()
		exchange := caller.Plain(ctx, vm.Front, id, nonIdempotent)
		if ctx.Err() == nil {
			h.checkResponse(vm, nonIdempotent, id, start, exchange)
		}
		limpettask.Sleep(ctx, requestInterval)
	}
	return nil
}

// checkResponse checks the outcome of a plain request. A connection error is a
// violation only if the request was written whole to a new connection, during a
// planned stop of a VM that no fault disrupted, and failed within half of its
// timeout.
func (h *harness) checkResponse(vm *VM, nonIdempotent bool, id string, start time.Time, exchange limpetplatformstub.Exchange) {
	stable, stopRequested := vm.stability(start)
	switch {
	case exchange.Err != nil:
		if exchange.NewConn && stable && stopRequested && time.Since(start) < requestTimeout/2 {
			h.addViolation("planned stop of %s interrupted request %s: %v", vm.Name, id, exchange.Err)
		}
	case exchange.Status == http.StatusOK:
		if string(exchange.Body) != "answer to "+id || !h.record.Signed(id, exchange.Signature) {
			h.addViolation("request %s got the response of another request, or one that no server signed", id)
		}
		h.mu.Lock()
		h.plain++
		h.mu.Unlock()
	case exchange.Status == http.StatusServiceUnavailable || exchange.Status == http.StatusTooManyRequests:
		if h.record.Ran(id) > 0 {
			h.addViolation("request %s ran but was answered as not run", id)
		}
		h.mu.Lock()
		h.refused[id] = true
		h.mu.Unlock()
	case exchange.Status >= 400 && exchange.Status < 500:
		h.addViolation("request %s got status %d with a valid key", id, exchange.Status)
	}
	if nonIdempotent && h.record.Ran(id) > 1 {
		h.addViolation("non-idempotent request %s ran %d times", id, h.record.Ran(id))
	}
}

// sendStreams asks for streams. It leaves most of them before their end, and comes
// back for the rest at any VM. A stream that nobody can continue begins again.
func (h *harness) sendStreams(ctx context.Context, random *rand.Rand, n int) error {
	caller := h.caller
	caller.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for count := 0; ctx.Err() == nil; count++ {
		item := fmt.Sprintf("c%d-%d", n, count)
		var events []string
		resumes := ""
		for try := range maxStreamTries {
			id := fmt.Sprintf("%s-t%d", item, try)
			front := h.edges[random.IntN(len(h.edges))].Front
			status, more, whole := caller.Chat(ctx, front, id, item, resumes, len(events), random.IntN(streamLeaveAfter))
			if len(events) > 0 && status > 0 {
				h.countStream(status == http.StatusOK)
			}
			if len(events) == 0 && len(more) > 0 {
				resumes = id
			}
			events = append(events, more...)
			if wrong := limpetplatformstub.CheckEvents(item, events); wrong != "" {
				h.addViolation("the stream of %s %s", item, wrong)
			}
			if whole || ctx.Err() != nil {
				break
			}
			limpettask.Sleep(ctx, streamRetryDelay)
		}
	}
	return nil
}

// countStream counts a stream that a caller came back for.
func (h *harness) countStream(wentOn bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takenUp++
	if wentOn {
		h.wentOn++
	}
}

// runTrainer submits a job for each training step, reads its results, and
// publishes a new model version after each step interval.
func (h *harness) runTrainer(ctx context.Context) error {
	group := limpettask.New(ctx)
	for step := 0; ctx.Err() == nil; step++ {
		group.Go(func(ctx context.Context) error {
			h.step(ctx, rand.New(rand.NewPCG(h.plan.Seed, uint64(step)+100)), step)
			return nil
		})
		limpettask.Sleep(ctx, stepInterval)
		h.mu.Lock()
		h.version++
		published := h.version
		h.mu.Unlock()
		h.store.Set(limpetplatformstub.PublishedVersion(published))
	}
	return group.Stop()
}

// step submits a job until a VM accepts it, and reads its results until the job
// is complete or the step times out. It then ends the job with a probability of
// one half.
func (h *harness) step(ctx context.Context, random *rand.Rand, step int) {
	id := fmt.Sprintf("job%d-%d", h.plan.Seed, step)
	h.mu.Lock()
	minVersion := max(1, h.version-1)
	h.mu.Unlock()
	job := limpetplatformstub.Job{ID: id, Step: step, MinVersion: minVersion, Groups: jobGroups, GroupItems: groupItems}
	deadline := time.Now().Add(stepTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		vm := h.edges[random.IntN(len(h.edges))]
		exchange := h.caller.Submit(ctx, vm.Front, job)
		if exchange.Err == nil && exchange.Status == http.StatusAccepted {
			h.mu.Lock()
			h.jobs[id] = &trackedJob{items: job.Items(), minVersion: minVersion}
			h.mu.Unlock()
			break
		}
		limpettask.Sleep(ctx, readInterval)
	}
	for time.Now().Before(deadline) && ctx.Err() == nil && !h.complete(id) {
		h.readJob(ctx, random, id, -1)
		limpettask.Sleep(ctx, readInterval)
	}
	if random.IntN(2) == 0 {
		vm := h.edges[random.IntN(len(h.edges))]
		if exchange := h.caller.End(ctx, vm.Front, id); exchange.Err == nil && exchange.Status == http.StatusOK {
			h.mu.Lock()
			if j := h.jobs[id]; j != nil {
				j.ended = true
			}
			h.mu.Unlock()
		}
	}
}

// complete reports whether all results of a job have been read.
func (h *harness) complete(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	return j != nil && len(j.seen) >= len(j.items)
}

// rereadJobs keeps reading random jobs from random positions that have been read
// before.
func (h *harness) rereadJobs(ctx context.Context, random *rand.Rand) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		ids := make([]string, 0, len(h.jobs))
		for id := range h.jobs {
			ids = append(ids, id)
		}
		h.mu.Unlock()
		if len(ids) > 0 {
			id := ids[random.IntN(len(ids))]
			h.mu.Lock()
			seen := len(h.jobs[id].seen)
			h.mu.Unlock()
			h.readJob(ctx, random, id, random.IntN(seen+1))
		}
		limpettask.Sleep(ctx, readInterval)
	}
	return nil
}

// readJob reads a job from a position, or with -1 from the first position that
// was not read yet, and checks the page that it gets. It reports whether it got
// one.
func (h *harness) readJob(ctx context.Context, random *rand.Rand, id string, after int) bool {
	h.mu.Lock()
	j := h.jobs[id]
	if j == nil {
		h.mu.Unlock()
		return false
	}
	if after < 0 {
		after = len(j.seen)
	}
	readBefore := len(j.seen)
	h.mu.Unlock()
	vm := h.edges[random.IntN(len(h.edges))]
	start := time.Now()
	exchange, page := h.caller.Read(ctx, vm.Front, id, after, readWait)
	if exchange.Err != nil || exchange.Status == http.StatusServiceUnavailable || exchange.Status == http.StatusBadGateway {
		return false
	}
	stable, _ := vm.stability(start)
	if exchange.Status != http.StatusOK {
		if stable {
			h.addViolation("job %s was accepted, and reading it gives status %d", id, exchange.Status)
		}
		return false
	}
	if len(page.Results) == 0 && after < readBefore && stable {
		h.addViolation("job %s has no results from position %d, though %d were read before", id, after, readBefore)
	}
	h.checkPage(id, j, after, page)
	return true
}

// checkPage compares a page with the results that were read before, and checks
// new results against what the servers did.
func (h *harness) checkPage(id string, j *trackedJob, after int, page limpetplatformstub.Page) {
	h.mu.Lock()
	defer h.mu.Unlock()
	violation := func(format string, args ...any) { h.violations["job "+id+": "+fmt.Sprintf(format, args...)]++ }
	if page.Total != len(j.items) || page.Next != after+len(page.Results) {
		violation("total is %d, want %d; next position is %d after %d", page.Total, len(j.items), page.Next, after)
	}
	for n, result := range page.Results {
		position := after + n
		if position < len(j.seen) {
			if fmt.Sprint(j.seen[position]) != fmt.Sprint(result) {
				violation("result at position %d changed", position)
			}
			continue
		}
		if position > len(j.seen) {
			break
		}
		for _, earlier := range j.seen {
			if earlier.ID == result.ID {
				violation("item %s is listed twice", result.ID)
			}
		}
		j.seen = append(j.seen, result)
		h.checkResult(j, result, violation)
	}
}

// checkResult checks a new result against the job and what the servers did.
func (h *harness) checkResult(j *trackedJob, result limpetplatformstub.Result, violation func(string, ...any)) {
	rewardID, ok := j.items[result.ID]
	wrong := limpetplatformstub.CheckText(result.ID, result.Text)
	switch {
	case !ok:
		violation("item %s is not part of the job", result.ID)
	case result.State != "completed":
		violation("item %s is %s, though nothing should make it fail", result.ID, result.State)
	case wrong != "":
		violation("the text of item %s %s", result.ID, wrong)
	case !h.record.GeneratedUnder(result.ID, result.Versions):
		violation("item %s was not generated under versions %v", result.ID, result.Versions)
	case !h.record.Signed(rewardID, result.Score):
		violation("item %s has a score that no server returned", result.ID)
	}
	for _, v := range result.Versions {
		if v < j.minVersion {
			violation("item %s was generated under version %d, below the minimum %d", result.ID, v, j.minVersion)
		}
	}
}
