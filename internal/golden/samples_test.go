package golden

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
)

type inner struct {
	Tagged   int `json:"tagged"`
	Untagged string
}

type outer struct {
	inner
	List    []inner          `json:"list"`
	ByName  map[string]inner `json:"by_name"`
	Pointer *inner           `json:"pointer,omitempty"`
	Address netip.Addr       `json:"address"`
	Skipped func()           `json:"-"`
	Only    bool             `json:",omitempty"`
}

func TestUntaggedFields(t *testing.T) {
	want := []string{"golden.inner.Untagged", "golden.outer.Only"}
	if got := untaggedFields("json", outer{}); !slices.Equal(got, want) {
		t.Errorf("untagged fields are %q, want %q", got, want)
	}
	if got := untaggedFields("cbor", inner{}); len(got) != 2 {
		t.Errorf("untagged fields for cbor are %q, want 2", got)
	}
}

func TestZeroFields(t *testing.T) {
	full := inner{1, "a"}
	sample := outer{
		List: []inner{full, {Tagged: 1}}, ByName: map[string]inner{"x": {Untagged: "b"}}, Pointer: &inner{Tagged: 1},
		Address: netip.MustParseAddr("10.0.0.1"), Skipped: func() {},
	}
	want := []string{"List[1].Untagged", "ByName[x].Tagged", "Pointer.Untagged", "Only"}
	if got := zeroFields(reflect.ValueOf(sample), ""); !slices.Equal(got, want) {
		t.Errorf("zero fields are %q, want %q", got, want)
	}
}

type sparse struct {
	List  []sparseInner
	Other *sparseInner
}

type sparseInner struct{ Set, Unset int }

// A field counts as set if at least one value of its type sets it.
func TestUnsetFields(t *testing.T) {
	got := unsetFields(sparse{List: []sparseInner{{Set: 1}}})
	if want := []string{"golden.sparse.Other", "golden.sparseInner.Unset"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := unsetFields(sparse{List: []sparseInner{{Set: 1}}}, &sparse{Other: &sparseInner{Unset: 1}}); got != nil {
		t.Errorf("got %v, want none", got)
	}
}
