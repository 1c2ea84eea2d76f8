package limpetdirector

import (
	"context"
	"slices"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

const (
	// maxFreshLoads is the number of jobs that are loaded at once. A load no longer
	// counts after slowLoadTime, so that a store that is slow for one job does not
	// delay the others.
	maxFreshLoads = 2
	slowLoadTime  = 150 * time.Millisecond
)

// A loadQueue holds the jobs that a director has to read from the store. After a
// takeover these are all open jobs. The oldest go first: they are due first, and
// their trainers submit nothing else until they have them.
type loadQueue struct {
	// waiting is ordered by arrival.
	waiting []limpetjob.Summary
	// started holds the start of each load under way, by job.
	started map[string]time.Time
}

// clear forgets all jobs; loads under way end with the leadership.
func (q *loadQueue) clear() { *q = loadQueue{started: map[string]time.Time{}} }

// add adds a job that is neither waiting nor being loaded.
func (q *loadQueue) add(s limpetjob.Summary) {
	if _, loading := q.started[s.ID]; loading || slices.ContainsFunc(q.waiting, func(w limpetjob.Summary) bool { return w.ID == s.ID }) {
		return
	}
	n, _ := slices.BinarySearchFunc(q.waiting, s, func(a, b limpetjob.Summary) int { return a.Arrived.Compare(b.Arrived) })
	q.waiting = slices.Insert(q.waiting, n, s)
}

// next removes and returns the job to load now, if there is one.
func (q *loadQueue) next(now time.Time) (limpetjob.Summary, bool) {
	fresh := 0
	for _, started := range q.started {
		if now.Sub(started) < slowLoadTime {
			fresh++
		}
	}
	if len(q.waiting) == 0 || fresh >= maxFreshLoads {
		return limpetjob.Summary{}, false
	}
	s := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return s, true
}

// queueLoad has a job loaded while the VM is the director.
func (d *Director) queueLoad(s limpetjob.Summary) {
	if d.leadership != nil {
		d.loads.add(s)
	}
}

// startLoads starts to load the jobs whose turn it is. It waits until the ended jobs
// are known, which need not be loaded.
func (d *Director) startLoads(now time.Time) {
	if !d.leadership.endsKnown {
		return
	}
	for {
		s, found := d.loads.next(now)
		if !found {
			return
		}
		if !d.endedJobs[s.ID] && !d.scheduler.Has(s.ID) {
			d.startLoad(s, now)
		}
	}
}

// startLoad reads a job, its committed results and its saved drafts.
func (d *Director) startLoad(s limpetjob.Summary, now time.Time) {
	d.loads.started[s.ID] = now
	l := d.leadership
	l.group.Go(func(ctx context.Context) error {
		m := loadResult{leadership: l, id: s.ID}
		m.err = d.retryRead(ctx, s.ID, func() error {
			var err error
			if m.job, err = limpetjob.Load(ctx, d.Store, s); err != nil {
				return err
			}
			if m.done, err = limpetjob.LoadResults(ctx, d.Store, s.ID); err != nil {
				return err
			}
			if d.Now().Sub(s.Arrived) > draftPeriod {
				m.drafts, err = limpetjob.LoadDrafts(ctx, d.Store, s.ID)
			}
			return err
		})
		d.post(ctx, m)
		return nil
	})
}

// retryRead calls read until it succeeds, fails because of undecodable data, or
// ctx ends.
func (d *Director) retryRead(ctx context.Context, job string, read func() error) error {
	for logged := false; ; logged = true {
		err := read()
		if err == nil || limpeterror.Is(err, limpeterror.Invalid) || ctx.Err() != nil {
			return err
		}
		if !logged {
			d.Log.Emit(limpetlog.JobReadFailed, limpetlog.Job(job), limpetlog.Error(err))
		}
		limpettask.Sleep(ctx, limpettask.Jitter(storeRetryDelay))
	}
}

// loadResult is the outcome of loading a job.
type loadResult struct {
	leadership *leadership
	id         string
	job        *limpetjob.Job
	done       []limpetjob.Result
	// drafts are unfinished texts that an earlier director saved.
	drafts []limpetjob.Draft
	err    error
}

func (m loadResult) apply(d *Director) {
	if d.leadership != m.leadership {
		return
	}
	delete(d.loads.started, m.id)
	if m.err != nil {
		d.Log.Emit(limpetlog.JobNotDecoded, limpetlog.Job(m.id), limpetlog.Error(m.err))
		return
	}
	if d.endedJobs[m.id] || d.scheduler.Has(m.id) {
		return
	}
	if len(m.done) >= len(m.job.Items) {
		d.fullyCommitted[m.id] = true
		return
	}
	s := d.acceptedJobs[m.id]
	rules, ok := loadedRules(d.View(), m.job, s.Revision)
	if !ok {
		// The configuration with the route may not have reached this VM yet.
		d.Log.Emit(limpetlog.JobWithoutRoute, limpetlog.Job(m.id), limpetlog.Value("revision", d.View().Revision))
		l := d.leadership
		l.group.Go(func(ctx context.Context) error {
			limpettask.Sleep(ctx, storeRetryDelay)
			d.post(ctx, jobReload{leadership: l, summary: s})
			return nil
		})
		return
	}
	now := d.Now()
	j := d.scheduler.AddJob(m.job, rules, m.done, now)
	d.scheduler.Resume(j, m.drafts, now)
	d.cachedResults.set(m.id, j.Account, len(j.Items), 0, m.done)
	d.Log.Emit(limpetlog.JobTaken, limpetlog.Job(m.id), limpetlog.Account(j.Account), limpetlog.Value("items", len(j.Items)),
		limpetlog.Value("listed", len(m.done)), limpetlog.Value("drafts", len(m.drafts)), limpetlog.Value("step", j.Step), limpetlog.Value("min_version", j.MinVersion),
		limpetlog.Value("engines", d.scheduler.UsableEngines(j)), limpetlog.Value("named", d.view.PublishedVersions[j.Model]),
		limpetlog.Value("waiting", d.scheduler.WaitingBeside(j)), limpetlog.Value("age_ms", now.Sub(j.Arrived).Milliseconds()))
}

// jobReload loads a job again after a delay.
type jobReload struct {
	leadership *leadership
	summary    limpetjob.Summary
}

func (m jobReload) apply(d *Director) {
	if d.leadership == m.leadership && !d.endedJobs[m.summary.ID] && !d.scheduler.Has(m.summary.ID) {
		d.queueLoad(m.summary)
	}
}
