package main

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes are the types of this package that leave the process or outlive it as JSON; what they contain is found
// by itself.
func encodedTypes() []any {
	return []any{wireBatch{}, wireReply{}, wireStart{}, wireRegister{}, wireTarget{}, wireEvent{}}
}

// Each field that is encoded names itself in a tag, so that the name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
