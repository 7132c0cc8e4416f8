package goldentest

import (
	"os"
	"slices"
	"testing"
)

type inner struct{ Set, Unset int }

type outer struct {
	List  []inner
	Other *inner
}

// A field counts as set if one value of its type sets it.
func TestUnsetFields(t *testing.T) {
	got := unsetFields(outer{List: []inner{{Set: 1}}})
	if want := []string{"goldentest.inner.Unset", "goldentest.outer.Other"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := unsetFields(outer{List: []inner{{Set: 1}}}, &outer{Other: &inner{Unset: 1}}); got != nil {
		t.Errorf("got %v", got)
	}
}

// A golden file is written once, by request, and is never overwritten.
func TestRecordsOnce(t *testing.T) {
	t.Chdir(t.TempDir())
	if Recording(t, "a") {
		t.Error("records without the flag")
	}
	*record = true
	defer func() { *record = false }()
	Equal(t, "a", []byte("first"))
	if Recording(t, "a") {
		t.Error("records a file that is there")
	}
	if content, err := os.ReadFile(Path("a")); err != nil || string(content) != "first" {
		t.Error(string(content), err)
	}
}
