package limpetdirector

import (
	"context"
	"math"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// maxRunTime bounds the time that an engine gets for an item.
	maxRunTime = 60 * time.Second
	// rewardTimeout bounds one reward call.
	rewardTimeout = 4 * time.Second
)

// startRun starts a run at an executor, or on this VM if no executor should be
// used for the engine.
func (d *Director) startRun(r *limpetbatch.Run) {
	e := r.Entry
	header := make(http.Header, len(e.Item.Header))
	for name, value := range e.Item.Header {
		header.Set(name, value)
	}
	remaining := maxRunTime
	if e.Job.Rules.ItemTTL > 0 {
		remaining = min(remaining, max(time.Second, e.Job.Arrived.Add(e.Job.Rules.ItemTTL).Sub(d.Now())))
	}
	call := limpetupstream.Call{
		Server: r.Server, Purpose: limpetupstream.ForItem, ID: e.Item.ID, Method: http.MethodPost, Target: e.Item.Path, Host: e.Job.Host,
		Header: header, Body: e.Item.Body, Account: e.Job.Account, Remaining: remaining,
		LastEventID: r.After, Version: r.Version, Priority: -1, Homes: e.Job.Rules.Homes,
	}
	d.Log.Emit(limpetlog.RunStarted, limpetlog.Job(e.Job.ID), limpetlog.Value("item", e.Item.ID),
		limpetlog.Server(r.Server.ID), limpetlog.Value("after", r.After))
	if r.After+r.Dropped > 0 {
		d.logContinued(r)
	}
	if s := d.executorFor(r.Server, call.Homes); s != nil {
		d.sendToExecutor(s, r, call)
		return
	}
	d.runLocally(r, call)
}

// logContinued records that an item's text goes on in a new run.
func (d *Director) logContinued(r *limpetbatch.Run) {
	e, outcome := r.Entry, limpetmetric.SameSoftware
	switch {
	case r.Dropped > 0:
		outcome = limpetmetric.BegunAgain
	case r.Began != r.Software:
		outcome = limpetmetric.OtherSoftware
	}
	d.Metrics.CountContinuation(limpetmetric.Items, outcome)
	d.Log.Emit(limpetlog.TextContinued, limpetlog.Job(e.Job.ID), limpetlog.Value("item", e.Item.ID), limpetlog.Server(r.Server.ID),
		limpetlog.Value("software", r.Software), limpetlog.Value("began", r.Began), limpetlog.Value("after", r.After), limpetlog.Value("dropped", r.Dropped), limpetlog.Value("outcome", outcome))
}

// runLocally sends a run from this VM.
func (d *Director) runLocally(r *limpetbatch.Run, call limpetupstream.Call) {
	ctx, cancel := context.WithCancel(d.group.Context())
	d.cancels[r] = cancel
	d.group.Go(func(context.Context) error {
		limpetexecutor.Execute(ctx, d.Upstream.Send, call, limpetexecutor.Sink{
			Header: func(version int) { d.post(ctx, runHeader{run: r, version: version}) },
			Event:  func(e limpetupstream.Event, version int) { d.post(ctx, runEvent{run: r, event: e, version: version}) },
			End:    func(e limpetexecutor.End) { d.post(ctx, runEnded{run: r, end: e}) },
		})
		return nil
	})
}

type runHeader struct {
	run     *limpetbatch.Run
	version int
}

func (m runHeader) apply(d *Director) {
	if !d.scheduler.HandleHeader(m.run, m.version, d.Now()) {
		d.rejectRun(m.run, m.version)
	}
}

type runEvent struct {
	run     *limpetbatch.Run
	event   limpetupstream.Event
	version int
}

func (m runEvent) apply(d *Director) {
	if !d.scheduler.HandleEvent(m.run, m.event, m.version, d.Now()) {
		d.rejectRun(m.run, m.version)
	}
}

// rejectRun cancels a run whose stream cannot be used.
func (d *Director) rejectRun(r *limpetbatch.Run, version int) {
	cancel := d.cancels[r]
	if cancel == nil {
		return
	}
	cancel()
	delete(d.cancels, r)
	d.Log.Emit(limpetlog.SampleDiscarded, limpetlog.Job(r.Entry.Job.ID), limpetlog.Value("item", r.Entry.Item.ID),
		limpetlog.Server(r.Server.ID), limpetlog.Value("version", version), limpetlog.Value("min_version", r.Entry.Job.MinVersion))
}

type runEnded struct {
	run *limpetbatch.Run
	end limpetexecutor.End
}

func (m runEnded) apply(d *Director) {
	cancel := d.cancels[m.run]
	if cancel == nil {
		return
	}
	cancel()
	delete(d.cancels, m.run)
	e := m.run.Entry
	settled := d.scheduler.HandleEnd(m.run, m.end.Ending, d.Now())
	if m.end.Ending == limpetbatch.Complete {
		d.Log.Emit(limpetlog.TextCompleted, limpetlog.Job(e.Job.ID), limpetlog.Value("item", e.Item.ID), limpetlog.Server(m.run.Server.ID),
			limpetlog.Value("events", e.Events()), limpetlog.Value("expected_tokens", e.Item.ExpectedTokens), limpetlog.Value("moves", e.Moves()),
			limpetlog.Value("must", e.Required()), limpetlog.Value("age_ms", d.Now().Sub(e.Job.Arrived).Milliseconds()))
		if e.Events() >= longText {
			d.logLongText(m.run)
		}
		return
	}
	if settled {
		d.logErrored(e, "all allowed runs failed")
	}
	d.Log.Emit(limpetlog.RunFailed, limpetlog.Job(e.Job.ID), limpetlog.Value("item", e.Item.ID),
		limpetlog.Server(m.run.Server.ID), limpetlog.Value("status", m.end.Status), limpetlog.Value("cause", m.end.Cause), limpetlog.Value("settled", settled))
}

// longText is the number of events from which on a completed text is logged with
// where its time went. Such texts decide when a step is whole.
const longText = 100

func (d *Director) logLongText(r *limpetbatch.Run) {
	e, t := r.Entry, r.Entry.Timing()
	texts, context := t.MeanBatch()
	d.Log.Emit(limpetlog.LongTextCompleted, limpetlog.Job(e.Job.ID), limpetlog.Value("item", e.Item.ID), limpetlog.Server(r.Server.ID),
		limpetlog.Value("events", e.Events()), limpetlog.Value("expected_tokens", e.Item.ExpectedTokens), limpetlog.Value("runs", t.Runs),
		limpetlog.Value("queue", t.Queue.Milliseconds()), limpetlog.Value("prompt", t.Prompt.Milliseconds()), limpetlog.Value("alone", t.Alone.Milliseconds()),
		limpetlog.Value("beside", t.Beside.Milliseconds()), limpetlog.Value("weights", t.WeightChange.Milliseconds()),
		limpetlog.Value("interrupted", t.Interrupted.Milliseconds()), limpetlog.Value("texts", math.Round(10*texts)/10), limpetlog.Value("context", int(context)),
		limpetlog.Value("must", e.Required()), limpetlog.Value("age_ms", d.Now().Sub(e.Job.Arrived).Milliseconds()))
}

// logErrored logs that an item is settled as errored.
func (d *Director) logErrored(e *limpetbatch.Entry, cause string) {
	d.Log.Emit(limpetlog.ItemErrored, limpetlog.Job(e.Job.ID), limpetlog.Value("item", e.Item.ID), limpetlog.Value("cause", cause))
}

// callScorer makes a reward call, which ends with its job.
func (d *Director) callScorer(r limpetbatch.RewardCall) {
	ctx, cancel := context.WithCancel(d.group.Context())
	d.rewardCancels[r.Entry] = cancel
	d.group.Go(func(context.Context) error {
		defer cancel()
		answer, allowed := d.Forwarder.ForwardInternal(ctx, &limpetforward.Request{
			ID: r.Scorer.ID, Method: http.MethodPost, Target: r.Scorer.Path, Path: r.Scorer.Path, Host: r.Scorer.Host,
			Header: http.Header{}, Body: r.Scorer.Body, Arrived: d.Now(), Timeout: rewardTimeout,
		})
		m := scoreResult{entry: r.Entry, failures: answer.Failures, allowed: allowed, reason: answer.Reason}
		if answer.Reply != nil {
			if answer.Reply.Status/100 == 2 {
				m.signature = answer.Reply.Signature
			}
			answer.Reply.Close()
		}
		d.post(ctx, m)
		return nil
	})
}

// removeJob removes a job from the scheduler and ends its runs and reward calls.
func (d *Director) removeJob(id string, now time.Time, cause string) {
	for e, cancel := range d.rewardCancels {
		if e.Job.ID == id {
			cancel()
			delete(d.rewardCancels, e)
		}
	}
	d.cancelRuns(d.scheduler.RemoveJob(id, now), cause)
}

type scoreResult struct {
	entry             *limpetbatch.Entry
	signature         string
	failures, allowed int
	reason            limpetforward.Reason
}

func (m scoreResult) apply(d *Director) {
	e := m.entry
	if d.rewardCancels[e] == nil {
		return
	}
	delete(d.rewardCancels, e)
	if d.scheduler.HandleScore(e, m.signature, m.failures, max(m.allowed, e.Job.Rules.MaxAttempts), d.Now()) {
		d.logErrored(e, "all allowed reward calls failed")
	}
	if m.signature == "" {
		d.Log.Emit(limpetlog.RewardFailed, limpetlog.Job(e.Job.ID), limpetlog.Value("item", e.Item.ID),
			limpetlog.Request(e.Item.Scorer.ID), limpetlog.Value("failures", m.failures), limpetlog.Value("reason", m.reason.String()))
	}
}
