package goldentest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// AllFieldsSet fails the test unless each exported field of each struct type found in the samples is set in at least one
// of its values. A field that is dropped from an encoding then shows in the encoded samples.
func AllFieldsSet(t testing.TB, samples ...any) {
	t.Helper()
	if unset := unsetFields(samples...); len(unset) > 0 {
		t.Errorf("fields that no sample sets: %s", strings.Join(unset, ", "))
	}
}

// unsetFields names the exported fields that are zero in all samples.
func unsetFields(samples ...any) (unset []string) {
	set := map[string]bool{}
	for _, sample := range samples {
		visit(reflect.ValueOf(sample), set)
	}
	for field, ok := range set {
		if !ok {
			unset = append(unset, field)
		}
	}
	slices.Sort(unset)
	return unset
}

// visit notes for each exported field below a value whether it is set.
func visit(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			visit(v.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			visit(v.Index(i), set)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			visit(v.MapIndex(key), set)
		}
	case reflect.Struct:
		visitStruct(v, set)
	}
}

func visitStruct(v reflect.Value, set map[string]bool) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		name := fmt.Sprintf("%s.%s", v.Type(), field.Name)
		set[name] = set[name] || !v.Field(i).IsZero()
		visit(v.Field(i), set)
	}
}
