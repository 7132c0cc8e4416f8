package router

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns a value of each type of this package that is sent or stored as JSON. Types that are only part of
// these are left out.
func encodedTypes() []any {
	return []any{State{}, IDChange{}, Request{}}
}

// Each encoded field has its key in a tag. Without the tag, renaming the field would change the encoding.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
