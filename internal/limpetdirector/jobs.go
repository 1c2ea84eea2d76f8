package limpetdirector

import (
	"context"
	"strings"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetfollow"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// loadPause is the time between tries to read a job.
const loadPause = 150 * time.Millisecond

// followJobs watches accepted and ended jobs while the VM is the director.
func (d *Director) followJobs(l *lead) {
	follow := func(prefix string) {
		f := &limpetfollow.Follower{
			Store: d.Store, Prefix: prefix, Wait: watchWait,
			Listed: func(list limpetstore.Listing) {
				d.post(l.group.Context(), news{lead: l, values: list.Values, prefix: prefix, complete: true})
			},
			Changed: func(values []limpetstore.Value) {
				d.post(l.group.Context(), news{lead: l, values: values, prefix: prefix})
			},
			Lost: func(err error) {
				d.Log.Emit(limpetlog.StoreDown, limpetlog.Value("prefix", prefix), limpetlog.Error(err))
			},
			Back: func() { d.Log.Emit(limpetlog.StoreBack, limpetlog.Value("prefix", prefix)) },
		}
		l.group.Go(f.Run)
	}
	follow(limpetjob.EndPrefix)
	follow(limpetjob.OpenPrefix)
}

// news holds changes of one of the job prefixes.
type news struct {
	lead     *lead
	prefix   string
	values   []limpetstore.Value
	complete bool
}

func (n news) apply(d *Director) {
	if d.lead != n.lead {
		return
	}
	if n.prefix == limpetjob.EndPrefix && n.complete {
		d.lead.endsKnown = true
	}
	now := d.Now()
	for _, v := range n.values {
		id := strings.TrimPrefix(v.Key, n.prefix)
		if n.prefix == limpetjob.EndPrefix {
			d.endJob(id, v.Deleted, now)
			continue
		}
		d.openJob(id, v, now)
	}
}

func (d *Director) endJob(id string, cleared bool, now time.Time) {
	if cleared {
		delete(d.ended, id)
		return
	}
	if d.ended[id] {
		return
	}
	d.ended[id] = true
	if d.ledger.Has(id) {
		j := d.ledger.Jobs()[id]
		d.Log.Emit(limpetlog.JobEnded, limpetlog.Job(id), limpetlog.Value("listed", j.Listed()),
			limpetlog.Value("total", len(j.Items)), limpetlog.Value("age_ms", now.Sub(j.Arrived).Milliseconds()))
		d.cut(d.ledger.End(id, now), "job ended")
	}
}

func (d *Director) openJob(id string, v limpetstore.Value, now time.Time) {
	if v.Deleted {
		delete(d.open, id)
		delete(d.whole, id)
		return
	}
	s, err := limpetjob.DecodeSummary(v)
	if err != nil {
		d.Log.Emit(limpetlog.JobUnreadable, limpetlog.Job(id), limpetlog.Error(err))
		return
	}
	d.open[id] = s
	if d.ended[id] || d.whole[id] || d.ledger.Has(id) || now.Sub(s.Arrived) > d.StatusLife {
		return
	}
	d.load(s)
}

// load reads a job and what is listed of it.
func (d *Director) load(s limpetjob.Summary) {
	if d.loading[s.ID] || d.lead == nil {
		return
	}
	d.loading[s.ID] = true
	l := d.lead
	l.group.Go(func(ctx context.Context) error {
		m := loaded{lead: l, id: s.ID}
		m.err = d.untilRead(ctx, s.ID, func() error {
			var err error
			if m.job, err = limpetjob.Load(ctx, d.Store, s); err != nil {
				return err
			}
			if m.done, err = limpetjob.Listed(ctx, d.Store, s.ID); err != nil {
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

// untilRead repeats reading something of a job until the store gives it, what
// it gives cannot be read, or ctx ends.
func (d *Director) untilRead(ctx context.Context, job string, read func() error) error {
	for told := false; ; told = true {
		err := read()
		if err == nil || limpeterror.Is(err, limpeterror.Invalid) || ctx.Err() != nil {
			return err
		}
		if !told {
			d.Log.Emit(limpetlog.JobNotRead, limpetlog.Job(job), limpetlog.Error(err))
		}
		limpettask.Sleep(ctx, limpettask.Jitter(loadPause))
	}
}

// loaded is a job with what is listed of it.
type loaded struct {
	lead *lead
	id   string
	job  *limpetjob.Job
	done []limpetjob.Result
	// drafts are texts that a former director kept.
	drafts []limpetjob.Draft
	err    error
}

func (m loaded) apply(d *Director) {
	if d.lead != m.lead {
		return
	}
	delete(d.loading, m.id)
	if m.err != nil {
		d.Log.Emit(limpetlog.JobUnreadable, limpetlog.Job(m.id), limpetlog.Error(m.err))
		return
	}
	if d.ended[m.id] || d.ledger.Has(m.id) {
		return
	}
	if len(m.done) >= len(m.job.Items) {
		d.whole[m.id] = true
		return
	}
	rules, ok := rulesOf(d.View(), m.job)
	if !ok {
		// The route may be in a configuration that this VM does not have yet.
		d.Log.Emit(limpetlog.JobWithoutRoute, limpetlog.Job(m.id), limpetlog.Value("revision", d.View().Revision))
		s := d.open[m.id]
		l := d.lead
		l.group.Go(func(ctx context.Context) error {
			limpettask.Sleep(ctx, loadPause)
			d.post(ctx, reload{lead: l, summary: s})
			return nil
		})
		return
	}
	now := d.Now()
	j := d.ledger.Add(m.job, rules, m.done, now)
	d.ledger.Resume(j, m.drafts, now)
	d.listed.set(m.id, j.Account, len(j.Items), 0, m.done)
	d.Log.Emit(limpetlog.JobTaken, limpetlog.Job(m.id), limpetlog.Account(j.Account), limpetlog.Value("items", len(j.Items)),
		limpetlog.Value("listed", len(m.done)), limpetlog.Value("drafts", len(m.drafts)), limpetlog.Value("step", j.Step), limpetlog.Value("min_version", j.MinVersion),
		limpetlog.Value("engines", d.ledger.Usable(j)), limpetlog.Value("named", d.view.Named[j.Model]),
		limpetlog.Value("waiting", d.ledger.Waiting(j.Model)), limpetlog.Value("age_ms", now.Sub(j.Arrived).Milliseconds()))
}

// reload asks for a job again.
type reload struct {
	lead    *lead
	summary limpetjob.Summary
}

func (m reload) apply(d *Director) {
	if d.lead == m.lead && !d.ended[m.summary.ID] && !d.ledger.Has(m.summary.ID) {
		d.load(m.summary)
	}
}

// rulesOf returns what the routes say about a job.
func rulesOf(view *limpetsite.Snapshot, j *limpetjob.Job) (limpetbatch.Rules, bool) {
	route := view.Route(j.Host, j.Path)
	if route == nil || len(route.Targets) == 0 {
		return limpetbatch.Rules{}, false
	}
	return limpetbatch.Rules{
		Service: route.Targets[0].Service, RunTarget: route.RunTarget, ItemLife: route.ItemLife,
		Attempts: route.Attempts, OnPolicy: route.OnPolicy, Priority: view.Priority(j.Account, route),
	}, true
}

// resync reads what is listed of a job that the ledger holds.
func (d *Director) resync(id string) {
	l, j := d.lead, d.ledger.Jobs()[id]
	if l == nil || j == nil {
		return
	}
	d.ledger.Unsure(j)
	l.group.Go(func(ctx context.Context) error {
		m := resynced{lead: l, id: id}
		m.err = d.untilRead(ctx, id, func() (err error) {
			m.done, err = limpetjob.Listed(ctx, d.Store, id)
			return err
		})
		d.post(ctx, m)
		return nil
	})
}

type resynced struct {
	lead *lead
	id   string
	done []limpetjob.Result
	err  error
}

func (m resynced) apply(d *Director) {
	j := d.ledger.Jobs()[m.id]
	if d.lead != m.lead || j == nil {
		return
	}
	if m.err != nil {
		// Nothing more is listed of the job: its positions are not known.
		d.Log.Emit(limpetlog.JobUnreadable, limpetlog.Job(m.id), limpetlog.Error(m.err))
		return
	}
	d.cut(d.ledger.Adopt(j, m.done), "listed already")
	d.listed.set(m.id, j.Account, len(j.Items), 0, m.done)
}

// list writes settled results. One write is under way at a time; it has its
// effect only while this VM is the director.
func (d *Director) list(now time.Time) {
	l := d.lead
	period := listPeriod
	if d.ledger.GroupReady() {
		period = listGroup
	}
	if l.committing || now.Sub(l.committed) < period {
		return
	}
	chunks := d.ledger.Listings((limpetstore.MaxEntries - 2) / 2)
	if len(chunks) == 0 {
		return
	}
	t := limpetstore.Transaction{Checks: []limpetstore.Check{{Key: limpetlease.Prefix + Duty, Revision: l.fence}}}
	for _, c := range chunks {
		key := limpetjob.ChunkKey(c.Job.ID, c.Chunk.First)
		t.Checks = append(t.Checks, limpetstore.Check{Key: key})
		t.Writes = append(t.Writes, limpetstore.Write{Key: key, Data: c.Chunk.Encode()})
		d.listed.write(c.Job.ID, now)
	}
	l.committing = true
	l.group.Go(func(ctx context.Context) error {
		d.post(ctx, listing{lead: l, chunks: chunks, err: d.commit(ctx, t)})
		return nil
	})
}

// keepDrafts writes unfinished texts, so that a successor goes on where they
// end. A write that fails is not repeated: the next one says more.
func (d *Director) keepDrafts(now time.Time) {
	l := d.lead
	if l.drafting || now.Sub(l.drafted) < draftPeriod {
		return
	}
	t, found := d.draftWrite(l)
	if !found {
		l.drafted = now
		return
	}
	l.drafting = true
	l.group.Go(func(ctx context.Context) error {
		_, err := d.Store.Commit(ctx, t)
		d.post(ctx, drafted{lead: l, err: err})
		return nil
	})
}

// draftWrite returns the write of unfinished texts, and whether there are any.
func (d *Director) draftWrite(l *lead) (limpetstore.Transaction, bool) {
	sets := d.ledger.Drafts(limpetstore.MaxEntries - 1)
	t := limpetstore.Transaction{Checks: []limpetstore.Check{{Key: limpetlease.Prefix + Duty, Revision: l.fence}}}
	for _, s := range sets {
		t.Writes = append(t.Writes, limpetstore.Write{Key: limpetjob.DraftKey(s.Job.ID), Data: limpetjob.EncodeDrafts(s.Drafts)})
	}
	return t, len(sets) > 0
}

// handOver keeps all unfinished texts before the duty is given up.
func (d *Director) handOver(l *lead) {
	t, found := d.draftWrite(l)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	if _, err := d.Store.Commit(ctx, t); err != nil {
		d.Log.Emit(limpetlog.DraftsNotKept, limpetlog.Error(err))
	}
}

// handOverTime bounds the last write of unfinished texts.
const handOverTime = 500 * time.Millisecond

type drafted struct {
	lead *lead
	err  error
}

func (m drafted) apply(d *Director) {
	m.lead.drafting, m.lead.drafted = false, d.Now()
	if m.err != nil {
		d.Log.Emit(limpetlog.DraftsNotKept, limpetlog.Error(m.err))
	}
}

// commit repeats a write until it is known whether it had its effect.
func (d *Director) commit(ctx context.Context, t limpetstore.Transaction) error {
	for {
		_, err := d.Store.Commit(ctx, t)
		if err == nil || limpeterror.Is(err, limpeterror.Conflict) || limpeterror.Is(err, limpeterror.Invalid) {
			return err
		}
		if !limpettask.Sleep(ctx, limpettask.Jitter(loadPause)) {
			return err
		}
	}
}

// A listing is the end of a write of results.
type listing struct {
	lead   *lead
	chunks []limpetbatch.Listing
	err    error
}

func (m listing) apply(d *Director) {
	if d.lead != m.lead {
		// The next term reads what the store holds.
		return
	}
	m.lead.committing, m.lead.committed = false, d.Now()
	for _, c := range m.chunks {
		if m.err == nil {
			// Also for a job that ended meanwhile: the store holds its results.
			d.listed.set(c.Job.ID, c.Job.Account, len(c.Job.Items), c.Chunk.First, c.Chunk.Results)
		}
		if !d.ledger.Has(c.Job.ID) {
			if m.err != nil {
				d.listed.drop(c.Job.ID)
			}
			continue
		}
		if m.err != nil {
			d.Log.Emit(limpetlog.ListingFailed, limpetlog.Job(c.Job.ID), limpetlog.Value("first", c.Chunk.First), limpetlog.Error(m.err))
			d.listed.drop(c.Job.ID)
			d.resync(c.Job.ID)
			continue
		}
		d.ledger.Committed(c.Job)
		d.Log.Emit(limpetlog.ResultsListed, limpetlog.Job(c.Job.ID), limpetlog.Value("first", c.Chunk.First),
			limpetlog.Value("count", len(c.Chunk.Results)), limpetlog.Value("age_ms", d.Now().Sub(c.Job.Arrived).Milliseconds()))
	}
}
