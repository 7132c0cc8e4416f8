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
	"windflow/internal/goldentest"
)

// peerAnswers are what a keeper of an earlier program answers to another one, by path.
var peerAnswers = map[string]string{
	"/v1/peer": `{"cluster":"golden","id":"k2","stage":"member","leader":"k3"}`,
	"/v1/leases": `{"keeper":"k2","settled":true,"leases":[{"name":"r1","instance":"i","revision":4,"hash":"` + strings.Repeat("01", 32) +
		`","refused":{"revision":5,"hash":"` + strings.Repeat("02", 32) + `","pointer":"/board","reason":"no"},"until_ms":12.5}]}`,
	"/v1/leader": `{"id":"k2","last_index":17}`,
	"/v1/roster": `{}`,
}

// callsToPeer has a keeper make each call that keepers make to each other, and gives the requests as they came.
func callsToPeer(t *testing.T) (requests []byte, word peerStatus, leases []configlog.Lease, leader leaderStatus) {
	t.Helper()
	var came bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(&came, "%s %s Windflow-Keeper=%q\n%s\n", r.Method, r.URL, r.Header.Get("Windflow-Keeper"), body)
		_, _ = io.WriteString(w, peerAnswers[r.URL.Path])
	}))
	defer server.Close()
	peer := Peer{ID: "k2", HTTPAddr: strings.TrimPrefix(server.URL, "http://")}
	k := &Keeper{o: Options{ID: "k1", Peers: []Peer{{ID: "k1"}, peer}}, client: server.Client(), leases: configlog.NewLeases(1000)}
	ctx := context.Background()
	word = k.askAll(ctx)["k2"]
	leases, _ = k.gather(ctx)
	var done struct{}
	for _, call := range []struct {
		method, path string
		in, out      any
	}{
		{http.MethodGet, "/v1/leader", nil, &leader},
		{http.MethodPost, "/v1/roster", []followerProcess{{"r1", "i"}, {"r2", "j"}}, &done},
	} {
		if err := k.call(ctx, peer, time.Minute, call.method, call.path, call.in, call.out); err != nil {
			t.Error(err)
		}
	}
	return came.Bytes(), word, leases, leader
}

// Keepers call each other as before, and read answers as they were given before.
func TestGoldenCallsToPeers(t *testing.T) {
	requests, word, leases, leader := callsToPeer(t)
	goldentest.Equal(t, "calls-to-peers.txt", requests)
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
	if want := (peerStatus{Cluster: "golden", ID: "k2", Stage: "member", Leader: "k3"}); word != want {
		t.Errorf("%+v, want %+v", word, want)
	}
	if want := (leaderStatus{ID: "k2", LastIndex: 17}); leader != want {
		t.Errorf("%+v, want %+v", leader, want)
	}
	goldentest.AllFieldsSet(t, word, leader, leases)
}

// openQuietly opens a folder of keeper k1 of the group "golden", and gives it up again.
func openQuietly(t *testing.T, dir string) *folder {
	t.Helper()
	f, err := openFolder(dir, "golden", "k1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return f
}

// The file that says whose folder it is has the same bytes at each stage, and is read so.
func TestGoldenMark(t *testing.T) {
	for _, stage := range []string{stageNew, stageFounding, stageJoining, stageMember} {
		dir, file := t.TempDir(), "keeper-"+stage+".json"
		f := openQuietly(t, dir)
		if err := f.recordStage(stage); err != nil {
			t.Fatal(err)
		}
		goldentest.AllFieldsSet(t, f.identity)
		written, err := os.ReadFile(filepath.Join(dir, "keeper.json"))
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Equal(t, file, written)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "keeper.json"), goldentest.Read(t, "keeper-new.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if f := openQuietly(t, dir); f.identity.Stage != stageNew || len(f.listAside()) != 0 {
		t.Errorf("read as %+v, set aside: %v", f.identity, f.listAside())
	}
}

// What is set aside lies where it did, with the reason beside it.
func TestGoldenSetAside(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "keeper.json"), bytes.Replace(goldentest.Read(t, "keeper-new.json"),
		[]byte(`"golden"`), []byte(`"other"`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	f := openQuietly(t, dir)
	stamp := regexp.MustCompile(`aside-\d{8}T\d{6}\.\d{3}Z`)
	var tree bytes.Buffer
	err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			content, _ := os.ReadFile(path)
			name, _ := filepath.Rel(dir, path)
			fmt.Fprintf(&tree, "%s: %q\n", stamp.ReplaceAllString(name, "aside-TIME"), content)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&tree, stamp.ReplaceAllString(strings.Join(f.listAside(), "\n"), "aside-TIME"))
	goldentest.Equal(t, "aside.txt", tree.Bytes())
}
