package configlog

import "slices"

// appliedChange holds what is needed to recognize a repeated change.
type appliedChange struct {
	revision uint64 // the revision that the change created
	digest   Hash   // Change.digest of the change
}

// changeIDs holds the IDs of the latest MaxRememberedIDs changes.
type changeIDs struct {
	applied map[string]appliedChange
	order   []string // oldest first
}

// add stores the ID of a new change and evicts the oldest IDs beyond MaxRememberedIDs.
func (c *changeIDs) add(id string, change appliedChange) {
	c.applied[id] = change
	c.order = append(c.order, id)
	excess := len(c.order) - MaxRememberedIDs
	if excess <= 0 {
		return
	}
	for _, oldest := range c.order[:excess] {
		delete(c.applied, oldest)
	}
	c.order = slices.Delete(c.order, 0, excess)
}
