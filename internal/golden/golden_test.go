package golden

import (
	"net/netip"
	"os"
	"path/filepath"
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
	Left    func()           `json:"-"`
	Only    bool             `json:",omitempty"`
}

func TestUntaggedFields(t *testing.T) {
	want := []string{"golden.inner.Untagged", "golden.outer.Only"}
	if got := UntaggedFields("json", outer{}); !slices.Equal(got, want) {
		t.Errorf("untagged are %q, not %q", got, want)
	}
	if got := UntaggedFields("cbor", inner{}); len(got) != 2 {
		t.Errorf("untagged for cbor are %q", got)
	}
}

func TestZeroFields(t *testing.T) {
	full := inner{1, "a"}
	sample := outer{
		List: []inner{full, {Tagged: 1}}, ByName: map[string]inner{"x": {Untagged: "b"}}, Pointer: &inner{Tagged: 1},
		Address: netip.MustParseAddr("10.0.0.1"), Left: func() {},
	}
	want := []string{"List[1].Untagged", "ByName[x].Tagged", "Pointer.Untagged", "Only"}
	if got := ZeroFields(sample); !slices.Equal(got, want) {
		t.Errorf("zero are %q, not %q", got, want)
	}
}

// report notes that a check failed.
type report struct {
	testing.TB
	failed bool
}

func (r *report) Helper()               {}
func (r *report) Error(...any)          { r.failed = true }
func (r *report) Errorf(string, ...any) { r.failed = true }

// A golden file that differs, or is not there, fails; recording leaves one that is there as it was.
func TestFileIsNeverWrittenAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "folder", "form.json")
	before := *record
	t.Cleanup(func() { *record = before })
	fails := func(text string) bool {
		r := &report{TB: t}
		File(r, path, []byte(text))
		return r.failed
	}
	*record = false
	if !fails("one") {
		t.Error("a golden file that is not there passes")
	}
	*record = true
	if fails("one") || fails("one") {
		t.Error("a file can't be recorded")
	}
	if !fails("two") {
		t.Error("another content passes while files are recorded")
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "one" {
		t.Errorf("the file holds %q, %v", text, err)
	}
}
