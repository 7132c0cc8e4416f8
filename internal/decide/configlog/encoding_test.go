package configlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// newSampleLog returns a log with at least one of each thing that a state can contain.
func newSampleLog(tb testing.TB) *Log {
	tb.Helper()
	l := newLogWithFiller(tb, Retention{Revisions: 4, Bytes: 1 << 20})
	l.mustApply(tb, put("a", "/settings/a", "1"))
	l.mustApply(
		tb,
		Change{
			ID:     "b",
			Put:    map[string]json.RawMessage{"/board": json.RawMessage(`"a:1"`)},
			Remove: []string{"/settings/a"},
			Note:   "why",
			AtMS:   7,
		},
	)
	l.mustApply(tb, Change{ID: "c", RevertTo: revisionPtr(2)})
	l.mustApply(tb, put("d", "/settings/a", "1")) // leaves the content as it is
	l.mustApply(tb, put("e", "/settings/parties/p", `{"quota-rps":1}`))
	l.AddMember("r1", "1")
	l.AddMember("r2", "1")
	l.AddMember("r2", "2")
	return l
}

// A decoded state equals the encoded one, and encoding it again gives the same bytes.
func TestStateRoundTrip(t *testing.T) {
	for _, l := range []*Log{NewLog(Retention{}), newSampleLog(t)} {
		state, err := l.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		decoded := NewLog(Retention{Revisions: 1})
		decoded.mustApply(t, put("else", "/settings/else", "1"))
		if err := decoded.UnmarshalBinary(state); err != nil || !reflect.DeepEqual(l, decoded) {
			t.Errorf("%v\n%+v\n%+v", err, l, decoded)
		}
		again, _ := decoded.MarshalBinary()
		if !bytes.Equal(state, again) {
			t.Error("encoding the decoded state gives other bytes")
		}
	}
}

// UnmarshalBinary rejects a state with a flipped bit or a missing end at any position, and leaves the log unchanged.
func TestDamagedState(t *testing.T) {
	state, _ := newSampleLog(t).MarshalBinary()
	l := NewLog(Retention{})
	l.mustApply(t, put("mine", "/settings/mine", "1"))
	checkDamaged := func(why string, state []byte, reason string) {
		t.Helper()
		err := l.UnmarshalBinary(state)
		if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), reason) || l.Revision() != 1 ||
			len(l.Entries()) != 1 {
			t.Errorf("%s: error %v, want %q with %q; revision %d, want 1", why, err, ErrDamaged, reason, l.Revision())
		}
	}
	for i := range state {
		broken := bytes.Clone(state)
		broken[i] ^= 1 << (i % 8)
		checkDamaged(fmt.Sprint("byte ", i), broken, "state")
		checkDamaged(fmt.Sprint("truncated to ", i), state[:i], "state")
	}
	checkDamaged("other data", bytes.Repeat([]byte("raft"), 100), "not the state")
	otherVersion := bytes.Clone(state)
	otherVersion[len(stateMagic)-1]++
	checkDamaged("later format", otherVersion, "format version 2")
	checkDamaged("longer", append(bytes.Clone(state), 0), "checksum")
	// States with a correct checksum, as a faulty program could write them.
	withChecksum := func(body []byte) []byte {
		checksum := sha256.Sum256(body)
		return append(bytes.Clone(body), checksum[:]...)
	}
	body := state[:len(state)-sha256.Size]
	checkDamaged("additional byte", withChecksum(append(bytes.Clone(body), 0)), "unexpected bytes")
	checkDamaged("missing byte", withChecksum(body[:len(body)-1]), "truncated")
	checkDamaged(
		"entry",
		withChecksum(bytes.Replace(body, []byte("/settings/filler"), []byte("/settings/fillet"), 1)),
		"entries",
	)
}
