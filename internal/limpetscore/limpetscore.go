// Package limpetscore owns the adapter of the services that score samples.
package limpetscore

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpethttp"
)

// A Request holds one sample to be scored.
type Request struct {
	Sample string `json:"sample"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// A Reply holds a sample's score.
type Reply struct {
	Sample string  `json:"sample"`
	Score  float64 `json:"score"`
}

// A Scorer holds the operation of a scoring service as a seam.
type Scorer struct {
	// Score scores one sample at address; scoring is idempotent.
	Score func(ctx context.Context, address string, r Request) (Reply, error)
}

const callTimeout = 10 * time.Second

// NewHTTP returns a scorer that reaches services over HTTP.
func NewHTTP() Scorer {
	client := &http.Client{Transport: limpethttp.NewTransport(16), Timeout: callTimeout}
	return Scorer{Score: func(ctx context.Context, address string, r Request) (reply Reply, err error) {
		err = limpethttp.Call(ctx, client, http.MethodPost, "http://"+address+"/v1/score", r, &reply)
		return reply, err
	}}
}
