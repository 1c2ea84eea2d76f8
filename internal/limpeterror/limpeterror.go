// Package limpeterror owns the error types that all packages share and the
// collection of findings about input. It imports no other package of the
// project.
package limpeterror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("limpet")

// Error types. Test an error with Is.
var (
	// Invalid reports input that can never succeed as it stands.
	Invalid = namespace.NewType("invalid")
	// NotFound reports an object that does not exist.
	NotFound = namespace.NewType("not_found")
	// Conflict reports a condition that did not hold; nothing was changed.
	Conflict = namespace.NewType("conflict")
	// Unavailable reports an operation that provably had no effect and may
	// be tried again.
	Unavailable = namespace.NewType("unavailable")
	// Unknown reports an operation that may or may not have had its effect.
	Unknown = namespace.NewType("unknown")
	// Denied reports a missing, unknown or withdrawn key, or a role that
	// does not allow the operation.
	Denied = namespace.NewType("denied")
	// Overloaded reports a refusal because of load; nothing was run.
	Overloaded = namespace.NewType("overloaded")
	// Compacted reports history that the store no longer has.
	Compacted = namespace.NewType("compacted")
	// Fenced reports an operation by a holder that has been superseded.
	Fenced = namespace.NewType("fenced")
)

// Is reports whether err has type t. The outermost typed error decides: an
// Unknown that wraps an Unavailable is not Unavailable.
func Is(err error, t *errorx.Type) bool {
	var e *errorx.Error
	return errors.As(err, &e) && e.IsOfType(t)
}

// A Finding is one fault of an input and the place where it stands, for
// example a file with a line, or a statement of a batch.
type Finding struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Findings collects the faults of one input, so that they are reported
// together.
type Findings struct {
	List []Finding
}

// Add records a finding.
func (f *Findings) Add(place, format string, args ...any) {
	f.List = append(f.List, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// Error lists all findings, one a line.
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
