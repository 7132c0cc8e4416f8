package record

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns a value of each record type, which is encoded as CBOR in segments and as JSON by windflowctl.
// AllFieldsTagged finds the types of their fields by reflection.
func encodedTypes() []any {
	return []any{&Header{}, &EngineChange{}, &Interval{}, &RequestFailure{}, &Event{}, &Gap{}}
}

// Every encoded field must have a tag with its encoded name. Without one, renaming the Go field would change the stored
// format.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "cbor", encodedTypes()...)
	golden.AllFieldsTagged(t, "json", append(encodedTypes(), Config{})...)
}
