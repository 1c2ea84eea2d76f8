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

// acceptPause is the pause between tries while a job's acceptance is unknown.
const acceptPause = 120 * time.Millisecond

// Accept stores a job. The error is nil when the job stands in the store, also
// from an earlier submission; it has type Unavailable when it provably does
// not and never will through this call, Unknown when it may, and Denied when
// the ID belongs to another account's job. It tries until ctx ends while the
// outcome is unknown.
func Accept(ctx context.Context, store limpetstore.Store, j *Job) error {
	t, err := j.acceptance()
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
			return sameOwner(ctx, store, j)
		case limpeterror.Is(err, limpeterror.Unknown):
			unknown = true
		case limpeterror.Is(err, limpeterror.Invalid):
			return err
		case !unknown:
			return limpeterror.Unavailable.Wrap(err, "accept job %s", j.ID)
		}
		if !limpettask.Sleep(ctx, acceptPause) {
			return limpeterror.Unknown.Wrap(err, "accept job %s", j.ID)
		}
	}
}

// sameOwner settles a submission whose job is stored already.
func sameOwner(ctx context.Context, store limpetstore.Store, j *Job) error {
	s, err := Stored(ctx, store, j.ID)
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

// Stored returns the summary of an accepted job, or NotFound.
func Stored(ctx context.Context, store limpetstore.Store, id string) (Summary, error) {
	if !validID(id) {
		return Summary{}, limpeterror.NotFound.New("no job %q", id)
	}
	v, err := store.Get(ctx, openKey(id))
	if err != nil {
		return Summary{}, err
	}
	return DecodeSummary(v)
}

// Load returns an accepted job with its items.
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

// Listed returns the results of a job that stand in the store, in the order of
// their positions. Its error has type Unavailable when a chunk is missing.
func Listed(ctx context.Context, store limpetstore.Store, id string) ([]Result, error) {
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

// End marks a job as ended. Repeating it is harmless.
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

// Clear removes all that stands of a job whose time is over, under a check that
// the caller may still do so. The job's own key goes last, so that a try that
// fails can be repeated.
func Clear(ctx context.Context, store limpetstore.Store, s Summary, check limpetstore.Check) error {
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
	keys = append(keys, DraftKey(s.ID), EndKey(s.ID), openKey(s.ID))
	for some := range slices.Chunk(keys, limpetstore.MaxEntries-1) {
		if _, err := store.Commit(ctx, limpetstore.Transaction{Checks: []limpetstore.Check{check}, Removes: some}); err != nil {
			return err
		}
	}
	return nil
}
