// Package limpetorder is a client for the platform's interface for ordering
// backend servers by availability zone. It makes no decisions.
package limpetorder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"limpetmount.org/internal/limpethttp"
)

// A Kind says what an order does.
type Kind string

// Kinds of orders.
const (
	Start Kind = "start"
	Stop  Kind = "stop"
)

// A Class is a price class of backend servers.
type Class string

// Price classes. The platform can reclaim cheap servers at short notice.
const (
	Standard Class = "standard"
	Cheap    Class = "cheap"
)

// A State is the state of a backend server as the platform reports it.
type State string

// States of a backend server.
const (
	Starting   State = "starting"
	Running    State = "running"
	Reclaiming State = "reclaiming"
	Stopped    State = "stopped"
)

// An Order starts or stops one backend server. ID makes it idempotent, Fence is
// the fencing token of the lease under which it is sent, and the platform must
// not act on it after Deadline.
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

// A Receipt is the result of an order.
type Receipt struct {
	ID     string `json:"id"`
	Server string `json:"server"`
}

// A Server is a backend server as listed by the platform.
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

// A Listing lists the servers that changed after a revision.
type Listing struct {
	Revision uint64   `json:"revision"`
	Servers  []Server `json:"servers"`
}

// A Price holds an availability zone's prices for one server hour, in the
// platform's currency, and which price classes are available there.
type Price struct {
	Zone           string  `json:"zone"`
	Standard       float64 `json:"standard"`
	Cheap          float64 `json:"cheap"`
	Available      bool    `json:"available"`
	CheapAvailable bool    `json:"cheap_available"`
}

// A Platform is a client for the ordering interface. The operations are function
// fields, so that tests can replace them.
type Platform struct {
	// Send sends an order. Sending an ID again has no further effect.
	Send func(ctx context.Context, o Order) (Receipt, error)
	// Find returns the result of an order, or limpeterror.NotFound.
	Find func(ctx context.Context, id string) (Receipt, error)
	// Servers returns the servers that changed after a revision.
	Servers func(ctx context.Context, after uint64) (Listing, error)
	// Prices returns the prices of all zones.
	Prices func(ctx context.Context) ([]Price, error)
}

const callTimeout = 2 * time.Second

// NewHTTP returns a client for the ordering interface at the URL base.
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
