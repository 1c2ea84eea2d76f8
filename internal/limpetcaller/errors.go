package limpetcaller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// An ErrorReply holds the body of every error answer.
type ErrorReply struct {
	Error ErrorBody `json:"error"`
}

// An ErrorBody holds an error as client libraries of model servers read it,
// with the outcome added.
type ErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
}

const retryShort = time.Second

// fail answers with an error. Unknown outcomes are never told to be retried.
func fail(w http.ResponseWriter, err error, retryAfter time.Duration) {
	status, body := describe(err)
	if retryAfter > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(retryAfter.Seconds()))))
	}
	limpethttp.WriteJSON(w, status, ErrorReply{Error: body})
}

func describe(err error) (int, ErrorBody) {
	body := ErrorBody{Message: err.Error(), Type: "invalid_request_error", Outcome: NotRun}
	var findings *limpeterror.Findings
	var tooLarge *http.MaxBytesError
	status := http.StatusBadGateway
	switch {
	case errors.As(err, &tooLarge):
		status, body.Code = http.StatusRequestEntityTooLarge, "body_too_large"
		body.Message = "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
	case errors.As(err, &findings) || limpeterror.Is(err, limpeterror.Invalid):
		status, body.Code = http.StatusBadRequest, "invalid_request"
	case limpeterror.Is(err, limpeterror.Denied):
		status, body.Type, body.Code = http.StatusUnauthorized, "authentication_error", "key_refused"
	case limpeterror.Is(err, limpeterror.NotFound):
		status, body.Code = http.StatusNotFound, "not_found"
	case limpeterror.Is(err, limpeterror.Conflict):
		status, body.Code = http.StatusConflict, "conflict"
	case limpeterror.Is(err, limpeterror.Fenced):
		status, body.Code = http.StatusConflict, "superseded"
	case limpeterror.Is(err, limpeterror.Overloaded):
		status, body.Type, body.Code = http.StatusTooManyRequests, "rate_limit_error", "overloaded"
	case limpeterror.Is(err, limpeterror.Unavailable):
		status, body.Type, body.Code = http.StatusServiceUnavailable, "server_error", "unavailable"
	default:
		body.Type, body.Code, body.Outcome = "server_error", "outcome_unknown", Unknown
	}
	return status, body
}
