package golden

import (
	"reflect"
	"strings"
	"testing"
)

// AllFieldsTagged fails the test for each exported field without a tag that has the given key (json or cbor), in the
// types of the samples and in the types of their fields, at any depth. An embedded struct needs no tag: its fields are
// encoded as fields of the outer struct.
func AllFieldsTagged(tb testing.TB, key string, samples ...any) {
	tb.Helper()
	for _, path := range untaggedFields(key, samples...) {
		tb.Errorf("field %s is encoded and has no %s tag", path, key)
	}
}

// untaggedFields returns the exported fields that have no tag with the given key, as TYPE.FIELD.
func untaggedFields(key string, samples ...any) []string {
	walk := tagWalker{key: key, seen: map[reflect.Type]bool{}}
	for _, sample := range samples {
		walk.visitType(reflect.TypeOf(sample))
	}
	return walk.untagged
}

// tagWalker collects the fields without a tag while it visits each type once.
type tagWalker struct {
	key      string
	seen     map[reflect.Type]bool
	untagged []string
}

func (w *tagWalker) visitType(typ reflect.Type) {
	if w.seen[typ] {
		return
	}
	w.seen[typ] = true
	if encodesItself(typ) {
		return
	}
	switch typ.Kind() { //nolint:exhaustive // the other kinds have no fields
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		w.visitType(typ.Elem())
	case reflect.Struct:
		for field := range typ.Fields() {
			w.visitField(typ, field)
		}
	}
}

func (w *tagWalker) visitField(typ reflect.Type, field reflect.StructField) {
	if !field.IsExported() && !field.Anonymous {
		return
	}
	tag, _ := field.Tag.Lookup(w.key)
	if tag == "-" {
		return
	}
	if name, _, _ := strings.Cut(tag, ","); name == "" && !field.Anonymous {
		w.untagged = append(w.untagged, typ.String()+"."+field.Name)
	}
	w.visitType(field.Type)
}
