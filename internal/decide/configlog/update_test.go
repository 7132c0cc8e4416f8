package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"

	"windflow/internal/decide/configerror"
)

// newLogWithFiller returns a log whose document is larger than any delta of these tests.
func newLogWithFiller(tb testing.TB, retention Retention) *Log {
	tb.Helper()
	l := NewLog(retention)
	l.mustApply(tb, put("filler", "/settings/filler", `"`+strings.Repeat("x", 400)+`"`))
	return l
}

// UpdateSince returns an empty update, a delta, or a snapshot if the delta is not smaller, the hash differs or the
// revision is compacted. For a follower that is ahead it returns KeeperBehind.
func TestUpdateSince(t *testing.T) {
	l := newLogWithFiller(t, Retention{Revisions: 3})
	one, h1 := l.Revision(), l.Hash()
	l.mustApply(t, put("a", "/settings/a", "1"))
	l.mustApply(t, put("b", "/settings/a", "2"))
	l.mustApply(
		t,
		Change{
			ID:     "c",
			Put:    map[string]json.RawMessage{"/settings/b": json.RawMessage("3")},
			Remove: []string{"/settings/a"},
		},
	)
	if u := l.UpdateSince(4, l.Hash()); !u.IsEmpty() || u.Put != nil || u.Hash != l.Hash() {
		t.Errorf("the update at the revision in force is not empty: %+v", u)
	}
	// /settings/a was put and removed after that revision, so it is not in the update.
	if u := l.UpdateSince(one, h1); u.Snapshot || len(u.Put) != 1 || len(u.Remove) != 0 || u.From != 1 || u.To != 4 {
		t.Errorf("unexpected delta from revision 1: %+v", u)
	}
	_, rejected := l.EntriesAt(2)
	two, _ := l.EntriesAt(2)
	u := l.UpdateSince(2, HashEntries(two))
	if rejected != nil || u.Snapshot || !reflect.DeepEqual(u.Remove, []string{"/settings/a"}) {
		t.Errorf("unexpected delta from revision 2: %+v", u)
	}
	snapshot := func(rev uint64, h Hash, why string) {
		t.Helper()
		u := l.UpdateSince(rev, h)
		if !u.Snapshot || u.KeeperBehind || !maps.EqualFunc(u.Put, l.Entries(), equal) || u.Remove != nil ||
			u.From != rev ||
			u.To != l.Revision() {
			t.Errorf("%s: %+v", why, u)
		}
	}
	snapshot(2, h1, "other content at an earlier revision")
	snapshot(4, h1, "other content at the revision in force")
	snapshot(0, Hash{}, "compacted revision")
	l.mustApply(t, Change{ID: "d", Remove: []string{"/settings/filler"}})
	three, _ := l.EntriesAt(3)
	snapshot(3, HashEntries(three), "the delta has more bytes than a snapshot")
	if u := l.UpdateSince(9, h1); !u.KeeperBehind || u.Snapshot || u.Put != nil || u.To != l.Revision() {
		t.Errorf("a follower that is ahead: %+v", u)
	}
}

func equal(a, b json.RawMessage) bool { return string(a) == string(b) }

// A follower that rejected the revision in force gets empty updates until there is another revision.
func TestNextUpdateAfterRejection(t *testing.T) {
	l := newLogWithFiller(t, Retention{})
	status := FollowerStatus{Name: "r", Instance: "i", Revision: l.Revision(), Hash: l.Hash()}
	l.mustApply(t, put("a", "/settings/a", "1"))
	if u := l.NextUpdate(status); u.IsEmpty() {
		t.Errorf("the update before the rejection is empty: %+v", u)
	}
	status.Rejected = &Rejection{Revision: l.Revision(), Hash: l.Hash(), Reason: "no"}
	if u := l.NextUpdate(status); !u.IsEmpty() {
		t.Errorf("the update after the rejection is not empty: %+v", u)
	}
	status.Rejected.Hash = Hash{1}
	if u := l.NextUpdate(status); u.IsEmpty() {
		t.Error("other content at the rejected revision is not offered")
	}
	status.Rejected.Hash = l.Hash()
	l.mustApply(t, put("b", "/settings/a", "2"))
	if u := l.NextUpdate(status); u.To != 3 || u.From != 1 || len(u.Put) != 1 {
		t.Errorf("unexpected update to the next revision: %+v", u)
	}
}

// History is limited by the number of revisions and by size, but always retains the latest change.
func TestCompaction(t *testing.T) {
	l := NewLog(Retention{Revisions: 5})
	for i := range 20 {
		l.mustApply(t, put(fmt.Sprint(i), "/settings/a", fmt.Sprint(i)))
	}
	if l.Revision() != 20 || l.OldestRevision() != 15 || len(l.History(0, 100)) != 5 {
		t.Errorf("revision %d, oldest %d", l.Revision(), l.OldestRevision())
	}
	if entries, rejected := l.EntriesAt(15); rejected != nil || string(entries["/settings/a"]) != "14" {
		t.Errorf("the oldest retained revision: entries %v, error %v", entries, rejected)
	}
	if _, rejected := l.EntriesAt(14); rejected == nil || rejected.Kind != configerror.Compacted || rejected.Revision != 15 {
		t.Errorf("a compacted revision: error %v", rejected)
	}
	r := l.Apply(Change{ID: "back", RevertTo: revisionPtr(14)})
	if r.Err == nil || r.Err.Kind != configerror.Compacted || r.Revision != 20 {
		t.Errorf("revert to a compacted revision: %+v", r)
	}
	if h := l.History(17, 2); len(h) != 2 || h[0].Revision != 17 || h[1].ID != "17" {
		t.Errorf("unexpected history %+v", h)
	}
	l = NewLog(Retention{Bytes: 3000})
	for i := range 20 {
		l.mustApply(t, put(fmt.Sprint(i), "/settings/a", `"`+strings.Repeat("x", 400+i)+`"`))
		size := 0
		for _, r := range l.history.records {
			size += r.bytes()
		}
		if size != l.history.bytes || size > 3000 {
			t.Fatalf("change %d: the records have %d bytes, the history counts %d", i, size, l.history.bytes)
		}
	}
	if retained := l.Revision() - l.OldestRevision(); retained < 2 || retained > 3 {
		t.Errorf("%d revisions are retained, want 2 or 3", retained)
	}
	l.mustApply(t, put("large", "/settings/b", `"`+strings.Repeat("x", 9000)+`"`))
	if l.Revision()-l.OldestRevision() != 1 {
		t.Errorf("the oldest revision is %d; only the latest change must be retained", l.OldestRevision())
	}
}
