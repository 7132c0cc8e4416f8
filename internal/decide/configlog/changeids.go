package configlog

import "slices"

// appliedChange is what is remembered of a change by its ID.
type appliedChange struct {
	revision uint64
	digest   Hash // of the change; see Change.digest
}

// changeIDs are the IDs of the latest MaxRememberedIDs changes.
type changeIDs struct {
	applied map[string]appliedChange
	order   []string // oldest first
}

// add remembers an ID, and forgets the oldest beyond the bound.
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
