package limpetjob

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

const (
	// cacheBytes bounds the texts that a VM keeps of jobs that are read.
	cacheBytes = 24 << 20
	// pageBytes bounds the texts of one page of results.
	pageBytes = 900 << 10
	// freshFor is how long after a listing a reader may wait for changes by a
	// watch, before it lists again.
	freshFor = 2500 * time.Millisecond
	// specsKept bounds the jobs whose items are kept for reading bodies.
	specsKept = 8
)

// NoJob returns the error for a job that the caller does not have.
func NoJob(id string) error { return limpeterror.NotFound.New("no job %q", id) }

// A Page holds the results of a job from a position on.
type Page struct {
	Total   int
	Next    int
	Results []Result
}

// A Reader answers readers of jobs on one VM. Chunks are immutable, so that
// what was read once is kept and never asked for again.
type Reader struct {
	store limpetstore.Store
	now   func() time.Time

	mu    sync.Mutex
	jobs  map[string]*readJob
	bytes int
	specs map[string]*Job
}

// A readJob is a job as far as this VM has read it. The channel holds one
// token, which the goroutine that asks the store takes.
type readJob struct {
	turn    chan struct{}
	summary Summary
	used    time.Time
	// Guarded by the reader's lock.
	results []Result
	// last is the key of the last chunk that is known, revision the one up to
	// which changes are known, and listed when they were last listed.
	last     string
	revision uint64
	listed   time.Time
	bytes    int
}

// NewReader returns a reader with an empty cache.
func NewReader(store limpetstore.Store, now func() time.Time) *Reader {
	return &Reader{store: store, now: now, jobs: map[string]*readJob{}, specs: map[string]*Job{}}
}

// Read returns the results of an account's job from position after on. When
// there are none yet it waits for some, up to the given time. NotFound means
// that there is no such job; other errors that it cannot be told now.
func (r *Reader) Read(ctx context.Context, id, account string, after int, wait time.Duration) (Page, error) {
	j, err := r.find(ctx, id)
	if err != nil {
		return Page{}, err
	}
	if j.summary.Account != account {
		return Page{}, NoJob(id)
	}
	ends := r.now().Add(wait)
	for {
		if page, ok := r.page(j, after); ok {
			return page, nil
		}
		asked, err := r.refresh(ctx, j, after, max(0, ends.Sub(r.now())))
		if err != nil {
			return Page{}, err
		}
		page, ok := r.page(j, after)
		if ok || (asked && !r.now().Before(ends)) {
			return page, nil
		}
	}
}

func (r *Reader) find(ctx context.Context, id string) (*readJob, error) {
	r.mu.Lock()
	j := r.jobs[id]
	if j != nil {
		j.used = r.now()
	}
	r.mu.Unlock()
	if j != nil {
		return j, nil
	}
	s, err := Stored(ctx, r.store, id)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j = r.jobs[id]; j == nil {
		j = &readJob{turn: make(chan struct{}, 1), summary: s, used: r.now()}
		r.jobs[id] = j
	}
	return j, nil
}

// page returns the results from a position on, and whether there are any or
// can be none.
func (r *Reader) page(j *readJob, after int) (Page, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Total: j.summary.Total, Next: after}
	size := 0
	for n := after; n < len(j.results); n++ {
		size += len(j.results[n].Text)
		if size > pageBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, j.results[n])
	}
	p.Next += len(p.Results)
	return p, len(p.Results) > 0 || after >= j.summary.Total
}

// refresh asks the store for chunks beyond those that are known. It reports
// whether it asked: a reader that waited its turn looks at the cache again.
func (r *Reader) refresh(ctx context.Context, j *readJob, after int, wait time.Duration) (bool, error) {
	select {
	case j.turn <- struct{}{}:
	case <-ctx.Done():
		return false, limpeterror.Unavailable.Wrap(ctx.Err(), "job %s", j.summary.ID)
	}
	defer func() { <-j.turn }()
	r.mu.Lock()
	known, last, revision := len(j.results), j.last, j.revision
	fresh := r.now().Sub(j.listed) < freshFor
	r.mu.Unlock()
	if known > after {
		return false, nil
	}
	prefix := ResultPrefix(j.summary.ID)
	if fresh && wait > 0 {
		l, err := r.store.Follow(ctx, prefix, revision, wait)
		if err == nil {
			return true, r.add(j, l, false)
		}
		if !limpeterror.Is(err, limpeterror.Compacted) {
			return true, err
		}
	}
	// What a watch does not tell is no proof: a listing is.
	l, err := r.store.Scan(ctx, prefix, last)
	if err != nil {
		return true, err
	}
	return wait <= 0, r.add(j, l, true)
}

// add takes chunks in the order of their positions. One that does not follow
// on what is known makes the next refresh list what is missing.
func (r *Reader) add(j *readJob, l limpetstore.Listing, listed bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listed {
		j.listed = r.now()
	}
	j.revision = max(j.revision, l.Revision)
	for _, v := range l.Values {
		if v.Deleted {
			continue
		}
		c, err := DecodeChunk(v)
		if err != nil {
			return err
		}
		if c.First < len(j.results) {
			continue
		}
		if c.First > len(j.results) {
			j.listed = time.Time{}
			break
		}
		j.last = v.Key
		j.results = append(j.results, c.Results...)
		for _, result := range c.Results {
			j.bytes += len(result.Text)
			r.bytes += len(result.Text)
		}
	}
	r.evict(j)
	return nil
}

// evict drops the jobs that were read least recently while the cache is too
// large. They are read from the store again when needed.
func (r *Reader) evict(keep *readJob) {
	for r.bytes > cacheBytes {
		var oldest *readJob
		for _, j := range r.jobs {
			if j != keep && (oldest == nil || j.used.Before(oldest.used)) {
				oldest = j
			}
		}
		if oldest == nil {
			return
		}
		r.bytes -= oldest.bytes
		delete(r.jobs, oldest.summary.ID)
	}
}

// Ended reports whether the store holds a job's end mark.
func (r *Reader) Ended(ctx context.Context, id string) (bool, error) {
	_, err := r.store.Get(ctx, EndKey(id))
	if limpeterror.Is(err, limpeterror.NotFound) {
		return false, nil
	}
	return err == nil, err
}

// Owned returns nil when the account has a job of this ID, NotFound when not,
// and another error when it cannot be told now.
func (r *Reader) Owned(ctx context.Context, id, account string) error {
	j, err := r.find(ctx, id)
	if err != nil {
		return err
	}
	if j.summary.Account != account {
		return NoJob(id)
	}
	return nil
}

// Body returns the body of an item of an account's job.
func (r *Reader) Body(ctx context.Context, id, account, item string) ([]byte, error) {
	if err := r.Owned(ctx, id, account); err != nil {
		return nil, err
	}
	job, err := r.spec(ctx, id)
	if err != nil {
		return nil, err
	}
	for n := range job.Items {
		if job.Items[n].ID == item {
			return job.Items[n].Body, nil
		}
	}
	return nil, limpeterror.NotFound.New("no item %q in job %s", item, id)
}

func (r *Reader) spec(ctx context.Context, id string) (*Job, error) {
	r.mu.Lock()
	job, j := r.specs[id], r.jobs[id]
	r.mu.Unlock()
	if job != nil {
		return job, nil
	}
	if j == nil {
		return nil, limpeterror.Unavailable.New("job %s was dropped from the cache", id)
	}
	job, err := Load(ctx, r.store, j.summary)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.specs) >= specsKept {
		clear(r.specs)
	}
	r.specs[id] = job
	return job, nil
}
