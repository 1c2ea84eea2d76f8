// Package limpeterror defines the error types that all packages share, and
// findings about invalid input. It imports no other package of the project.
package limpeterror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("limpet")

// Error types. Use Is to test an error for its type.
var (
	// Invalid reports input that fails no matter how often it is retried.
	Invalid = namespace.NewType("invalid")
	// NotFound reports an object that does not exist.
	NotFound = namespace.NewType("not_found")
	// Conflict reports a precondition that did not hold; nothing was changed.
	Conflict = namespace.NewType("conflict")
	// Unavailable reports an operation that certainly had no effect and may be
	// retried.
	Unavailable = namespace.NewType("unavailable")
	// Unknown reports an operation that may or may not have taken effect.
	Unknown = namespace.NewType("unknown")
	// Disconnected is an Unknown outcome: the connection to the peer ended before
	// its answer was complete.
	Disconnected = Unknown.NewSubtype("disconnected")
	// Silent is an Unknown outcome: the peer had not answered when the caller
	// gave up.
	Silent = Unknown.NewSubtype("silent")
	// Denied reports a missing, unknown or withdrawn key, or a key whose role
	// does not allow the operation.
	Denied = namespace.NewType("denied")
	// Overloaded reports a request refused because of load; nothing was run.
	Overloaded = namespace.NewType("overloaded")
	// Compacted reports a read of history that the store no longer has.
	Compacted = namespace.NewType("compacted")
	// Fenced reports an operation by a lease holder that has been superseded.
	Fenced = namespace.NewType("fenced")
)

// ErrStopping is the cause of the end of a request's context when the process that serves
// it is about to end.
var ErrStopping = errors.New("the process is being stopped")

// Is reports whether err has type t. Only the outermost typed error counts: an
// Unknown that wraps an Unavailable is not Unavailable.
func Is(err error, t *errorx.Type) bool {
	var e *errorx.Error
	return errors.As(err, &e) && e.IsOfType(t)
}

// A Finding is one fault in an input and its place, for example a file and
// line, or a statement of a batch.
type Finding struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Findings collects all faults of one input, so that they can be reported
// together. A non-empty collection is an error.
type Findings struct {
	List []Finding
}

// Add appends a finding whose text is formatted from format and args.
func (f *Findings) Add(place, format string, args ...any) {
	f.List = append(f.List, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// Error returns all findings, one per line.
func (f *Findings) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, l := range f.List {
		lines = append(lines, l.Place+": "+l.Text)
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil when there are no findings.
func (f *Findings) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return f
}
