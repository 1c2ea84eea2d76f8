// Package limpetbatch owns the decisions about batch jobs that one VM carries
// out: which item runs next and at which engine, which run is given up for
// another engine, when a text is whole and under which weight versions it was
// made, and in which order results are listed. A Ledger is changed by one
// goroutine; it does no I/O and reads no clock.
package limpetbatch

import (
	"cmp"
	"slices"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
)

// Rules holds what the routes say about a job.
type Rules struct {
	// Service is whose engines run the items.
	Service string
	// RunTarget is when all results are due, ItemLife when an item may be
	// given up, both after the submission.
	RunTarget, ItemLife time.Duration
	// Attempts is the number of failures that end an item.
	Attempts int
	// OnPolicy texts have exactly one weight version.
	OnPolicy bool
	// Priority is the account's or route's rank, 0 the highest.
	Priority int
}

// A phase is how far an item has come.
type phase int

const (
	waiting phase = iota
	running
	// unscored items have their whole text.
	unscored
	scoring
	// settled items have a result that is not listed yet.
	settled
	listed
)

// An Entry is one item of a job as the ledger holds it. Its exported fields
// do not change.
type Entry struct {
	Item *limpetjob.Item
	Job  *Job

	group *group
	phase phase
	text  text
	run   *Run
	// notBefore holds an item back after a failure.
	notBefore time.Time
	// failures counts answers of 500, impossible those of 422.
	failures, impossible int
	// broken counts runs in a row that ended without an answer or an event.
	broken int
	// moves counts the runs that were given up for another engine.
	moves int
	// avoid is the engine of the last run that went wrong.
	avoid    string
	rewards  int
	rewardAt time.Time
	result   limpetjob.Result
}

// A group holds the items that share a prompt and count only together.
type group struct {
	entries []*Entry
	open    int
	// carried groups were part of an earlier job.
	carried bool
	// size estimates the longest output of the group, in tokens.
	size int
	// must groups are those that the trainer is expected to wait for.
	must bool
}

// A Job is an accepted job that is not over.
type Job struct {
	*limpetjob.Job
	Rules Rules

	entries []*Entry
	byID    map[string]*Entry
	groups  map[string]*group
	// unlisted holds settled entries in the order in which they are listed.
	unlisted []*Entry
	listed   int
	// committing is the number of results in a write that is not settled.
	committing int
	// unsure is set while it is not known what the store holds of the job;
	// nothing is listed until then.
	unsure bool
	// undrafted is set while texts have grown since they were kept.
	undrafted bool
}

// Due returns when all results are due.
func (j *Job) Due() time.Time { return j.Arrived.Add(j.Rules.RunTarget) }

// Listed returns the number of listed results.
func (j *Job) Listed() int { return j.listed }

// A Run is one attempt at an item. Events of a run that is not the entry's
// current one are ignored.
type Run struct {
	Entry  *Entry
	Server *limpetsite.Server
	// After is the last event that the text already has.
	After int
	// Version is the weight version that the engine must have; 0 for any.
	Version int

	started, last time.Time
	events        int
	headed        bool
	cut           bool
	silent        bool
}

// Silent reports whether the run was given up because nothing was heard of it.
func (r *Run) Silent() bool { return r.silent }

// A Ledger holds all jobs and engines.
type Ledger struct {
	jobs    map[string]*Job
	engines map[string]*engine
	// line holds the jobs by arrival and fleet the engines by ID: decisions
	// walk these, so that they do not depend on the order of a map.
	line  []*Job
	fleet []*engine
	// earlier holds texts of jobs that ended, by item.
	earlier map[string]*kept
	stale   bool
	queue   []*Entry
	// work is the usual work of a model's jobs.
	work map[string]Work
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{jobs: map[string]*Job{}, engines: map[string]*engine{}, earlier: map[string]*kept{}, work: map[string]Work{}}
}

// Jobs returns the jobs that are not over, by ID.
func (l *Ledger) Jobs() map[string]*Job { return l.jobs }

// Has reports whether the ledger holds a job.
func (l *Ledger) Has(id string) bool { return l.jobs[id] != nil }

// Add takes a job of which some results are listed already.
func (l *Ledger) Add(spec *limpetjob.Job, rules Rules, done []limpetjob.Result, now time.Time) *Job {
	j := &Job{Job: spec, Rules: rules, byID: map[string]*Entry{}, groups: map[string]*group{}}
	for n := range spec.Items {
		e := &Entry{Item: &spec.Items[n], Job: j}
		j.entries = append(j.entries, e)
		j.byID[e.Item.ID] = e
		j.group(e)
	}
	l.jobs[spec.ID] = j
	l.line = append(l.line, j)
	slices.SortFunc(l.line, func(a, b *Job) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	l.learnWork(j)
	l.reuse(j, now)
	l.Adopt(j, done)
	j.rank()
	l.stale = true
	return j
}

// group puts an entry into its group; an item without one is its own.
func (j *Job) group(e *Entry) {
	name := e.Item.Group
	if name == "" {
		name = "item " + e.Item.ID
	}
	g := j.groups[name]
	if g == nil {
		g = &group{}
		j.groups[name] = g
	}
	e.group = g
	g.entries = append(g.entries, e)
	g.open++
	g.size = max(g.size, e.size())
}

// Adopt takes results that stand in the store, from position 0 on. It returns
// the runs that are not needed any more.
func (l *Ledger) Adopt(j *Job, done []limpetjob.Result) []*Run {
	var cut []*Run
	for _, r := range done[min(j.listed, len(done)):] {
		e := j.byID[r.ID]
		if e == nil {
			continue
		}
		if e.run != nil {
			cut = append(cut, e.run)
			l.detach(e.run)
		}
		if e.phase < settled {
			e.group.open--
		}
		e.phase, e.result = listed, r
	}
	j.listed = max(j.listed, len(done))
	j.committing, j.unsure = 0, false
	j.unlisted = nil
	for _, e := range j.entries {
		if e.phase == settled {
			j.unlisted = append(j.unlisted, e)
		}
	}
	l.stale = true
	return cut
}

// End takes a job out, because its trainer ended it or all is listed and its
// time is over. It returns the runs that are to be broken off.
func (l *Ledger) End(id string, now time.Time) []*Run {
	j := l.jobs[id]
	if j == nil {
		return nil
	}
	var cut []*Run
	for _, e := range j.entries {
		if e.run != nil {
			cut = append(cut, e.run)
			l.detach(e.run)
		}
		l.keep(e, now)
	}
	delete(l.jobs, id)
	l.line = slices.DeleteFunc(l.line, func(other *Job) bool { return other == j })
	l.stale = true
	return cut
}

// Whole reports whether every result of a job is listed.
func (j *Job) Whole() bool { return j.listed >= len(j.entries) }

// size estimates an item's output in tokens.
func (e *Entry) size() int {
	switch {
	case e.Item.Expected > 0 && e.Item.Most > 0:
		return min(e.Item.Expected, e.Item.Most)
	case e.Item.Expected > 0:
		return e.Item.Expected
	default:
		return e.Item.Most
	}
}
