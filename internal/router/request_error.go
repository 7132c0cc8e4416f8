package router

import "errors"

var (
	// ErrFieldMissing reports that a required field of a request is missing.
	ErrFieldMissing = errors.New("field is missing")
	// ErrIDInUse reports that a request with the same id is still open, or that it may have run and must not run again.
	ErrIDInUse = errors.New("a request with that id is still open, or may have run")
	// ErrEmptyStatement reports that a request has no statement.
	ErrEmptyStatement = errors.New("the statement is empty")
	// ErrMultipleStatements reports that a request has more than one statement.
	ErrMultipleStatements = errors.New("the request has multiple statements, expected exactly one")
)

// FieldError reports an invalid or missing field of a request. Its text is part of the answer to the client.
type FieldError struct {
	Field string // name of the field, such as FieldID
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string {
	if errors.Is(e.Err, ErrFieldMissing) {
		return "field " + e.Field + " is missing"
	}
	return "field " + e.Field + ": " + e.Err.Error()
}

// Unwrap returns Err.
func (e *FieldError) Unwrap() error { return e.Err }
