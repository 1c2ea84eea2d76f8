package limpetjob

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// acceptRetryDelay is the delay between attempts while it is unknown whether a
// job is accepted.
const acceptRetryDelay = 120 * time.Millisecond

// Accept stores a job and retries until ctx ends while the outcome is unknown.
// The error is nil if the store holds the job, possibly from an earlier
// submission. It has type Unavailable if this call certainly did not store the
// job and never will, Unknown if it may have, Invalid if the job cannot be
// stored, and Denied if the ID belongs to a job of another client account.
func Accept(ctx context.Context, store limpetstore.Store, j *Job) error {
	t, err := j.acceptTransaction()
	if err != nil {
		return err
	}
	unknown := false
	for {
		_, err := store.Commit(ctx, t)
		switch {
		case err == nil:
			return nil
		case limpeterror.Is(err, limpeterror.Conflict):
			return checkStoredOwner(ctx, store, j)
		case limpeterror.Is(err, limpeterror.Unknown):
			unknown = true
		case limpeterror.Is(err, limpeterror.Invalid):
			return err
		case !unknown:
			return limpeterror.Unavailable.Wrap(err, "accept job %s", j.ID)
		}
		if !limpettask.Sleep(ctx, acceptRetryDelay) {
			return limpeterror.Unknown.Wrap(err, "accept job %s", j.ID)
		}
	}
}

// checkStoredOwner returns the outcome of a submission whose ID is already in
// the store.
func checkStoredOwner(ctx context.Context, store limpetstore.Store, j *Job) error {
	s, err := LoadSummary(ctx, store, j.ID)
	switch {
	case limpeterror.Is(err, limpeterror.NotFound):
		return limpeterror.Unknown.Wrap(err, "job %s", j.ID)
	case err != nil:
		return limpeterror.Unknown.Wrap(err, "job %s", j.ID)
	case s.Account != j.Account:
		return limpeterror.Denied.New("job %s belongs to another account", j.ID)
	}
	return nil
}

// LoadSummary returns the summary of an accepted job. The error has type NotFound
// if there is no such job, and Invalid if the summary cannot be decoded.
func LoadSummary(ctx context.Context, store limpetstore.Store, id string) (Summary, error) {
	if !validID(id) {
		return Summary{}, limpeterror.NotFound.New("no job %q", id)
	}
	v, err := store.Get(ctx, summaryKey(id))
	if err != nil {
		return Summary{}, err
	}
	return DecodeSummary(v)
}

// Load returns an accepted job with its items. The error has type Invalid if the
// job cannot be decoded.
func Load(ctx context.Context, store limpetstore.Store, s Summary) (*Job, error) {
	var data []byte
	for n := range s.Parts {
		v, err := store.Get(ctx, partKey(s.ID, n))
		if err != nil {
			return nil, err
		}
		data = append(data, v.Data...)
	}
	j := &Job{}
	if err := json.Unmarshal(data, j); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "stored job %s", s.ID)
	}
	return j, nil
}

// LoadResults returns the results of a job that the store holds, ordered by
// position. The error has type Unavailable if a chunk is missing, and Invalid if
// one cannot be decoded.
func LoadResults(ctx context.Context, store limpetstore.Store, id string) ([]Result, error) {
	l, err := store.Scan(ctx, ResultPrefix(id), "")
	if err != nil {
		return nil, err
	}
	var all []Result
	for _, v := range l.Values {
		c, err := DecodeChunk(v)
		if err != nil {
			return nil, err
		}
		if c.First != len(all) {
			return nil, limpeterror.Unavailable.New("job %s: the chunk at %d does not follow on %d", id, c.First, len(all))
		}
		all = append(all, c.Results...)
	}
	return all, nil
}

// End marks a job as ended. It is idempotent.
func End(ctx context.Context, store limpetstore.Store, id string) error {
	_, err := store.Commit(ctx, limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: EndKey(id)}},
		Writes: []limpetstore.Write{{Key: EndKey(id), Data: []byte("1")}},
	})
	if limpeterror.Is(err, limpeterror.Conflict) {
		return nil
	}
	return err
}

// Remove removes everything that the store holds of a job past its retention.
// Each transaction includes a check that the caller may still do so. The key of
// the summary is removed last, so that a failed call can be repeated.
func Remove(ctx context.Context, store limpetstore.Store, s Summary, check limpetstore.Check) error {
	l, err := store.Scan(ctx, ResultPrefix(s.ID), "")
	if err != nil {
		return err
	}
	var keys []string
	for _, v := range l.Values {
		keys = append(keys, v.Key)
	}
	for n := range s.Parts {
		keys = append(keys, partKey(s.ID, n))
	}
	keys = append(keys, DraftKey(s.ID), EndKey(s.ID), summaryKey(s.ID))
	for batch := range slices.Chunk(keys, limpetstore.MaxTransactionEntries-1) {
		if _, err := store.Commit(ctx, limpetstore.Transaction{Checks: []limpetstore.Check{check}, Deletes: batch}); err != nil {
			return err
		}
	}
	return nil
}
