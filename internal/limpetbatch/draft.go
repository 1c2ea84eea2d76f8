package limpetbatch

import (
	"cmp"
	"slices"
	"time"

	"limpetmount.org/internal/limpetlot"
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
	Drafts []limpetlot.Draft
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
		sets[n].Drafts = append(sets[n].Drafts, limpetlot.Draft{
			Item: e.Item.ID, Pieces: slices.Clone(e.text.pieces), Last: e.text.last,
			Versions: slices.Clone(e.text.versions), Version: e.text.version, Whole: e.text.whole,
		})
	}
	return sets
}

// Resume gives items of a job the texts that another VM kept, where their
// versions fit.
func (l *Ledger) Resume(j *Job, drafts []limpetlot.Draft, now time.Time) {
	for _, d := range drafts {
		e := j.byID[d.Item]
		if e == nil || e.phase != waiting || e.text.last >= d.Last || len(d.Versions) == 0 || len(d.Pieces) == 0 {
			continue
		}
		if slices.Min(d.Versions) < j.MinVersion || (j.Rules.OnPolicy && len(d.Versions) > 1) {
			continue
		}
		t := text{pieces: d.Pieces, last: d.Last, versions: d.Versions, version: d.Version}
		for _, p := range d.Pieces {
			t.bytes += len(p)
		}
		e.text = t
		if d.Whole {
			l.complete(e, now)
		}
	}
	l.stale = true
}
