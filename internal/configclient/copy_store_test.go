package configclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"windflow/internal/configclient/keepertest"
	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

func copyPath(dir string) string { return filepath.Join(dir, "n%2F0.revision") }

// saveCopy runs a client until it has saved a copy of the current revision of a keeper in dir.
func saveCopy(t *testing.T, keeper *keepertest.Keeper, dir string) {
	t.Helper()
	client, router := newTestClient(t, dir, keeper.Addr()), newFakeRouter()
	client.Restore(5*time.Second, router.apply)
	client.Start(router.apply)
	client.Stop()            // writes the pending copy
	client.goroutines.Wait() // Stop may return before a slow disk has finished
	if client.Counters.CopyWriteErrors.Load() > 0 {
		t.Fatal("the copy was not written")
	}
}

// Without a reachable keeper, a router starts with its copy within a bounded time. A copy that is damaged or belongs to
// another router is set aside.
func TestRestoreFromCopy(t *testing.T) {
	keeper, dir := keepertest.New(t), t.TempDir()
	revision := keeper.Change(overQuotaWeight("0.7"))
	saveCopy(t, keeper, dir)
	silent := keepertest.New(t)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	silent.SetHandler(func(http.ResponseWriter, *http.Request) { <-stop })
	valid, err := os.ReadFile(copyPath(dir))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		text   func() string
		usable bool
	}{
		{"valid", func() string { return string(valid) }, true},
		{"one bit changed", func() string { return strings.Replace(string(valid), "0.7", "0.6", 1) }, false},
		{"truncated", func() string { return string(valid[:len(valid)-9]) }, false},
		{"empty", func() string { return "" }, false},
		{"another format", func() string { return "{}\n" }, false},
	} {
		if err := os.WriteFile(copyPath(dir), []byte(test.text()), 0o600); err != nil {
			t.Fatal(err)
		}
		client, router := newTestClient(t, dir, silent.Addr(), silent.Addr(), silent.Addr()), newFakeRouter()
		startedAt := time.Now()
		client.Restore(400*time.Millisecond, router.apply)
		if took := time.Since(startedAt); took > 2*time.Second { // far above the timeout, because the machine may be busy
			t.Errorf("%s: Restore took %v, want at most 2s", test.name, took)
		}
		got, aside := router.latest().Revision, client.Counters.CopiesSetAside.Load()
		if (got == revision) != test.usable || (aside == 0) != test.usable {
			t.Errorf("%s: revision %d is in force, %d copies were set aside; copy is usable: %v", test.name, got, aside,
				test.usable)
		}
		if _, err := os.Stat(copyPath(dir) + ".aside"); (err == nil) == test.usable && !test.usable {
			t.Errorf("%s: the file of the copy that was set aside: %v", test.name, err)
		}
	}
	// The copy of one router under the name of another router's copy.
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(copyPath(dir), valid, 0o600),
		os.Rename(copyPath(dir), filepath.Join(dir, "n1.revision"))); err != nil {
		t.Fatal(err)
	}
	other, router := New(Config{Addresses: []string{silent.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n1", "1", discardLog),
		newFakeRouter()
	t.Cleanup(other.Stop)
	other.Restore(100*time.Millisecond, router.apply)
	if router.latest().Revision != 0 || other.Counters.CopiesSetAside.Load() != 1 {
		t.Errorf("copy of another router: revision %d is in force, %d copies were set aside; want none in force, 1 set aside",
			router.latest().Revision, other.Counters.CopiesSetAside.Load())
	}
}

// A copy that is invalid with the router's own file is rejected, and the router starts without it.
func TestRejectedCopy(t *testing.T) {
	keeper, dir := keepertest.New(t), t.TempDir()
	revision := keeper.Change(overQuotaWeight("0.7"))
	saveCopy(t, keeper, dir)
	client, router := newTestClient(t, dir, "127.0.0.1:1"), newFakeRouter()
	router.rejections[revision] = &configerror.Error{Reason: "invalid with the file"}
	client.Restore(time.Second, router.apply)
	if router.latest().Revision != 0 || client.Counters.RejectedRevision.Load() != int64(revision) {
		t.Errorf("revision %d is in force, revision %d is rejected; want none in force, %d rejected",
			router.latest().Revision, client.Counters.RejectedRevision.Load(), revision)
	}
}

// If the copy cannot be written, revisions still come into force. The failures are counted, and one is logged.
func TestUnwritableDisk(t *testing.T) {
	keeper, router := keepertest.New(t), newFakeRouter()
	dir := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // so that no directory can be created there
		t.Fatal(err)
	}
	var logged logBuffer
	client := New(Config{Addresses: []string{keeper.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n0", "1",
		slog.New(slog.NewTextHandler(&logged, nil)))
	client.Start(router.apply)
	for i := range 3 {
		keeper.WaitForRevision(keeper.Change(overQuotaWeight(fmt.Sprint(i))))
	}
	client.Stop()
	if client.Counters.CopyWriteErrors.Load() == 0 ||
		strings.Count(logged.text(), "configuration copy write failed") != 1 {
		t.Errorf("%d writes failed, log: %s", client.Counters.CopyWriteErrors.Load(), logged.text())
	}
}

// logBuffer collects the log of a client; it is safe for concurrent use.
type logBuffer struct {
	mu      sync.Mutex
	builder strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.builder.Write(b)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.builder.String()
}

// A copy of an older revision does not replace a newer one: in a hot restart the predecessor may write after the
// successor.
func TestNewerCopyIsNotOverwritten(t *testing.T) {
	dir := t.TempDir()
	store := newCopyStore(dir, "n/0", &Counters{}, discardLog)
	for _, revision := range []uint64{3, 9, 4} {
		follower := configlog.NewFollower("a", "b")
		entries := map[string]json.RawMessage{"/board": json.RawMessage(`"a:1"`)}
		if _, ok, err := follower.Offer(configlog.Update{
			To: revision, Snapshot: true, Put: entries,
			Hash: configlog.HashEntries(entries),
		}); !ok {
			t.Fatal(err)
		}
		follower.Accept()
		if !store.writeAndLog(follower.Saved()) {
			t.Fatalf("the copy of revision %d was not written", revision)
		}
	}
	if saved, ok := store.loadOrSetAside(); !ok || saved.Revision != 9 {
		t.Errorf("the copy has revision %d, read %v; want revision 9", saved.Revision, ok)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Errorf("expected one file, found %v, error %v", files, err)
	}
}

// An answer without a newer revision than that of the copy ends Restore: no other keeper is polled, and the timeout
// does not have to pass.
func TestRestoreWithCurrentCopy(t *testing.T) {
	keeper, dir := keepertest.New(t), t.TempDir()
	revision := keeper.Change(overQuotaWeight("0.7"))
	saveCopy(t, keeper, dir)
	client, router := New(Config{Addresses: []string{keeper.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n/0",
		configlog.NewInstanceID(2, 2), discardLog), newFakeRouter()
	t.Cleanup(client.Stop)
	client.Restore(20*time.Second, router.apply)
	if router.latest().Revision != revision || client.Counters.Changes.Load() != 1 {
		t.Errorf("revision %d is in force after %d changes, want revision %d after 1 change",
			router.latest().Revision, client.Counters.Changes.Load(), revision)
	}
}
