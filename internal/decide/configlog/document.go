package configlog

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"windflow/internal/decide/configerror"
)

// document is the content of a revision: values by JSON pointer, of which none is a prefix of another. Its hash and its
// size are kept up to date with each put.
type document struct {
	entries     map[string]json.RawMessage
	descendants map[string]int // number of entries below each path that is an ancestor of one
	bytes       int            // of the entries' pointers and values
	hash        Hash
}

func newDocument() document {
	return document{entries: map[string]json.RawMessage{}, descendants: map[string]int{}}
}

// edit is one entry that a revision changes. A nil value means no entry, so that an edit can be undone.
type edit struct {
	pointer       string
	before, after json.RawMessage
}

// addedBytes returns by how much the edit makes the document larger.
func (e edit) addedBytes() int {
	return entryBytes(e.pointer, e.after) - entryBytes(e.pointer, e.before)
}

// addedEntries returns by how many entries the edit makes the document larger.
func (e edit) addedEntries() int {
	switch {
	case e.after == nil:
		return -1
	case e.before == nil:
		return 1
	}
	return 0
}

// entryBytes is the size of an entry; 0 for a nil value, which means no entry.
func entryBytes(pointer string, value json.RawMessage) int {
	if value == nil {
		return 0
	}
	return len(pointer) + len(value)
}

// put sets an entry, or removes it for a nil value.
func (d *document) put(pointer string, value json.RawMessage) {
	if before, ok := d.entries[pointer]; ok {
		d.hash = d.hash.minus(entryDigest(pointer, before))
		d.bytes -= entryBytes(pointer, before)
		d.countDescendant(pointer, -1)
	}
	setEntry(d.entries, pointer, value)
	if value != nil {
		d.hash = d.hash.plus(entryDigest(pointer, value))
		d.bytes += entryBytes(pointer, value)
		d.countDescendant(pointer, 1)
	}
}

func (d *document) countDescendant(pointer string, delta int) {
	for ancestor := range ancestors(pointer) {
		if d.descendants[ancestor] += delta; d.descendants[ancestor] == 0 {
			delete(d.descendants, ancestor)
		}
	}
}

// edits returns what changes the document to these values (nil: no entry), sorted by pointer, without entries that
// are equal.
func (d *document) edits(values map[string]json.RawMessage) (out []edit) {
	for _, pointer := range slices.Sorted(maps.Keys(values)) {
		before, after := d.entries[pointer], values[pointer]
		if !equalValues(before, after) {
			out = append(out, edit{pointer: pointer, before: before, after: after})
		}
	}
	return out
}

// check rejects edits after which the document would break its invariants: one pointer the prefix of another, or too
// large.
func (d *document) check(edits []edit) *configerror.Error {
	if rejected := d.checkNesting(edits); rejected != nil {
		return rejected
	}
	size, count := d.bytes, len(d.entries)
	for _, e := range edits {
		size += e.addedBytes()
		count += e.addedEntries()
	}
	if size > MaxDocumentBytes {
		return configerror.Invalidf("", "the document would have %d bytes, more than %d", size, MaxDocumentBytes)
	}
	if count > MaxEntries {
		return configerror.Invalidf("", "the document would have %d entries, more than %d", count, MaxEntries)
	}
	return nil
}

// checkNesting rejects an added entry that would be below or above another one.
func (d *document) checkNesting(edits []edit) *configerror.Error {
	added, removed, removedBelow := map[string]bool{}, map[string]bool{}, map[string]int{}
	for _, e := range edits {
		switch {
		case e.after == nil:
			removed[e.pointer] = true
			for ancestor := range ancestors(e.pointer) {
				removedBelow[ancestor]++
			}
		case e.before == nil:
			added[e.pointer] = true
		}
	}
	for _, e := range edits {
		if !added[e.pointer] {
			continue
		}
		for ancestor := range ancestors(e.pointer) {
			if added[ancestor] || d.entries[ancestor] != nil && !removed[ancestor] {
				return configerror.Invalidf(e.pointer, "it lies within the entry %s", ancestor)
			}
		}
		if d.descendants[e.pointer] > removedBelow[e.pointer] {
			return configerror.Invalidf(e.pointer, "there are entries below it")
		}
	}
	return nil
}

// equalValues compares two values, of which nil means no entry.
func equalValues(a, b json.RawMessage) bool {
	return (a == nil) == (b == nil) && bytes.Equal(a, b)
}

// setEntry sets an entry, or removes it for a nil value.
func setEntry(entries map[string]json.RawMessage, pointer string, value json.RawMessage) {
	if value == nil {
		delete(entries, pointer)
		return
	}
	entries[pointer] = value
}
