package limpetdirector

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpetjob"
)

// maxCacheBytes bounds the texts that are cached for readers.
const maxCacheBytes = 40 << 20

// maxPageBytes bounds the texts of one page of results, as JSON, but each page has at
// least one result if there is any.
const maxPageBytes = 900 << 10

// A resultCache holds the committed results of the jobs that this VM processes,
// for readers on other VMs. It is safe for concurrent use.
type resultCache struct {
	mu   sync.Mutex
	jobs map[string]*cachedJob
	// order holds the job IDs, oldest first, which is the order of eviction.
	order []string
	bytes int
}

type cachedJob struct {
	account string
	total   int
	results []limpetjob.Result
	bytes   int
	changed chan struct{}
	// writeStartedAt is the start of a commit of results whose outcome is not
	// known yet; zero if there is none.
	writeStartedAt time.Time
}

// slowWriteThreshold is how long a commit may be in flight before the store may
// have applied it and show readers more than this cache holds.
const slowWriteThreshold = 250 * time.Millisecond

// writeStarted records the start of a commit of a job's results.
func (c *resultCache) writeStarted(job string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[job]; j != nil {
		j.writeStartedAt = now
	}
}

// mayBeStale reports whether the store may hold more results of a job than the
// cache.
func (c *resultCache) mayBeStale(job string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[job]
	return j == nil || (!j.writeStartedAt.IsZero() && now.Sub(j.writeStartedAt) > slowWriteThreshold)
}

func newResultCache() *resultCache { return &resultCache{jobs: map[string]*cachedJob{}} }

// set stores the results of a job from position first on. If that would leave a
// gap, it removes the job.
func (c *resultCache) set(job, account string, total, first int, results []limpetjob.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[job]
	if j == nil {
		j = &cachedJob{account: account, total: total, changed: make(chan struct{})}
		c.jobs[job] = j
		c.order = append(c.order, job)
	}
	if first > len(j.results) {
		c.remove(job)
		return
	}
	for _, r := range results[min(len(results), len(j.results)-first):] {
		j.results = append(j.results, r)
		j.bytes += len(r.Text)
		c.bytes += len(r.Text)
	}
	j.writeStartedAt = time.Time{}
	close(j.changed)
	j.changed = make(chan struct{})
	for c.bytes > maxCacheBytes && len(c.order) > 1 {
		c.remove(c.order[0])
	}
}

func (c *resultCache) removeJob(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(job)
}

func (c *resultCache) remove(job string) {
	j := c.jobs[job]
	if j == nil {
		return
	}
	c.bytes -= j.bytes
	delete(c.jobs, job)
	for n, id := range c.order {
		if id == job {
			c.order = append(c.order[:n:n], c.order[n+1:]...)
			break
		}
	}
	close(j.changed)
}

func (c *resultCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.order) > 0 {
		c.remove(c.order[0])
	}
}

// page returns the results of a job from position after on, its account, and
// a channel that is closed when the job changes. The channel is nil if the job
// is not cached.
func (c *resultCache) page(job string, after int) (limpetjob.Page, string, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[job]
	if j == nil {
		return limpetjob.Page{}, "", nil
	}
	p := limpetjob.Page{Total: j.total, Next: after}
	size := 0
	for n := after; n < len(j.results); n++ {
		if size += limpetjob.EncodedLen(j.results[n].Text); size > maxPageBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, j.results[n])
	}
	p.Next += len(p.Results)
	return p, j.account, j.changed
}

// Results returns the committed results of a job from position after on, and
// waits up to the given time for some. known is false if this VM cannot answer
// for the job, because it does not process it, may have been superseded, or does
// not know whether the store holds more results. denied is true if the job
// belongs to another account.
func (d *Director) Results(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, owner, changed := d.cachedResults.page(job, after)
		if changed == nil || !d.IsDirector() {
			return limpetjob.Page{}, false, false
		}
		if owner != account {
			return limpetjob.Page{}, true, true
		}
		if len(page.Results) > 0 || after >= page.Total {
			return page, false, true
		}
		select {
		case <-changed:
		case <-timer.C:
			// An empty answer requires that the store is known to hold no more.
			return page, false, d.IsDirector() && !d.cachedResults.mayBeStale(job, d.Now())
		case <-ctx.Done():
			return limpetjob.Page{}, false, false
		}
	}
}

// Fence returns the fencing token of the duty, 0 if the VM does not hold it.
func (d *Director) Fence() uint64 {
	if fence, ok := d.holder.Holds(DutyName, 0); ok {
		return fence
	}
	return 0
}

// IsDirector reports whether the VM holds a valid lease on the duty.
func (d *Director) IsDirector() bool {
	_, ok := d.holder.Holds(DutyName, 0)
	return ok
}
