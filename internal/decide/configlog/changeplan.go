package configlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"windflow/internal/decide/configerror"
)

// plan is what a change would do: its edits, or what it has made at a former call.
type plan struct {
	edits []edit
	made  *made
	sum   Hash
}

// plan checks a change and says what it would do. Faults are looked for in a fixed order, so that all keepers give the same.
func (l *Log) plan(c Change) (plan, *configerror.Error) {
	put, fault := checkChange(c)
	if fault != nil {
		return plan{}, fault
	}
	p := plan{sum: c.sum(put)}
	if m, ok := l.ids[c.ID]; ok {
		if m.sum != p.sum {
			return p, &configerror.Error{
				Kind: configerror.IDReused, Revision: m.revision,
				Reason: fmt.Sprintf("field id: %q was another change, which made revision %d", c.ID, m.revision),
			}
		}
		p.made = &m
		return p, nil
	}
	if now := l.Revision(); c.Expect != nil && *c.Expect != now {
		return p, &configerror.Error{
			Kind: configerror.Conflict, Revision: now,
			Reason: fmt.Sprintf("field expect: the revision in force is %d, not %d", now, *c.Expect),
		}
	}
	if c.RevertTo != nil {
		if fault := l.keeps(*c.RevertTo); fault != nil {
			fault.Reason = "field revert_to: " + fault.Reason
			return p, fault
		}
		p.edits = l.edits(l.former(*c.RevertTo))
		return p, nil
	}
	to := maps.Clone(put)
	for _, r := range c.Remove {
		if l.entries[r] == nil {
			return p, configerror.Invalidf(r, "there is no such entry to remove")
		}
		to[r] = nil
	}
	p.edits = l.edits(to)
	return p, l.fits(p.edits)
}

// edits gives what takes the content in force to these values (nil: no entry), without those that are so already.
func (l *Log) edits(to map[string]json.RawMessage) (out []edit) {
	for _, p := range slices.Sorted(maps.Keys(to)) {
		if was := l.entries[p]; (was == nil) != (to[p] == nil) || !bytes.Equal(was, to[p]) {
			out = append(out, edit{pointer: p, was: was, now: to[p]})
		}
	}
	return out
}

// checkChange guards what can be said of a change without the document, and gives its values in canonical form.
func checkChange(c Change) (put map[string]json.RawMessage, _ *configerror.Error) {
	if err := checkLabel("id", c.ID); err != nil {
		return nil, configerror.Invalidf("", "%s", err)
	}
	switch {
	case len(c.Note) > MaxNoteBytes:
		return nil, configerror.Invalidf("", "field note has %d bytes, more than %d", len(c.Note), MaxNoteBytes)
	case !utf8.ValidString(c.Note):
		return nil, configerror.Invalidf("", "field note is no UTF-8")
	case c.AtMS < 0:
		return nil, configerror.Invalidf("", "field at_ms is below zero")
	case c.RevertTo != nil && len(c.Put)+len(c.Remove) > 0:
		return nil, configerror.Invalidf("", "field revert_to: a revert has no put and no remove beside it")
	case c.RevertTo == nil && len(c.Put)+len(c.Remove) == 0:
		return nil, configerror.Invalidf("", "the change has no put, no remove and no revert_to")
	}
	put = make(map[string]json.RawMessage, len(c.Put))
	size := 0
	for _, p := range slices.Sorted(maps.Keys(c.Put)) {
		if err := CheckPointer(p); err != nil {
			return nil, configerror.Invalidf(p, "%s", err)
		}
		v, err := canonical(p, c.Put[p])
		if err != nil {
			return nil, configerror.Invalidf(p, "%s", err)
		}
		put[p] = v
		size += len(p) + len(v)
	}
	seen := make(map[string]bool, len(c.Remove))
	for _, p := range c.Remove {
		if err := CheckPointer(p); err != nil {
			return nil, configerror.Invalidf(p, "%s", err)
		}
		if put[p] != nil {
			return nil, configerror.Invalidf(p, "it is put and removed in one change")
		}
		if seen[p] {
			return nil, configerror.Invalidf(p, "it is removed twice in one change")
		}
		seen[p] = true
		size += len(p)
	}
	if size > MaxChangeBytes {
		return nil, configerror.Invalidf("", "the change has %d bytes, more than %d", size, MaxChangeBytes)
	}
	return put, nil
}

// sum stands for what a change says but for its time, which differs when the call is repeated.
func (c Change) sum(put map[string]json.RawMessage) Hash {
	c.Put, c.AtMS = put, 0
	c.Remove = slices.Sorted(slices.Values(c.Remove))
	text, err := json.Marshal(c)
	if err != nil { // can't be: the values have been checked
		text = []byte(err.Error())
	}
	return sha256.Sum256(text)
}

// fits says whether the document would be sound after the edits: no pointer the prefix of another's, within its bounds.
func (l *Log) fits(edits []edit) *configerror.Error {
	added, freed := map[string]bool{}, map[string]int{}
	size, count := l.size, len(l.entries)
	for _, e := range edits {
		switch {
		case e.now == nil:
			size -= len(e.pointer) + len(e.was)
			count--
			for a := range above(e.pointer) {
				freed[a]++
			}
		case e.was == nil:
			size += len(e.pointer) + len(e.now)
			count++
			added[e.pointer] = true
		default:
			size += len(e.now) - len(e.was)
		}
	}
	removed := func(p string) bool {
		i, ok := slices.BinarySearchFunc(edits, p, func(e edit, p string) int { return strings.Compare(e.pointer, p) })
		return ok && edits[i].now == nil
	}
	for _, e := range edits {
		if !added[e.pointer] {
			continue
		}
		for a := range above(e.pointer) {
			if added[a] || l.entries[a] != nil && !removed(a) {
				return configerror.Invalidf(e.pointer, "it lies within the entry %s", a)
			}
		}
		if l.inner[e.pointer] > freed[e.pointer] {
			return configerror.Invalidf(e.pointer, "there are entries below it")
		}
	}
	if size > MaxDocumentBytes {
		return configerror.Invalidf("", "the document would have %d bytes, more than %d", size, MaxDocumentBytes)
	}
	if count > MaxEntries {
		return configerror.Invalidf("", "the document would have %d entries, more than %d", count, MaxEntries)
	}
	return nil
}
