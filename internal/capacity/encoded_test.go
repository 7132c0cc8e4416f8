package capacity

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns the types of this package that are encoded as JSON outside the process. The types of their
// fields are found by reflection.
func encodedTypes() []any {
	return []any{Slope{}, SimulatedDay{}}
}

// Each encoded field has a tag with its encoded name, so that the name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
