package configlog

import (
	"encoding/json"
	"fmt"
	"maps"

	"windflow/internal/decide/configerror"
)

// changePlan is the effect of a valid change: its edits or, for a repeated change, the revision that it created
// earlier.
type changePlan struct {
	digest   Hash
	edits    []edit
	repeated bool
	revision uint64
}

// plan validates a change against the log and returns its effect. The checks have a fixed order, so that all keepers
// return the same error.
func (l *Log) plan(change Change) (changePlan, *configerror.Error) {
	put, rejected := change.check()
	if rejected != nil {
		return changePlan{}, rejected
	}
	digest := change.digest(put)
	if before, ok := l.ids.applied[change.ID]; ok {
		return repeatedPlan(change.ID, digest, before)
	}
	if current := l.Revision(); change.Expect != nil && *change.Expect != current {
		return changePlan{}, &configerror.Error{
			Kind: configerror.Conflict, Revision: current,
			Reason: fmt.Sprintf("field expect: the revision in force is %d, not %d", current, *change.Expect),
		}
	}
	edits, rejected := l.editsOf(change, put)
	if rejected != nil {
		return changePlan{}, rejected
	}
	return changePlan{digest: digest, edits: edits}, nil
}

// repeatedPlan returns the plan of a change whose ID was used before, or an error of kind IDReused if the earlier
// change had a different content.
func repeatedPlan(id string, digest Hash, before appliedChange) (changePlan, *configerror.Error) {
	if before.digest != digest {
		return changePlan{}, &configerror.Error{
			Kind: configerror.IDReused, Revision: before.revision,
			Reason: fmt.Sprintf("field id: %q was another change, which made revision %d", id, before.revision),
		}
	}
	return changePlan{digest: digest, repeated: true, revision: before.revision}, nil
}

// editsOf returns the edits of a change that has passed Change.check; put holds its values in canonical form.
func (l *Log) editsOf(change Change, put map[string]json.RawMessage) ([]edit, *configerror.Error) {
	if change.RevertTo != nil {
		if rejected := l.history.checkRetained(*change.RevertTo); rejected != nil {
			rejected.Reason = "field revert_to: " + rejected.Reason
			return nil, rejected
		}
		return l.document.edits(l.history.valuesAt(*change.RevertTo)), nil
	}
	values := maps.Clone(put)
	for _, pointer := range change.Remove {
		if l.document.entries[pointer] == nil {
			return nil, configerror.Invalidf(pointer, "there is no such entry to remove")
		}
		values[pointer] = nil
	}
	edits := l.document.edits(values)
	return edits, l.document.check(edits)
}
