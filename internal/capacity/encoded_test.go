package capacity

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns a value of each type of this package that is stored as JSON. The check finds the types of
// their fields by reflection.
func encodedTypes() []any {
	return []any{Slope{}, SimulatedDay{}}
}

// Each encoded field has a tag with its encoded name. Without one, renaming the field in the code would change the
// stored form.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
