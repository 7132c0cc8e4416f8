// Package configerror defines the error for a rejected change or entry of the configuration. The configuration log, the
// settings reader and the validation return it. Keepers send it to operators as JSON, and routers report its pointer
// and reason to keepers.
package configerror

import (
	"errors"
	"fmt"
)

// Kind classifies the reasons for rejecting a change or an entry.
type Kind string

const (
	// Invalid means that a change or an entry is malformed or is not valid together with the rest of the configuration.
	Invalid Kind = "invalid"
	// Conflict means that a change expects another revision than the one in force, which is Error.Revision.
	Conflict Kind = "conflict"
	// Compacted means that the request names a revision that the log no longer retains; Error.Revision is the oldest
	// retained one.
	Compacted Kind = "compacted"
	// IDReused means that an earlier change with a different content had the same ID; Error.Revision is the revision
	// that the earlier change created.
	IDReused Kind = "reused"
)

// Error describes why a change, an entry or a request for a revision was rejected.
type Error struct {
	Kind     Kind   `json:"kind"`
	Pointer  string `json:"pointer,omitempty"` // JSON pointer (RFC 6901) of the rejected entry, if any
	Reason   string `json:"reason"`            // for operators; names the field
	Revision uint64 `json:"revision"`          // its meaning depends on Kind; 0 for a rejected entry
}

// Error returns the pointer, if any, and the reason on one line.
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

// From returns the Error that err is or wraps. It converts any other error to one of kind Invalid with the same text,
// and returns nil for nil.
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
