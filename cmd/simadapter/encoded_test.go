package main

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns a value of each type that is a message or part of one, encoded as JSON. AllFieldsTagged finds
// the types of their fields by reflection.
func encodedTypes() []any {
	return []any{wireBatch{}, wireReply{}, wireStart{}, wireRegister{}, wireTarget{}, wireEvent{}}
}

// Every encoded field must have a tag with its encoded name. Without one, renaming the Go field would change the
// protocol.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
