package golden

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

var (
	textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()
	jsonMarshaler = reflect.TypeFor[json.Marshaler]()
)

// encodesItself reports whether a type implements its own encoding, which need not depend on its fields.
func encodesItself(typ reflect.Type) bool {
	return typ.Implements(textMarshaler) || typ.Implements(jsonMarshaler)
}

// NoZeroFields fails the test for each field of a sample that is zero or empty, at any depth: a comparison would not
// detect that the encoding omits such a field. except lists the paths of fields that are zero on purpose, such as
// "Rows[0].Name"; the test also fails if one of these is not zero.
func NoZeroFields(tb testing.TB, sample any, except ...string) {
	tb.Helper()
	zero := zeroFields(reflect.ValueOf(sample), "")
	for _, path := range zero {
		if !slices.Contains(except, path) {
			tb.Errorf("%T: the sample's field %s is zero", sample, path)
		}
	}
	for _, path := range except {
		if !slices.Contains(zero, path) {
			tb.Errorf("%T: the sample's field %s is not zero", sample, path)
		}
	}
}

// zeroFields returns the paths of the exported fields of a value that are zero or empty, at any depth. The parameter
// path is the path of the value itself.
func zeroFields(value reflect.Value, path string) (found []string) {
	if !value.IsValid() || value.IsZero() {
		return []string{path}
	}
	if encodesItself(value.Type()) {
		return nil
	}
	switch value.Kind() { //nolint:exhaustive // the other kinds have no fields
	case reflect.Pointer, reflect.Interface:
		return zeroFields(value.Elem(), path)
	case reflect.Slice, reflect.Map:
		return zeroElements(value, path)
	case reflect.Struct:
		for field, fieldValue := range value.Fields() {
			if field.IsExported() {
				found = append(found, zeroFields(fieldValue, joinPath(path, field.Name))...)
			}
		}
	}
	return found
}

// zeroElements does the same as zeroFields for the elements of a slice or map.
func zeroElements(value reflect.Value, path string) (found []string) {
	if value.Len() == 0 {
		return []string{path}
	}
	if value.Kind() == reflect.Map {
		for _, key := range value.MapKeys() {
			found = append(found, zeroFields(value.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))...)
		}
		return found
	}
	if value.Type().Elem().Kind() == reflect.Uint8 {
		return nil // a byte slice is encoded as one value
	}
	for i := range value.Len() {
		found = append(found, zeroFields(value.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return found
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// AllFieldsSet fails the test unless each exported field of each struct type in the samples is set in at least one
// value of that type. Unlike NoZeroFields, it does not require a single value to set all fields, and it also checks the
// fields of types that implement their own encoding.
func AllFieldsSet(tb testing.TB, samples ...any) {
	tb.Helper()
	if unset := unsetFields(samples...); len(unset) > 0 {
		tb.Errorf("fields that no sample sets: %s", strings.Join(unset, ", "))
	}
}

// unsetFields returns the exported fields that are zero in all values of their type in the samples, as TYPE.FIELD.
func unsetFields(samples ...any) (unset []string) {
	set := map[string]bool{}
	for _, sample := range samples {
		recordSetFields(reflect.ValueOf(sample), set)
	}
	for field, ok := range set {
		if !ok {
			unset = append(unset, field)
		}
	}
	slices.Sort(unset)
	return unset
}

// recordSetFields records in set, by TYPE.FIELD, whether each exported field at any depth of a value is set.
func recordSetFields(value reflect.Value, set map[string]bool) {
	switch value.Kind() { //nolint:exhaustive // the other kinds have no fields
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			recordSetFields(value.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			recordSetFields(value.Index(i), set)
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			recordSetFields(value.MapIndex(key), set)
		}
	case reflect.Struct:
		recordSetStruct(value, set)
	}
}

// recordSetStruct does the same as recordSetFields for a struct.
func recordSetStruct(value reflect.Value, set map[string]bool) {
	for field, fieldValue := range value.Fields() {
		if !field.IsExported() {
			continue
		}
		name := fmt.Sprintf("%s.%s", value.Type(), field.Name)
		set[name] = set[name] || !fieldValue.IsZero()
		recordSetFields(fieldValue, set)
	}
}
