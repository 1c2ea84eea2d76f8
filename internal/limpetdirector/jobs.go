package limpetdirector

import (
	"context"
	"strings"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwatch"
)

// storeRetryDelay is the mean delay between attempts to read a job or commit
// results, and the delay before a job without a route is loaded again.
const storeRetryDelay = 150 * time.Millisecond

// followJobs watches the accepted and the ended jobs while the VM is the
// director.
func (d *Director) followJobs(l *leadership) {
	follow := func(prefix string) {
		f := &limpetwatch.Watcher{
			Store: d.Store, Prefix: prefix, Wait: jobWatchTimeout,
			OnList: func(list limpetstore.Listing) {
				d.post(l.group.Context(), jobUpdate{leadership: l, values: list.Values, prefix: prefix, complete: true})
			},
			OnChange: func(values []limpetstore.Value) {
				d.post(l.group.Context(), jobUpdate{leadership: l, values: values, prefix: prefix})
			},
			OnOutage: func(err error) {
				d.Log.Emit(limpetlog.StoreDown, limpetlog.Value("prefix", prefix), limpetlog.Error(err))
			},
			OnRecovery: func() { d.Log.Emit(limpetlog.StoreRecovered, limpetlog.Value("prefix", prefix)) },
		}
		l.group.Go(f.Run)
	}
	follow(limpetjob.EndPrefix)
	follow(limpetjob.OpenPrefix)
}

// A jobUpdate holds changes under one of the job prefixes. complete marks a
// full listing.
type jobUpdate struct {
	leadership *leadership
	prefix     string
	values     []limpetstore.Value
	complete   bool
}

func (m jobUpdate) apply(d *Director) {
	if d.leadership != m.leadership {
		return
	}
	if m.prefix == limpetjob.EndPrefix && m.complete {
		d.leadership.endsKnown = true
	}
	now := d.Now()
	for _, v := range m.values {
		id := strings.TrimPrefix(v.Key, m.prefix)
		if m.prefix == limpetjob.EndPrefix {
			d.recordEnded(id, v.Deleted, now)
			continue
		}
		d.recordAccepted(id, v, now)
	}
}

// recordEnded handles a change of the marker that a job has ended. deleted tells
// that the marker was removed from the store.
func (d *Director) recordEnded(id string, deleted bool, now time.Time) {
	if deleted {
		delete(d.endedJobs, id)
		return
	}
	if d.endedJobs[id] {
		return
	}
	d.endedJobs[id] = true
	if d.scheduler.Has(id) {
		j := d.scheduler.Jobs()[id]
		d.Log.Emit(limpetlog.JobEnded, limpetlog.Job(id), limpetlog.Value("listed", j.Committed()),
			limpetlog.Value("total", len(j.Items)), limpetlog.Value("age_ms", now.Sub(j.Arrived).Milliseconds()))
		d.removeJob(id, now, "job ended")
	}
}

// recordAccepted handles a change of the summary of an accepted job, and loads
// the job if it still has items to run.
func (d *Director) recordAccepted(id string, v limpetstore.Value, now time.Time) {
	if v.Deleted {
		delete(d.acceptedJobs, id)
		delete(d.fullyCommitted, id)
		return
	}
	s, err := limpetjob.DecodeSummary(v)
	if err != nil {
		d.Log.Emit(limpetlog.JobNotDecoded, limpetlog.Job(id), limpetlog.Error(err))
		return
	}
	d.acceptedJobs[id] = s
	if d.endedJobs[id] || d.fullyCommitted[id] || d.scheduler.Has(id) || now.Sub(s.Arrived) > d.JobRetention {
		return
	}
	d.queueLoad(s)
}

// resync reads the committed results of a job that the scheduler holds.
func (d *Director) resync(id string) {
	l, j := d.leadership, d.scheduler.Jobs()[id]
	if l == nil || j == nil {
		return
	}
	d.scheduler.MarkStoreUnknown(j)
	l.group.Go(func(ctx context.Context) error {
		m := resyncResult{leadership: l, id: id}
		m.err = d.retryRead(ctx, id, func() (err error) {
			m.done, err = limpetjob.LoadResults(ctx, d.Store, id)
			return err
		})
		d.post(ctx, m)
		return nil
	})
}

type resyncResult struct {
	leadership *leadership
	id         string
	done       []limpetjob.Result
	err        error
}

func (m resyncResult) apply(d *Director) {
	j := d.scheduler.Jobs()[m.id]
	if d.leadership != m.leadership || j == nil {
		return
	}
	if m.err != nil {
		// Without the positions of the committed results, no more results of
		// this job are committed.
		d.Log.Emit(limpetlog.JobNotDecoded, limpetlog.Job(m.id), limpetlog.Error(m.err))
		return
	}
	d.cancelRuns(d.scheduler.Reconcile(j, m.done), "result already committed")
	d.cachedResults.set(m.id, j.Account, len(j.Items), 0, m.done)
}

// commitResults commits settled results. One commit is in flight at a time; it
// checks the fencing token, so it has no effect once another VM is the
// director.
func (d *Director) commitResults(now time.Time) {
	l := d.leadership
	period := commitPeriod
	if d.scheduler.GroupReady() {
		period = groupCommitPeriod
	}
	if l.committing || now.Sub(l.committedAt) < period {
		return
	}
	chunks := d.scheduler.PendingChunks((limpetstore.MaxTransactionEntries - 2) / 2)
	if len(chunks) == 0 {
		return
	}
	t := limpetstore.Transaction{Checks: []limpetstore.Check{{Key: limpetlease.Prefix + DutyName, Revision: l.fence}}}
	for _, c := range chunks {
		key := limpetjob.ChunkKey(c.Job.ID, c.Chunk.First)
		t.Checks = append(t.Checks, limpetstore.Check{Key: key})
		t.Writes = append(t.Writes, limpetstore.Write{Key: key, Data: c.Chunk.Encode()})
		d.cachedResults.writeStarted(c.Job.ID, now)
	}
	l.committing = true
	l.group.Go(func(ctx context.Context) error {
		d.post(ctx, commitResult{leadership: l, chunks: chunks, err: d.commitUntilKnown(ctx, t)})
		return nil
	})
}

// saveDrafts writes unfinished texts to the store, so that a successor can
// continue them. A failed write is not retried, because the next one supersedes
// it.
func (d *Director) saveDrafts(now time.Time) {
	l := d.leadership
	if l.savingDrafts || now.Sub(l.draftsSaved) < draftPeriod {
		return
	}
	t, found := d.draftTransaction(l)
	if !found {
		l.draftsSaved = now
		return
	}
	l.savingDrafts = true
	l.group.Go(func(ctx context.Context) error {
		_, err := d.Store.Commit(ctx, t)
		d.post(ctx, draftsSaved{leadership: l, err: err})
		return nil
	})
}

// draftTransaction returns a transaction that writes unfinished texts, and
// whether there are any.
func (d *Director) draftTransaction(l *leadership) (limpetstore.Transaction, bool) {
	sets := d.scheduler.Drafts(limpetstore.MaxTransactionEntries - 1)
	t := limpetstore.Transaction{Checks: []limpetstore.Check{{Key: limpetlease.Prefix + DutyName, Revision: l.fence}}}
	for _, s := range sets {
		t.Writes = append(t.Writes, limpetstore.Write{Key: limpetjob.DraftKey(s.Job.ID), Data: limpetjob.EncodeDrafts(s.Drafts)})
	}
	return t, len(sets) > 0
}

// flushDrafts writes unfinished texts before the duty is given up.
func (d *Director) flushDrafts(l *leadership) {
	t, found := d.draftTransaction(l)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if _, err := d.Store.Commit(ctx, t); err != nil {
		d.Log.Emit(limpetlog.DraftsNotSaved, limpetlog.Error(err))
	}
}

// flushTimeout bounds the write of flushDrafts.
const flushTimeout = 500 * time.Millisecond

type draftsSaved struct {
	leadership *leadership
	err        error
}

func (m draftsSaved) apply(d *Director) {
	m.leadership.savingDrafts, m.leadership.draftsSaved = false, d.Now()
	if m.err != nil {
		d.Log.Emit(limpetlog.DraftsNotSaved, limpetlog.Error(m.err))
	}
}

// commitUntilKnown retries a commit until its outcome is known. All writes are
// conditional on their keys being absent, so a retry cannot apply them twice.
func (d *Director) commitUntilKnown(ctx context.Context, t limpetstore.Transaction) error {
	for {
		_, err := d.Store.Commit(ctx, t)
		if err == nil || limpeterror.Is(err, limpeterror.Conflict) || limpeterror.Is(err, limpeterror.Invalid) {
			return err
		}
		if !limpettask.Sleep(ctx, limpettask.Jitter(storeRetryDelay)) {
			return err
		}
	}
}

// A commitResult is the outcome of committing results.
type commitResult struct {
	leadership *leadership
	chunks     []limpetbatch.PendingChunk
	err        error
}

func (m commitResult) apply(d *Director) {
	if d.leadership != m.leadership {
		// The results are read again from the store when the duty is
		// reacquired.
		return
	}
	m.leadership.committing, m.leadership.committedAt = false, d.Now()
	for _, c := range m.chunks {
		if m.err == nil {
			// This includes jobs that ended meanwhile, because the store holds
			// their results.
			d.cachedResults.set(c.Job.ID, c.Job.Account, len(c.Job.Items), c.Chunk.First, c.Chunk.Results)
		}
		if !d.scheduler.Has(c.Job.ID) {
			if m.err != nil {
				d.cachedResults.removeJob(c.Job.ID)
			}
			continue
		}
		if limpeterror.Is(m.err, limpeterror.Invalid) {
			d.handleRefused(c, m.err)
			continue
		}
		if m.err != nil {
			d.Log.Emit(limpetlog.ResultsNotCommitted, limpetlog.Job(c.Job.ID), limpetlog.Value("first", c.Chunk.First), limpetlog.Error(m.err))
			d.cachedResults.removeJob(c.Job.ID)
			d.resync(c.Job.ID)
			continue
		}
		d.scheduler.MarkCommitted(c.Job)
		d.Log.Emit(limpetlog.ResultsCommitted, limpetlog.Job(c.Job.ID), limpetlog.Value("first", c.Chunk.First),
			limpetlog.Value("count", len(c.Chunk.Results)), limpetlog.Value("age_ms", d.Now().Sub(c.Job.Arrived).Milliseconds()))
	}
}

// handleRefused handles a chunk that the store has refused for good, by itself or for
// another one in its transaction.
func (d *Director) handleRefused(c limpetbatch.PendingChunk, err error) {
	// The store holds no more than before.
	d.cachedResults.set(c.Job.ID, c.Job.Account, len(c.Job.Items), c.Chunk.First, nil)
	d.Log.Emit(limpetlog.ResultsNotCommitted, limpetlog.Job(c.Job.ID), limpetlog.Value("first", c.Chunk.First), limpetlog.Value("count", len(c.Chunk.Results)), limpetlog.Error(err))
	if e := d.scheduler.MarkRefused(c.Job); e != nil {
		d.Log.Emit(limpetlog.ResultRefused, limpetlog.Job(c.Job.ID), limpetlog.Value("item", e.Item.ID), limpetlog.Value("events", e.Events()), limpetlog.Error(err))
	}
}
