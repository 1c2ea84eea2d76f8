package limpethost

import (
	"context"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
)

const (
	// storeTimeout bounds the store calls that accept or end a job or look up
	// an item.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryAfter is the retry delay returned to callers while the store
	// does not respond.
	storeRetryAfter = 400 * time.Millisecond
	// maxReadWait bounds the time for which a read may wait for results.
	maxReadWait = time.Second
	// storeReadMargin is the time left for store calls beyond the time that a
	// read waits.
	storeReadMargin = 1200 * time.Millisecond
	// defaultBodyLimit bounds request bodies until a configuration is loaded,
	// in bytes.
	defaultBodyLimit = 32 << 20
)

// A Cause says why a call about a batch job was refused.
type Cause int

const (
	// NoCause means that the call was not refused.
	NoCause Cause = iota
	// NotReady means that this VM has no configuration yet; nothing was done.
	NotReady
	// InvalidKey means that the API key is missing or not valid.
	InvalidKey
	// Malformed means that the submitted job cannot be decoded.
	Malformed
	// Oversized means that the submitted job is too large for the store.
	Oversized
	// IDTaken means that a job of another account has this ID.
	IDTaken
	// NoSuchJob means that the account has no such job or item.
	NoSuchJob
	// NotStored means that the submitted job was not stored and will not be.
	NotStored
	// MaybeStored means that the submitted job may have been stored.
	MaybeStored
	// AnswerUnknown means that the answer cannot be determined at present.
	AnswerUnknown
)

// A Refusal tells a caller why a call was refused and when to retry. Its zero
// value means that the call was not refused.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration
	// Text explains the cause to the caller.
	Text string
}

// BodyLimit returns the largest request body that callers may send, in bytes.
func (h *Host) BodyLimit() int64 {
	if c := h.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// TakesJobs reports whether a host and path accept batch jobs.
func (h *Host) TakesJobs(host, path string) bool {
	route := h.View().Route(host, path)
	return route != nil && route.Kind == limpetsite.Rollout
}

// account returns the name of the account that an API key belongs to, or why
// the call is refused; request is the ID for the log.
func (h *Host) account(request, key string) (string, Refusal) {
	if !h.MayFinish(storeTimeout) {
		return "", Refusal{Cause: NotReady, RetryAfter: limpetforward.StoppingRetryAfter, Text: "not run: " + limpetforward.Stopping.String()}
	}
	view := h.View()
	if !view.Ready() {
		return "", Refusal{Cause: NotReady, RetryAfter: storeRetryAfter, Text: "not run: " + limpetforward.NotConfigured.String()}
	}
	if !view.NeedsKeys() {
		return "", Refusal{}
	}
	a := view.Account(key)
	if a == nil {
		h.Log.Emit(limpetlog.RequestNotServed, limpetlog.Request(request),
			limpetlog.Value("reason", limpetforward.NoKey.String()), limpetlog.Value("revision", view.Revision))
		return "", Refusal{Cause: InvalidKey, Text: "no valid key"}
	}
	return a.Name, Refusal{}
}

// Submit accepts a batch job for the account of an API key. Malformed is the
// error of decoding the job, or nil.
func (h *Host) Submit(ctx context.Context, key string, job *limpetjob.Job, malformed error) Refusal {
	account, refusal := h.account(job.ID, key)
	if refusal.Cause != NoCause {
		return refusal
	}
	if malformed != nil {
		h.Log.Emit(limpetlog.JobNotAccepted, limpetlog.Job(job.ID), limpetlog.Account(account), limpetlog.Error(malformed))
		return Refusal{Cause: Malformed, Text: malformed.Error()}
	}
	job.Account = account
	// The caller may disconnect; the result of the store call must still be
	// determined.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	err := limpetjob.Accept(ctx, h.deps.Store, job)
	took := limpetlog.Value("ms", h.deps.Now().Sub(job.Arrived).Milliseconds())
	if err != nil {
		h.Log.Emit(limpetlog.JobNotAccepted, limpetlog.Job(job.ID), limpetlog.Account(account), limpetlog.Error(err), took)
		return submissionRefusal(err)
	}
	h.Log.Emit(limpetlog.JobAccepted, limpetlog.Job(job.ID), limpetlog.Account(account),
		limpetlog.Value("items", len(job.Items)), limpetlog.Value("step", job.Step), limpetlog.Value("model", job.Model), took)
	return Refusal{}
}

func submissionRefusal(err error) Refusal {
	switch {
	case limpeterror.Is(err, limpeterror.Unavailable):
		return Refusal{Cause: NotStored, RetryAfter: storeRetryAfter, Text: "not run: the store does not answer"}
	case limpeterror.Is(err, limpeterror.Invalid):
		return Refusal{Cause: Oversized, Text: err.Error()}
	case limpeterror.Is(err, limpeterror.Denied):
		return Refusal{Cause: IDTaken, Text: "the id is taken"}
	default:
		return Refusal{Cause: MaybeStored, RetryAfter: storeRetryAfter, Text: "it is not known whether the job was stored"}
	}
}

// ReadJob returns a page of a job's results for the account of an API key. If
// the page is empty, it waits up to the given time for results.
func (h *Host) ReadJob(ctx context.Context, key, id string, after int, wait time.Duration) (limpetjob.Page, Refusal) {
	account, refusal := h.account(id, key)
	if refusal.Cause != NoCause {
		return limpetjob.Page{}, refusal
	}
	wait = min(max(wait, 0), maxReadWait, h.timeForRequest()-storeReadMargin)
	ctx, cancel := context.WithTimeout(ctx, wait+storeReadMargin)
	defer cancel()
	page, err := h.readPage(ctx, id, account, after, wait)
	return page, h.readRefusal(id, err)
}

// EndJob ends a job that belongs to the account of an API key.
func (h *Host) EndJob(ctx context.Context, key, id string) Refusal {
	account, refusal := h.account(id, key)
	if refusal.Cause != NoCause {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	err := h.checkOwner(ctx, id, account)
	if err == nil {
		err = limpetjob.End(ctx, h.deps.Store, id)
	}
	return h.readRefusal(id, err)
}

// ItemBody returns the body of an item that has no listed result yet.
func (h *Host) ItemBody(ctx context.Context, key, id, item string) ([]byte, Refusal) {
	account, refusal := h.account(id, key)
	if refusal.Cause != NoCause {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	data, err := h.reader.Body(ctx, id, account, item)
	return data, h.readRefusal(id, err)
}

// readRefusal returns the refusal for a job that could not be read or ended.
func (h *Host) readRefusal(id string, err error) Refusal {
	if err == nil {
		return Refusal{}
	}
	h.Log.Emit(limpetlog.JobReadRefused, limpetlog.Job(id), limpetlog.Error(err))
	if limpeterror.Is(err, limpeterror.NotFound) {
		return Refusal{Cause: NoSuchJob, Text: "not found"}
	}
	return Refusal{Cause: AnswerUnknown, RetryAfter: storeRetryAfter, Text: "not known now"}
}
