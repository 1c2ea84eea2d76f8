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

// jobOperations maps the last element of the path of a trainer's call to the
// operation.
var jobOperations = map[string]limpetrollout.Operation{
	"session": limpetrollout.OpSession,
	"steps":   limpetrollout.OpStep,
	"weights": limpetrollout.OpWeights,
	"cancel":  limpetrollout.OpCancel,
}

func (f *Frontend) jobCall(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, fmt.Errorf("read body: %w", err), 0)
		return
	}
	f.forwardJobCall(w, r, principal, jobOperations[mux.Vars(r)["operation"]], body)
}

func (f *Frontend) jobStatus(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal) {
	f.forwardJobCall(w, r, principal, limpetrollout.OpStatus, nil)
}

func (f *Frontend) jobSamples(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal) {
	findings := &limpeterror.Findings{}
	uintParam := func(name string, fallback uint64) uint64 {
		text := r.URL.Query().Get(name)
		if text == "" {
			return fallback
		}
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			findings.Add(name, "must be a whole number, not %q", text)
		}
		return n
	}
	const defaultMaxSamples = 64
	fetch := limpetrollout.FetchRequest{
		Session: uintParam("session", 0), Cursor: uintParam("cursor", 0),
		Max: int(uintParam("max", defaultMaxSamples)), WaitMillis: int64(uintParam("wait_ms", 0)),
	}
	if err := findings.Err(); err != nil {
		writeError(w, err, 0)
		return
	}
	body, err := json.Marshal(fetch)
	if err != nil {
		writeError(w, limpeterror.Invalid.Wrap(err, "fetch"), 0)
		return
	}
	f.forwardJobCall(w, r, principal, limpetrollout.OpFetch, body)
}

// forwardJobCall checks that the job belongs to the client account of the key and
// that the key is a trainer key, and forwards the call to the VM that owns the job.
func (f *Frontend) forwardJobCall(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal, operation limpetrollout.Operation, body []byte) {
	name := mux.Vars(r)["job"]
	job, ok := f.View().Config.Jobs[name]
	if !ok || job.Account != principal.Account {
		writeError(w, limpeterror.NotFound.New("client account %s has no job %s", principal.Account, name), 0)
		return
	}
	if principal.Role != limpetconfig.Trainer {
		writeError(w, limpeterror.Denied.New("key %s is no trainer key", principal.Key), 0)
		return
	}
	status, response, err := f.CallJob(r.Context(), principal.Account, name, operation, body)
	if err != nil {
		writeError(w, withdrawalError(r.Context(), err), shortRetryAfter)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore write errors: a trainer that disconnected asks for the same cursor
	// again.
	_, _ = w.Write(response)
}

// JobError returns the status and the body of the response to a trainer's call that
// failed on the VM that owns the job.
func JobError(err error) (int, []byte) {
	status, body := classifyError(err)
	data, _ := json.Marshal(ErrorResponse{Error: body})
	return status, data
}
