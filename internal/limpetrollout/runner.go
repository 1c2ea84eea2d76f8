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

// A GenerationRequest describes the generation of one sample.
type GenerationRequest struct {
	Job       limpetconfig.Job
	Prompt    string
	MaxTokens int
	// MinVersion excludes engines whose weights are already too old.
	MinVersion uint64
	// Priority is raised while the job runs no more samples than the step has
	// groups, as in the tail of a step.
	Priority int
	// Progress is called with the weight version of each token that arrives.
	Progress func(version uint64)
}

// A Generation is the complete output of one attempt.
type Generation struct {
	Text   string
	Labels Labels
}

// Dependencies holds the dependencies of a Runner.
type Dependencies struct {
	Store limpetstore.Store
	// Job returns the job's current configuration, or false if the job was
	// removed.
	Job func() (limpetconfig.Job, bool)
	// Generate runs one attempt until the end of its stream.
	Generate func(ctx context.Context, r GenerationRequest) (Generation, error)
	// Stragglers selects the running samples that get a second attempt.
	Stragglers func(running []RunningSample, durations []time.Duration, samples int, now time.Time) []RunningSample
	// Score returns the score of a sample. name identifies the sample within the
	// job.
	Score func(ctx context.Context, job limpetconfig.Job, name, prompt, text string) (float64, error)
	// Published is called with each published version, and with the current
	// one when the runner has loaded the job.
	Published func(job limpetconfig.Job, version uint64)
	Log       *limpetlog.Logger
	Now       func() time.Time
}

// A Runner runs one job on the VM that owns it. Only its loop goroutine, the
// owner goroutine, changes its state. Calls and results are sent to that
// goroutine as functions through the tasks channel.
type Runner struct {
	Dependencies
	job      limpetconfig.Job
	owner    string
	group    *limpettask.Group
	tasks    chan func(ctx context.Context)
	fenced   atomic.Bool
	ledger   Ledger
	revision uint64
	loaded   bool
	// sequence numbers the ledger writes and the attempts of this runner.
	sequence uint64
	// inBatch is the ledger's current batch as a set.
	inBatch map[sampleKey]bool
	steps   map[uint64]*stepState
	// stepNumbers holds the numbers of steps in ascending order.
	stepNumbers []uint64
	// changed is closed and replaced when waiting fetches should check again.
	changed   chan struct{}
	discarded int
}

// A sampleKey identifies a sample of a job.
type sampleKey struct {
	step   uint64
	number int
}

// A stepState holds the samples of a step in the owner's memory. Pending is the
// queue of sample numbers to generate; schedule skips those that no longer
// need generation.
type stepState struct {
	spec      StepSpec
	pending   []int
	ready     map[int]readySample
	running   map[int]*attempts
	durations []time.Duration
}

type readySample struct {
	sample Sample
	entry  BatchEntry
}

// attempts holds the running attempts at one sample. Its maps are keyed by
// attempt name; oldest holds the oldest weight version of the tokens received.
type attempts struct {
	started time.Time
	cancels map[string]context.CancelFunc
	oldest  map[string]*atomic.Uint64
}

const (
	// storeTimeout limits a load of the job, a commit of the ledger or a write
	// of a part of the prompts, with all retries.
	storeTimeout    = 3 * time.Second
	tickPeriod      = 200 * time.Millisecond
	maxFetchWait    = 10 * time.Second
	maxBatchSamples = 1024
	tailPriority    = 5
)

// NewRunner starts a runner for a job in a group. Stopping the group stops the
// runner. The owner name must be unique among all runners, past ones included.
func NewRunner(group *limpettask.Group, deps Dependencies, job limpetconfig.Job, owner string) *Runner {
	r := &Runner{
		Dependencies: deps, job: job, owner: owner, group: group,
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
			r.refreshJob()
			task(ctx)
		case <-ticker.C:
			r.refreshJob()
			r.tick(ctx)
		}
	}
}

// refreshJob applies changes of the job's configuration. It runs before each
// task, so a lowered staleness bound applies to the next delivery.
func (r *Runner) refreshJob() {
	job, ok := r.Job()
	if !ok || job == r.job {
		return
	}
	r.job = job
	r.cancelStale()
}

// enqueue sends a task to the owner goroutine and does not wait for it to
// finish.
func (r *Runner) enqueue(ctx context.Context, task func(context.Context)) {
	select {
	case r.tasks <- task:
	case <-ctx.Done():
	}
}

// Fenced reports whether the runner found that another owner has taken over
// the job.
func (r *Runner) Fenced() bool { return r.fenced.Load() }

// tick loads the job if necessary, and starts due generations.
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

// load reads the ledger and its steps from the store, once.
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
	r.setLedger(ledger, v.Revision)
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
	var spec StepSpec
	if err := json.Unmarshal(data, &spec); err != nil {
		return limpeterror.Invalid.Wrap(err, "step %d", s.Number)
	}
	r.trackStep(spec)
	return nil
}

// trackStep adds a step whose samples are all pending, unless it is known.
func (r *Runner) trackStep(spec StepSpec) {
	if r.steps[spec.Step] != nil {
		return
	}
	s := &stepState{spec: spec, ready: map[int]readySample{}, running: map[int]*attempts{}}
	for n := range spec.Samples() {
		s.pending = append(s.pending, n)
	}
	r.steps[spec.Step] = s
	r.stepNumbers = append(r.stepNumbers, spec.Step)
	slices.Sort(r.stepNumbers)
}

// commit changes the ledger in the store and then in memory. If another owner
// has written the ledger meanwhile, the runner is fenced. An earlier write of
// this runner whose reply was lost is accepted as the base of the change.
func (r *Runner) commit(ctx context.Context, change func(*Ledger) error) error {
	if r.Fenced() {
		return limpeterror.Fenced.New("job %s has another owner", r.job.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.sequence++
	writeID := fmt.Sprintf("%s/%d", r.owner, r.sequence)
	apply := func(current limpetstore.Value) ([]byte, error) {
		base, err := DecodeLedger(current.Data)
		if err != nil {
			return nil, err
		}
		if current.Revision != r.revision && !strings.HasPrefix(base.WriteID, r.owner+"/") {
			r.fenced.Store(true)
			return nil, limpeterror.Fenced.New("job %s has another owner", r.job.Name)
		}
		if err := change(&base); err != nil {
			return nil, err
		}
		base.WriteID = writeID
		return json.Marshal(base)
	}
	applied := func(current limpetstore.Value) bool {
		l, err := DecodeLedger(current.Data)
		return err == nil && l.WriteID == writeID
	}
	v, err := r.Store.Update(ctx, r.ledgerKey(), apply, applied)
	if err != nil {
		return fmt.Errorf("ledger of job %s: %w", r.job.Name, err)
	}
	ledger, err := DecodeLedger(v.Data)
	if err != nil {
		return err
	}
	previous := r.ledger.Batch
	r.setLedger(ledger, v.Revision)
	for _, b := range previous {
		// Samples that the change removed from the batch are generated again.
		if r.needsSample(b.Step, b.Number) && r.steps[b.Step] != nil {
			r.steps[b.Step].requeue(b.Number)
		}
	}
	r.prune()
	return nil
}

// setLedger sets the ledger in memory.
func (r *Runner) setLedger(ledger Ledger, revision uint64) {
	r.ledger, r.revision = ledger, revision
	r.inBatch = make(map[sampleKey]bool, len(ledger.Batch))
	for _, b := range ledger.Batch {
		r.inBatch[sampleKey{b.Step, b.Number}] = true
	}
}

// needsSample is Ledger.NeedsSample with a set lookup for the batch.
func (r *Runner) needsSample(step uint64, number int) bool {
	s := r.ledger.step(step)
	return s != nil && !s.Cancelled && !s.Delivered.Has(number) && !r.inBatch[sampleKey{step, number}]
}

// requeue drops a sample's content and queues the sample for generation.
func (s *stepState) requeue(n int) {
	delete(s.ready, n)
	s.pending = append(s.pending, n)
}

// prune removes steps that the ledger no longer lists, and cancels the attempts
// of cancelled steps.
func (r *Runner) prune() {
	r.stepNumbers = slices.DeleteFunc(r.stepNumbers, func(number uint64) bool {
		s := r.ledger.step(number)
		if s != nil && !s.Cancelled {
			return false
		}
		for _, a := range r.steps[number].running {
			a.cancelAll()
		}
		if s != nil {
			// A cancelled step stays listed until its last batch is acknowledged.
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

// notifyFetches wakes up waiting fetches.
func (r *Runner) notifyFetches() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// schedule starts generations of pending samples up to the job's limit of
// parallel samples, oldest step first.
func (r *Runner) schedule() {
	free := r.job.Concurrency - r.runningCount()
	for _, number := range r.stepNumbers {
		s := r.steps[number]
		for len(s.pending) > 0 && free > 0 {
			n := s.pending[0]
			s.pending = s.pending[1:]
			if _, ready := s.ready[n]; ready || s.running[n] != nil || !r.needsSample(number, n) {
				continue
			}
			s.running[n] = &attempts{started: r.Now(), cancels: map[string]context.CancelFunc{}, oldest: map[string]*atomic.Uint64{}}
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

// start starts an attempt at a sample.
func (r *Runner) start(s *stepState, n int) {
	a := s.running[n]
	r.sequence++
	name := fmt.Sprintf("%s/%d", r.owner, r.sequence)
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
		r.enqueue(groupCtx, func(taskCtx context.Context) { r.finish(taskCtx, step, n, name, g, score, err) })
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

func (r *Runner) request(s *stepState, n int, oldest *atomic.Uint64) GenerationRequest {
	group, _ := s.spec.Locate(n)
	request := GenerationRequest{Job: r.job, Prompt: s.spec.Groups[group].Prompt, MaxTokens: s.spec.MaxTokens}
	if r.ledger.Published > uint64(r.job.MaxStaleness) {
		request.MinVersion = r.ledger.Published - uint64(r.job.MaxStaleness)
	}
	if threshold := len(s.spec.Groups) * tailPriority; r.runningCount() <= threshold/tailPriority {
		request.Priority = tailPriority
	}
	request.Progress = func(version uint64) {
		if v := oldest.Load(); v == 0 || version < v {
			oldest.Store(version)
		}
	}
	return request
}

// finish handles the result of an attempt. The first attempt that completes
// within the staleness bound wins; the others are cancelled and their results
// ignored.
func (r *Runner) finish(ctx context.Context, step uint64, n int, name string, g Generation, score *float64, err error) {
	s := r.steps[step]
	if s == nil || s.running[n] == nil || s.running[n].cancels[name] == nil {
		return
	}
	a := s.running[n]
	delete(a.cancels, name)
	oldest := Oldest(g.Labels.Ranges)
	if err == nil && !Fresh(r.ledger.Published, oldest, r.job.MaxStaleness) {
		err = limpeterror.Conflict.New("oldest version %d exceeds the staleness bound at published version %d", oldest, r.ledger.Published)
	}
	if err != nil {
		r.discard(ctx, s, n, err)
		return
	}
	a.cancelAll()
	delete(s.running, n)
	group, index := s.spec.Locate(n)
	s.durations = append(s.durations, r.Now().Sub(a.started))
	s.ready[n] = readySample{
		sample: Sample{Step: step, Group: group, Index: index, Text: g.Text, Tokens: g.Labels.Tokens(), Score: score, Versions: g.Labels.Ranges, Attempt: name},
		entry:  BatchEntry{Step: step, Number: n, Attempt: name, Oldest: oldest},
	}
	r.schedule()
	r.notifyFetches()
}

// discard drops a failed attempt. If no other attempt at the sample is running,
// the sample is queued and the next call of schedule starts a new attempt.
func (r *Runner) discard(ctx context.Context, s *stepState, n int, err error) {
	if ctx.Err() != nil {
		return
	}
	r.discarded++
	r.Log.Emit(limpetlog.SampleDiscarded, limpetlog.Job(r.job.Name), limpetlog.Value("step", s.spec.Step),
		limpetlog.Value("sample", n), limpetlog.Error(err))
	if len(s.running[n].cancels) == 0 {
		delete(s.running, n)
		s.pending = append(s.pending, n)
	}
}

// duplicateStragglers starts a second attempt at each straggling sample.
func (r *Runner) duplicateStragglers() {
	for _, number := range r.stepNumbers {
		s := r.steps[number]
		var running []RunningSample
		for n, a := range s.running {
			running = append(running, RunningSample{Step: number, Number: n, Started: a.started, Attempts: len(a.cancels)})
		}
		for _, straggler := range r.Stragglers(running, s.durations, s.spec.Samples(), r.Now()) {
			r.start(s, straggler.Number)
		}
	}
}

// cancelStale cancels attempts that already exceed the staleness bound, and
// requeues finished samples that have become too stale. Samples in the current
// batch are left to Ledger.PruneBatch.
func (r *Runner) cancelStale() {
	for _, s := range r.steps {
		for _, a := range s.running {
			for name, oldest := range a.oldest {
				if v := oldest.Load(); v > 0 && !Fresh(r.ledger.Published, v, r.job.MaxStaleness) && a.cancels[name] != nil {
					a.cancels[name]()
				}
			}
		}
		for n, sample := range s.ready {
			if !Fresh(r.ledger.Published, sample.entry.Oldest, r.job.MaxStaleness) {
				r.discarded++
				if r.needsSample(s.spec.Step, n) {
					s.requeue(n)
				}
			}
		}
	}
}
