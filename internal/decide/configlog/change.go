package configlog

import (
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"
	"unicode/utf8"

	"windflow/internal/decide/configerror"
)

// Change is a proposal for a revision, as operators send it in JSON. It puts and removes entries, or reverts to the
// content of an earlier revision; one of the two has to be there.
type Change struct {
	// ID is the idempotency key: of the latest MaxRememberedIDs changes none is applied twice. 1 to MaxIDBytes.
	ID string `json:"id"`
	// Expect is the revision that has to be in force for the change to be applied; nil means any.
	Expect *uint64 `json:"expect,omitempty"`
	// Put holds new values by JSON pointer (RFC 6901); CheckPointer defines which pointers are allowed.
	Put map[string]json.RawMessage `json:"put,omitempty"`
	// Remove names entries to remove; each has to exist.
	Remove []string `json:"remove,omitempty"`
	// RevertTo requests a new revision with the content of that one; Put and Remove are empty then.
	RevertTo *uint64 `json:"revert_to,omitempty"`
	// Note is the operator's reason; at most MaxNoteBytes.
	Note string `json:"note,omitempty"`
	// AtMS is when the keeper proposed it, in Unix milliseconds of its clock. It is shown and decides nothing.
	AtMS int64 `json:"at_ms"`
}

// Result is what became of a Change. Where Err is nil, Revision is the one that the change made, now or (Repeated) at
// an earlier call; otherwise nothing was changed and Revision is the one in force.
type Result struct {
	Revision uint64             `json:"revision"`
	Repeated bool               `json:"repeated"`
	Err      *configerror.Error `json:"fault,omitempty"`
}

// check validates what does not depend on the document, and returns the values to put in canonical form.
func (c Change) check() (map[string]json.RawMessage, *configerror.Error) {
	if rejected := c.checkFields(); rejected != nil {
		return nil, rejected
	}
	put, putBytes, rejected := c.canonicalPut()
	if rejected != nil {
		return nil, rejected
	}
	removeBytes, rejected := c.checkRemove(put)
	if rejected != nil {
		return nil, rejected
	}
	if size := putBytes + removeBytes; size > MaxChangeBytes {
		return nil, configerror.Invalidf("", "the change has %d bytes, more than %d", size, MaxChangeBytes)
	}
	return put, nil
}

func (c Change) checkFields() *configerror.Error {
	if err := checkIdentifier("id", c.ID); err != nil {
		return configerror.Invalidf("", "%s", err)
	}
	entries := len(c.Put) + len(c.Remove)
	switch {
	case len(c.Note) > MaxNoteBytes:
		return configerror.Invalidf("", "field note has %d bytes, more than %d", len(c.Note), MaxNoteBytes)
	case !utf8.ValidString(c.Note):
		return configerror.Invalidf("", "field note is no UTF-8")
	case c.AtMS < 0:
		return configerror.Invalidf("", "field at_ms is below zero")
	case c.RevertTo != nil && entries > 0:
		return configerror.Invalidf("", "field revert_to: a revert has no put and no remove beside it")
	case c.RevertTo == nil && entries == 0:
		return configerror.Invalidf("", "the change has no put, no remove and no revert_to")
	}
	return nil
}

// canonicalPut returns the values to put in canonical form, and their size with their pointers.
func (c Change) canonicalPut() (put map[string]json.RawMessage, size int, rejected *configerror.Error) {
	put = make(map[string]json.RawMessage, len(c.Put))
	for _, pointer := range slices.Sorted(maps.Keys(c.Put)) {
		if err := CheckPointer(pointer); err != nil {
			return nil, 0, configerror.Invalidf(pointer, "%s", err)
		}
		value, err := canonicalValue(pointer, c.Put[pointer])
		if err != nil {
			return nil, 0, configerror.Invalidf(pointer, "%s", err)
		}
		put[pointer] = value
		size += entryBytes(pointer, value)
	}
	return put, size, nil
}

// checkRemove returns the size of the pointers to remove.
func (c Change) checkRemove(put map[string]json.RawMessage) (size int, rejected *configerror.Error) {
	seen := make(map[string]bool, len(c.Remove))
	for _, pointer := range c.Remove {
		if err := CheckPointer(pointer); err != nil {
			return 0, configerror.Invalidf(pointer, "%s", err)
		}
		if put[pointer] != nil {
			return 0, configerror.Invalidf(pointer, "it is put and removed in one change")
		}
		if seen[pointer] {
			return 0, configerror.Invalidf(pointer, "it is removed twice in one change")
		}
		seen[pointer] = true
		size += len(pointer)
	}
	return size, nil
}

// digest identifies what a change says except its time, which differs when the call is repeated. put are its values in
// canonical form.
func (c Change) digest(put map[string]json.RawMessage) Hash {
	c.Put, c.AtMS = put, 0
	c.Remove = slices.Sorted(slices.Values(c.Remove))
	text, err := json.Marshal(c)
	if err != nil { // impossible: the values are valid JSON
		text = []byte(err.Error())
	}
	return sha256.Sum256(text)
}
