package rollout

import (
	"encoding/json"
	"testing"
)

func put(id, pointer, value string) Change {
	return Change{ID: id, Put: map[string]json.RawMessage{pointer: json.RawMessage(value)}}
}

func number(n uint64) *uint64 { return &n }

// made applies a change that has to be made.
func (l *Log) made(t testing.TB, c Change) uint64 {
	t.Helper()
	r := l.Apply(c)
	if r.Fault != nil || r.Repeated {
		t.Fatalf("%+v: %+v", c, r)
	}
	return r.Revision
}

// A change, its repetition, a conflict and a revert: the short way through the whole.
func TestChangeRepeatConflictRevert(t *testing.T) {
	l := NewLog(Terms{})
	if rev := l.made(t, put("a", "/settings/over-share-worth", "0.5")); rev != 1 {
		t.Error(rev)
	}
	if r := l.Apply(put("a", "/settings/over-share-worth", " 0.50 ")); r.Fault != nil || !r.Repeated || r.Revision != 1 {
		t.Errorf("%+v", r)
	}
	if r := l.Apply(put("a", "/settings/over-share-worth", "0.6")); r.Fault == nil || r.Fault.Kind != FaultReused || r.Fault.Revision != 1 {
		t.Errorf("%+v", r)
	}
	c := put("b", "/board", `"127.0.0.1:1"`)
	c.Expect = number(0)
	if r := l.Apply(c); r.Fault == nil || r.Fault.Kind != FaultConflict || r.Fault.Revision != 1 || r.Revision != 1 {
		t.Errorf("%+v", r)
	}
	c.Expect = number(1)
	l.made(t, c)
	l.made(t, Change{ID: "c", RevertTo: number(1)})
	if l.Revision() != 3 || len(l.Entries()) != 1 || string(l.Entries()["/settings/over-share-worth"]) != "0.5" || l.Hash() != HashOf(l.Entries()) {
		t.Error(l.Revision(), l.Entries())
	}
	if h := l.History(0, 10); len(h) != 3 || h[2].Remove[0] != "/board" || *h[2].RevertTo != 1 || h[2].Hash != h[0].Hash {
		t.Errorf("%+v", h)
	}
}
