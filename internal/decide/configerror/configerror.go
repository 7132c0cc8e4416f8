// Package configerror has the one error of a change or an entry of the configuration that is rejected. The
// configuration log, the reader of settings and the validation return it; keepers answer operators with its JSON, and
// routers report its pointer and reason to keepers.
package configerror

import (
	"errors"
	"fmt"
)

// Kind says why a change or an entry is rejected.
type Kind string

const (
	// Invalid is a change or an entry that is wrong in itself or doesn't fit the configuration.
	Invalid Kind = "invalid"
	// Conflict is a change that expects another revision; Error.Revision is the one in force.
	Conflict Kind = "conflict"
	// Compacted means that the call names a revision that the log no longer retains; Error.Revision is the oldest
	// retained one.
	Compacted Kind = "compacted"
	// IDReused is a change with the ID of a different one; Error.Revision is the revision which that one made.
	IDReused Kind = "reused"
)

// Error is why a change, an entry or a query of a revision is rejected.
type Error struct {
	Kind     Kind   `json:"kind"`
	Pointer  string `json:"pointer,omitempty"` // JSON pointer (RFC 6901) of the entry at fault; empty without one
	Reason   string `json:"reason"`            // for an operator, with the name of the field
	Revision uint64 `json:"revision"`          // its meaning depends on Kind; 0 for entries
}

// Error returns the pointer, if any, and the reason in one line.
func (e *Error) Error() string {
	if e.Pointer == "" {
		return e.Reason
	}
	return e.Pointer + ": " + e.Reason
}

// Invalidf returns an error of kind Invalid with a formatted reason. The pointer may be empty.
func Invalidf(pointer, format string, args ...any) *Error {
	return &Error{Kind: Invalid, Pointer: pointer, Reason: fmt.Sprintf(format, args...)}
}

// From returns the Error that err is or wraps, one of kind Invalid with the text of any other error, and nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var rejected *Error
	if errors.As(err, &rejected) {
		return rejected
	}
	return &Error{Kind: Invalid, Reason: err.Error()}
}
