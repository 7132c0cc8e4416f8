package flightsql

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns the types of this package that leave the process or are stored as JSON; the types that they
// contain are found through them.
func encodedTypes() []any {
	return []any{Ticket{}, Config{}}
}

// Each encoded field has a tag with its name, so that the name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
