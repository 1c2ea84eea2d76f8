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
	// acceptTime bounds the time in which a job is stored, ended or looked up.
	acceptTime = 1500 * time.Millisecond
	// storeRetry is told to callers while the store does not answer.
	storeRetry = 400 * time.Millisecond
	// waitLongest bounds the time that a reader is kept waiting.
	waitLongest = time.Second
	// readSlack is left for the store beyond the time that a reader waits.
	readSlack = 1200 * time.Millisecond
	// bodyLargest bounds bodies until the configuration is known, in bytes.
	bodyLargest = 32 << 20
)

// A Cause says why a call about a batch job is not answered as asked.
type Cause int

// The causes.
const (
	// NoCause calls are answered as asked.
	NoCause Cause = iota
	// NotReady VMs know no configuration yet; nothing was done.
	NotReady
	// KeyUnknown callers have no valid key.
	KeyUnknown
	// Malformed submissions cannot be read.
	Malformed
	// Oversized submissions do not fit the store.
	Oversized
	// IDTaken jobs have the ID of another account's.
	IDTaken
	// NoSuchJob calls name a job or item that the account does not have.
	NoSuchJob
	// NotStored submissions were not stored, and never will be.
	NotStored
	// MaybeStored submissions may be stored.
	MaybeStored
	// NotKnown answers cannot be given now.
	NotKnown
)

// A Refusal tells a caller why, and when to come back; its zero value stands
// for none.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration
	// Text explains the cause to the caller.
	Text string
}

// BodyLimit returns the largest body that callers may send, in bytes.
func (h *Host) BodyLimit() int64 {
	if c := h.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return bodyLargest
}

// TakesJobs reports whether batch jobs are submitted at a host and path.
func (h *Host) TakesJobs(host, path string) bool {
	route := h.View().Route(host, path)
	return route != nil && route.Kind == limpetsite.Rollout
}

// account returns the account of a caller's key; request is for the log.
func (h *Host) account(request, key string) (string, Refusal) {
	view := h.View()
	if !view.Ready() {
		return "", Refusal{Cause: NotReady, RetryAfter: storeRetry, Text: "not run: " + limpetforward.NotConfigured.String()}
	}
	if !view.NeedsKeys() {
		return "", Refusal{}
	}
	a := view.Account(key)
	if a == nil {
		h.Log.Emit(limpetlog.RequestRefusedOrFailed, limpetlog.Request(request),
			limpetlog.Value("reason", limpetforward.NoKey.String()), limpetlog.Value("revision", view.Revision))
		return "", Refusal{Cause: KeyUnknown, Text: "no valid key"}
	}
	return a.Name, Refusal{}
}

// Submit accepts a batch job for the account of a key. Malformed is why the
// job could not be read; nil when it was.
func (h *Host) Submit(ctx context.Context, key string, job *limpetjob.Job, malformed error) Refusal {
	account, refusal := h.account(job.ID, key)
	if refusal.Cause != NoCause {
		return refusal
	}
	if malformed != nil {
		h.Log.Emit(limpetlog.JobRefused, limpetlog.Job(job.ID), limpetlog.Account(account), limpetlog.Error(malformed))
		return Refusal{Cause: Malformed, Text: malformed.Error()}
	}
	job.Account = account
	// The caller may leave; what is stored then is still decided here.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTime)
	defer cancel()
	err := limpetjob.Accept(ctx, h.deps.Store, job)
	took := limpetlog.Value("ms", h.deps.Now().Sub(job.Arrived).Milliseconds())
	if err != nil {
		h.Log.Emit(limpetlog.JobRefused, limpetlog.Job(job.ID), limpetlog.Account(account), limpetlog.Error(err), took)
		return submissionRefused(err)
	}
	h.Log.Emit(limpetlog.JobAccepted, limpetlog.Job(job.ID), limpetlog.Account(account),
		limpetlog.Value("items", len(job.Items)), limpetlog.Value("step", job.Step), limpetlog.Value("model", job.Model), took)
	return Refusal{}
}

func submissionRefused(err error) Refusal {
	switch {
	case limpeterror.Is(err, limpeterror.Unavailable):
		return Refusal{Cause: NotStored, RetryAfter: storeRetry, Text: "not run: the store does not answer"}
	case limpeterror.Is(err, limpeterror.Invalid):
		return Refusal{Cause: Oversized, Text: err.Error()}
	case limpeterror.Is(err, limpeterror.Denied):
		return Refusal{Cause: IDTaken, Text: "the id is taken"}
	default:
		return Refusal{Cause: MaybeStored, RetryAfter: storeRetry, Text: "it is not known whether the job was stored"}
	}
}

// ReadJob returns a page of a job's results for the account of a key, and
// waits up to the given time for one that is not empty.
func (h *Host) ReadJob(ctx context.Context, key, id string, after int, wait time.Duration) (limpetjob.Page, Refusal) {
	account, refusal := h.account(id, key)
	if refusal.Cause != NoCause {
		return limpetjob.Page{}, refusal
	}
	wait = min(max(wait, 0), waitLongest)
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	page, err := h.read(ctx, id, account, after, wait)
	return page, h.unread(id, err)
}

// EndJob ends a job of the account of a key.
func (h *Host) EndJob(ctx context.Context, key, id string) Refusal {
	account, refusal := h.account(id, key)
	if refusal.Cause != NoCause {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTime)
	defer cancel()
	err := h.owned(ctx, id, account)
	if err == nil {
		err = limpetjob.End(ctx, h.deps.Store, id)
	}
	return h.unread(id, err)
}

// ItemBody returns the body of an item that is not listed yet.
func (h *Host) ItemBody(ctx context.Context, key, id, item string) ([]byte, Refusal) {
	account, refusal := h.account(id, key)
	if refusal.Cause != NoCause {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	data, err := h.reader.Body(ctx, id, account, item)
	return data, h.unread(id, err)
}

// unread tells a caller why a job cannot be read or ended.
func (h *Host) unread(id string, err error) Refusal {
	if err == nil {
		return Refusal{}
	}
	h.Log.Emit(limpetlog.ReadRefused, limpetlog.Job(id), limpetlog.Error(err))
	if limpeterror.Is(err, limpeterror.NotFound) {
		return Refusal{Cause: NoSuchJob, Text: "not found"}
	}
	return Refusal{Cause: NotKnown, RetryAfter: storeRetry, Text: "not known now"}
}
