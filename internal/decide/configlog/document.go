package configlog

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"windflow/internal/decide/configerror"
)

// document is the content of a revision: values by JSON pointer. No entry is below another one. put keeps the hash and
// the size up to date.
type document struct {
	entries     map[string]json.RawMessage
	descendants map[string]int // number of entries below each proper prefix of a pointer
	bytes       int            // total size of pointers and values
	hash        Hash
}

func newDocument() document {
	return document{entries: map[string]json.RawMessage{}, descendants: map[string]int{}}
}

// edit is the change of one entry by a revision. It has the value before and after, so that it can be undone; nil means
// that there is no entry.
type edit struct {
	pointer       string
	before, after json.RawMessage
}

// addedBytes returns the change of the document's size in bytes.
func (e edit) addedBytes() int {
	return entryBytes(e.pointer, e.after) - entryBytes(e.pointer, e.before)
}

// addedEntries returns the change of the number of entries: 1, 0 or -1.
func (e edit) addedEntries() int {
	switch {
	case e.after == nil:
		return -1
	case e.before == nil:
		return 1
	}
	return 0
}

// entryBytes returns the size of an entry in bytes; 0 for a nil value, which means that there is no entry.
func entryBytes(pointer string, value json.RawMessage) int {
	if value == nil {
		return 0
	}
	return len(pointer) + len(value)
}

// put sets an entry, or removes it if the value is nil.
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

// edits returns the edits that give the entries these values, sorted by pointer. A nil value removes the entry. Entries
// that already have the value are left out.
func (d *document) edits(values map[string]json.RawMessage) (out []edit) {
	for _, pointer := range slices.Sorted(maps.Keys(values)) {
		before, after := d.entries[pointer], values[pointer]
		if !equalValues(before, after) {
			out = append(out, edit{pointer: pointer, before: before, after: after})
		}
	}
	return out
}

// check rejects edits that would put one entry below another one or make the document too large.
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
		return configerror.Invalidf("", "the document would have %d bytes; the limit is %d", size, MaxDocumentBytes)
	}
	if count > MaxEntries {
		return configerror.Invalidf("", "the document would have %d entries; the limit is %d", count, MaxEntries)
	}
	return nil
}

// checkNesting rejects edits that add an entry below or above another one.
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
				return configerror.Invalidf(e.pointer, "the pointer is below the entry %s", ancestor)
			}
		}
		if d.descendants[e.pointer] > removedBelow[e.pointer] {
			return configerror.Invalidf(e.pointer, "there are entries below this pointer")
		}
	}
	return nil
}

// equalValues reports whether two values are equal; nil, which means no entry, differs from an empty value.
func equalValues(a, b json.RawMessage) bool {
	return (a == nil) == (b == nil) && bytes.Equal(a, b)
}

// setEntry sets an entry, or removes it if the value is nil.
func setEntry(entries map[string]json.RawMessage, pointer string, value json.RawMessage) {
	if value == nil {
		delete(entries, pointer)
		return
	}
	entries[pointer] = value
}
