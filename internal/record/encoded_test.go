package record

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes are the types of this package that leave the process or outlive it as CBOR and JSON; what they hold is
// found by itself.
func encodedTypes() []any {
	return []any{&Header{}, &EngineChange{}, &Interval{}, &RequestFailure{}, &Event{}, &Gap{}}
}

// Each field that is encoded names itself in a tag, so that the name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "cbor", encodedTypes()...)
	golden.AllFieldsTagged(t, "json", append(encodedTypes(), Config{})...)
}
