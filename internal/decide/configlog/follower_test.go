package configlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
)

// checkContent checks the revision in force and its content in the follower's status and saved copy.
func (f *Follower) checkContent(tb testing.TB, rev uint64, content map[string]json.RawMessage) {
	tb.Helper()
	s := f.Saved()
	if s.Revision != rev || f.Status().Revision != rev || !maps.EqualFunc(s.Entries, content, equal) ||
		s.Hash != HashEntries(content) {
		tb.Fatalf("revision %d with %v is in force, want %d with %v", s.Revision, s.Entries, rev, content)
	}
}

// mustFollow offers the log's next update to the follower, which must accept it.
func (f *Follower) mustFollow(tb testing.TB, l *Log) {
	tb.Helper()
	if _, ok, err := f.Offer(l.NextUpdate(f.Status())); !ok || err != nil {
		tb.Fatalf("Offer returns %v, %v; want a candidate", ok, err)
	}
	f.Accept()
	f.checkContent(tb, l.Revision(), l.Entries())
}

// A follower accepts deltas and snapshots one after another. An empty update is not a candidate.
func TestFollowerAppliesUpdates(t *testing.T) {
	l, f := newLogWithFiller(t, Retention{Revisions: 2}), NewFollower("r", "1")
	f.checkContent(t, 0, nil)
	f.mustFollow(t, l)
	l.mustApply(t, put("a", "/settings/a", "1"))
	if u := l.NextUpdate(f.Status()); u.Snapshot {
		t.Errorf("the update is not a delta: %+v", u)
	}
	f.mustFollow(t, l)
	if _, ok, err := f.Offer(l.NextUpdate(f.Status())); ok || err != nil {
		t.Errorf("an empty update: Offer returns %v, %v", ok, err)
	}
	for _, id := range []string{"b", "c", "d"} {
		l.mustApply(t, put(id, "/settings/a", `"`+id+`"`))
	}
	if u := l.NextUpdate(f.Status()); !u.Snapshot {
		t.Errorf("the update is not a snapshot: %+v", u)
	}
	f.mustFollow(t, l)
	l.mustApply(t, Change{ID: "e", Remove: []string{"/settings/filler", "/settings/a"}})
	f.mustFollow(t, l)
}

// An update that does not start at the follower's revision or does not match its hash is an error and changes nothing.
func TestFollowerIgnoresInvalidUpdates(t *testing.T) {
	l, f := newLogWithFiller(t, Retention{}), NewFollower("r", "1")
	old := l.NextUpdate(f.Status())
	f.mustFollow(t, l)
	late := l.UpdateSince(f.current.revision, f.current.hash)
	l.mustApply(t, put("a", "/settings/a", "1"))
	delta := l.NextUpdate(f.Status())
	f.mustFollow(t, l)
	content := l.Entries()
	checkIgnored := func(why string, u Update, want error) {
		t.Helper()
		if _, ok, err := f.Offer(u); ok || !errors.Is(err, want) {
			t.Errorf("%s: Offer returns %v, %v; want the error %q", why, ok, err, want)
		}
		f.checkContent(t, 2, content)
	}
	checkIgnored("an earlier snapshot", old, ErrStale)
	checkIgnored("an earlier empty update", late, ErrStale)
	checkIgnored("a repeated delta", delta, ErrStale)
	checkIgnored("a delta from a later revision", Update{From: 3, To: 4}, ErrStale)
	checkIgnored("a keeper that is behind", Update{From: 2, To: 1, KeeperBehind: true}, ErrBehind)
	if f.Status().Hash != f.current.hash {
		t.Error("a snapshot is requested without a failed update")
	}
	l.mustApply(t, put("b", "/settings/a", "2"))
	broken := l.NextUpdate(f.Status())
	broken.Put = map[string]json.RawMessage{"/settings/a": json.RawMessage("3")}
	checkIgnored("a wrong value", broken, ErrMismatch)
	if f.Status().Hash != (Hash{}) {
		t.Error("no snapshot is requested after a failed update")
	}
	if u := l.NextUpdate(f.Status()); !u.Snapshot {
		t.Errorf("the update is not a snapshot: %+v", u)
	} else {
		u.Put["/settings/x"] = json.RawMessage("1")
		checkIgnored("an additional entry", u, ErrMismatch)
	}
	checkIgnored("removal of an entry that does not exist", Update{From: 2, To: 3, Remove: []string{"/settings/none"}}, ErrMismatch)
	f.mustFollow(t, l)
	if f.Status().Hash != l.Hash() {
		t.Error("a snapshot is still requested after one was accepted")
	}
	l.mustApply(t, put("c", "/settings/a", "4"))
	if _, ok, err := f.Offer(l.NextUpdate(f.Status())); !ok || err != nil {
		t.Fatalf("Offer returns %v, %v; want a candidate", ok, err)
	}
	if _, ok, err := f.Offer(l.NextUpdate(f.Status())); ok || !errors.Is(err, ErrPending) {
		t.Errorf("Offer with a pending candidate returns %v, %v", ok, err)
	}
	if _, _, err := f.Restore(SavedRevision{Revision: 9}); !errors.Is(err, ErrPending) {
		t.Errorf("Restore with a pending candidate returns %v", err)
	}
	f.Accept()
	f.checkContent(t, 4, l.Entries())
	f.Accept()
	f.Reject("", "there is no candidate")
	if f.checkContent(t, 4, l.Entries()); f.Status().Rejected != nil {
		t.Errorf("Reject without a candidate is reported as %+v", f.Status().Rejected)
	}
}

// After a rejection the previous revision stays in force, the rejection is reported, and the rejected revision is not a
// candidate again until rejections are cleared.
func TestFollowerRejectsRevision(t *testing.T) {
	l, f := newLogWithFiller(t, Retention{}), NewFollower("r", "1")
	f.mustFollow(t, l)
	before := l.Entries()
	l.mustApply(t, put("a", "/settings/a", "1"))
	u := l.NextUpdate(f.Status())
	reject := func() {
		t.Helper()
		if _, ok, err := f.Offer(u); !ok || err != nil {
			t.Fatalf("Offer returns %v, %v; want a candidate", ok, err)
		}
		f.Reject("/settings/a", strings.Repeat("é", MaxNoteBytes))
		f.checkContent(t, 1, before)
	}
	reject()
	status := f.Status()
	if status.Rejected == nil || status.Rejected.Revision != 2 || status.Rejected.Hash != l.Hash() ||
		status.Rejected.Pointer != "/settings/a" ||
		status.Check() != nil {
		t.Errorf("unexpected rejection %+v", status.Rejected)
	}
	if u := l.NextUpdate(status); !u.IsEmpty() {
		t.Errorf("the update after a rejection is not empty: %+v", u)
	}
	// This also holds for an update of a keeper that does not know about the rejection, and for a snapshot.
	for _, again := range []Update{u, l.UpdateSince(0, Hash{})} {
		if _, ok, err := f.Offer(again); ok || err != nil {
			t.Errorf("a rejected revision is offered again: %v, %v", ok, err)
		}
	}
	f.ClearRejections()
	if f.Status().Rejected != nil {
		t.Error("the status still reports a rejection")
	}
	reject()
	l.mustApply(t, put("b", "/settings/a", "2"))
	f.mustFollow(t, l)
	if f.Status().Rejected != nil {
		t.Error("the status still reports a rejection")
	}
}

// A follower remembers a limited number of rejections, even if a keeper that is behind offers other revisions.
func TestFollowerRemembersRejections(t *testing.T) {
	l, f := newLogWithFiller(t, Retention{}), NewFollower("r", "1")
	f.mustFollow(t, l)
	l.mustApply(t, put("a", "/settings/a", "1"))
	two := l.NextUpdate(f.Status())
	good := l.Entries()
	l.mustApply(t, put("b", "/settings/a", "2"))
	three := l.NextUpdate(f.Status())
	offer := func(u Update, want bool) {
		t.Helper()
		if _, ok, err := f.Offer(u); ok != want || err != nil {
			t.Fatalf("Offer returns %v, %v; want %v", ok, err, want)
		}
	}
	offer(three, true)
	f.Reject("/settings/a", "no")
	offer(two, true)
	f.Reject("/settings/a", "no")
	offer(three, false)
	offer(two, false)
	if r := f.Status().Rejected; r == nil || r.Revision != 3 {
		t.Errorf("unexpected latest rejection %+v", r)
	}
	f.ClearRejections()
	offer(three, true)
	f.Reject("/settings/a", "no")
	offer(two, true)
	f.Accept()
	f.checkContent(t, 2, good)
	offer(l.UpdateSince(2, f.current.hash), false)
	for i := range 2 * maxRejections {
		l.mustApply(t, put(fmt.Sprint("c", i), "/settings/a", fmt.Sprint("1", i)))
		offer(l.NextUpdate(f.Status()), true)
		f.Reject("/settings/a", "no")
	}
	if r := f.Status().Rejected; len(f.rejections) != maxRejections || r.Revision != l.Revision() {
		t.Errorf("%d of %d rejections; latest %+v, want revision %d", len(f.rejections), maxRejections, r, l.Revision())
	}
	l.mustApply(t, put("d", "/settings/a", "9"))
	f.mustFollow(t, l)
	if f.Status().Rejected != nil || len(f.rejections) != 0 {
		t.Errorf("rejections remain after a later revision was accepted: %+v", f.rejections)
	}
}

// Restore accepts a saved copy only if it is undamaged and later than the revision in force.
func TestFollowerRestoresSavedRevision(t *testing.T) {
	l, f := newLogWithFiller(t, Retention{}), NewFollower("r", "1")
	l.mustApply(t, put("a", "/settings/a", "1"))
	f.mustFollow(t, l)
	text, err := json.Marshal(f.Saved())
	if err != nil {
		t.Fatal(err)
	}
	var saved SavedRevision
	if err := json.Unmarshal(text, &saved); err != nil {
		t.Fatal(err)
	}
	next := NewFollower("r", "2")
	damaged := map[string]func(*SavedRevision){
		"revision": func(s *SavedRevision) { s.Revision++ },
		"hash":     func(s *SavedRevision) { s.Hash[3]++ },
		"sum":      func(s *SavedRevision) { s.Checksum = Hash{} },
		"value":    func(s *SavedRevision) { s.Entries["/settings/a"] = json.RawMessage("2") },
		"entry":    func(s *SavedRevision) { delete(s.Entries, "/settings/a") },
	}
	for name, damage := range damaged {
		s := saved
		s.Entries = maps.Clone(saved.Entries)
		damage(&s)
		if _, ok, err := next.Restore(s); ok || !errors.Is(err, ErrDamaged) {
			t.Errorf("damaged %s: Restore returns %v, %v; want the error %q", name, ok, err, ErrDamaged)
		}
		next.checkContent(t, 0, nil)
	}
	if _, ok, err := next.Restore(NewFollower("r", "0").Saved()); ok || err != nil {
		t.Errorf("a copy of revision 0: Restore returns %v, %v", ok, err)
	}
	if _, ok, err := next.Restore(saved); !ok || err != nil {
		t.Fatalf("Restore returns %v, %v; want a candidate", ok, err)
	}
	next.checkContent(t, 0, nil)
	next.Accept()
	next.checkContent(t, 2, l.Entries())
	if _, ok, err := next.Restore(saved); ok || !errors.Is(err, ErrStale) {
		t.Errorf("a copy of the revision in force: Restore returns %v, %v", ok, err)
	}
	// A copy may be rejected like any revision. An accepted copy is followed by a delta.
	third := NewFollower("r", "3")
	if _, ok, _ := third.Restore(saved); !ok {
		t.Fatal("the saved copy is not a candidate")
	}
	third.Reject("/settings/a", "no")
	third.checkContent(t, 0, nil)
	l.mustApply(t, put("b", "/settings/a", "2"))
	if u := l.NextUpdate(next.Status()); u.Snapshot {
		t.Errorf("the update after a restored copy is not a delta: %+v", u)
	}
	next.mustFollow(t, l)
}

// Keepers that were restored from an older state are behind a follower. The follower keeps its revision, reports that
// the keepers are behind, and accepts a snapshot once they have passed its revision.
func TestKeepersRestoredFromOlderState(t *testing.T) {
	l, f := newLogWithFiller(t, Retention{}), NewFollower("r", "1")
	old, _ := l.MarshalBinary()
	l.mustApply(t, put("a", "/settings/a", "1"))
	l.mustApply(t, put("b", "/settings/a", "2"))
	f.mustFollow(t, l)
	restored := NewLog(Retention{})
	if err := restored.UnmarshalBinary(old); err != nil {
		t.Fatal(err)
	}
	restored.AddMember("r", "1")
	f.SelectKeeper(3)
	for i := range 3 {
		if _, behind := f.KeepersAreBehind(); behind {
			t.Errorf("all keepers count as behind after %d answers", i)
		}
		if _, ok, err := f.Offer(restored.NextUpdate(f.Status())); ok || !errors.Is(err, ErrBehind) {
			t.Fatalf("a keeper that is behind: Offer returns %v, %v", ok, err)
		}
		f.CallFailed(float64(i)*10_000, 0)
		f.checkContent(t, 3, l.Entries())
	}
	if keeperRevision, behind := f.KeepersAreBehind(); !behind || keeperRevision != 1 {
		t.Errorf("KeepersAreBehind returns %d, %v; want 1, true", keeperRevision, behind)
	}
	status := restored.Convergence(1, []Lease{{FollowerStatus: f.Status()}}, nil)
	if status.Converged || joinNames(status.Diverged) != "r1" {
		t.Errorf("the follower is not diverged: %+v", status)
	}
	for i, id := range []string{"x", "y"} {
		restored.mustApply(t, put(id, "/settings/c", string(rune('1'+i))))
	}
	status = restored.Convergence(3, []Lease{{FollowerStatus: f.Status()}}, nil)
	if status.Converged || joinNames(status.Diverged) != "r1" {
		t.Errorf("other content at the same revision is not diverged: %+v", status)
	}
	if u := restored.NextUpdate(f.Status()); !u.Snapshot {
		t.Errorf("the update is not a snapshot: %+v", u)
	}
	f.mustFollow(t, restored)
	if _, behind := f.KeepersAreBehind(); behind {
		t.Error("the keepers still count as behind")
	}
	if status := restored.Convergence(3, []Lease{{FollowerStatus: f.Status()}}, nil); !status.Converged {
		t.Errorf("not converged: %+v", status)
	}
}

// The wait is short until all keepers have failed, then grows up to MaxBackoffMS. A successful call resets it.
func TestKeeperSelectionBackoff(t *testing.T) {
	f := NewFollower("r", "1")
	now, calls := 0.0, map[int]int{}
	for i := range 3 {
		calls[f.SelectKeeper(3)]++
		wait := f.CallFailed(now, 0.999)
		if limit := 100.0; i < 2 && wait >= limit || i == 2 && (wait < 250 || wait > 500) {
			t.Errorf("wait %v ms after failure %d", wait, i)
		}
		if again := f.CallFailed(now+wait/2, 0.5); math.Abs(again-wait/2) > 1e-9 { // the failure is reported twice
			t.Errorf("wait %v ms after a repeated report, want half of %v ms", again, wait)
		}
		now += wait
	}
	if len(calls) != 3 {
		t.Errorf("calls by keeper: %v, want one call of each", calls)
	}
	last := 0.0
	for i := range 30 {
		wait := f.CallFailed(now, 0)
		if now += wait; wait < last || wait > MaxBackoffMS/2 || i%3 == 0 && wait < 250 {
			t.Errorf("wait %v ms after failure %d, previously %v ms", wait, i, last)
		}
		last = wait
	}
	if wait := f.CallFailed(now, 5); wait != MaxBackoffMS {
		t.Errorf("wait %v ms with a jitter above 1, want the maximum", wait)
	}
	now += MaxBackoffMS
	keeper := f.SelectKeeper(3)
	f.CallSucceeded()
	if f.SelectKeeper(3) != keeper || f.CallFailed(now, 0) != 0 || f.SelectKeeper(3) == keeper {
		t.Error("a successful call does not reset the wait, or a failure does not switch to another keeper")
	}
	// Followers are spread over the keepers.
	first := map[int]int{}
	for i := range 600 {
		first[NewFollower("r", "process "+strings.Repeat("i", i)).SelectKeeper(5)]++
	}
	for keeper := range 5 {
		if first[keeper] < 60 {
			t.Errorf("uneven numbers of followers by keeper: %v", first)
		}
	}
	if NewFollower("r", "1").SelectKeeper(0) != 0 {
		t.Error("without keepers the index is not 0")
	}
}

// Check names the invalid field of a status.
func TestFollowerStatusCheck(t *testing.T) {
	for field, status := range map[string]FollowerStatus{
		"name":     {Instance: "1"},
		"instance": {Name: "r"},
		"refused":  {Name: "r", Instance: "1", Rejected: &Rejection{Reason: strings.Repeat("x", MaxNoteBytes+1)}},
	} {
		if err := status.Check(); err == nil || !strings.Contains(err.Error(), "field "+field) {
			t.Errorf("invalid field %s: error %v", field, err)
		}
	}
	if err := (FollowerStatus{Name: "r", Instance: "1"}).Check(); err != nil {
		t.Errorf("valid status: error %v", err)
	}
}

// The text form of a hash decodes to the same hash. Any other text is an error and leaves the hash unchanged.
func TestHashText(t *testing.T) {
	h := HashEntries(map[string]json.RawMessage{"/settings/a": json.RawMessage("1")})
	text, err := json.Marshal(h)
	var decoded Hash
	if err != nil || json.Unmarshal(text, &decoded) != nil || decoded != h || string(text) != `"`+h.String()+`"` {
		t.Errorf("text %s, error %v, decoded as %v", text, err, decoded)
	}
	for _, s := range []string{"", "00", strings.Repeat("x", 64), strings.Repeat("0", 66)} {
		if err := decoded.UnmarshalText([]byte(s)); err == nil || decoded != h {
			t.Errorf("text %q: error %v, hash %v", s, err, decoded)
		}
	}
	// The same bytes split into another pointer and value have another digest, and subtraction undoes addition.
	a, b := entryDigest("/settings/a", json.RawMessage("11")), entryDigest("/settings/a1", json.RawMessage("1"))
	if a == b || h.plus(a).plus(b).minus(a).minus(b) != h || h.plus(a) != a.plus(h) || h.minus(h) != (Hash{}) {
		t.Errorf("wrong sums, or equal digests: %v, %v", a, b)
	}
}
