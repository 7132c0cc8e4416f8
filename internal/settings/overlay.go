package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"windflow/internal/decide/configerror"
)

// Overlay returns a platform file with entries laid over it: values by JSON pointer (RFC 6901). Without entries that
// is the file itself, byte for byte. The error of an entry is a *configerror.Error.
//
// An entry may name `/board` and what is below `/settings` and known to this program; settings of a single router may
// not be named. The tenants are put one by one, `/settings/parties/NAME`; with any such entry the list consists of
// these only, by the order of their names. An item of another list is named by its index, and has to exist.
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

// checkNotNested rejects a pointer that is below that of another entry.
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

// putTenants replaces the list of tenants, unless there are none.
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

// tenantList returns the list of tenants in the order of names. Each value is an object that was checked, and not
// empty.
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
		// A name in the object is the same one, so that it may occur twice.
		list = append(list, `{"name":`...)
		list = append(list, text...)
		list = append(list, ',')
		list = append(list, bytes.TrimSpace(tenants[name])[1:]...)
	}
	return append(list, ']'), nil
}
