package limpetcaller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetrollout"
)

// operations maps the last element of a trainer's path to its call.
var operations = map[string]limpetrollout.Operation{
	"session": limpetrollout.OpSession,
	"steps":   limpetrollout.OpStep,
	"weights": limpetrollout.OpWeights,
	"cancel":  limpetrollout.OpCancel,
}

func (f *Front) jobCall(w http.ResponseWriter, q *http.Request, who limpetkey.Principal) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		fail(w, fmt.Errorf("read body: %w", err), 0)
		return
	}
	f.forwardJob(w, q, who, operations[mux.Vars(q)["operation"]], body)
}

func (f *Front) jobStatus(w http.ResponseWriter, q *http.Request, who limpetkey.Principal) {
	f.forwardJob(w, q, who, limpetrollout.OpStatus, nil)
}

func (f *Front) jobSamples(w http.ResponseWriter, q *http.Request, who limpetkey.Principal) {
	findings := &limpeterror.Findings{}
	number := func(name string, fallback uint64) uint64 {
		text := q.URL.Query().Get(name)
		if text == "" {
			return fallback
		}
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			findings.Add(name, "must be a whole number, not %q", text)
		}
		return n
	}
	const defaultBatch = 64
	fetch := limpetrollout.FetchRequest{
		Session: number("session", 0), Cursor: number("cursor", 0),
		Max: int(number("max", defaultBatch)), WaitMillis: int64(number("wait_ms", 0)),
	}
	if err := findings.Err(); err != nil {
		fail(w, err, 0)
		return
	}
	body, err := json.Marshal(fetch)
	if err != nil {
		fail(w, limpeterror.Invalid.Wrap(err, "fetch"), 0)
		return
	}
	f.forwardJob(w, q, who, limpetrollout.OpFetch, body)
}

// forwardJob checks that the job belongs to the key's account and passes the
// call to the job's owner.
func (f *Front) forwardJob(w http.ResponseWriter, q *http.Request, who limpetkey.Principal, operation limpetrollout.Operation, body []byte) {
	name := mux.Vars(q)["job"]
	job, ok := f.View().Config.Jobs[name]
	if !ok || job.Account != who.Account {
		fail(w, limpeterror.NotFound.New("client account %s has no job %s", who.Account, name), 0)
		return
	}
	if who.Role != limpetconfig.Trainer {
		fail(w, limpeterror.Denied.New("key %s is no trainer key", who.Key), 0)
		return
	}
	status, answer, err := f.CallJob(q.Context(), who.Account, name, operation, body)
	if err != nil {
		fail(w, endCause(q.Context(), err), retryShort)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The trainer may be gone; it asks for the same cursor again.
	_, _ = w.Write(answer)
}

// JobError returns the answer to a trainer's call that failed at the owner.
func JobError(err error) (int, []byte) {
	status, body := describe(err)
	data, _ := json.Marshal(ErrorReply{Error: body})
	return status, data
}
