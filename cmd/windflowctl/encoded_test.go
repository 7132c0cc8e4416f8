package main

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns a value of each type that this package prints as JSON. AllFieldsTagged finds the types of their
// fields by reflection.
func encodedTypes() []any {
	return []any{printedRecord{}}
}

// Every encoded field must have a tag with its encoded name. Without one, renaming the Go field would change the
// output.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
