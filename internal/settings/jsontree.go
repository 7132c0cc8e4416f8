package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

var errNotAContainer = errors.New("is below a value that is neither an object nor a list")

// jsonTree is a node of a JSON document: an object, a list, or raw text. Only the nodes on the path to a value that is
// set are decoded; all others remain raw text.
type jsonTree struct {
	raw    Value
	object map[string]*jsonTree
	list   []*jsonTree
}

// decode decodes raw text into the fields of an object or the items of a list, which remain raw. An absent or null
// value becomes an empty object. Any other value is an error.
func (t *jsonTree) decode() error {
	if t.object != nil || t.list != nil {
		return nil
	}
	text := bytes.TrimSpace(t.raw)
	switch {
	case len(text) == 0 || string(text) == "null":
		t.object = map[string]*jsonTree{}
	case text[0] == '{':
		return t.decodeObject(text)
	case text[0] == '[':
		return t.decodeList(text)
	default:
		return errNotAContainer
	}
	return nil
}

func (t *jsonTree) decodeObject(text []byte) error {
	var fields map[string]Value
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	t.object = make(map[string]*jsonTree, len(fields))
	for name, raw := range fields {
		t.object[name] = &jsonTree{raw: raw}
	}
	return nil
}

func (t *jsonTree) decodeList(text []byte) error {
	var items []Value
	if err := json.Unmarshal(text, &items); err != nil {
		return err
	}
	t.list = make([]*jsonTree, len(items))
	for i, raw := range items {
		t.list[i] = &jsonTree{raw: raw}
	}
	return nil
}

// put sets the value at a path of field names and list indexes. Missing objects are created; a list item must exist.
func (t *jsonTree) put(names []string, value Value) error {
	node := t
	for _, name := range names {
		if err := node.decode(); err != nil {
			return err
		}
		child, err := node.child(name)
		if err != nil {
			return err
		}
		node = child
	}
	*node = jsonTree{raw: value}
	return nil
}

// child returns a field of an object, creating it if it is absent, or an item of a list.
func (t *jsonTree) child(name string) (*jsonTree, error) {
	if t.object != nil {
		fieldKey := t.existingKey(name)
		if t.object[fieldKey] == nil {
			t.object[fieldKey] = &jsonTree{}
		}
		return t.object[fieldKey], nil
	}
	index, err := parseIndex(name)
	if err != nil {
		return nil, err
	}
	if index >= len(t.list) {
		return nil, fmt.Errorf("there is no item %d in a list of %d items", index, len(t.list))
	}
	return t.list[index], nil
}

// existingKey returns the key under which the object has a field, or the name itself if the field is absent. As in
// encoding/json, case is ignored if no key matches exactly.
func (t *jsonTree) existingKey(name string) string {
	if t.object[name] != nil {
		return name
	}
	for _, key := range slices.Sorted(maps.Keys(t.object)) {
		if strings.EqualFold(key, name) {
			return key
		}
	}
	return name
}

// append appends the JSON text of the node to a buffer. Raw text is copied unchanged.
func (t *jsonTree) append(buffer []byte) []byte {
	switch {
	case t.object != nil:
		return t.appendObject(buffer)
	case t.list != nil:
		return t.appendList(buffer)
	case len(t.raw) == 0:
		return append(buffer, "null"...)
	}
	return append(buffer, t.raw...)
}

func (t *jsonTree) appendObject(buffer []byte) []byte {
	buffer = append(buffer, '{')
	for i, name := range slices.Sorted(maps.Keys(t.object)) {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		key, _ := json.Marshal(name) // never fails for a string
		buffer = append(buffer, key...)
		buffer = append(buffer, ':')
		buffer = t.object[name].append(buffer)
	}
	return append(buffer, '}')
}

func (t *jsonTree) appendList(buffer []byte) []byte {
	buffer = append(buffer, '[')
	for i, item := range t.list {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		buffer = item.append(buffer)
	}
	return append(buffer, ']')
}

// parseIndex parses the index of a list item: a decimal number without a sign or leading zeros.
func parseIndex(name string) (int, error) {
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 || strconv.Itoa(index) != name {
		return 0, fmt.Errorf("%q is not the index of a list item", name)
	}
	return index, nil
}
