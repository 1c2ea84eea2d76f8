// Package limpetorder owns the adapter of the platform's interface for
// ordering backend servers by availability zone. It takes no decisions.
package limpetorder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"limpetmount.org/internal/limpethttp"
)

// Kind says what an order does.
type Kind string

// The kinds of order.
const (
	Start Kind = "start"
	Stop  Kind = "stop"
)

// Class is a price class of backend servers.
type Class string

// The price classes. Cheap servers can be reclaimed on short notice.
const (
	Standard Class = "standard"
	Cheap    Class = "cheap"
)

// State is the state of a backend server as the platform knows it.
type State string

// The states of a backend server.
const (
	Starting   State = "starting"
	Running    State = "running"
	Reclaiming State = "reclaiming"
	Stopped    State = "stopped"
)

// An Order holds one order. ID makes it idempotent; Fence is the number of
// the lease under which it is given; the platform must not act on it after
// Deadline.
type Order struct {
	ID       string    `json:"id"`
	Fence    uint64    `json:"fence"`
	Kind     Kind      `json:"kind"`
	Service  string    `json:"service"`
	Zone     string    `json:"zone"`
	Class    Class     `json:"class"`
	Server   string    `json:"server,omitempty"`
	Deadline time.Time `json:"deadline"`
}

// A Receipt holds what became of an order.
type Receipt struct {
	ID     string `json:"id"`
	Server string `json:"server"`
}

// A Server holds one backend server as the platform lists it.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   State  `json:"state"`
	Class   Class  `json:"class"`
	// ReclaimAt is set while the server is being reclaimed.
	ReclaimAt time.Time `json:"reclaim_at,omitzero"`
}

// A Listing holds the servers that changed after a revision.
type Listing struct {
	Revision uint64   `json:"revision"`
	Servers  []Server `json:"servers"`
}

// A Price holds an availability zone's prices for an hour of one server, in
// the platform's currency, and what can be had there.
type Price struct {
	Zone           string  `json:"zone"`
	Standard       float64 `json:"standard"`
	Cheap          float64 `json:"cheap"`
	Available      bool    `json:"available"`
	CheapAvailable bool    `json:"cheap_available"`
}

// A Platform holds the operations of the ordering interface as seams.
type Platform struct {
	// Send gives an order. Repeating an ID has no further effect.
	Send func(ctx context.Context, o Order) (Receipt, error)
	// Find returns what became of an order, or limpeterror.NotFound.
	Find func(ctx context.Context, id string) (Receipt, error)
	// Servers lists the servers that changed after a revision.
	Servers func(ctx context.Context, after uint64) (Listing, error)
	// Prices lists the zones.
	Prices func(ctx context.Context) ([]Price, error)
}

const callTimeout = 2 * time.Second

// NewHTTP returns the platform's interface at base.
func NewHTTP(base string) Platform {
	client := &http.Client{Transport: limpethttp.NewTransport(4), Timeout: callTimeout}
	return Platform{
		Send: func(ctx context.Context, o Order) (r Receipt, err error) {
			err = limpethttp.Call(ctx, client, http.MethodPost, base+"/v1/orders", o, &r)
			return r, err
		},
		Find: func(ctx context.Context, id string) (r Receipt, err error) {
			err = limpethttp.Call(ctx, client, http.MethodGet, base+"/v1/orders/"+id, nil, &r)
			return r, err
		},
		Servers: func(ctx context.Context, after uint64) (l Listing, err error) {
			url := base + "/v1/servers?after=" + strconv.FormatUint(after, 10)
			err = limpethttp.Call(ctx, client, http.MethodGet, url, nil, &l)
			return l, err
		},
		Prices: func(ctx context.Context) (p []Price, err error) {
			err = limpethttp.Call(ctx, client, http.MethodGet, base+"/v1/prices", nil, &p)
			return p, err
		},
	}
}
