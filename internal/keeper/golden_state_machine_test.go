package keeper

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"

	"windflow/internal/decide/configlog"
	"windflow/internal/golden"
)

func pointerTo[T any](v T) *T { return &v }

// sampleCommands returns commands by the name of their golden file. Together they set every field.
func sampleCommands() map[string]command {
	put := map[string]json.RawMessage{
		"/settings/over-share-worth": json.RawMessage("1.5"),
		"/board":                     json.RawMessage(`"board:7300"`),
	}
	return map[string]command{
		"command-put.bin": {Change: &changeCommand{Base: 7, Change: configlog.Change{
			ID: "change-8", Expect: pointerTo(uint64(7)),
			Put: put, Remove: []string{"/settings/parties/north"}, Note: "more for south", AtMS: 1_796_000_000_123,
		}}},
		"command-revert.bin": {Change: &changeCommand{Base: 8, Change: configlog.Change{
			ID: "change-9", RevertTo: pointerTo(uint64(7)),
			Note: "back", AtMS: 1_796_000_000_456,
		}}},
		"command-join.bin": {Join: []followerProcess{
			{"r1", "00000000000a-000000000000000b"},
			{"r2", "00000000000c-000000000000000d"},
		}},
		"command-forget.bin": {Forget: "r2"},
	}
}

// Commands are encoded to the same bytes as by earlier versions, and recorded commands are decoded correctly.
func TestGoldenCommands(t *testing.T) {
	var samples []any
	for file, want := range sampleCommands() {
		samples = append(samples, want)
		data, err := want.encode()
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, file, data)
		got, err := decodeCommand(golden.Read(t, file))
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("%s: %v %s", file, err, diff)
		}
	}
	golden.AllFieldsSet(t, samples...)
}

// sampleMachine returns a state that exercises all parts of a snapshot: compacted revisions, a revert and a roster.
func sampleMachine(t *testing.T) *stateMachine {
	t.Helper()
	m := newStateMachine(configlog.Retention{Revisions: 3, Bytes: 1 << 20})
	put := func(id, pointer, value string) configlog.Change {
		return configlog.Change{
			ID: id, Put: map[string]json.RawMessage{pointer: json.RawMessage(value)},
			Note: "note of " + id, AtMS: 1_796_000_000_000,
		}
	}
	for i, c := range []command{
		{Change: &changeCommand{Base: 0, Change: put("a", "/settings/over-share-worth", "1")}},
		{Join: []followerProcess{{"r1", "first"}, {"r2", "only"}, {"r3", "gone"}}},
		{Change: &changeCommand{Base: 1, Change: put("b", "/board", `"board:7300"`)}},
		{Join: []followerProcess{{"r1", "second"}}},
		{Change: &changeCommand{Base: 2, Change: put("c", "/settings/parties/north", `{"share":2}`)}},
		{Forget: "r3"},
		{Change: &changeCommand{
			Base:   3,
			Change: configlog.Change{ID: "d", Remove: []string{"/board"}, AtMS: 1_796_000_000_004},
		}},
		{Change: &changeCommand{
			Base:   4,
			Change: configlog.Change{ID: "e", RevertTo: pointerTo(uint64(3)), Note: "back", AtMS: 1_796_000_000_005},
		}},
	} {
		m.Apply(logEntry(t, uint64(i+1), c))
	}
	return m
}

// A snapshot is encoded to the same bytes as by an earlier version, and a recorded snapshot is restored completely.
func TestGoldenSnapshot(t *testing.T) {
	const file = "snapshot.bin"
	m := sampleMachine(t)
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, file, s.(snapshotState))
	restored := newStateMachine(configlog.Retention{})
	if err := restored.Restore(io.NopCloser(bytes.NewReader(golden.Read(t, file)))); err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(describeStateMachine(restored), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "snapshot.json", append(text, '\n'))
	if second, err := restored.Snapshot(); err != nil || !bytes.Equal(second.(snapshotState), golden.Read(t, file)) {
		t.Errorf("a snapshot of the restored state differs: %v", err)
	}
	if out := restored.Apply(&raft.Log{
		Index: 9, Type: raft.LogCommand,
		Data: golden.Read(t, "command-forget.bin"),
	}); out != true {
		t.Errorf("applying the command that forgets r2 returned %v, want true", out)
	}
}

// machineContent is the complete state of a state machine as returned by its methods.
type machineContent struct {
	Oldest   uint64               `json:"oldest"`
	Revision uint64               `json:"revision"`
	History  []configlog.Revision `json:"history"`
	Contents []configContent      `json:"contents"`
	Roster   []string             `json:"roster"`
	Unknown  []followerProcess    `json:"unknown"` // the processes ever registered that are no longer on the roster
}

func describeStateMachine(m *stateMachine) machineContent {
	current := m.summary()
	out := machineContent{
		Oldest: current.Oldest, Revision: current.Revision, History: m.history(0, 1000), Roster: m.followerNames(),
		Unknown: m.unregistered([]followerProcess{{"r1", "first"}, {"r1", "second"}, {"r2", "only"}, {"r3", "gone"}}),
	}
	for rev := current.Oldest; rev <= current.Revision; rev++ {
		c, _, _ := m.contentAt(&rev)
		out.Contents = append(out.Contents, c)
	}
	return out
}
