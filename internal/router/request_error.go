package router

import "errors"

var (
	// ErrFieldMissing says that a required field of a request is missing.
	ErrFieldMissing = errors.New("field is missing")
	// ErrIDInUse says that a request with that id is still open, or may have run and must not run again.
	ErrIDInUse = errors.New("a request with that id is still open, or may have run")
	// ErrEmptyStatement says that a request has no statement.
	ErrEmptyStatement = errors.New("the statement is empty")
	// ErrMultipleStatements says that a request has more than one statement.
	ErrMultipleStatements = errors.New("several statements; a query is one")
)

// FieldError says what is wrong with a field of a request. Its text is part of the answer to the client.
type FieldError struct {
	Field string // the name of the field
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string {
	if errors.Is(e.Err, ErrFieldMissing) {
		return "field " + e.Field + " is missing"
	}
	return "field " + e.Field + ": " + e.Err.Error()
}

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }
