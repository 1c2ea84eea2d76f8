package limpetjob

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

const (
	// maxCacheBytes bounds the texts of results in the cache of a Reader.
	maxCacheBytes = 24 << 20
	// maxPageBytes bounds the texts of one page, but each page has at least
	// one result.
	maxPageBytes = 900 << 10
	// relistInterval is how long after a listing of the results a Reader may
	// rely on a watch for changes before it lists them again.
	relistInterval = 2500 * time.Millisecond
	// maxFullJobs bounds the jobs whose items are cached for reading bodies.
	maxFullJobs = 8
)

// JobNotFound returns the error for a job that does not exist or belongs to
// another client account.
func JobNotFound(id string) error { return limpeterror.NotFound.New("no job %q", id) }

// A Page holds the results of a job from a position on.
type Page struct {
	// Total is the number of items of the job.
	Total int
	// Next is the position after the last result of the page.
	Next    int
	Results []Result
}

// A Reader reads the results of jobs for the callers of one VM. Chunks are
// immutable, so it caches them and does not read them again while they are in
// the cache.
type Reader struct {
	store limpetstore.Store
	now   func() time.Time

	mu       sync.Mutex
	jobs     map[string]*cachedJob
	bytes    int
	fullJobs map[string]*Job
}

// A cachedJob holds what this VM has read of a job. The channel refreshing is a
// semaphore: only one goroutine at a time reads a job from the store.
type cachedJob struct {
	refreshing chan struct{}
	summary    Summary
	lastUsed   time.Time
	// The fields below, and lastUsed, are guarded by Reader.mu.
	results []Result
	// lastKey is the key of the last chunk in results, revision the store
	// revision up to which changes are known, and listed the time at which
	// the chunks were last listed.
	lastKey  string
	revision uint64
	listed   time.Time
	bytes    int
}

// NewReader returns a Reader with an empty cache. It reads summaries and items, which
// never change, as old as the store has them.
func NewReader(store limpetstore.Store, now func() time.Time) *Reader {
	store.Get = store.GetImmutable
	return &Reader{store: store, now: now, jobs: map[string]*cachedJob{}, fullJobs: map[string]*Job{}}
}

// Read returns the results of an account's job from position after on. If there
// are none yet, it waits for some, up to the given time. An error of type
// NotFound means that the account has no such job; other errors mean that the
// results cannot be read now.
func (r *Reader) Read(ctx context.Context, id, account string, after int, wait time.Duration) (Page, error) {
	j, err := r.lookup(ctx, id)
	if err != nil {
		return Page{}, err
	}
	if j.summary.Account != account {
		return Page{}, JobNotFound(id)
	}
	deadline := r.now().Add(wait)
	for {
		if page, ok := r.page(j, after); ok {
			return page, nil
		}
		mayReturnEmpty, err := r.refresh(ctx, j, after, max(0, deadline.Sub(r.now())))
		if err != nil {
			return Page{}, err
		}
		page, ok := r.page(j, after)
		if ok || (mayReturnEmpty && !r.now().Before(deadline)) {
			return page, nil
		}
	}
}

// lookup returns the cache entry of a job. It creates the entry if the job is in
// the store.
func (r *Reader) lookup(ctx context.Context, id string) (*cachedJob, error) {
	r.mu.Lock()
	j := r.jobs[id]
	if j != nil {
		j.lastUsed = r.now()
	}
	r.mu.Unlock()
	if j != nil {
		return j, nil
	}
	s, err := LoadSummary(ctx, r.store, id)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j = r.jobs[id]; j == nil {
		j = &cachedJob{refreshing: make(chan struct{}, 1), summary: s, lastUsed: r.now()}
		r.jobs[id] = j
	}
	return j, nil
}

// page returns the cached results from a position on. It reports whether there
// are any, or whether there can be none because the position is the end of the
// job.
func (r *Reader) page(j *cachedJob, after int) (Page, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Total: j.summary.Total, Next: after}
	size := 0
	for n := after; n < len(j.results); n++ {
		size += EncodedLen(j.results[n].Text)
		if size > maxPageBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, j.results[n])
	}
	p.Next += len(p.Results)
	return p, len(p.Results) > 0 || after >= j.summary.Total
}

// refresh reads chunks from the store that are not in the cache yet. It reports
// whether the caller may return an empty page once its time is over. It may not
// if another goroutine added results in the meantime, or if refresh listed the
// results without using the time to wait for changes.
func (r *Reader) refresh(ctx context.Context, j *cachedJob, after int, wait time.Duration) (bool, error) {
	select {
	case j.refreshing <- struct{}{}:
	case <-ctx.Done():
		return false, limpeterror.Unavailable.Wrap(ctx.Err(), "job %s", j.summary.ID)
	}
	defer func() { <-j.refreshing }()
	r.mu.Lock()
	known, lastKey, revision := len(j.results), j.lastKey, j.revision
	recentlyListed := r.now().Sub(j.listed) < relistInterval
	r.mu.Unlock()
	if known > after {
		return false, nil
	}
	prefix := ResultPrefix(j.summary.ID)
	if recentlyListed && wait > 0 {
		l, err := r.store.Follow(ctx, prefix, revision, wait)
		if err == nil {
			return true, r.add(j, l, false)
		}
		if !limpeterror.Is(err, limpeterror.Compacted) {
			return true, err
		}
	}
	if lastKey == "" && r.store.ScanOld != nil {
		// Readers of a job that this VM does not know yet mostly begin at its start.
		l, err := r.store.ScanOld(ctx, prefix, "")
		if err == nil {
			err = r.add(j, l, false)
		}
		if err != nil || r.knows(j, after) {
			return false, err
		}
	}
	// Changes that a watch does not report may exist all the same. Only a
	// listing shows what the store holds.
	r.mu.Lock()
	lastKey = j.lastKey
	r.mu.Unlock()
	l, err := r.store.Scan(ctx, prefix, lastKey)
	if err != nil {
		return true, err
	}
	return wait <= 0, r.add(j, l, true)
}

// knows reports whether results from a position on are cached.
func (r *Reader) knows(j *cachedJob, after int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(j.results) > after
}

// add appends chunks to the cached results; listed tells that they come from a
// listing. If a chunk does not follow the cached results, the next refresh lists
// the missing ones.
func (r *Reader) add(j *cachedJob, l limpetstore.Listing, listed bool) error {
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
		j.lastKey = v.Key
		j.results = append(j.results, c.Results...)
		for _, result := range c.Results {
			j.bytes += len(result.Text)
			r.bytes += len(result.Text)
		}
	}
	r.evict(j)
	return nil
}

// evict drops the least recently used jobs, but not the given one, while the
// cache is too large. They are read from the store again when needed.
func (r *Reader) evict(except *cachedJob) {
	for r.bytes > maxCacheBytes {
		var oldest *cachedJob
		for _, j := range r.jobs {
			if j != except && (oldest == nil || j.lastUsed.Before(oldest.lastUsed)) {
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

// Ended reports whether the store holds the marker that a job has ended.
func (r *Reader) Ended(ctx context.Context, id string) (bool, error) {
	_, err := r.store.Get(ctx, EndKey(id))
	if limpeterror.Is(err, limpeterror.NotFound) {
		return false, nil
	}
	return err == nil, err
}

// CheckOwner returns nil if the account has a job with this ID, an error of type
// NotFound if not, and another error if this cannot be determined now.
func (r *Reader) CheckOwner(ctx context.Context, id, account string) error {
	j, err := r.lookup(ctx, id)
	if err != nil {
		return err
	}
	if j.summary.Account != account {
		return JobNotFound(id)
	}
	return nil
}

// Body returns the body of an item of an account's job. An error of type
// NotFound means that the account has no such job or the job no such item.
func (r *Reader) Body(ctx context.Context, id, account, item string) ([]byte, error) {
	if err := r.CheckOwner(ctx, id, account); err != nil {
		return nil, err
	}
	job, err := r.fullJob(ctx, id)
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

// fullJob returns a job with its items, from the cache or the store.
func (r *Reader) fullJob(ctx context.Context, id string) (*Job, error) {
	r.mu.Lock()
	job, j := r.fullJobs[id], r.jobs[id]
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
	if len(r.fullJobs) >= maxFullJobs {
		clear(r.fullJobs)
	}
	r.fullJobs[id] = job
	return job, nil
}
