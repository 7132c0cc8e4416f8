package flightsql

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns the types of this package that are stored or sent as JSON. The types of their fields are found
// by reflection.
func encodedTypes() []any {
	return []any{Ticket{}, Config{}}
}

// Guards against a renamed Go field that changes a JSON name: each field needs a tag with its encoded name.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
