package golden

import (
	"reflect"
	"strings"
	"testing"
)

// AllFieldsTagged fails for each exported field without a tag of that key (json, cbor) in the types of the samples
// and in the types of their fields, at any depth. An embedded struct needs no tag: its fields are encoded in its
// place.
func AllFieldsTagged(tb testing.TB, key string, samples ...any) {
	tb.Helper()
	for _, path := range untaggedFields(key, samples...) {
		tb.Errorf("field %s is encoded and has no %s tag", path, key)
	}
}

// untaggedFields returns the exported fields without a tag, as TYPE.FIELD.
func untaggedFields(key string, samples ...any) []string {
	walk := tagWalker{key: key, seen: map[reflect.Type]bool{}}
	for _, sample := range samples {
		walk.visitType(reflect.TypeOf(sample))
	}
	return walk.untagged
}

// tagWalk visits types, each of them once.
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
