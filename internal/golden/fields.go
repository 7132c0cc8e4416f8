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

// encodesItself tells whether a type words its own encoding, so that its fields are of no concern.
func encodesItself(t reflect.Type) bool {
	return t.Implements(textMarshaler) || t.Implements(jsonMarshaler)
}

// Full fails on each field of a sample that is zero or empty, at any depth: such a field could be lost unseen. except
// names fields, as ZeroFields does, that are meant to be zero; each of them has to be.
func Full(t testing.TB, sample any, except ...string) {
	t.Helper()
	zero := ZeroFields(sample)
	for _, path := range zero {
		if !slices.Contains(except, path) {
			t.Errorf("%T: the sample's field %s is zero", sample, path)
		}
	}
	for _, path := range except {
		if !slices.Contains(zero, path) {
			t.Errorf("%T: the sample's field %s is not zero", sample, path)
		}
	}
}

// ZeroFields gives the paths of exported fields that are zero or empty, at any depth.
func ZeroFields(sample any) []string { return zeroFields(reflect.ValueOf(sample), "") }

func zeroFields(v reflect.Value, path string) (found []string) {
	if !v.IsValid() || v.IsZero() {
		return []string{path}
	}
	if encodesItself(v.Type()) {
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return zeroFields(v.Elem(), path)
	case reflect.Slice, reflect.Map:
		return zeroElements(v, path)
	case reflect.Struct:
		for field, value := range v.Fields() {
			if field.IsExported() {
				found = append(found, zeroFields(value, join(path, field.Name))...)
			}
		}
	}
	return found
}

func zeroElements(v reflect.Value, path string) (found []string) {
	if v.Len() == 0 {
		return []string{path}
	}
	if v.Kind() == reflect.Map {
		for _, key := range v.MapKeys() {
			found = append(found, zeroFields(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))...)
		}
		return found
	}
	if v.Type().Elem().Kind() == reflect.Uint8 {
		return nil // bytes are a text
	}
	for i := range v.Len() {
		found = append(found, zeroFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return found
}

// Tagged fails on each exported field without a tag of that key (json, cbor) in the types of the samples and the types
// that these hold. An embedded struct needs none: its fields are encoded in its place.
func Tagged(t testing.TB, key string, samples ...any) {
	t.Helper()
	for _, path := range UntaggedFields(key, samples...) {
		t.Errorf("field %s is encoded and has no %s tag", path, key)
	}
}

// UntaggedFields gives the exported fields, as TYPE.FIELD, that Tagged fails on.
func UntaggedFields(key string, samples ...any) []string {
	w := walk{key: key, seen: map[reflect.Type]bool{}}
	for _, s := range samples {
		w.visit(reflect.TypeOf(s))
	}
	return w.untagged
}

// walk is a walk over types, each of which is visited once.
type walk struct {
	key      string
	seen     map[reflect.Type]bool
	untagged []string
}

func (w *walk) visit(t reflect.Type) {
	if w.seen[t] {
		return
	}
	w.seen[t] = true
	if encodesItself(t) {
		return
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		w.visit(t.Elem())
	case reflect.Struct:
		for field := range t.Fields() {
			w.field(t, field)
		}
	}
}

func (w *walk) field(t reflect.Type, field reflect.StructField) {
	if !field.IsExported() && !field.Anonymous {
		return
	}
	tag, _ := field.Tag.Lookup(w.key)
	if tag == "-" {
		return
	}
	if name, _, _ := strings.Cut(tag, ","); name == "" && !field.Anonymous {
		w.untagged = append(w.untagged, t.String()+"."+field.Name)
	}
	w.visit(field.Type)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
