package configlog

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/decide/configerror"
	"windflow/internal/golden"
)

func goldenHash(digit byte) (h Hash) {
	copy(h[:], bytes.Repeat([]byte{digit}, len(h)))
	return h
}

// goldenStatus is a follower's status with all fields set.
func goldenStatus() FollowerStatus {
	return FollowerStatus{
		Name:     "n/0",
		Instance: NewInstanceID(1_796_000_000_123, 0xfedcba9876543210),
		Revision: 12,
		Hash:     goldenHash(1),
		Rejected: &Rejection{Revision: 13, Hash: goldenHash(2), Pointer: "/board", Reason: "no such board"},
	}
}

// goldenConvergence is a convergence status with all fields set.
func goldenConvergence() ConvergenceStatus {
	status := goldenStatus()
	processes := []FollowerProcess{{
		Name:     status.Name,
		Instance: status.Instance,
		Revision: status.Revision,
		Hash:     status.Hash,
		Rejected: status.Rejected,
	}}
	return ConvergenceStatus{
		Revision:         9,
		InForce:          processes,
		Behind:           processes,
		Rejected:         processes,
		Diverged:         processes,
		Missing:          []string{"r1"},
		UnreachedKeepers: []string{"k2"},
		Converged:        true,
	}
}

// goldenMessages returns a value of each encoded type, with all fields set, by the name of its golden file.
func goldenMessages() map[string]any {
	revertTo, expect := uint64(3), uint64(7)
	put := map[string]json.RawMessage{
		"/settings/over-share-worth": json.RawMessage("1.5"),
		"/board":                     json.RawMessage(`"board:7300"`),
	}
	remove := []string{"/settings/parties/north", "/settings/parties/south"}
	status := goldenStatus()
	rejected := configerror.Error{Kind: configerror.Conflict, Pointer: "/board", Reason: "another one", Revision: 9}
	return map[string]any{
		"change.json": Change{
			ID:       "c",
			Expect:   &expect,
			Put:      put,
			Remove:   remove,
			RevertTo: &revertTo,
			Note:     "note",
			AtMS:     1_796_000_000_123,
		},
		"fault.json":  rejected,
		"result.json": Result{Revision: 9, Repeated: true, Err: &rejected},
		"revision.json": Revision{
			Revision: 9,
			ID:       "c",
			Note:     "note",
			AtMS:     5,
			RevertTo: &revertTo,
			Hash:     goldenHash(3),
			Put:      put,
			Remove:   remove,
		},
		"update.json": Update{
			From:         8,
			To:           9,
			Snapshot:     true,
			KeeperBehind: true,
			Put:          put,
			Remove:       remove,
			Hash:         goldenHash(4),
		},
		"report.json":  status,
		"lease.json":   Lease{FollowerStatus: status, UntilMS: 6000.25},
		"verdict.json": goldenConvergence(),
		"saved.json":   SavedRevision{Revision: 9, Hash: goldenHash(5), Checksum: goldenHash(6), Entries: put},
		"terms.json":   Retention{Revisions: 2000, Bytes: 1 << 20},
	}
}

// The JSON of each type is that of earlier versions of the program, and decodes to the same value.
func TestGoldenMessages(t *testing.T) {
	for file, want := range goldenMessages() {
		golden.AllFieldsSet(t, want)
		text, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, file, append(text, '\n'))
		got := reflect.New(reflect.TypeOf(want))
		if err := json.Unmarshal(golden.Read(t, file), got.Interface()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got.Elem().Interface()); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}

// The names of the error kinds are those of earlier versions of the program.
func TestGoldenErrorKinds(t *testing.T) {
	text, err := json.Marshal(
		[]configerror.Kind{configerror.Invalid, configerror.Conflict, configerror.Compacted, configerror.IDReused},
	)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "fault-kinds.json", append(text, '\n'))
}

// goldenChanges returns the changes of the golden log, which retains three revisions.
func goldenChanges() []Change {
	revertTo := uint64(4)
	expect := uint64(2)
	return []Change{
		{
			ID:   "a",
			Put:  map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("1")},
			Note: "first",
			AtMS: 1_796_000_000_001,
		},
		{ID: "b", Put: map[string]json.RawMessage{"/board": json.RawMessage(`"board:7300"`)}, AtMS: 1_796_000_000_002},
		{
			ID:     "c",
			Expect: &expect,
			Put: map[string]json.RawMessage{
				"/settings/parties/north": json.RawMessage(`{"share":2,"a":[1.50,null]}`),
			},
			Remove: []string{"/settings/over-share-worth"},
			Note:   "both",
			AtMS:   1_796_000_000_003,
		},
		{ID: "d", Put: map[string]json.RawMessage{"/board": json.RawMessage(`"board:7301"`)}, AtMS: 1_796_000_000_004},
		{ID: "e", Remove: []string{"/board"}, AtMS: 1_796_000_000_005},
		{ID: "f", RevertTo: &revertTo, Note: "back", AtMS: 1_796_000_000_006},
	}
}

// The encoded state of a log has the bytes of earlier versions of the program. The decoded log has the same content and
// history, and remembers the applied changes, so that none is applied twice.
func TestGoldenLog(t *testing.T) {
	const file = "log.bin"
	l := NewLog(Retention{Revisions: 3, Bytes: 1 << 20})
	for _, c := range goldenChanges() {
		if r := l.Apply(c); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	l.AddMember("r1", "first")
	l.AddMember("r1", "second")
	l.AddMember("r2", "only")
	state, err := l.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, file, state)
	read := NewLog(Retention{})
	if err := read.UnmarshalBinary(golden.Read(t, file)); err != nil {
		t.Fatal(err)
	}
	diff := cmp.Diff(
		l,
		read,
		cmp.AllowUnexported(
			Log{},
			document{},
			history{},
			record{},
			edit{},
			changeIDs{},
			appliedChange{},
			memberProcesses{},
		),
	)
	if diff != "" {
		t.Error(diff)
	}
	for i, c := range goldenChanges() {
		if r := read.Apply(c); !r.Repeated || r.Revision != uint64(i+1) {
			t.Errorf("repeated change %s: %+v", c.ID, r)
		}
	}
	history, err := json.MarshalIndent(read.History(0, 100), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "log-history.json", append(history, '\n'))
}
