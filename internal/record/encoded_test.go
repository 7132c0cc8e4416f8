package record

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns the types of this package that are encoded as CBOR and JSON outside the process. The types of
// their fields are found by reflection.
func encodedTypes() []any {
	return []any{&Header{}, &EngineChange{}, &Interval{}, &RequestFailure{}, &Event{}, &Gap{}}
}

// Each encoded field has a tag with its encoded name, so that the name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "cbor", encodedTypes()...)
	golden.AllFieldsTagged(t, "json", append(encodedTypes(), Config{})...)
}
