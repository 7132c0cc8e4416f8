package keeper

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

func logEntry(t *testing.T, index uint64, c command) *raft.Log {
	t.Helper()
	data, err := c.encode()
	if err != nil {
		t.Fatal(err)
	}
	return &raft.Log{Index: index, Type: raft.LogCommand, Data: data}
}

func changeEntry(id string, base uint64, value string) command {
	return command{Change: &changeCommand{Base: base, Change: configlog.Change{
		ID:  id,
		Put: map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage(value)},
	}}}
}

// A change applies only to the content that it was checked against, because two changes that are each valid may be
// invalid together.
func TestChangeRequiresItsBase(t *testing.T) {
	m := newStateMachine(configlog.Retention{})
	if out := m.Apply(logEntry(t, 1, changeEntry("a", 0, "1"))).(changeOutcome); out.BaseMoved || out.Revision != 1 {
		t.Errorf("first change on revision 0: %+v, want revision 1", out)
	}
	if out := m.Apply(logEntry(t, 2, changeEntry("b", 0, "2"))).(changeOutcome); !out.BaseMoved ||
		m.summary().Revision != 1 {
		t.Errorf("change on the old revision 0: %+v, current revision %d; want BaseMoved, revision 1", out,
			m.summary().Revision)
	}
	if out := m.Apply(logEntry(t, 3, changeEntry("b", 1, "2"))).(changeOutcome); out.BaseMoved || out.Revision != 2 {
		t.Errorf("second change on revision 1: %+v, want revision 2", out)
	}
}

// A state that is restored from a snapshot equals the original and handles further entries in the same way.
func TestSnapshotRoundTrip(t *testing.T) {
	m := newStateMachine(configlog.Retention{Revisions: 2})
	for i, c := range []command{
		changeEntry("a", 0, "1"),
		{Join: []followerProcess{{"r2", "i"}, {"r1", "i"}}},
		changeEntry("b", 1, "2"),
		{Forget: "r2"},
		changeEntry("c", 2, "3"),
	} {
		m.Apply(logEntry(t, uint64(i+1), c))
	}
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := newStateMachine(configlog.Retention{})
	_, _, changed := other.contentAt(nil)
	if err := other.Restore(io.NopCloser(bytes.NewReader(s.(snapshotState)))); err != nil {
		t.Fatal(err)
	}
	select {
	case <-changed:
	default:
		t.Error("Restore did not notify the goroutines that wait for a change")
	}
	if other.summary() != m.summary() || m.summary().Oldest != 1 || !slices.Equal(other.followerNames(), []string{"r1"}) ||
		len(other.unregistered([]followerProcess{{"r1", "i"}, {"r2", "i"}, {"r1", "j"}})) != 2 {
		t.Errorf("original %+v, restored %+v, followers %v; want equal states with oldest revision 1 and follower r1",
			m.summary(), other.summary(), other.followerNames())
	}
	if out := other.Apply(logEntry(t, 9, changeEntry("b", 3, "2"))).(changeOutcome); !out.Repeated || out.Revision != 2 {
		t.Errorf("repeated change from before the snapshot: %+v, want repeated revision 2", out)
	}
	truncated := s.(snapshotState)[:len(s.(snapshotState))-1]
	if err := newStateMachine(configlog.Retention{}).Restore(io.NopCloser(bytes.NewReader(truncated))); err == nil {
		t.Error("a truncated snapshot was restored without an error")
	}
}

// A damaged log entry is detected when it is read, and applying one panics instead of skipping it.
func TestDamagedEntry(t *testing.T) {
	l := logEntry(t, 1, changeEntry("a", 0, "1"))
	for _, c := range []struct {
		data []byte
		err  string
	}{
		{l.Data[:3], "truncated"},
		{append([]byte{9}, l.Data[1:]...), "format 9"},
		{append(slices.Clone(l.Data[:len(l.Data)-1]), '!'), "checksum"},
	} {
		if err := verifyCommand(c.data); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("error %v, want one with %q", err, c.err)
		}
		store := raft.NewInmemStore()
		if err := store.StoreLog(&raft.Log{Index: 1, Type: raft.LogCommand, Data: c.data}); err != nil {
			t.Fatal(err)
		}
		if err := (checksummedLog{store}).GetLog(1, new(raft.Log)); err == nil {
			t.Error("GetLog returned a damaged entry")
		}
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("entry with error %q was applied without a panic", c.err)
				}
			}()
			newStateMachine(configlog.Retention{}).Apply(&raft.Log{Index: 1, Data: c.data})
		}()
	}
	err := (checksummedLog{raft.NewInmemStore()}).GetLog(7, new(raft.Log))
	if err != raft.ErrLogNotFound { //nolint:errorlint // raft compares with ==, so the error must not be wrapped
		t.Errorf("GetLog of a missing entry returned %v, want %v", err, raft.ErrLogNotFound)
	}
}

// Messages of raft are logged with their level and fields, and formatted arguments are expanded.
func TestRaftLogger(t *testing.T) {
	var out bytes.Buffer
	l := raftLogger{target: slog.New(slog.NewTextHandler(&out, nil)), name: "raft"}
	l.Debug("suppressed")
	l.Named("x").With("peer", "k2").Warn("logged", "list", hclog.Fmt("%+v", []int{1, 2}))
	if text := out.String(); strings.Contains(text, "suppressed") ||
		!strings.Contains(text, "level=WARN msg=logged peer=k2 list=\"[1 2]\"") {
		t.Error(text)
	}
}

// ParsePeers and the validation of the options accept valid values of --peers, and name the fault of invalid ones.
func TestParsePeers(t *testing.T) {
	peers, err := ParsePeers("k1=h1:1/h1:2,k2=[::1]:1/[::1]:2")
	if err != nil || len(peers) != 2 || peers[1] != (Peer{ID: "k2", RaftAddr: "[::1]:1", HTTPAddr: "[::1]:2"}) {
		t.Errorf("peers %+v, error %v", peers, err)
	}
	sixKeepers := "a=h:1/h:2,b=h:1/h:2,c=h:1/h:2,d=h:1/h:2,e=h:1/h:2,f=h:1/h:2"
	for _, c := range []struct{ text, err string }{
		{"", `--peers: ""`},
		{"k1", `"k1"`},
		{"k1=h:1", `"k1=h:1"`},
		{"=h:1/h:2", "--peers"},
		{"k1=h:1/h:0", "k1: "},
		{"k1=:1/h:1", "k1: "},
		{"k1=h:1/h:2,k1=h:1/h:2", "k1 is named twice"},
		{"k 1=h:1/h:2", `id "k 1"`},
		{sixKeepers, "6 keepers"},
	} {
		peers, err := ParsePeers(c.text)
		if err == nil {
			_, err = Options{
				ID: "k1", Dir: "d", HTTPAddr: "h:1", RaftAddr: "h:2", Peers: peers,
				Check: func(map[string]json.RawMessage) *configerror.Error { return nil },
			}.withDefaults()
		}
		if err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("--peers %q: error %v, want one with %q", c.text, err, c.err)
		}
	}
}
