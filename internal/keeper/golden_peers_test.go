package keeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/decide/configlog"
	"windflow/internal/golden"
)

// peerAnswers are the responses of a keeper of an earlier version to another keeper, by path.
var peerAnswers = map[string]string{
	"/v1/peer": `{"cluster":"golden","id":"k2","stage":"member","leader":"k3"}`,
	"/v1/leases": `{"keeper":"k2","settled":true,"leases":[{"name":"r1","instance":"i","revision":4,"hash":"` +
		strings.Repeat("01", 32) +
		`","refused":{"revision":5,"hash":"` + strings.Repeat("02", 32) +
		`","pointer":"/board","reason":"no"},"until_ms":12.5}]}`,
	"/v1/leader": `{"id":"k2","last_index":17}`,
	"/v1/roster": `{}`,
}

// callsToPeer makes each kind of call that keepers make to each other. It returns the received requests as text, and
// the decoded responses.
func callsToPeer(t *testing.T) (requests []byte, status peerStatus, leases []configlog.Lease, leader leaderStatus) {
	t.Helper()
	var received bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(&received, "%s %s Windflow-Keeper=%q\n%s\n", r.Method, r.URL, r.Header.Get("Windflow-Keeper"), body)
		_, _ = io.WriteString(w, peerAnswers[r.URL.Path])
	}))
	defer server.Close()
	peer := Peer{ID: "k2", HTTPAddr: strings.TrimPrefix(server.URL, "http://")}
	peers := newPeerClient("k1", []Peer{{ID: "k1"}, peer})
	peers.http = server.Client()
	convergence := &convergenceService{keeperID: "k1", peers: peers, leases: newLeaseTable("k1", time.Second)}
	ctx := context.Background()
	status = peers.statuses(ctx)["k2"]
	leases = convergence.gatherLeases(ctx).leases
	if err := peers.get(ctx, peer, leaderPath, &leader); err != nil {
		t.Error(err)
	}
	processes := []followerProcess{{"r1", "i"}, {"r2", "j"}}
	var empty struct{}
	if err := peers.post(ctx, peer, time.Minute, rosterPath, processes, &empty); err != nil {
		t.Error(err)
	}
	return received.Bytes(), status, leases, leader
}

// Keepers send the same requests to each other as earlier versions, and can decode the responses of earlier versions.
func TestGoldenCallsToPeers(t *testing.T) {
	requests, status, leases, leader := callsToPeer(t)
	golden.Equal(t, "calls-to-peers.txt", requests)
	var hash, refused configlog.Hash
	copy(hash[:], bytes.Repeat([]byte{1}, 32))
	copy(refused[:], bytes.Repeat([]byte{2}, 32))
	wantLeases := []configlog.Lease{{FollowerStatus: configlog.FollowerStatus{
		Name: "r1", Instance: "i", Revision: 4, Hash: hash,
		Rejected: &configlog.Rejection{Revision: 5, Hash: refused, Pointer: "/board", Reason: "no"},
	}, UntilMS: 12.5}}
	if diff := cmp.Diff(wantLeases, leases); diff != "" {
		t.Error(diff)
	}
	if want := (peerStatus{Cluster: "golden", ID: "k2", Stage: "member", Leader: "k3"}); status != want {
		t.Errorf("%+v, want %+v", status, want)
	}
	if want := (leaderStatus{ID: "k2", LastIndex: 17}); leader != want {
		t.Errorf("%+v, want %+v", leader, want)
	}
	golden.AllFieldsSet(t, status, leader, leases)
}

// openTestFolder opens dir as the folder of keeper k1 of the group "golden" and closes it when the test ends.
func openTestFolder(t *testing.T, dir string) *folder {
	t.Helper()
	f, err := openFolder(dir, "golden", "k1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return f
}

// The identity file of each stage matches the recorded one byte for byte, and a recorded one can be read.
func TestGoldenFolderIdentity(t *testing.T) {
	for _, stage := range []string{stageNew, stageFounding, stageJoining, stageMember} {
		dir, file := t.TempDir(), "keeper-"+stage+".json"
		f := openTestFolder(t, dir)
		if err := f.recordStage(stage); err != nil {
			t.Fatal(err)
		}
		golden.AllFieldsSet(t, f.identity)
		written, err := os.ReadFile(filepath.Join(dir, "keeper.json"))
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, file, written)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "keeper.json"), golden.Read(t, "keeper-new.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if f := openTestFolder(t, dir); f.identity.Stage != stageNew || len(f.listAside()) != 0 {
		t.Errorf("recorded identity is read as %+v, set aside: %v", f.identity, f.listAside())
	}
}

// Files that are set aside get the recorded names, and the reason is stored with them.
func TestGoldenSetAside(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "keeper.json"), bytes.Replace(golden.Read(t, "keeper-new.json"),
		[]byte(`"golden"`), []byte(`"other"`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	f := openTestFolder(t, dir)
	timestamp := regexp.MustCompile(`aside-\d{8}T\d{6}\.\d{3}Z`)
	var tree bytes.Buffer
	err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			content, _ := os.ReadFile(path)
			name, _ := filepath.Rel(dir, path)
			fmt.Fprintf(&tree, "%s: %q\n", timestamp.ReplaceAllString(name, "aside-TIME"), content)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&tree, timestamp.ReplaceAllString(strings.Join(f.listAside(), "\n"), "aside-TIME"))
	golden.Equal(t, "aside.txt", tree.Bytes())
}
