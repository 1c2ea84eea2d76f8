package limpetrollout

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// A Request holds what one generation needs.
type Request struct {
	Job       limpetconfig.Job
	Prompt    string
	MaxTokens int
	// MinVersion excludes engines whose weights are too old to begin with.
	MinVersion uint64
	// Priority grows for the tail of a step.
	Priority int
	// Progress is told the version of each token as it arrives.
	Progress func(version uint64)
}

// A Generation holds the whole answer of one attempt.
type Generation struct {
	Text   string
	Labels Labels
}

// Seams holds what a Runner uses of the rest of the system.
type Seams struct {
	Store limpetstore.Store
	// Job returns the job as it is configured now, false when it was removed.
	Job func() (limpetconfig.Job, bool)
	// Generate runs one attempt to its end mark.
	Generate func(ctx context.Context, r Request) (Generation, error)
	// Stragglers decides which running samples get a second attempt.
	Stragglers func(running []Running, durations []time.Duration, samples int, now time.Time) []Running
	// Score scores a sample.
	Score func(ctx context.Context, job limpetconfig.Job, name, prompt, text string) (float64, error)
	// Published is told of each published version, also when an owner takes
	// the job over.
	Published func(job limpetconfig.Job, version uint64)
	Log       *limpetlog.Logger
	Now       func() time.Time
}

// A Runner holds one job at the VM that owns it. One goroutine changes its
// state; calls and results reach it as functions through a channel.
type Runner struct {
	Seams
	job      limpetconfig.Job
	owner    string
	group    *limpettask.Group
	tasks    chan func(ctx context.Context)
	fenced   atomic.Bool
	ledger   Ledger
	revision uint64
	loaded   bool
	writes   uint64
	// sealed is the ledger's current batch as a set.
	sealed   map[sampleKey]bool
	steps    map[uint64]*stepState
	order    []uint64
	changed  chan struct{}
	discards int
}

// A sampleKey names a sample of a job.
type sampleKey struct {
	step   uint64
	number int
}

// A stepState holds a step's samples at the owner. Pending holds the numbers
// to be generated; those that are no longer wanted are skipped when their turn
// comes.
type stepState struct {
	spec      Spec
	pending   []int
	ready     map[int]readySample
	running   map[int]*attempts
	durations []time.Duration
}

type readySample struct {
	sample Sample
	sealed Sealed
}

// attempts holds the live attempts at one sample.
type attempts struct {
	began   time.Time
	cancels map[string]context.CancelFunc
	oldest  map[string]*atomic.Uint64
}

const (
	storeTimeout = 3 * time.Second
	tickPeriod   = 200 * time.Millisecond
	longestWait  = 10 * time.Second
	largestBatch = 1024
	tailPriority = 5
)

// NewRunner returns a runner for a job, owned under owner, a name that no
// other runner ever had. Stop the group to stop it.
func NewRunner(group *limpettask.Group, seams Seams, job limpetconfig.Job, owner string) *Runner {
	r := &Runner{
		Seams: seams, job: job, owner: owner, group: group,
		tasks: make(chan func(context.Context)), steps: map[uint64]*stepState{}, changed: make(chan struct{}),
	}
	group.Go(func(ctx context.Context) error { r.loop(ctx); return nil })
	return r
}

func (r *Runner) loop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-r.tasks:
			r.configure()
			task(ctx)
		case <-ticker.C:
			r.configure()
			r.tick(ctx)
		}
	}
}

// configure follows changes of the job. A lowered bound takes effect before
// the next hand-over.
func (r *Runner) configure() {
	job, ok := r.Job()
	if !ok || job == r.job {
		return
	}
	r.job = job
	r.cancelStale()
}

// post hands a task to the owner goroutine without waiting for its end.
func (r *Runner) post(ctx context.Context, task func(context.Context)) {
	select {
	case r.tasks <- task:
	case <-ctx.Done():
	}
}

// Fenced reports whether another owner has taken the job over.
func (r *Runner) Fenced() bool { return r.fenced.Load() }

// tick loads the job when it is new here, and starts what is missing.
func (r *Runner) tick(ctx context.Context) {
	if err := r.load(ctx); err != nil {
		return
	}
	r.schedule()
	r.duplicateStragglers()
}

func (r *Runner) ledgerKey() string { return "job/" + r.job.Name + "/ledger" }

func (r *Runner) partKey(step uint64, part int) string {
	return fmt.Sprintf("job/%s/step/%d/%d", r.job.Name, step, part)
}

// load reads the ledger and the open steps once.
func (r *Runner) load(ctx context.Context) error {
	if r.loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := r.Store.Get(ctx, r.ledgerKey())
	if err != nil && !limpeterror.Is(err, limpeterror.NotFound) {
		return err
	}
	ledger, err := DecodeLedger(v.Data)
	if err != nil {
		return err
	}
	for _, s := range ledger.Steps {
		if err := r.loadStep(ctx, s); err != nil {
			return err
		}
	}
	r.take(ledger, v.Revision)
	r.loaded = true
	if ledger.Published > 0 {
		r.Published(r.job, ledger.Published)
	}
	return nil
}

func (r *Runner) loadStep(ctx context.Context, s Step) error {
	var data []byte
	for part := range s.Parts {
		v, err := r.Store.Get(ctx, r.partKey(s.Number, part))
		if err != nil {
			return fmt.Errorf("step %d part %d: %w", s.Number, part, err)
		}
		data = append(data, v.Data...)
	}
	var spec Spec
	if err := json.Unmarshal(data, &spec); err != nil {
		return limpeterror.Invalid.Wrap(err, "step %d", s.Number)
	}
	r.adopt(spec)
	return nil
}

func (r *Runner) adopt(spec Spec) {
	if r.steps[spec.Step] != nil {
		return
	}
	s := &stepState{spec: spec, ready: map[int]readySample{}, running: map[int]*attempts{}}
	for n := range spec.Samples() {
		s.pending = append(s.pending, n)
	}
	r.steps[spec.Step] = s
	r.order = append(r.order, spec.Step)
	slices.Sort(r.order)
}

// commit changes the ledger in the store and then in memory. A ledger that
// another owner wrote meanwhile fences this runner. A change of this runner
// whose answer was lost earlier is taken over as the base.
func (r *Runner) commit(ctx context.Context, change func(*Ledger) error) error {
	if r.Fenced() {
		return limpeterror.Fenced.New("job %s has another owner", r.job.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.writes++
	operation := fmt.Sprintf("%s/%d", r.owner, r.writes)
	apply := func(current limpetstore.Value) ([]byte, error) {
		base, err := DecodeLedger(current.Data)
		if err != nil {
			return nil, err
		}
		if current.Revision != r.revision && !strings.HasPrefix(base.Operation, r.owner+"/") {
			r.fenced.Store(true)
			return nil, limpeterror.Fenced.New("job %s has another owner", r.job.Name)
		}
		if err := change(&base); err != nil {
			return nil, err
		}
		base.Operation = operation
		return json.Marshal(base)
	}
	landed := func(current limpetstore.Value) bool {
		l, err := DecodeLedger(current.Data)
		return err == nil && l.Operation == operation
	}
	v, err := r.Store.Update(ctx, r.ledgerKey(), apply, landed)
	if err != nil {
		return fmt.Errorf("ledger of job %s: %w", r.job.Name, err)
	}
	ledger, err := DecodeLedger(v.Data)
	if err != nil {
		return err
	}
	former := r.ledger.Batch
	r.take(ledger, v.Revision)
	for _, b := range former {
		// What an amendment took out of the batch is generated again.
		if r.wanted(b.Step, b.Number) && r.steps[b.Step] != nil {
			r.steps[b.Step].again(b.Number)
		}
	}
	r.prune()
	return nil
}

// take makes a ledger the current one.
func (r *Runner) take(ledger Ledger, revision uint64) {
	r.ledger, r.revision = ledger, revision
	r.sealed = make(map[sampleKey]bool, len(ledger.Batch))
	for _, b := range ledger.Batch {
		r.sealed[sampleKey{b.Step, b.Number}] = true
	}
}

// wanted is Ledger.Wanted with the batch as a set.
func (r *Runner) wanted(step uint64, number int) bool {
	s := r.ledger.step(step)
	return s != nil && !s.Cancelled && !s.Delivered.Has(number) && !r.sealed[sampleKey{step, number}]
}

// again queues a sample whose content is gone for another generation.
func (s *stepState) again(n int) {
	delete(s.ready, n)
	s.pending = append(s.pending, n)
}

// prune drops steps that the ledger no longer lists, and samples that are no
// longer wanted.
func (r *Runner) prune() {
	r.order = slices.DeleteFunc(r.order, func(number uint64) bool {
		s := r.ledger.step(number)
		if s != nil && !s.Cancelled {
			return false
		}
		for _, a := range r.steps[number].running {
			a.cancelAll()
		}
		if s != nil {
			// A cancelled step stays listed while its last batch is open.
			r.steps[number].running = map[int]*attempts{}
			return false
		}
		delete(r.steps, number)
		r.Log.Emit(limpetlog.StepFinished, limpetlog.Job(r.job.Name), limpetlog.Value("step", number))
		return true
	})
}

func (a *attempts) cancelAll() {
	for _, cancel := range a.cancels {
		cancel()
	}
}

// wake tells waiting fetches that something changed.
func (r *Runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// schedule starts generations up to the job's limit, oldest step first.
func (r *Runner) schedule() {
	free := r.job.Parallel - r.runningCount()
	for _, number := range r.order {
		s := r.steps[number]
		for len(s.pending) > 0 && free > 0 {
			n := s.pending[0]
			s.pending = s.pending[1:]
			if _, ready := s.ready[n]; ready || s.running[n] != nil || !r.wanted(number, n) {
				continue
			}
			s.running[n] = &attempts{began: r.Now(), cancels: map[string]context.CancelFunc{}, oldest: map[string]*atomic.Uint64{}}
			r.start(s, n)
			free--
		}
	}
}

func (r *Runner) runningCount() int {
	running := 0
	for _, s := range r.steps {
		running += len(s.running)
	}
	return running
}

// start begins one attempt at a sample.
func (r *Runner) start(s *stepState, n int) {
	a := s.running[n]
	r.writes++
	name := fmt.Sprintf("%s/%d", r.owner, r.writes)
	ctx, cancel := context.WithCancel(r.group.Context())
	oldest := &atomic.Uint64{}
	a.cancels[name], a.oldest[name] = cancel, oldest
	request := r.request(s, n, oldest)
	job, step := r.job, s.spec.Step
	r.group.Go(func(groupCtx context.Context) error {
		defer cancel()
		g, err := r.Generate(ctx, request)
		var score *float64
		if err == nil && job.Scorer != "" {
			score, err = r.score(ctx, job, fmt.Sprintf("%d/%d", step, n), request.Prompt, g.Text)
		}
		r.post(groupCtx, func(taskCtx context.Context) { r.finish(taskCtx, step, n, name, g, score, err) })
		return nil
	})
}

func (r *Runner) score(ctx context.Context, job limpetconfig.Job, name, prompt, text string) (*float64, error) {
	score, err := r.Score(ctx, job, name, prompt, text)
	if err != nil {
		return nil, fmt.Errorf("score sample %s: %w", name, err)
	}
	return &score, nil
}

func (r *Runner) request(s *stepState, n int, oldest *atomic.Uint64) Request {
	group, _ := s.spec.Locate(n)
	request := Request{Job: r.job, Prompt: s.spec.Groups[group].Prompt, MaxTokens: s.spec.MaxTokens}
	if r.ledger.Published > uint64(r.job.Staleness) {
		request.MinVersion = r.ledger.Published - uint64(r.job.Staleness)
	}
	if left := len(s.spec.Groups) * tailPriority; r.runningCount() <= left/tailPriority {
		request.Priority = tailPriority
	}
	request.Progress = func(version uint64) {
		if v := oldest.Load(); v == 0 || version < v {
			oldest.Store(version)
		}
	}
	return request
}

// finish takes an attempt's result. The first whole, fresh attempt wins; the
// others are cancelled and their results dropped.
func (r *Runner) finish(ctx context.Context, step uint64, n int, name string, g Generation, score *float64, err error) {
	s := r.steps[step]
	if s == nil || s.running[n] == nil || s.running[n].cancels[name] == nil {
		return
	}
	a := s.running[n]
	delete(a.cancels, name)
	oldest := Oldest(g.Labels.Ranges)
	if err == nil && !Fresh(r.ledger.Published, oldest, r.job.Staleness) {
		err = limpeterror.Conflict.New("oldest version %d is beyond the bound at version %d", oldest, r.ledger.Published)
	}
	if err != nil {
		r.discard(ctx, s, n, err)
		return
	}
	a.cancelAll()
	delete(s.running, n)
	group, index := s.spec.Locate(n)
	s.durations = append(s.durations, r.Now().Sub(a.began))
	s.ready[n] = readySample{
		sample: Sample{Step: step, Group: group, Index: index, Text: g.Text, Tokens: g.Labels.Tokens(), Score: score, Versions: g.Labels.Ranges, Attempt: name},
		sealed: Sealed{Step: step, Number: n, Attempt: name, Oldest: oldest},
	}
	r.schedule()
	r.wake()
}

// discard drops a failed attempt. The next tick begins a new one when it was
// the sample's last.
func (r *Runner) discard(ctx context.Context, s *stepState, n int, err error) {
	if ctx.Err() != nil {
		return
	}
	r.discards++
	r.Log.Emit(limpetlog.SampleRejected, limpetlog.Job(r.job.Name), limpetlog.Value("step", s.spec.Step),
		limpetlog.Value("sample", n), limpetlog.Error(err))
	if len(s.running[n].cancels) == 0 {
		delete(s.running, n)
		s.pending = append(s.pending, n)
	}
}

func (r *Runner) duplicateStragglers() {
	for _, number := range r.order {
		s := r.steps[number]
		var running []Running
		for n, a := range s.running {
			running = append(running, Running{Step: number, Number: n, Began: a.began, Attempts: len(a.cancels)})
		}
		for _, straggler := range r.Stragglers(running, s.durations, s.spec.Samples(), r.Now()) {
			r.start(s, straggler.Number)
		}
	}
}

// cancelStale cancels attempts that can no longer make the bound, and drops
// finished samples that have become stale.
func (r *Runner) cancelStale() {
	for _, s := range r.steps {
		for _, a := range s.running {
			for name, oldest := range a.oldest {
				if v := oldest.Load(); v > 0 && !Fresh(r.ledger.Published, v, r.job.Staleness) && a.cancels[name] != nil {
					a.cancels[name]()
				}
			}
		}
		for n, sample := range s.ready {
			if !Fresh(r.ledger.Published, sample.sealed.Oldest, r.job.Staleness) {
				r.discards++
				if r.wanted(s.spec.Step, n) {
					s.again(n)
				}
			}
		}
	}
}
