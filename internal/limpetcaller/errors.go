package limpetcaller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

// Outcome tells a caller whether its request may have run.
type Outcome string

// The outcomes of failed requests.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// An ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error ErrorBody `json:"error"`
}

// An ErrorBody describes an error in the format that client libraries of model
// servers expect, extended by the outcome.
type ErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
}

// shortRetryAfter is the Retry-After value for refusals without a better estimate.
const shortRetryAfter = time.Second

// writeError writes an error response. Only responses that mean that the request
// was not run get a Retry-After header, never those with an unknown outcome.
func writeError(w http.ResponseWriter, err error, retryAfter time.Duration) {
	status, body := classifyError(err)
	if retryAfter > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(retryAfter.Seconds()))))
	}
	limpethttp.WriteJSON(w, status, ErrorResponse{Error: body})
}

// classifyError returns the status and the body of the response to an error.
func classifyError(err error) (int, ErrorBody) {
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
