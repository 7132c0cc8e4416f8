package validate

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"windflow/internal/settings"
)

// invalidEntry returns the pointer of the entry that makes a configuration invalid. It is empty if no entry does.
func invalidEntry(err error, base []byte, entries map[string]settings.Value) string {
	if pointer := entryOfNamedField(err.Error(), entries); pointer != "" {
		return pointer
	}
	return firstInvalidEntry(base, entries)
}

// entryOfNamedField returns the pointer of the entry that contains the field named at the start of an error text, or
// that is part of this field. It returns an empty text if there is none. The text "field settings: classes[2].name:
// ..." names the field /settings/classes/2/name.
func entryOfNamedField(reason string, entries map[string]settings.Value) string {
	field, ok := strings.CutPrefix(reason, "field ")
	if !ok {
		return ""
	}
	if setting, ok := strings.CutPrefix(field, "settings: "); ok {
		field = "settings." + strings.TrimPrefix(setting, "field ")
	}
	field, _, _ = strings.Cut(field, ":")
	field, _, _ = strings.Cut(field, " ")
	fieldPointer := "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(field)
	for _, pointer := range slices.Sorted(maps.Keys(entries)) {
		if isWithin(pointer, fieldPointer) || isWithin(fieldPointer, pointer) {
			return pointer
		}
	}
	return ""
}

// isWithin reports whether a JSON pointer is equal to another one or below it.
func isWithin(pointer, other string) bool {
	return pointer == other || strings.HasPrefix(pointer, other+"/")
}

// firstInvalidEntry returns the pointer of the first entry, in the order of pointers, with which the configuration
// becomes invalid when the entries are applied one after the other. It is empty if the base is invalid without entries:
// entries may correct the base, so that only all of them together can be checked.
func firstInvalidEntry(base []byte, entries map[string]settings.Value) string {
	order := slices.Sorted(maps.Keys(entries))
	isInvalid := func(count int) bool {
		first := make(map[string]settings.Value, count)
		for _, pointer := range order[:count] {
			first[pointer] = entries[pointer]
		}
		text, err := settings.Overlay(base, first)
		if err != nil {
			return true
		}
		_, err = parseAndCheck(text)
		return err != nil
	}
	if isInvalid(0) {
		return ""
	}
	count := sort.Search(len(order), isInvalid)
	return order[min(max(count, 1), len(order))-1]
}
