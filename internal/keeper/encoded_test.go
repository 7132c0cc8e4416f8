package keeper

import (
	"testing"

	"windflow/internal/golden"
)

// encodedTypes are the types of this package that are sent or stored as JSON; golden.Tagged finds the types within
// them.
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

// Each encoded field has a tag, so that its name in the code can change.
func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.AllFieldsTagged(t, "json", encodedTypes()...)
}
