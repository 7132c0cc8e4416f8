package router

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes are the types of this package that leave the process or outlive it as JSON, without the types that these
// contain.
func encodedTypes() []any {
	return []any{State{}, IDChange{}, Request{}}
}

// Each encoded field has its key in a tag, so that its name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
