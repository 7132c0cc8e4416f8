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

// saveCopy follows a keeper up to its revision and saves the copy in dir.
func saveCopy(t *testing.T, k *keepertest.Keeper, dir string) {
	t.Helper()
	c, r := newTestClient(t, dir, k.Addr()), newRouter()
	c.Restore(5*time.Second, r.apply)
	c.Start(r.apply)
	c.Stop()            // what is not written yet is written then
	c.goroutines.Wait() // Stop does not wait for a slow disk
	if c.Counters.CopyWriteErrors.Load() > 0 {
		t.Fatal("the copy was not written")
	}
}

// Without a keeper a router starts with its copy, within a bounded time; a copy that is damaged or of another router is
// set aside.
func TestStartFromTheCopy(t *testing.T) {
	k, dir := keepertest.New(t), t.TempDir()
	rev := k.Change(overQuotaWeight("0.7"))
	saveCopy(t, k, dir)
	silent := keepertest.New(t)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	silent.SetHandler(func(http.ResponseWriter, *http.Request) { <-stop })
	good, err := os.ReadFile(copyPath(dir))
	if err != nil {
		t.Fatal(err)
	}
	for _, how := range []struct {
		name string
		text func() string
		ok   bool
	}{
		{"good", func() string { return string(good) }, true},
		{"one bit", func() string { return strings.Replace(string(good), "0.7", "0.6", 1) }, false},
		{"cut", func() string { return string(good[:len(good)-9]) }, false},
		{"empty", func() string { return "" }, false},
		{"foreign", func() string { return "{}\n" }, false},
	} {
		if err := os.WriteFile(copyPath(dir), []byte(how.text()), 0o600); err != nil {
			t.Fatal(err)
		}
		c, r := newTestClient(t, dir, silent.Addr(), silent.Addr(), silent.Addr()), newRouter()
		began := time.Now()
		c.Restore(400*time.Millisecond, r.apply)
		if took := time.Since(began); took > 2*time.Second { // far above the bound: the machine may be busy
			t.Errorf("%s: the start took %v", how.name, took)
		}
		if got := r.latest().Revision; (got == rev) != how.ok || (c.Counters.CopiesSetAside.Load() == 0) != how.ok {
			t.Errorf("%s: revision %d, set aside %d", how.name, got, c.Counters.CopiesSetAside.Load())
		}
		if _, err := os.Stat(copyPath(dir) + ".aside"); (err == nil) == how.ok && !how.ok {
			t.Errorf("%s: %v", how.name, err)
		}
	}
	// Another router's file under this one's name.
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(copyPath(dir), good, 0o600),
		os.Rename(copyPath(dir), filepath.Join(dir, "n1.revision"))); err != nil {
		t.Fatal(err)
	}
	other, r := New(Config{Addresses: []string{silent.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n1", "1", discard),
		newRouter()
	t.Cleanup(other.Stop)
	other.Restore(100*time.Millisecond, r.apply)
	if r.latest().Revision != 0 || other.Counters.CopiesSetAside.Load() != 1 {
		t.Errorf("another router's copy: revision %d, set aside %d", r.latest().Revision,
			other.Counters.CopiesSetAside.Load())
	}
}

// A copy that doesn't fit the router's own file is rejected, and the router starts without it.
func TestRejectedCopy(t *testing.T) {
	k, dir := keepertest.New(t), t.TempDir()
	rev := k.Change(overQuotaWeight("0.7"))
	saveCopy(t, k, dir)
	c, r := newTestClient(t, dir, "127.0.0.1:1"), newRouter()
	r.rejects[rev] = &configerror.Error{Reason: "does not fit"}
	c.Restore(time.Second, r.apply)
	if r.latest().Revision != 0 || c.Counters.RejectedRevision.Load() != int64(rev) {
		t.Errorf("revision %d, rejected %d", r.latest().Revision, c.Counters.RejectedRevision.Load())
	}
}

// An unwritable disk is logged once and counted; the configuration is in force all the same.
func TestUnwritableDisk(t *testing.T) {
	k, r := keepertest.New(t), newRouter()
	dir := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // no folder can be made there
		t.Fatal(err)
	}
	var said logBuffer
	c := New(Config{Addresses: []string{k.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n0", "1",
		slog.New(slog.NewTextHandler(&said, nil)))
	c.Start(r.apply)
	for i := range 3 {
		k.WaitForRevision(k.Change(overQuotaWeight(fmt.Sprint(i))))
	}
	c.Stop()
	if c.Counters.CopyWriteErrors.Load() == 0 || strings.Count(said.text(), "configuration copy write failed") != 1 {
		t.Errorf("failed %d: %s", c.Counters.CopyWriteErrors.Load(), said.text())
	}
}

type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// The predecessor of a process doesn't overwrite its newer copy.
func TestOlderCopyIsNotWritten(t *testing.T) {
	dir := t.TempDir()
	d := newCopyStore(dir, "n/0", &Counters{}, discard)
	for _, rev := range []uint64{3, 9, 4} {
		f := configlog.NewFollower("a", "b")
		entries := map[string]json.RawMessage{"/board": json.RawMessage(`"a:1"`)}
		if _, ok, err := f.Offer(configlog.Update{
			To: rev, Snapshot: true, Put: entries,
			Hash: configlog.HashEntries(entries),
		}); !ok {
			t.Fatal(err)
		}
		f.Accept()
		if !d.writeLogged(f.Saved()) {
			t.Fatal("not written")
		}
	}
	if s, ok := d.read(); !ok || s.Revision != 9 {
		t.Errorf("%d, %v", s.Revision, ok)
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 {
		t.Errorf("%v, %v", left, err)
	}
}

// A keeper without a newer revision than the copy counts as an answer at the start, and takes no longer than the poll.
func TestStartWithCurrentCopy(t *testing.T) {
	k, dir := keepertest.New(t), t.TempDir()
	rev := k.Change(overQuotaWeight("0.7"))
	saveCopy(t, k, dir)
	c, r := New(Config{Addresses: []string{k.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n/0", configlog.NewInstanceID(2, 2),
		discard), newRouter()
	t.Cleanup(c.Stop)
	c.Restore(20*time.Second, r.apply)
	if r.latest().Revision != rev || c.Counters.Changes.Load() != 1 {
		t.Errorf("revision %d after %d changes", r.latest().Revision, c.Counters.Changes.Load())
	}
}
