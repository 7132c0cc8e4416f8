package configlog

import (
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"
	"unicode/utf8"

	"windflow/internal/decide/configerror"
)

// Change is a proposal for a new revision, which operators send as JSON. It either puts and removes entries or reverts
// to the content of an earlier revision.
type Change struct {
	// ID is the idempotency key, 1 to MaxIDBytes bytes long: a change whose ID is among those of the latest
	// MaxRememberedIDs changes is not applied again.
	ID string `json:"id"`
	// Expect is the revision that must be in force for the change to be applied; nil accepts any.
	Expect *uint64 `json:"expect,omitempty"`
	// Put holds new values by JSON pointer (RFC 6901); CheckPointer defines which pointers are allowed.
	Put map[string]json.RawMessage `json:"put,omitempty"`
	// Remove lists the pointers of the entries to remove; each entry must exist.
	Remove []string `json:"remove,omitempty"`
	// RevertTo requests a new revision with the content of this earlier one; Put and Remove must be empty then.
	RevertTo *uint64 `json:"revert_to,omitempty"`
	// Note is the operator's reason for the change, at most MaxNoteBytes bytes long.
	Note string `json:"note,omitempty"`
	// AtMS is when the keeper proposed the change, in Unix milliseconds of its clock. It is for display only.
	AtMS int64 `json:"at_ms"`
}

// Result is the outcome of applying a Change. If Err is nil, Revision is the one that the change created, either in
// this call or, if Repeated is set, in an earlier one. Otherwise nothing was changed and Revision is the one in force.
type Result struct {
	Revision uint64             `json:"revision"`
	Repeated bool               `json:"repeated"`
	Err      *configerror.Error `json:"fault,omitempty"`
}

// check validates everything that does not depend on the document, and returns the values to put in canonical form.
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
		return nil, configerror.Invalidf("", "the change has %d bytes; the limit is %d", size, MaxChangeBytes)
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
		return configerror.Invalidf("", "field note has %d bytes; the limit is %d", len(c.Note), MaxNoteBytes)
	case !utf8.ValidString(c.Note):
		return configerror.Invalidf("", "field note is not valid UTF-8")
	case c.AtMS < 0:
		return configerror.Invalidf("", "field at_ms is %d; it must not be negative", c.AtMS)
	case c.RevertTo != nil && entries > 0:
		return configerror.Invalidf("", "field revert_to can't be combined with put or remove")
	case c.RevertTo == nil && entries == 0:
		return configerror.Invalidf("", "the change has no put, no remove and no revert_to")
	}
	return nil
}

// canonicalPut returns the values to put in canonical form, and the size of the pointers and values in bytes.
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

// checkRemove validates the pointers to remove and returns their size in bytes.
func (c Change) checkRemove(put map[string]json.RawMessage) (size int, rejected *configerror.Error) {
	seen := make(map[string]bool, len(c.Remove))
	for _, pointer := range c.Remove {
		if err := CheckPointer(pointer); err != nil {
			return 0, configerror.Invalidf(pointer, "%s", err)
		}
		if put[pointer] != nil {
			return 0, configerror.Invalidf(pointer, "the entry is both put and removed by the change")
		}
		if seen[pointer] {
			return 0, configerror.Invalidf(pointer, "the entry is removed twice by the change")
		}
		seen[pointer] = true
		size += len(pointer)
	}
	return size, nil
}

// digest returns a hash of all fields of a change except AtMS, which differs when the call is repeated. put holds the
// change's values in canonical form.
func (c Change) digest(put map[string]json.RawMessage) Hash {
	c.Put, c.AtMS = put, 0
	c.Remove = slices.Sorted(slices.Values(c.Remove))
	text, err := json.Marshal(c)
	if err != nil { // can't happen: the values are valid JSON
		text = []byte(err.Error())
	}
	return sha256.Sum256(text)
}
