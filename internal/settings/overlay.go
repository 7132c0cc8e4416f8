package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"windflow/internal/decide/configerror"
)

// Overlay applies entries to a platform file: each entry sets the value at its JSON pointer (RFC 6901). Without entries
// it returns the file unchanged, byte for byte. The error of an invalid entry is a *configerror.Error.
//
// Entries may set `/board` and the fields below `/settings` that this program knows, except fields that differ between
// routers. Tenants are set one by one, as `/settings/parties/NAME`. With at least one such entry, the list of tenants
// consists of these entries only, sorted by name. An item of any other list is addressed by its index and must exist.
func Overlay(platform []byte, entries map[string]Value) ([]byte, error) {
	if len(entries) == 0 {
		return platform, nil
	}
	if !json.Valid(platform) {
		return nil, ErrNotJSON
	}
	tenants := map[string]Value{}
	document := &jsonTree{raw: platform}
	for _, pointer := range slices.Sorted(maps.Keys(entries)) {
		value := entries[pointer]
		if err := checkEntry(pointer, value); err != nil {
			return nil, err
		}
		if err := checkNotNested(pointer, entries); err != nil {
			return nil, err
		}
		names := splitPointer(pointer)
		if strings.HasPrefix(pointer, tenantsPath) {
			tenants[names[2]] = value
			continue
		}
		if err := document.put(names, value); err != nil {
			return nil, configerror.Invalidf(pointer, "%s", err)
		}
	}
	if err := document.putTenants(tenants); err != nil {
		return nil, err
	}
	return document.append(nil), nil
}

// checkNotNested returns an error if a pointer is below that of another entry.
func checkNotNested(pointer string, entries map[string]Value) error {
	for i := range pointer {
		if pointer[i] != '/' {
			continue
		}
		if _, nested := entries[pointer[:i]]; nested {
			return configerror.Invalidf(pointer, "is part of the entry %s", pointer[:i])
		}
	}
	return nil
}

// putTenants replaces the list of tenants in the document. Without tenants the list stays as it is.
func (t *jsonTree) putTenants(tenants map[string]Value) error {
	if len(tenants) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(tenants))
	list, err := tenantList(names, tenants)
	if err != nil {
		return err
	}
	if err := t.put([]string{"settings", "parties"}, list); err != nil {
		return configerror.Invalidf(tenantPointer(names[0]), "%s", err)
	}
	return nil
}

// tenantList returns the JSON list of tenants in the order of names. Each value must be an object that checkTenant has
// accepted, and therefore has at least one field.
func tenantList(names []string, tenants map[string]Value) (Value, error) {
	list := []byte{'['}
	for i, name := range names {
		text, err := json.Marshal(name)
		if err != nil {
			return nil, configerror.Invalidf(tenantPointer(name), "%s", err)
		}
		if i > 0 {
			list = append(list, ',')
		}
		// The object may have a field "name" too: checkTenant has checked that it has the same value.
		list = append(list, `{"name":`...)
		list = append(list, text...)
		list = append(list, ',')
		list = append(list, bytes.TrimSpace(tenants[name])[1:]...)
	}
	return append(list, ']'), nil
}
