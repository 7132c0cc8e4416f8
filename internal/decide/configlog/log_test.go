package configlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"windflow/internal/decide/configerror"
)

func put(id, pointer, value string) Change {
	return Change{ID: id, Put: map[string]json.RawMessage{pointer: json.RawMessage(value)}}
}

func revisionPtr(n uint64) *uint64 { return &n }

// mustApply applies a change, which must be neither rejected nor a repetition, and returns its revision.
func (l *Log) mustApply(tb testing.TB, c Change) uint64 {
	tb.Helper()
	r := l.Apply(c)
	if r.Err != nil || r.Repeated {
		tb.Fatalf("%+v: %+v", c, r)
	}
	return r.Revision
}

// A repeated change is applied once, an ID can't be reused for another change, Expect must match the revision in force,
// and a revert restores an earlier content.
func TestChangeRepeatConflictRevert(t *testing.T) {
	l := NewLog(Retention{})
	if rev := l.mustApply(t, put("a", "/settings/over-share-worth", "0.5")); rev != 1 {
		t.Errorf("first revision %d, want 1", rev)
	}
	if r := l.Apply(put("a", "/settings/over-share-worth", " 0.50 ")); r.Err != nil || !r.Repeated || r.Revision != 1 {
		t.Errorf("repeated change: %+v", r)
	}
	r := l.Apply(put("a", "/settings/over-share-worth", "0.6"))
	if r.Err == nil || r.Err.Kind != configerror.IDReused || r.Err.Revision != 1 {
		t.Errorf("reused ID: %+v", r)
	}
	c := put("b", "/board", `"127.0.0.1:1"`)
	c.Expect = revisionPtr(0)
	if r := l.Apply(c); r.Err == nil || r.Err.Kind != configerror.Conflict || r.Err.Revision != 1 || r.Revision != 1 {
		t.Errorf("wrong expected revision: %+v", r)
	}
	c.Expect = revisionPtr(1)
	l.mustApply(t, c)
	l.mustApply(t, Change{ID: "c", RevertTo: revisionPtr(1)})
	if l.Revision() != 3 || len(l.Entries()) != 1 || string(l.Entries()["/settings/over-share-worth"]) != "0.5" ||
		l.Hash() != HashEntries(l.Entries()) {
		t.Errorf("after the revert: revision %d, entries %v", l.Revision(), l.Entries())
	}
	h := l.History(0, 10)
	if len(h) != 3 || h[2].Remove[0] != "/board" || *h[2].RevertTo != 1 || h[2].Hash != h[0].Hash {
		t.Errorf("unexpected history %+v", h)
	}
}

// rejectedChange is an invalid change with the expected error.
type rejectedChange struct {
	Change
	kind    configerror.Kind
	pointer string
	reason  string
}

// rejectedChanges returns invalid changes of a log that has the entries /settings/rules/cold-ns and /settings/list.
func rejectedChanges() map[string]rejectedChange {
	huge := json.RawMessage(`"` + strings.Repeat("x", MaxValueBytes-2) + `"`)
	many := Change{ID: "x", Put: map[string]json.RawMessage{}}
	for i := range 17 {
		many.Put[fmt.Sprint("/settings/x", i)] = huge
	}
	const invalid = configerror.Invalid
	list := []string{"/settings/list"}
	longNote := Change{ID: "x", Note: strings.Repeat("x", MaxNoteBytes+1), Remove: list}
	putAndRemove := put("x", "/settings/list", "1")
	putAndRemove.Remove = list
	nested := put("x", "/settings/q", "1")
	nested.Put["/settings/q/r"] = json.RawMessage("1")
	return map[string]rejectedChange{
		"no id":                        {Change{Remove: list}, invalid, "", "field id"},
		"long id":                      {put(strings.Repeat("x", MaxIDBytes+1), "/settings/a", "1"), invalid, "", "field id"},
		"control character in id":      {put("a\nb", "/settings/a", "1"), invalid, "", "field id"},
		"long note":                    {longNote, invalid, "", "field note"},
		"note is not UTF-8":            {Change{ID: "x", Note: "\xff", Remove: list}, invalid, "", "field note"},
		"negative time":                {Change{ID: "x", AtMS: -1, Remove: list}, invalid, "", "field at_ms"},
		"empty change":                 {Change{ID: "x"}, invalid, "", "no put"},
		"revert and put":               {Change{ID: "x", RevertTo: revisionPtr(0), Remove: list}, invalid, "", "field revert_to"},
		"revert to a later revision":   {Change{ID: "x", RevertTo: revisionPtr(2)}, invalid, "", "field revert_to"},
		"pointer":                      {put("x", "/listen", `"a:1"`), invalid, "/listen", "own"},
		"value":                        {put("x", "/settings/a", "{"), invalid, "/settings/a", "JSON"},
		"remove pointer":               {Change{ID: "x", Remove: []string{"/seed"}}, invalid, "/seed", "own"},
		"remove missing entry":         {Change{ID: "x", Remove: []string{"/settings/a"}}, invalid, "/settings/a", "no such entry"},
		"remove twice":                 {Change{ID: "x", Remove: append(list, list...)}, invalid, "/settings/list", "twice"},
		"put and remove":               {putAndRemove, invalid, "/settings/list", "both put and removed"},
		"below an entry":               {put("x", "/settings/list/0", "1"), invalid, "/settings/list/0", "/settings/list"},
		"above an entry":               {put("x", "/settings/rules", "{}"), invalid, "/settings/rules", "below"},
		"below an entry of the change": {nested, invalid, "/settings/q/r", "/settings/q"},
		"large change":                 {many, invalid, "", "bytes"},
		"conflict":                     {Change{ID: "x", Expect: revisionPtr(7), Remove: list}, configerror.Conflict, "", "field expect"},
		"reused":                       {Change{ID: "base", Remove: list}, configerror.IDReused, "", "field id"},
	}
}

// Each invalid change is rejected with the expected kind, pointer and reason, and leaves the log unchanged.
func TestRejectedChanges(t *testing.T) {
	l := NewLog(Retention{})
	l.mustApply(
		t,
		Change{
			ID: "base",
			Put: map[string]json.RawMessage{
				"/settings/rules/cold-ns": json.RawMessage("1"),
				"/settings/list":          json.RawMessage("[]"),
			},
		},
	)
	before, _ := l.MarshalBinary()
	for name, c := range rejectedChanges() {
		r := l.Apply(c.Change)
		if r.Err == nil || r.Err.Kind != c.kind || r.Err.Pointer != c.pointer ||
			!strings.Contains(r.Err.Error(), c.reason) ||
			r.Revision != 1 {
			t.Errorf("%s: %+v, %v", name, r, r.Err)
		}
		if _, rejected := l.Preview(c.Change); !reflect.DeepEqual(rejected, r.Err) {
			t.Errorf("%s: Preview returns %v", name, rejected)
		}
	}
	if after, _ := l.MarshalBinary(); !bytes.Equal(before, after) {
		t.Error("a rejected change modified the state")
	}
	// A change may put an entry above or below existing entries that it removes.
	l.mustApply(t, Change{
		ID: "over",
		Put: map[string]json.RawMessage{
			"/settings/rules":  json.RawMessage("{}"),
			"/settings/list/0": json.RawMessage("1"),
		},
		Remove: []string{"/settings/rules/cold-ns", "/settings/list"},
	})
	if len(l.Entries()) != 2 {
		t.Errorf("unexpected entries %v", l.Entries())
	}
}

// The limits of the document's size and number of entries also hold if it grows by many small changes.
func TestDocumentBounds(t *testing.T) {
	l := NewLog(Retention{Revisions: 2})
	huge := json.RawMessage(`"` + strings.Repeat("x", MaxValueBytes-2) + `"`)
	var rejected *configerror.Error
	for i := 0; rejected == nil && i < 100; i++ {
		rejected = l.Apply(put(fmt.Sprint(i), fmt.Sprint("/settings/x", i), string(huge))).Err
	}
	if entries, size := l.Size(); rejected == nil || !strings.Contains(rejected.Reason, "document") ||
		entries != MaxDocumentBytes/MaxValueBytes-1 ||
		size > MaxDocumentBytes {
		t.Errorf("rejected with %v at %d entries and %d bytes", rejected, entries, size)
	}
	l = NewLog(Retention{Revisions: 2})
	for i, n := 0, 0; n < MaxEntries; i++ {
		c := Change{ID: fmt.Sprint(i), Put: map[string]json.RawMessage{}}
		for range 25_000 {
			c.Put[fmt.Sprint("/settings/x", n)] = json.RawMessage("1")
			n++
		}
		l.mustApply(t, c)
	}
	if r := l.Apply(put("more", "/settings/y", "1")); r.Err == nil || !strings.Contains(r.Err.Reason, "entries") {
		t.Errorf("a change beyond the number of entries: %+v", r)
	}
}

// Change IDs are remembered for longer than the retained records, but only the latest MaxRememberedIDs.
func TestRememberedIDsAreBounded(t *testing.T) {
	l := NewLog(Retention{Revisions: 2})
	l.mustApply(t, put("first", "/settings/a", "0"))
	for i := range MaxRememberedIDs - 1 {
		l.mustApply(t, put(fmt.Sprint(i), "/settings/a", fmt.Sprint(i)))
	}
	if r := l.Apply(put("first", "/settings/a", "0")); !r.Repeated || r.Revision != 1 {
		t.Errorf("repeated change: %+v", r)
	}
	l.mustApply(t, put("one more", "/settings/a", "0"))
	if len(l.ids.applied) != MaxRememberedIDs || len(l.ids.order) != MaxRememberedIDs {
		t.Errorf("%d IDs by ID and %d in order, want %d", len(l.ids.applied), len(l.ids.order), MaxRememberedIDs)
	}
	l.mustApply(t, put("first", "/settings/a", "0"))
	// Preview of an applied change returns the content in force without an error.
	if entries, rejected := l.Preview(put("first", "/settings/a", "0")); rejected != nil || len(entries) != 1 {
		t.Errorf("Preview of an applied change returns %v, %v", entries, rejected)
	}
}

// Each name is a member once, with its two latest processes. Invalid names and names beyond MaxMembers are not added.
func TestMembers(t *testing.T) {
	l := NewLog(Retention{})
	if !l.AddMember("b", "1") || !l.AddMember("a", "1") || l.AddMember("b", "1") || l.AddMember("", "1") ||
		l.AddMember("\x00", "1") ||
		l.AddMember("c", "") {
		t.Errorf("unexpected result of AddMember; members %v", l.Members())
	}
	if names := l.Members(); !reflect.DeepEqual(names, []string{"a", "b"}) {
		t.Errorf("unexpected members %v", names)
	}
	// Two processes that run at the same time do not replace each other.
	if !l.AddMember("a", "2") || l.AddMember("a", "1") || l.AddMember("a", "2") || !l.AddMember("a", "4") ||
		l.HasMember("a", "1") ||
		!l.HasMember("a", "2") ||
		!l.HasMember("a", "4") {
		t.Errorf("wrong processes of member a: %v", l.members)
	}
	// A late call of an earlier process does not make it the latest process.
	if !l.AddMember("a", "3") || l.members["a"] != (memberProcesses{"4", "3"}) || !l.AddMember("a", "2") ||
		l.members["a"] != (memberProcesses{"4", "2"}) {
		t.Errorf("wrong processes of member a: %v", l.members)
	}
	if NewInstanceID(1000, 7) >= NewInstanceID(1001, 3) || NewInstanceID(-5, 1) != NewInstanceID(0, 1) ||
		len(NewInstanceID(1<<40, 1<<63)) > MaxIDBytes {
		t.Errorf("wrong order or length of instances, such as %s", NewInstanceID(1000, 7))
	}
	if l.HasMember("b", "") || l.HasMember("b", "2") || l.HasMember("c", "1") {
		t.Errorf("HasMember is true for an unknown process; members %v", l.members)
	}
	if !l.RemoveMember("a") || l.RemoveMember("a") || len(l.Members()) != 1 || l.HasMember("a", "4") {
		t.Errorf("unexpected members after a removal: %v", l.Members())
	}
	for i := range MaxMembers {
		l.AddMember(fmt.Sprint(i), "1")
	}
	if len(l.Members()) != MaxMembers || l.AddMember("late", "1") || !l.AddMember("b", "2") {
		t.Errorf("%d members, want %d", len(l.Members()), MaxMembers)
	}
}
