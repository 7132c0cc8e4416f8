package hotrestartipc

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns the types of this package that are sent or stored as JSON. The types of their fields are found
// through them.
func encodedTypes() []any {
	return []any{Message{}}
}

// Checks that each encoded field has a tag with its name on the wire. Without a tag, renaming the field in the code
// would change the encoding.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
