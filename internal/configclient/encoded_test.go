package configclient

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns the types of this package that are sent or stored as JSON. golden.AllFieldsTagged finds the
// types of their fields by itself.
func encodedTypes() []any {
	return []any{Config{}, Revision{}, copyContent{}}
}

// Each encoded field has a tag with its name in JSON, so that its Go name can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
