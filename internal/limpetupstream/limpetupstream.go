// Package limpetupstream defines the protocol-independent types for calls to
// backend servers: requests, replies, and errors that tell whether an attempt
// may have had an effect. The adapter that fills Client defines their encoding
// on the wire.
package limpetupstream

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetsite"
)

// A Purpose says, for metrics, what a call or a connection is for.
type Purpose string

// The purposes of calls.
const (
	ForRequest Purpose = "request"
	ForItem    Purpose = "item"
	ForReward  Purpose = "reward"
	ForOrder   Purpose = "order"
	ForReport  Purpose = "report"
	ForCheck   Purpose = "check"
	ForProbe   Purpose = "probe"
	// ForOther is a call that another VM passed on.
	ForOther Purpose = "passed"
)

// A Call is one attempt at one backend server.
type Call struct {
	Server *limpetsite.Server
	// Purpose is for metrics only.
	Purpose Purpose
	// ID identifies the caller's request, or the item of a batch job. All
	// attempts at it share the ID, which the server echoes in its answer.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Account is the client account; empty for requests that need no key.
	Account string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// LastEventID is the ID of the last event already received; 0 starts the
	// stream from the beginning.
	LastEventID int
	// Version is the weight version that the server must serve; 0 accepts any.
	Version int
	// Priority ranges from 0, the highest, to 9; a negative value leaves the
	// choice to the server.
	Priority int
	// Once is set for a request that must not run twice. It is sent on a
	// connection of its own, on which no earlier request can have left anything
	// and which the server does not close for being idle.
	Once bool
	// Homes says in which regions the request may run, and its body may be sent to
	// other VMs.
	Homes limpetsite.Homes
}

// An Event is one complete event of a server-sent event stream.
type Event struct {
	ID int
	// Data is valid UTF-8, so that results and messages between VMs can hold it.
	Data string
	// Version is the weight version that applies from this event on; 0 when it
	// did not change.
	Version int
	// Raw holds the event's bytes, including the blank line that ends it.
	Raw []byte
}

// A Load is the load that a server reported about itself in an answer.
type Load struct {
	Running, Waiting, Slots int
	// Factor is how long work takes on the server's machine now, relative to usual; 0
	// if the server does not say.
	Factor float64
}

// A Reply is a server's answer. Exactly one of Body and Events is set. Callers
// must call Close; it aborts a stream that has not reached its end.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Events returns the stream's next event, and io.EOF after the last event
	// of a complete stream.
	Events func() (Event, error)
	// Version is the weight version at the start; 0 when the server sent none.
	Version int
	// NotRun reports that the server did not run the request and never will.
	NotRun bool
	// Misdirected reports that the address now belongs to another server, or
	// that the server has other weights than the request expects.
	Misdirected bool
	// Signature is the server's signature of the answer, which is valid UTF-8;
	// empty when it has none.
	Signature string
	Load      *Load
	// Limit is the number of requests a second that the server takes from all
	// VMs together; 0 when it named none.
	Limit float64
	// Leaving is set if the server says that it is leaving.
	Leaving bool
	Close   func()
}

// ProvesRun reports whether the answer shows that the server ran the request to
// its end. A server error does not: a server sends one when it gives a request
// up, or without beginning it, and what the rest of the run would have done stays
// unknown. Neither does an answer that says that the request was not run, or that
// is not the server's own.
func (r *Reply) ProvesRun() bool {
	return !r.NotRun && r.Signature != "" && StatusProvesRun(r.Status)
}

// StatusProvesRun reports whether a server that answers with a status has run the
// request to its end.
func StatusProvesRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusOK && status < http.StatusInternalServerError
}

// An Order asks an engine to change a model's weight version.
type Order struct {
	Server  *limpetsite.Server
	Model   string
	Version int
	// Expected is the number of orders that the engine must have accepted so
	// far; negative when unknown.
	Expected int
	// Holder is the holder of the lease under which the order is sent, and
	// Fence the fencing token of that lease.
	Holder string
	Fence  uint64
	// Pause suspends running requests during the change and resumes them under
	// the new version; otherwise the engine lets them finish first.
	Pause bool
}

// A Report is an engine's state, which may be a few hundred milliseconds old.
type Report struct {
	// Incarnation identifies the start of the engine's process; 0 if it names none.
	Incarnation int64
	Versions    map[string]int
	Busy        bool
	// Accepted is the number of orders that the engine has accepted since it
	// started.
	Accepted int
	Running  int
	Waiting  int
	// MemoryUsed and MemoryTotal measure the KV cache in tokens.
	MemoryUsed, MemoryTotal int
}

// Endings of attempts that brought no usable answer, as named in logs and
// metrics.
const (
	NotConnected  = "not_connected"
	Disconnected  = "disconnected"
	Silent        = "silent"
	InvalidAnswer = "invalid_answer"
)

// EndingOf names how an attempt ended whose error is that of Send, or of a
// reply's Events.
func EndingOf(err error) string {
	switch {
	case limpeterror.Is(err, limpeterror.Unavailable):
		return NotConnected
	case limpeterror.Is(err, limpeterror.Disconnected):
		return Disconnected
	case limpeterror.Is(err, limpeterror.Silent):
		return Silent
	default:
		return InvalidAnswer
	}
}

// A Condition is what a check tells of a server's incarnation.
type Condition int

const (
	// Undetermined checks brought no answer that says anything.
	Undetermined Condition = iota
	// Unreachable servers did not even take a connection, and did not refuse it.
	Unreachable
	// UnreachableElsewhere servers are unreachable to another VM too.
	UnreachableElsewhere
	// Alive servers answered, well or not.
	Alive
	// Ended servers no longer run: nothing listens at their address, or another
	// server answers there.
	Ended
)

// A Client holds the calls to backend servers.
//
// Send fails with Unavailable when the request was certainly not sent, and with
// Unknown otherwise: with Disconnected when the server's side ended the
// connection, with Silent when the attempt ended first, and with Unknown itself
// when the answer is invalid. Events of a Reply fail in the same way. Order fails with Conflict when the engine is executing
// another order or Expected does not match, with Fenced when a later lease
// holder has already sent an order, with Invalid when the engine rejects the
// order for good, with Unavailable when the order certainly had no effect, and
// with Unknown when the engine may still execute it. Any error of Report means
// that there is no report.
type Client struct {
	Send   func(ctx context.Context, c Call) (*Reply, error)
	Order  func(ctx context.Context, o Order) error
	Report func(ctx context.Context, s *limpetsite.Server) (Report, error)
	// OnLeaving sets the function that is called when a server says in the answer to
	// an order, a report or a check that it is leaving; nil if answers cannot.
	OnLeaving func(notify func(s *limpetsite.Server))
	// OnCold sets the function that is called when a server says in the answer to a
	// check how much longer it is cold, 0 if it is not; nil if answers cannot.
	OnCold func(notify func(s *limpetsite.Server, left time.Duration))
	// OnMemoryFull sets the function that is called when an answer finds no memory. It
	// reports whether callers that do not read their answers were made to give them up.
	OnMemoryFull func(makeRoom func() bool)
	// OnConnect sets the function that is called with the purpose of each new
	// connection to a server; nil if that is not known.
	OnConnect func(notify func(p Purpose))
	// Check finds out whether a server still runs. HealthPath is the path at
	// which it answers health checks; empty if none is configured.
	Check func(ctx context.Context, s *limpetsite.Server, healthPath string) Condition
	// Probe is Check on a connection of its own, so that it tells whether new ones
	// come about.
	Probe func(ctx context.Context, s *limpetsite.Server, healthPath string) Condition
}
