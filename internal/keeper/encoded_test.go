package keeper

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes returns a value of each type of this package that is sent or stored as JSON. golden.AllFieldsTagged also
// checks the types nested in them.
func encodedTypes() []any {
	return []any{
		command{},
		followerProcess{},
		folderIdentity{},
		errorBody{},
		changeResult{},
		configContent{},
		revisionHistory{},
		forgetResult{},
		peerStatus{},
		leaderStatus{},
		convergenceReport{},
		keeperLeases{},
		keeperStatus{},
	}
}

// Each encoded field has a JSON tag, so that renaming the Go field does not change its encoded name.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
