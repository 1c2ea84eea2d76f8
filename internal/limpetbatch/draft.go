package limpetbatch

import (
	"cmp"
	"slices"
	"time"

	"limpetmount.org/internal/limpetjob"
)

const (
	// minDraftEvents is the length, in events, from which the loss of a text
	// matters. Shorter texts are only saved of items that failed.
	minDraftEvents = 14
	// maxDraftBytes bounds the texts in one write of drafts, in their stored form.
	maxDraftBytes = 500 << 10
)

// A DraftSet holds the unfinished texts of one job.
type DraftSet struct {
	Job    *Job
	Drafts []limpetjob.Draft
}

// Drafts returns the unfinished texts that are worth saving, and those of items
// that failed, for at most limit jobs: failed items first, then the longest texts.
// It skips jobs without a new event or failure since their drafts were last
// returned.
func (s *Scheduler) Drafts(limit int) []DraftSet {
	var found []*Entry
	for _, j := range s.jobsByArrival {
		if !j.draftsDirty {
			continue
		}
		for _, e := range j.entries {
			if e.phase < apart && (e.text.lastEvent >= minDraftEvents || e.failures+e.rewardFailures > 0) {
				found = append(found, e)
			}
		}
	}
	slices.SortFunc(found, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(b.failures+b.rewardFailures, a.failures+a.rewardFailures), cmp.Compare(b.text.lastEvent, a.text.lastEvent), cmp.Compare(a.Item.ID, b.Item.ID))
	})
	var sets []DraftSet
	at := map[*Job]int{}
	bytes := 0
	for _, e := range found {
		if bytes+e.text.encoded > maxDraftBytes {
			continue
		}
		bytes += e.text.encoded
		n, ok := at[e.Job]
		if !ok {
			if len(sets) == limit {
				continue
			}
			n = len(sets)
			at[e.Job] = n
			sets = append(sets, DraftSet{Job: e.Job})
			e.Job.draftsDirty = false
		}
		sets[n].Drafts = append(sets[n].Drafts, e.Draft())
	}
	return sets
}

// Resume restores the failures of a job's items from the drafts that another VM
// saved, and their texts if the job accepts their weight versions.
func (s *Scheduler) Resume(j *Job, drafts []limpetjob.Draft, now time.Time) {
	for _, d := range drafts {
		e := j.byID[d.Item]
		if e == nil {
			continue
		}
		e.failures, e.rewardFailures = max(e.failures, d.Failures), max(e.rewardFailures, d.RewardFailures)
		if e.phase != waiting || e.text.lastEvent >= d.LastEvent || !j.canUse(d) {
			continue
		}
		e.text, e.sources, e.heldSince, e.group.begun = textFromDraft(d), nil, now, true
		if d.Complete {
			s.complete(e, now)
		}
	}
	s.queueStale = true
}

// Draft returns a copy of the entry's text so far.
func (e *Entry) Draft() limpetjob.Draft {
	return limpetjob.Draft{
		Item: e.Item.ID, Pieces: slices.Clone(e.text.pieces), LastEvent: e.text.lastEvent,
		Versions: slices.Clone(e.text.versions), Version: e.text.version, Software: e.text.software, Complete: e.text.complete,
		Failures: e.failures, RewardFailures: e.rewardFailures,
	}
}

// canUse reports whether a draft is not empty, has the text of each event up to its last
// one, and the job accepts its weight versions.
func (j *Job) canUse(d limpetjob.Draft) bool {
	return len(d.Versions) > 0 && len(d.Pieces) > 0 && len(d.Pieces) == d.LastEvent &&
		slices.Min(d.Versions) >= j.MinVersion && (!j.Rules.OnPolicy || len(d.Versions) == 1)
}

func textFromDraft(d limpetjob.Draft) text {
	t := text{pieces: d.Pieces, lastEvent: d.LastEvent, versions: d.Versions, version: d.Version, software: d.Software}
	for _, p := range d.Pieces {
		t.bytes += limpetjob.EventBytes(p)
		t.encoded += limpetjob.EncodedLen(p)
	}
	return t
}

// Attach takes over an item from another VM: its text, unless the entry has
// more, and its run on the given server, if that is live. It returns the run to
// continue, which is nil if the other VM's run cannot be used, and the run of
// this VM that it replaces, or nil; the caller must cancel that one.
func (s *Scheduler) Attach(j *Job, d limpetjob.Draft, server string, live bool, now time.Time) (run, replaced *Run) {
	e := j.byID[d.Item]
	if e == nil || e.phase > running || (d.LastEvent > 0 && !j.canUse(d)) || d.LastEvent < e.text.lastEvent {
		return nil, nil
	}
	if e.run != nil {
		if d.LastEvent == e.text.lastEvent && !d.Complete {
			return nil, nil
		}
		replaced = e.run
		s.detach(e.run)
	}
	e.text, e.sources, e.heldSince, e.group.begun = textFromDraft(d), nil, now, true
	j.draftsDirty = true
	s.queueStale = true
	g := s.engines[server]
	switch {
	case d.Complete:
		s.complete(e, now)
		return nil, replaced
	case !live || g == nil || g.server.Software != d.Software:
		return nil, replaced
	}
	run = &Run{Entry: e, Server: g.server, Software: d.Software, After: d.LastEvent, started: now, lastActivity: now, gotHeader: true}
	e.run, e.phase = run, running
	s.addRun(g, run)
	return run, replaced
}

// Requeue handles the end of a run for a reason that says nothing about its
// engine. The item returns to the queue and may go to the same engine again.
func (s *Scheduler) Requeue(r *Run, now time.Time) {
	if r.detached {
		return
	}
	s.detach(r)
	r.Entry.notBefore = now
}
