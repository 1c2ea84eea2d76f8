// Package limpetupstream owns the types in which the system talks to backend
// servers: what is sent, what comes back, and what is known of an attempt's
// effect. How they look on the wire belongs to the adapter that fills Peer.
package limpetupstream

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// A Call is one attempt at one backend server.
type Call struct {
	Server *limpetsite.Server
	// ID identifies the caller's attempt and is echoed by the server.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Account is empty on requests that need no key.
	Account string
	// Remaining is the time that the server may work.
	Remaining time.Duration
	// After is the last event that is already known; 0 starts anew.
	After int
	// Version is the weight version that the server must have; 0 for any.
	Version int
	// Priority is from 0, the first, to 9; negative leaves it to the server.
	Priority int
}

// An Event is one whole event of a stream.
type Event struct {
	ID   int
	Data string
	// Version is the weight version from this event on; 0 when it did not
	// change.
	Version int
	// Raw holds the event's bytes, the empty line at its end included.
	Raw []byte
}

// A Load holds what a server told of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// A Reply is what a server answered. Exactly one of Body and Events is in
// use. Close must be called; it breaks a stream off that is not at its end.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Events returns the stream's next event, and io.EOF after the last one of
	// a stream that is whole.
	Events func() (Event, error)
	// Version is the weight version at the start; 0 when not told.
	Version int
	// NotRun reports that the server did not run the request and never will.
	NotRun bool
	// Misdirected reports that another server, or one with other weights, has
	// the address.
	Misdirected bool
	// Signature is the server's signature; empty when there is none.
	Signature string
	Load      *Load
	Close     func()
}

// An Order asks an engine to change a model's weight version.
type Order struct {
	Server  *limpetsite.Server
	Model   string
	Version int
	// Expected is the number of orders that the engine must have accepted so
	// far; negative when not known.
	Expected int
	Holder   string
	Fence    uint64
	// Pause stops running requests for the change and lets them go on under
	// the new version; otherwise they finish first.
	Pause bool
}

// A Report is an engine's state, as of some hundred ms ago.
type Report struct {
	Versions map[string]int
	Busy     bool
	// Accepted counts the orders that the engine took since its start.
	Accepted int
	Running  int
	Waiting  int
	// Memory in tokens.
	MemoryUsed, MemoryTotal int
}

// A Peer holds the calls to backend servers. The error of Send has type
// Unavailable when the request provably never left, and Unknown otherwise.
// The error of Order has type Conflict when another order is at work or
// Expected differs, Fenced when a later holder has ordered, and Unknown when
// the order may still be carried out.
type Peer struct {
	Send   func(ctx context.Context, c Call) (*Reply, error)
	Order  func(ctx context.Context, o Order) error
	Report func(ctx context.Context, s *limpetsite.Server) (Report, error)
}
