// Package limpetintake is a client for the platform's usage intake, the
// interface that accepts usage reports.
package limpetintake

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

// An Intake is a client for the usage intake. Its operation is a function
// field, so that tests can replace it.
type Intake struct {
	// Report sends the frozen report of one client account and window. Sending
	// the same bytes again has no effect; other bytes are a Conflict.
	Report func(ctx context.Context, account, window string, data []byte) error
}

const callTimeout = 5 * time.Second

// NewHTTP returns a client for the intake at the URL base.
func NewHTTP(base string) Intake {
	client := &http.Client{Transport: limpethttp.NewTransport(2), Timeout: callTimeout}
	return Intake{Report: func(ctx context.Context, account, window string, data []byte) error {
		url := base + "/v1/usage/" + account + "/" + window
		request, err := limpethttp.NewRequest(ctx, http.MethodPut, url, data)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			return limpethttp.Classify(err, "usage intake")
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusConflict {
			return limpeterror.Conflict.New("usage intake: window %s of %s holds other figures", window, account)
		}
		if response.StatusCode != http.StatusOK {
			return limpeterror.Unavailable.New("usage intake: status %d", response.StatusCode)
		}
		return nil
	}}
}
