package limpetbatch

import (
	"cmp"
	"slices"
	"time"

	"limpetmount.org/internal/limpetjob"
)

const (
	// draftEvents is the length of text from which on losing it matters.
	draftEvents = 14
	// draftBytes bounds the drafts of one write.
	draftBytes = 500 << 10
)

// A DraftSet holds the unfinished texts of one job.
type DraftSet struct {
	Job    *Job
	Drafts []limpetjob.Draft
}

// Drafts returns the unfinished texts that are worth keeping, the longest
// ones first, for at most so many jobs. Jobs without a new event since the
// last time are left out.
func (l *Ledger) Drafts(most int) []DraftSet {
	var long []*Entry
	for _, j := range l.line {
		if !j.undrafted {
			continue
		}
		for _, e := range j.entries {
			if e.phase < settled && e.text.last >= draftEvents {
				long = append(long, e)
			}
		}
	}
	slices.SortFunc(long, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(b.text.last, a.text.last), cmp.Compare(a.Item.ID, b.Item.ID))
	})
	var sets []DraftSet
	at := map[*Job]int{}
	bytes := 0
	for _, e := range long {
		if bytes += e.text.bytes; bytes > draftBytes {
			break
		}
		n, ok := at[e.Job]
		if !ok {
			if len(sets) == most {
				continue
			}
			n = len(sets)
			at[e.Job] = n
			sets = append(sets, DraftSet{Job: e.Job})
			e.Job.undrafted = false
		}
		sets[n].Drafts = append(sets[n].Drafts, e.Draft())
	}
	return sets
}

// Resume gives items of a job the texts that another VM kept, where their
// versions fit.
func (l *Ledger) Resume(j *Job, drafts []limpetjob.Draft, now time.Time) {
	for _, d := range drafts {
		e := j.byID[d.Item]
		if e == nil || e.phase != waiting || e.text.last >= d.Last || !j.allows(d) {
			continue
		}
		e.text = textOf(d)
		if d.Whole {
			l.complete(e, now)
		}
	}
	l.stale = true
}

// Draft returns the entry's text so far.
func (e *Entry) Draft() limpetjob.Draft {
	return limpetjob.Draft{
		Item: e.Item.ID, Pieces: slices.Clone(e.text.pieces), Last: e.text.last,
		Versions: slices.Clone(e.text.versions), Version: e.text.version, Whole: e.text.whole,
	}
}

// allows reports whether a job can use a text that is not empty.
func (j *Job) allows(d limpetjob.Draft) bool {
	return len(d.Versions) > 0 && len(d.Pieces) > 0 &&
		slices.Min(d.Versions) >= j.MinVersion && (!j.Rules.OnPolicy || len(d.Versions) == 1)
}

func textOf(d limpetjob.Draft) text {
	t := text{pieces: d.Pieces, last: d.Last, versions: d.Versions, version: d.Version}
	for _, p := range d.Pieces {
		t.bytes += len(p)
	}
	return t
}

// Attach takes over what another VM holds of an item: its text, when that is
// longer than the entry's, and the run that makes it, when that is not over.
// It returns the run to go on with, nil when the other VM's is of no use, and
// the run in whose place it comes, which is to be broken off.
func (l *Ledger) Attach(j *Job, d limpetjob.Draft, server string, live bool, now time.Time) (run, replaced *Run) {
	e := j.byID[d.Item]
	if e == nil || e.phase > running || (d.Last > 0 && !j.allows(d)) || d.Last < e.text.last {
		return nil, nil
	}
	if e.run != nil {
		if d.Last == e.text.last && !d.Whole {
			return nil, nil
		}
		replaced = e.run
		l.detach(e.run)
	}
	e.text = textOf(d)
	j.undrafted = true
	l.stale = true
	g := l.engines[server]
	switch {
	case d.Whole:
		l.complete(e, now)
		return nil, replaced
	case !live || g == nil:
		return nil, replaced
	}
	run = &Run{Entry: e, Server: g.server, After: d.Last, started: now, last: now, headed: true}
	e.run, e.phase = run, running
	g.runs = append(g.runs, run)
	return run, replaced
}

// Lost takes the end of a run for a reason that says nothing about its engine.
// Its item waits again.
func (l *Ledger) Lost(r *Run, now time.Time) {
	if r.cut {
		return
	}
	l.detach(r)
	r.Entry.notBefore = now
}
