package configlog

import (
	"testing"

	"windflow/internal/decide/configerror"
	"windflow/internal/golden"
)

// encodedTypes are the types of this package that leave the process or outlive it as JSON; what they hold is found by
// itself.
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

// Each field that is encoded names itself in a tag, so that the name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
