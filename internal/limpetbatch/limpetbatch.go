// Package limpetbatch schedules the batch jobs that one VM carries out. It
// decides which item runs next and on which engine, which run moves to another
// engine, when a text is complete and which weight versions generated it, and
// in which order results are committed to the store. The scheduler is not safe
// for concurrent use; it does no I/O and reads no clock.
package limpetbatch

import (
	"cmp"
	"slices"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
)

// A phase is the progress of an item.
type phase int

const (
	waiting phase = iota
	running
	// unscored items have their complete text and need a reward call.
	unscored
	scoring
	// apart items have a result that the store refuses, until they may be given up.
	apart
	// settled items have a result that is not committed yet.
	settled
	committed
)

// An Entry is the state of one item of a job. Its exported fields do not
// change.
type Entry struct {
	Item *limpetjob.Item
	Job  *Job

	group *group
	phase phase
	text  text
	run   *Run
	// notBefore is the earliest time of the next run after a failure.
	notBefore time.Time
	// failures counts responses with status 500, unprocessable those with 422.
	failures, unprocessable int
	// interruptedRuns counts consecutive runs that ended without a response or
	// an event.
	interruptedRuns int
	// moves counts the runs that DetachOverdue detached so that another engine
	// can continue them.
	moves int
	// avoidEngine is the engine of the last run that failed.
	avoidEngine    string
	rewardFailures int
	nextReward     time.Time
	timing         Timing
	// progressAt is the time of the last event, or of the start of the run after
	// it.
	progressAt time.Time
	result     limpetjob.Result
	// sources holds the runs that generated the text, as far as this VM knows.
	sources []*Run
	// heldSince is the time of the last event, or when the text was taken over.
	heldSince time.Time
}

// A group holds the items that share a prompt. A trainer can use them only
// together.
type group struct {
	job     *Job
	entries []*Entry
	// service is where the last item of the group began; empty if none has.
	service   string
	unsettled int
	// resubmitted groups were part of an earlier job.
	resubmitted bool
	// maxSize is the estimate of the group's longest output, in tokens.
	maxSize int
	// required groups are those that the trainer is expected to wait for.
	required bool
	// work and longest are as of the last plan: the sum and the maximum of what is
	// left, in tokens and in events. begun is set when an item has begun, and cleared
	// only by the plan, which estimates just begun groups anew.
	begun   bool
	work    float64
	longest int
	// late is set under shortage if the group cannot be whole in time, and turn is
	// its place in the order of its model's groups.
	late bool
	turn int
	// ordered is set if the group was estimated since it is in Scheduler.open.
	ordered bool
}

// A Job is an accepted job that has not ended.
type Job struct {
	*limpetjob.Job
	// Rules change only by SetRules.
	Rules Rules

	// split divides the items among the services of Rules.Shares.
	split *split
	// withdrawnAt is since when Rules.Withdrawn is set.
	withdrawnAt time.Time
	entries     []*Entry
	byID        map[string]*Entry
	groups      map[string]*group
	// uncommitted holds the settled entries in the order of their commit.
	uncommitted []*Entry
	committed   int
	// committing is the number of results in the write under way; 0 if there is
	// none.
	committing int
	// refusals counts how often the store has refused the job's next chunk.
	refusals int
	// storeUnknown is set while it is unknown which results the store holds.
	// Nothing is committed during that time.
	storeUnknown bool
	// draftsDirty is set if texts have changed since Drafts returned them.
	draftsDirty bool
	// ended is set once the job is removed.
	ended bool
	// listed is set once the job's groups are in Scheduler.open.
	listed bool
	// left and interval are as of the last plan: the time until the deadline, and the
	// typical interval of the fastest service.
	left, interval time.Duration
	// short is set if the job's model was in Scheduler.shortModels at the last sort.
	short bool
	// queue is that of the job's trainer in the last sharing.
	queue *trainerQueue
}

// Deadline returns when all results are due.
func (j *Job) Deadline() time.Time { return j.Arrived.Add(j.Rules.RunTarget) }

// Committed returns the number of committed results.
func (j *Job) Committed() int { return j.committed }

// A Run is one attempt to generate an item. Events of a run that has been
// detached from its entry are ignored.
type Run struct {
	Entry  *Entry
	Server *limpetsite.Server
	// Software is that of the engine, as known when the engine was chosen.
	Software limpetsite.Software
	// After is the last event that the text had before the run.
	After int
	// Began is the software that began the text that the run continues, or drops;
	// empty if there is none, or that is not known.
	Began limpetsite.Software
	// Dropped is the number of events of an earlier text that the run replaces,
	// because no engine of the software that began it could go on.
	Dropped int
	// Version is the weight version that the engine must have; 0 means any.
	Version int

	started, lastActivity time.Time
	// respondedAt is when the response header was handled.
	respondedAt time.Time
	// reportedAt is up to when another VM reported the events; zero if this VM reads
	// them itself.
	reportedAt time.Time
	// events counts the events of this run.
	events    int
	gotHeader bool
	detached  bool
	timedOut  bool
}

// TimedOut reports whether DetachOverdue detached the run because its events
// timed out.
func (r *Run) TimedOut() bool { return r.timedOut }

// Limits tells how many runs engines take that limit their requests. Nil
// functions mean that none do.
type Limits struct {
	// Free reports whether an engine takes a run now.
	Free func(engine string, now time.Time) bool
	// Take accounts for a run that starts.
	Take func(engine string, now time.Time)
	// Cold reports whether an engine is cold, and slow for that reason.
	Cold func(engine string) bool
}

// A Scheduler schedules the items of all jobs on all engines.
type Scheduler struct {
	Limits Limits
	// ObserveInterval is called for each time between two events of a run, with
	// the number of runs on the engine and of the tokens that these have generated;
	// it may be nil. Changes of weights are left out.
	ObserveInterval func(model string, runs, context int, interval time.Duration)

	jobs    map[string]*Job
	engines map[string]*engine
	// jobsByArrival and enginesByID hold the same jobs and engines in a fixed
	// order, so that no decision depends on the iteration order of a map.
	jobsByArrival []*Job
	enginesByID   []*engine
	// retained holds the texts of ended jobs by item ID.
	retained map[string]*retainedText
	// doubtfulNext is set if PendingChunks returns a chunk next that the store may
	// refuse.
	doubtfulNext bool
	queueStale   bool
	queue        []*Entry
	workloads    map[workloadKey]recordedWorkload
	// splits holds the split of each route, by its name.
	splits map[string]*split
	// runTimes holds the mean duration of complete runs by service.
	runTimes map[string]time.Duration
	// promptTimes holds the mean time from the start of a run to its first event by
	// service.
	promptTimes map[string]time.Duration
	// typical is what typicalIntervals returned last.
	typical typicalIntervals
	// paces holds the pace of each model of which items wait for a slot.
	paces map[string]*modelPace
	// short is set while there are too few slots for the steps that are due, and
	// plannedAt is when that was last decided.
	short     bool
	plannedAt time.Time
	// shortModels holds the models that have had a late group since service is short.
	shortModels map[string]bool
	// open holds the groups with items that may run, by model, in the order of the
	// last plan. It may hold some that are not open any more. It is nil if it must be
	// built again, and without shortage.
	open map[string][]*group
	// software counts the engines of each software; nil while there is only one.
	software map[limpetsite.Software]*softwareCount
	// busy holds the engines that have runs, in the order of their IDs.
	busy []*engine
	// measured holds the engines whose interval was measured lately, and some that
	// have none any more.
	measured []*engine
	// servingCache holds engines by the weights that they have, for servingView.
	servingCache map[engineKey][]*engine
	servingView  *limpetsite.Snapshot
	// examined counts the engines that decisions looked at, and estimated the items
	// that plans looked at.
	examined, estimated uint64
}

// Examined returns how many engines decisions have looked at, an engine once for
// each decision. It tells what the scheduler's processor time goes to.
func (s *Scheduler) Examined() uint64 { return s.examined }

// New returns a scheduler without jobs and engines.
func New() *Scheduler {
	return &Scheduler{jobs: map[string]*Job{}, engines: map[string]*engine{}, retained: map[string]*retainedText{}, workloads: map[workloadKey]recordedWorkload{}, splits: map[string]*split{}, runTimes: map[string]time.Duration{}, promptTimes: map[string]time.Duration{}, paces: map[string]*modelPace{}, shortModels: map[string]bool{}}
}

// Jobs returns the jobs that have not ended, by ID.
func (s *Scheduler) Jobs() map[string]*Job { return s.jobs }

// Has reports whether a job was added and has not ended.
func (s *Scheduler) Has(id string) bool { return s.jobs[id] != nil }

// AddJob adds a job. The results that the store already holds are in done.
func (s *Scheduler) AddJob(spec *limpetjob.Job, rules Rules, done []limpetjob.Result, now time.Time) *Job {
	j := &Job{Job: spec, Rules: rules, withdrawnAt: now, byID: map[string]*Entry{}, groups: map[string]*group{}}
	for n := range spec.Items {
		e := &Entry{Item: &spec.Items[n], Job: j}
		j.entries = append(j.entries, e)
		j.byID[e.Item.ID] = e
		j.addToGroup(e)
	}
	s.jobs[spec.ID] = j
	s.jobsByArrival = append(s.jobsByArrival, j)
	slices.SortFunc(s.jobsByArrival, func(a, b *Job) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	s.recordWorkload(j)
	j.split = s.splitOf(rules)
	s.forgetSplits()
	s.reuseRetained(j, now)
	s.Reconcile(j, done)
	j.rankGroups()
	s.queueStale = true
	if s.short {
		// Plan at the next step: items go by the turns of their groups, and those of
		// the job have none yet.
		s.plannedAt = time.Time{}
	}
	return j
}

// addToGroup adds an entry to its group. An item without a group name forms
// its own.
func (j *Job) addToGroup(e *Entry) {
	name := e.Item.Group
	if name == "" {
		name = "item " + e.Item.ID
	}
	g := j.groups[name]
	if g == nil {
		g = &group{job: j}
		j.groups[name] = g
	}
	e.group = g
	g.entries = append(g.entries, e)
	g.unsettled++
	g.maxSize = max(g.maxSize, e.size())
}

// Reconcile records the results that the store holds, from position 0 on. It
// returns the runs that are no longer needed, which the caller must cancel.
func (s *Scheduler) Reconcile(j *Job, done []limpetjob.Result) []*Run {
	var detached []*Run
	for _, r := range done[min(j.committed, len(done)):] {
		e := j.byID[r.ID]
		if e == nil {
			continue
		}
		if e.run != nil {
			detached = append(detached, e.run)
			s.detach(e.run)
		}
		if e.phase < settled {
			e.group.unsettled--
		}
		e.phase, e.result, e.group.begun = committed, r, true
	}
	j.committed = max(j.committed, len(done))
	j.committing, j.storeUnknown = 0, false
	j.uncommitted = nil
	for _, e := range j.entries {
		if e.phase == settled {
			j.uncommitted = append(j.uncommitted, e)
		}
	}
	s.queueStale = true
	return detached
}

// RemoveJob removes a job because its trainer ended it or another VM took it
// over. It retains the job's texts for later jobs. The caller must cancel the
// runs returned.
func (s *Scheduler) RemoveJob(id string, now time.Time) []*Run {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	var detached []*Run
	for _, e := range j.entries {
		if e.run != nil {
			detached = append(detached, e.run)
			s.detach(e.run)
		}
		s.retain(e, now)
	}
	delete(s.jobs, id)
	j.ended = true
	s.jobsByArrival = slices.DeleteFunc(s.jobsByArrival, func(other *Job) bool { return other == j })
	s.queueStale = true
	return detached
}

// Complete reports whether all results of a job are committed.
func (j *Job) Complete() bool { return j.committed >= len(j.entries) }

// size estimates an item's output in tokens.
func (e *Entry) size() int {
	switch {
	case e.Item.ExpectedTokens > 0 && e.Item.MaxTokens > 0:
		return min(e.Item.ExpectedTokens, e.Item.MaxTokens)
	case e.Item.ExpectedTokens > 0:
		return e.Item.ExpectedTokens
	default:
		return e.Item.MaxTokens
	}
}
