package configlog

import (
	"testing"

	"windflow/internal/decide/configerror"
	"windflow/internal/golden"
)

// encodedTypes returns a value of each type that is sent or stored as JSON. The types of their fields are checked as
// well.
func encodedTypes() []any {
	return []any{
		Change{},
		configerror.Error{},
		Result{},
		Revision{},
		Update{},
		FollowerStatus{},
		SavedRevision{},
		ConvergenceStatus{},
		Lease{},
		Retention{},
	}
}

// Each encoded field has a JSON tag, so that renaming the Go field does not change the encoding.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
