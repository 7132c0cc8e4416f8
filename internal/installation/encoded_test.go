package installation

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns the types of this package that are sent or stored as JSON. golden.AllFieldsTagged finds the
// types of their fields by reflection.
func encodedTypes() []any {
	return []any{Settings{}}
}

// Each encoded field needs a tag with its name in JSON. Without one, renaming the Go field would change the JSON.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
