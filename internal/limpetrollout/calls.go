package limpetrollout

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
)

// Call executes a trainer's call and returns the reply.
func (r *Runner) Call(ctx context.Context, operation Operation, body []byte) (any, error) {
	if operation == OpFetch {
		return r.fetch(ctx, body)
	}
	return r.runTask(ctx, func(ctx context.Context) (any, error) {
		switch operation {
		case OpSession:
			return r.openSession(ctx, body)
		case OpStep:
			return r.createStep(ctx, body)
		case OpWeights:
			return r.publish(ctx, body)
		case OpCancel:
			return r.cancel(ctx, body)
		case OpStatus:
			return r.status(), nil
		default:
			return nil, limpeterror.Invalid.New("unknown operation %q", operation)
		}
	})
}

// runTask runs f on the owner goroutine after loading the job if necessary.
func (r *Runner) runTask(ctx context.Context, f func(context.Context) (any, error)) (any, error) {
	var reply any
	err := error(limpeterror.Unavailable.New("job %s is changing its owner", r.job.Name))
	done := make(chan struct{})
	task := func(context.Context) {
		defer close(done)
		if err = r.load(ctx); err == nil {
			reply, err = f(ctx)
		}
	}
	select {
	case r.tasks <- task:
		<-done
		return reply, err
	case <-r.group.Context().Done():
		return nil, err
	case <-ctx.Done():
		return nil, limpeterror.Unavailable.Wrap(ctx.Err(), "job %s", r.job.Name)
	}
}

func decodeCall(body []byte, v any) error {
	if err := limpethttp.DecodeJSON(body, v); err != nil {
		return limpeterror.Invalid.Wrap(err, "body")
	}
	return nil
}

func (r *Runner) openSession(ctx context.Context, body []byte) (any, error) {
	var q SessionRequest
	if err := decodeCall(body, &q); err != nil {
		return nil, err
	}
	if q.Trainer == "" {
		return nil, limpeterror.Invalid.New("trainer: must name the trainer process")
	}
	err := r.commit(ctx, func(l *Ledger) error {
		l.OpenSession(q.Trainer)
		return nil
	})
	return SessionReply{Session: r.ledger.Session, Cursor: r.ledger.Cursor, Published: r.ledger.Published}, err
}

func (r *Runner) checkSession(session uint64) error {
	err := r.ledger.CheckSession(session)
	if err != nil {
		r.Log.Emit(limpetlog.SessionFenced, limpetlog.Job(r.job.Name), limpetlog.Value("session", session))
	}
	return err
}

// stepPartBytes is the size of the parts in which a step's prompts are stored.
const stepPartBytes = limpetstore.MaxValue / 2

// createStep writes the prompts before it lists the step in the ledger, so that
// a listed step can always be loaded.
func (r *Runner) createStep(ctx context.Context, body []byte) (any, error) {
	var spec StepSpec
	if err := decodeCall(body, &spec); err != nil {
		return nil, err
	}
	if err := spec.Check(); err != nil {
		return nil, err
	}
	if err := r.checkSession(spec.Session); err != nil {
		return nil, err
	}
	data, digest, err := spec.Encode()
	if err != nil {
		return nil, err
	}
	step := Step{Number: spec.Step, Samples: spec.Samples(), Digest: digest}
	trial := r.ledger.Clone()
	if err := trial.AddStep(step); err != nil {
		return nil, err
	}
	for part := range slices.Chunk(data, stepPartBytes) {
		if err := r.writePart(ctx, spec.Step, step.Parts, part); err != nil {
			return nil, err
		}
		step.Parts++
	}
	err = r.commit(ctx, func(l *Ledger) error {
		if err := l.CheckSession(spec.Session); err != nil {
			return err
		}
		return l.AddStep(step)
	})
	if err != nil {
		return nil, err
	}
	if r.ledger.step(spec.Step) != nil {
		r.trackStep(spec)
	}
	r.Log.Emit(limpetlog.StepCreated, limpetlog.Job(r.job.Name), limpetlog.Value("step", spec.Step), limpetlog.Value("samples", step.Samples))
	r.schedule()
	return r.status(), nil
}

// writePart writes a part of a step's prompts. It overwrites a part that an
// earlier call left without listing the step in the ledger.
func (r *Runner) writePart(ctx context.Context, step uint64, part int, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.Store.Update(ctx, r.partKey(step, part),
		func(limpetstore.Value) ([]byte, error) { return data, nil },
		func(v limpetstore.Value) bool { return slices.Equal(v.Data, data) })
	if err != nil {
		return fmt.Errorf("step %d part %d: %w", step, part, err)
	}
	return nil
}

func (r *Runner) publish(ctx context.Context, body []byte) (any, error) {
	var q WeightsRequest
	if err := decodeCall(body, &q); err != nil {
		return nil, err
	}
	if !r.job.Publishes {
		return nil, limpeterror.Invalid.New("job %s does not publish weights", r.job.Name)
	}
	err := r.commit(ctx, func(l *Ledger) error {
		if err := l.CheckSession(q.Session); err != nil {
			return err
		}
		return l.Publish(q.Version)
	})
	if err != nil {
		return nil, err
	}
	r.Log.Emit(limpetlog.WeightsPublished, limpetlog.Job(r.job.Name), limpetlog.Value("version", q.Version))
	r.Published(r.job, r.ledger.Published)
	r.cancelStale()
	r.schedule()
	return r.status(), nil
}

func (r *Runner) cancel(ctx context.Context, body []byte) (any, error) {
	var q CancelRequest
	if err := decodeCall(body, &q); err != nil {
		return nil, err
	}
	err := r.commit(ctx, func(l *Ledger) error {
		if err := l.CheckSession(q.Session); err != nil {
			return err
		}
		return l.Cancel(q.Step)
	})
	r.notifyFetches()
	return r.status(), err
}

func (r *Runner) status() Status {
	s := Status{
		Session: r.ledger.Session, Cursor: r.ledger.Cursor, Published: r.ledger.Published,
		Steps: len(r.ledger.Steps), Running: r.runningCount(), Discarded: r.discarded,
	}
	for _, step := range r.ledger.Steps {
		s.Remaining += r.ledger.remaining(step)
	}
	for _, step := range r.steps {
		s.Ready += len(step.ready)
	}
	return s
}

// fetch returns the batch of a cursor. It waits for a pending batch for the
// time in the request, at most maxFetchWait.
func (r *Runner) fetch(ctx context.Context, body []byte) (any, error) {
	var q FetchRequest
	if err := decodeCall(body, &q); err != nil {
		return nil, err
	}
	if q.Max < 1 || q.Max > maxBatchSamples {
		return nil, limpeterror.Invalid.New("max: must be 1 to %d", maxBatchSamples)
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(q.WaitMillis)*time.Millisecond, maxFetchWait)+storeTimeout)
	defer cancel()
	deadline := r.Now().Add(min(time.Duration(q.WaitMillis)*time.Millisecond, maxFetchWait))
	for {
		var changed chan struct{}
		reply, err := r.runTask(ctx, func(ctx context.Context) (any, error) {
			changed = r.changed
			return r.fetchBatch(ctx, q)
		})
		if err != nil {
			return nil, err
		}
		if f := reply.(FetchReply); !f.Pending || !r.Now().Before(deadline) {
			return f, nil
		}
		timer := time.NewTimer(deadline.Sub(r.Now()))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// fetchBatch handles a fetch on the owner goroutine.
func (r *Runner) fetchBatch(ctx context.Context, q FetchRequest) (FetchReply, error) {
	if err := r.checkSession(q.Session); err != nil {
		return FetchReply{}, err
	}
	switch q.Cursor {
	case r.ledger.Cursor:
		return r.redeliver(ctx, q)
	case r.ledger.Cursor + 1:
		return r.nextBatch(ctx, q)
	default:
		return FetchReply{}, limpeterror.Conflict.New("cursor %d: the current cursor is %d", q.Cursor, r.ledger.Cursor)
	}
}

// redeliver returns the batch of the current cursor again, without samples
// whose content was lost or that have become too stale. It writes the ledger
// even if the batch is unchanged: the write proves that this VM still owns the
// job and that no newer version was published.
func (r *Runner) redeliver(ctx context.Context, q FetchRequest) (FetchReply, error) {
	err := r.commit(ctx, func(l *Ledger) error {
		if err := l.CheckSession(q.Session); err != nil {
			return err
		}
		l.PruneBatch(r.hasContent, r.job.MaxStaleness)
		return nil
	})
	if err != nil {
		return FetchReply{}, err
	}
	r.schedule()
	return r.reply(), nil
}

// hasContent reports whether the content of a sample in a batch is in memory.
func (r *Runner) hasContent(b BatchEntry) bool {
	s := r.steps[b.Step]
	return s != nil && s.ready[b.Number].entry.Attempt == b.Attempt
}

// nextBatch acknowledges the current batch and commits the next one. If no
// sample is ready and steps are open, it changes nothing and returns a pending
// reply.
func (r *Runner) nextBatch(ctx context.Context, q FetchRequest) (FetchReply, error) {
	ready := r.readyEntries(q.Max)
	next := r.ledger.Clone()
	if err := next.Advance(q.Cursor, ready, r.job.MaxStaleness); err != nil {
		return FetchReply{}, err
	}
	if len(next.Batch) == 0 && next.HasOpenSteps() {
		return FetchReply{Cursor: q.Cursor, Published: r.ledger.Published, Pending: true}, nil
	}
	acknowledged := r.ledger.Batch
	err := r.commit(ctx, func(l *Ledger) error {
		if err := l.CheckSession(q.Session); err != nil {
			return err
		}
		if l.Cursor == q.Cursor {
			// An earlier write whose reply was lost has already advanced to
			// this cursor.
			l.PruneBatch(r.hasContent, r.job.MaxStaleness)
			return nil
		}
		return l.Advance(q.Cursor, ready, r.job.MaxStaleness)
	})
	if err != nil {
		return FetchReply{}, err
	}
	for _, b := range acknowledged {
		if s := r.steps[b.Step]; s != nil {
			delete(s.ready, b.Number)
		}
	}
	r.schedule()
	return r.reply(), nil
}

func (r *Runner) readyEntries(limit int) []BatchEntry {
	var ready []BatchEntry
	for _, number := range r.stepNumbers {
		s := r.steps[number]
		for _, n := range slices.Sorted(maps.Keys(s.ready)) {
			if len(ready) >= limit {
				return ready
			}
			if r.needsSample(number, n) {
				ready = append(ready, s.ready[n].entry)
			}
		}
	}
	return ready
}

func (r *Runner) reply() FetchReply {
	f := FetchReply{Cursor: r.ledger.Cursor, Published: r.ledger.Published, Samples: []Sample{}, Done: !r.ledger.HasOpenSteps()}
	for _, b := range r.ledger.Batch {
		f.Samples = append(f.Samples, r.steps[b.Step].ready[b.Number].sample)
	}
	return f
}
