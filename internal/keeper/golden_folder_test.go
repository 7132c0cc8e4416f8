package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
	"windflow/internal/golden"
)

// goldenFolders contains the folders of the keepers k1 to k3 after the changes of recordedChanges.
const goldenFolders = "folders.tar.gz"

// goldenTimeout bounds each wait of the golden tests.
const goldenTimeout = 20 * time.Second

// recordedChanges returns changes that include a revert and a removal and create more revisions than are kept.
func recordedChanges() (list []configlog.Change) {
	for i := range 5 {
		list = append(list, configlog.Change{
			ID: fmt.Sprint("change-", i+1), Note: fmt.Sprint("note ", i+1),
			Put: map[string]json.RawMessage{
				"/settings/over-share-worth":         json.RawMessage(fmt.Sprint(i + 1)),
				fmt.Sprint("/settings/parties/p", i): json.RawMessage(`{"share":2}`),
			},
		})
	}
	list = append(list, configlog.Change{ID: "change-6", Remove: []string{"/settings/parties/p0"}})
	return append(list, configlog.Change{ID: "change-7", RevertTo: pointerTo(uint64(4)), Note: "back"})
}

// leaderField matches the part of a response that differs between runs.
var leaderField = regexp.MustCompile(`"leader":"[^"]*"`)

// inProcessGroup is a group of keepers that run in the test process.
type inProcessGroup struct {
	addresses []string // for HTTP calls
	stop      func()
}

// startInProcessGroup runs three keepers on the folders k1 to k3 in dir until stop is called or the test ends.
func startInProcessGroup(t *testing.T, dir string) *inProcessGroup {
	t.Helper()
	var peers []Peer
	for i := range 3 {
		host := LoopbackHost()
		peers = append(peers, Peer{ID: fmt.Sprint("k", i+1), RaftAddr: host + ":7402", HTTPAddr: host + ":7401"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c := &inProcessGroup{}
	for _, p := range peers {
		c.addresses = append(c.addresses, p.HTTPAddr)
		o := Options{
			ID: p.ID, Cluster: "golden", Dir: filepath.Join(dir, p.ID), HTTPAddr: p.HTTPAddr, RaftAddr: p.RaftAddr, Peers: peers,
			Check: func(map[string]json.RawMessage) *configerror.Error { return nil }, Log: slog.New(slog.DiscardHandler),
			Retention: configlog.Retention{Revisions: 4}, SnapshotThreshold: 6, SnapshotInterval: 20 * time.Millisecond,
			ChangeTimeout: goldenTimeout,
		}
		running.Go(func() {
			if err := Run(ctx, o); err != nil {
				t.Errorf("keeper %s failed: %v", o.ID, err)
			}
		})
	}
	c.stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(c.stop)
	return c
}

// call repeats a call to keeper i until the status is 200, and returns the body of the response.
func (c *inProcessGroup) call(t *testing.T, i int, method, path string, in any) []byte {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var lastFailure string
	for deadline := time.Now().Add(goldenTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		r, err := http.NewRequest(method, "http://"+c.addresses[i]+path, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Close = true
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			lastFailure = err.Error()
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return text
		}
		lastFailure = answer.Status + " " + string(text)
	}
	t.Fatalf("k%d: %s %s: %s", i+1, method, path, lastFailure)
	return nil
}

// followBody returns the body of the call of a follower that has no revision yet.
func followBody(name string) any {
	return map[string]configlog.FollowerStatus{"report": {Name: name, Instance: name + "-1"}}
}

// recordFolders records the golden folders with the current program.
func recordFolders(t *testing.T) {
	t.Helper()
	dir := t.TempDir()
	c := startInProcessGroup(t, dir)
	changes := recordedChanges()
	for i, change := range changes {
		c.call(t, i%3, http.MethodPost, "/v1/changes", change)
		if i == 2 {
			c.call(t, 0, http.MethodPost, "/v1/follow", followBody("r1"))
			c.call(t, 1, http.MethodPost, "/v1/follow", followBody("r2"))
			c.call(t, 2, http.MethodDelete, "/v1/followers/r2", nil)
		}
	}
	for i := range 3 {
		c.call(t, i, http.MethodGet, fmt.Sprintf("/v1/config?revision=%d&wait_ms=10000", len(changes)), nil)
	}
	time.Sleep(2 * time.Second) // for a snapshot to be taken and the stage to be written
	c.stop()
	golden.Write(t, goldenFolders, golden.Pack(t, dir))
}

// The current program reads the same content from folders that an earlier version wrote.
func TestGoldenFolders(t *testing.T) {
	if golden.Recording(t, goldenFolders) {
		recordFolders(t)
	}
	dir := golden.Unpack(t, golden.Read(t, goldenFolders))
	var text strings.Builder
	for i := range 3 {
		id := fmt.Sprint("k", i+1)
		fmt.Fprintf(&text, "%s\n", id)
		describeFolder(t, &text, filepath.Join(dir, id), id)
	}
	golden.Equal(t, "folders.txt", []byte(text.String()))
}

// describeFolder writes the identity, vote, entries and snapshots of a keeper's folder as text.
func describeFolder(t *testing.T, out io.Writer, dir, id string) {
	t.Helper()
	f, err := openFolder(dir, "golden", id, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	fmt.Fprintf(out, "stage %s, aside %d\n", f.identity.Stage, len(f.listAside()))
	s, err := openStores(dir, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	describeVote(t, out, s)
	describeEntries(t, out, s)
	describeSnapshots(t, out, s)
}

func describeVote(t *testing.T, out io.Writer, s *stores) {
	t.Helper()
	term, err := s.votes.GetUint64([]byte("CurrentTerm"))
	if err != nil {
		t.Fatal(err)
	}
	votedIn, _ := s.votes.GetUint64([]byte("LastVoteTerm"))
	votedFor, _ := s.votes.Get([]byte("LastVoteCand"))
	fmt.Fprintf(out, "term %d, voted in %d for %s\n", term, votedIn, votedFor)
}

func describeEntries(t *testing.T, out io.Writer, s *stores) {
	t.Helper()
	first, _ := s.entries.FirstIndex()
	last, _ := s.entries.LastIndex()
	for i := first; i <= last; i++ {
		var l raft.Log
		if err := (checksummedLog{s.entries}).GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		description := ""
		switch l.Type {
		case raft.LogCommand:
			description = string(l.Data[commandHeaderSize:])
		case raft.LogConfiguration:
			description = members(raft.DecodeConfiguration(l.Data))
		case raft.LogNoop, raft.LogBarrier, raft.LogAddPeerDeprecated, raft.LogRemovePeerDeprecated:
		}
		fmt.Fprintf(out, "entry %d, term %d, %v: %s\n", l.Index, l.Term, l.Type, description)
	}
}

func describeSnapshots(t *testing.T, out io.Writer, s *stores) {
	t.Helper()
	list, err := s.snapshots.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, meta := range list {
		_, content, err := s.snapshots.Open(meta.ID)
		if err != nil {
			t.Fatal(err)
		}
		m := newStateMachine(configlog.Retention{})
		if err := m.Restore(content); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(describeStateMachine(m))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(out, "snapshot at %d, term %d, %s: %s\n", meta.Index, meta.Term, members(meta.Configuration), text)
	}
}

func members(c raft.Configuration) string {
	var names []string
	for _, s := range c.Servers {
		names = append(names, fmt.Sprintf("%s=%s(%v)", s.ID, s.Address, s.Suffrage))
	}
	return strings.Join(names, " ")
}

// A group that starts on folders written by an earlier version serves their revisions and accepts further changes.
func TestGoldenFoldersServe(t *testing.T) {
	c := startInProcessGroup(t, golden.Unpack(t, golden.Read(t, goldenFolders)))
	last := len(recordedChanges())
	var text bytes.Buffer
	for i := range 3 {
		for rev := last - 3; rev <= last; rev++ {
			text.Write(c.call(t, i, http.MethodGet, fmt.Sprintf("/v1/config?revision=%d&wait_ms=10000", rev), nil))
		}
		text.Write(c.call(t, i, http.MethodGet, "/v1/revisions", nil))
		text.Write(c.call(t, i, http.MethodGet, "/v1/peer", nil))
	}
	golden.Equal(t, "folders-served.txt", leaderField.ReplaceAll(text.Bytes(), []byte(`"leader":"ID"`)))
	got := c.call(t, 0, http.MethodPost, "/v1/changes", recordedChanges()[3])
	if want := `{"revision":4,"repeated":true}` + "\n"; string(got) != want {
		t.Errorf("repeated recorded change: %s, want %s", got, want)
	}
	got = c.call(t, 1, http.MethodPost, "/v1/changes",
		configlog.Change{ID: "new", Remove: []string{"/settings/parties/p1"}})
	if want := `{"revision":8,"repeated":false}` + "\n"; string(got) != want {
		t.Errorf("new change: %s, want %s", got, want)
	}
}
