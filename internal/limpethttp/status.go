package limpethttp

import (
	"net/http"

	"limpetmount.org/internal/limpeterror"
)

// maxStatus is the largest status of an answer (RFC 9110, 15).
const maxStatus = 599

// CheckStatus returns an error of type Unknown for a status that no final answer has.
// net/http accepts any three digits: a peer in trouble may send 000.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return limpeterror.Unknown.New("status %03d is that of no answer", status)
	}
	return nil
}
