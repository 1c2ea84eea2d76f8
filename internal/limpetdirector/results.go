package limpetdirector

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpetjob"
)

// maxCacheBytes bounds the texts that are cached for readers.
const maxCacheBytes = 40 << 20

// maxPageBytes bounds the texts of one page of results.
const maxPageBytes = 900 << 10

// A resultCache holds the committed results of the jobs that this VM processes,
// for readers on other VMs. It is safe for concurrent use.
type resultCache struct {
	mu    sync.Mutex
	jobs  map[string]*cachedJob
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
func (s *resultCache) writeStarted(job string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[job]; j != nil {
		j.writeStartedAt = now
	}
}

// mayBeStale reports whether the store may hold more results of a job than the
// cache.
func (s *resultCache) mayBeStale(job string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[job]
	return j == nil || (!j.writeStartedAt.IsZero() && now.Sub(j.writeStartedAt) > slowWriteThreshold)
}

func newResultCache() *resultCache { return &resultCache{jobs: map[string]*cachedJob{}} }

// set stores the results of a job from position first on. If that would leave a
// gap, it removes the job.
func (s *resultCache) set(job, account string, total, first int, results []limpetjob.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[job]
	if j == nil {
		j = &cachedJob{account: account, total: total, changed: make(chan struct{})}
		s.jobs[job] = j
		s.order = append(s.order, job)
	}
	if first > len(j.results) {
		s.remove(job)
		return
	}
	for _, r := range results[min(len(results), len(j.results)-first):] {
		j.results = append(j.results, r)
		j.bytes += len(r.Text)
		s.bytes += len(r.Text)
	}
	j.writeStartedAt = time.Time{}
	close(j.changed)
	j.changed = make(chan struct{})
	for s.bytes > maxCacheBytes && len(s.order) > 1 {
		s.remove(s.order[0])
	}
}

func (s *resultCache) removeJob(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(job)
}

func (s *resultCache) remove(job string) {
	j := s.jobs[job]
	if j == nil {
		return
	}
	s.bytes -= j.bytes
	delete(s.jobs, job)
	for n, id := range s.order {
		if id == job {
			s.order = append(s.order[:n:n], s.order[n+1:]...)
			break
		}
	}
	close(j.changed)
}

func (s *resultCache) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.order) > 0 {
		s.remove(s.order[0])
	}
}

// page returns the results of a job from position after on, its account, and
// a channel that is closed when the job changes. The channel is nil if the job
// is not cached.
func (s *resultCache) page(job string, after int) (limpetjob.Page, string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[job]
	if j == nil {
		return limpetjob.Page{}, "", nil
	}
	p := limpetjob.Page{Total: j.total, Next: after}
	size := 0
	for n := after; n < len(j.results); n++ {
		if size += len(j.results[n].Text); size > maxPageBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, j.results[n])
	}
	p.Next += len(p.Results)
	return p, j.account, j.changed
}

// Results returns the committed results of a job from position after on, and
// waits up to the given time for some. known is false if this VM cannot answer for the
// job, because it does not process it or may have been superseded. denied is
// true if the job belongs to another account.
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

// IsDirector reports whether the VM holds a valid lease on the duty.
func (d *Director) IsDirector() bool {
	_, ok := d.holder.Holds(DutyName, 0)
	return ok
}
