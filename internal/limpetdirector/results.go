package limpetdirector

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpetjob"
)

// cacheBytes bounds the texts that are kept for readers.
const cacheBytes = 40 << 20

// pageBytes bounds the texts of one page of results.
const pageBytes = 900 << 10

// A resultCache holds the listed results of the jobs that this VM carries out, for
// readers on other VMs. It is safe for use by several goroutines.
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
	// writing is when a write of results began whose outcome is not known yet;
	// zero when there is none.
	writing time.Time
}

// doubtAfter is how long a write of results may take before the store may
// show readers more than this VM knows of.
const doubtAfter = 250 * time.Millisecond

// write records that a write of a job's results began.
func (s *resultCache) write(job string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[job]; j != nil {
		j.writing = now
	}
}

// doubtful reports whether the store may hold more results of a job than are
// known here.
func (s *resultCache) doubtful(job string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[job]
	return j == nil || (!j.writing.IsZero() && now.Sub(j.writing) > doubtAfter)
}

func newResultCache() *resultCache { return &resultCache{jobs: map[string]*cachedJob{}} }

// set takes the results of a job from position first on. A gap makes the job
// unknown.
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
	j.writing = time.Time{}
	close(j.changed)
	j.changed = make(chan struct{})
	for s.bytes > cacheBytes && len(s.order) > 1 {
		s.remove(s.order[0])
	}
}

// drop forgets a job.
func (s *resultCache) drop(job string) {
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

// clear forgets all jobs.
func (s *resultCache) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.order) > 0 {
		s.remove(s.order[0])
	}
}

// page returns the results of a job from a position on, and a channel that
// is closed when there are more.
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
		if size += len(j.results[n].Text); size > pageBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, j.results[n])
	}
	p.Next += len(p.Results)
	return p, j.account, j.changed
}

// Results returns the listed results of a job from a position on, and waits
// for some up to the given time. Known is false when this VM may not speak for
// the job: it does not carry it out, or may have been superseded.
func (d *Director) Results(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, owner, changed := d.listed.page(job, after)
		if changed == nil || !d.Directing() {
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
			// Nothing is said only when it is sure that there is nothing.
			return page, false, d.Directing() && !d.listed.doubtful(job, d.Now())
		case <-ctx.Done():
			return limpetjob.Page{}, false, false
		}
	}
}

// Directing reports whether the VM is sure to be the director.
func (d *Director) Directing() bool {
	_, ok := d.holder.Holds(Duty, 0)
	return ok
}
