// Package limpetscore is a client for the services that score samples.
package limpetscore

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpethttp"
)

// A Request is a sample to be scored.
type Request struct {
	Sample string `json:"sample"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// A Reply is the score of a sample.
type Reply struct {
	Sample string  `json:"sample"`
	Score  float64 `json:"score"`
}

// A Scorer is a client for scoring services. Its operation is a function field,
// so that tests can replace it.
type Scorer struct {
	// Score has one sample scored by the service at address. It is idempotent.
	Score func(ctx context.Context, address string, r Request) (Reply, error)
}

const callTimeout = 10 * time.Second

// NewHTTP returns a scorer that reaches scoring services over HTTP.
func NewHTTP() Scorer {
	client := &http.Client{Transport: limpethttp.NewTransport(16), Timeout: callTimeout}
	return Scorer{Score: func(ctx context.Context, address string, r Request) (reply Reply, err error) {
		err = limpethttp.Call(ctx, client, http.MethodPost, "http://"+address+"/v1/score", r, &reply)
		return reply, err
	}}
}
