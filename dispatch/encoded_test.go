package dispatch

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns a value of each type of this package that is sent to other processes or stored as JSON. The
// types of their fields are found by reflection.
func encodedTypes() []any {
	return []any{Snapshot{}, OtherProcessUsage{}}
}

// Each encoded field has a tag with its outer name. Without a tag, renaming the field in Go would change the encoding.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
