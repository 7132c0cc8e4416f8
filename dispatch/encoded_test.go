package dispatch

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes are the types of this package that leave the process or outlive it as JSON; the types in them are found
// by reflection.
func encodedTypes() []any {
	return []any{Snapshot{}, OtherProcessUsage{}}
}

// Each encoded field has a tag with its name, so that the name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
