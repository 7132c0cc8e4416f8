package configclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// router is a fake of what puts revisions in force.
type router struct {
	mu        sync.Mutex
	revisions []Revision
	rejects   map[uint64]*configerror.Error
	applied   chan uint64
}

func newRouter() *router {
	return &router{rejects: map[uint64]*configerror.Error{}, applied: make(chan uint64, 4096)}
}

func (r *router) apply(rev Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bad := r.rejects[rev.Revision]; bad != nil {
		return bad
	}
	if n := len(r.revisions); n > 0 && r.revisions[n-1].Revision > rev.Revision {
		return ErrSuperseded
	}
	r.revisions = append(r.revisions, rev)
	r.applied <- rev.Revision
	return nil
}

func (r *router) waitFor(t *testing.T, revision uint64) {
	t.Helper()
	late := time.After(30 * time.Second)
	for {
		select {
		case n := <-r.applied:
			if n == revision {
				return
			}
		case <-late:
			t.Fatalf("revision %d never came", revision)
		}
	}
}

func (r *router) latest() Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.revisions) == 0 {
		return Revision{}
	}
	return r.revisions[len(r.revisions)-1]
}

var discard = slog.New(slog.DiscardHandler)

func newTestClient(t *testing.T, dir string, keepers ...string) *Client {
	t.Helper()
	c := New(Config{Addresses: keepers, Dir: dir, MaxPollWaitMS: 2000}, "n/0", configlog.NewInstance(1, 1), discard)
	t.Cleanup(c.Stop)
	return c
}

func worth(v string) map[string]string { return map[string]string{"/settings/over-share-worth": v} }

// The poll after a change reports the result: in force, or rejected with the pointer while the revision before stays.
func TestNextPollReportsResult(t *testing.T) {
	k, r := keepertest.New(t), newRouter()
	first := k.Change(worth("0.1"))
	c := newTestClient(t, t.TempDir(), k.Addr())
	c.Restore(time.Second, r.apply)
	if r.latest().Revision != first {
		t.Fatalf("at the start revision %d is in force", r.latest().Revision)
	}
	r.rejects[first+1] = &configerror.Error{Pointer: "/settings/over-share-worth", Reason: "too much"}
	c.Start(r.apply)
	k.Change(worth("9"))
	said := k.WaitForStatus("it refuses", func(r configlog.FollowerStatus) bool { return r.Rejected != nil })
	if said.Revision != first || said.Rejected.Revision != first+1 || said.Rejected.Pointer != "/settings/over-share-worth" ||
		said.Rejected.Reason != "too much" {
		t.Errorf("%+v, %+v", said, said.Rejected)
	}
	if c.Counters.Revision.Load() != int64(first) || c.Counters.RejectedRevision.Load() != int64(first+1) || c.Latest().Revision != first {
		t.Errorf("in force %d, rejected %d", c.Counters.Revision.Load(), c.Counters.RejectedRevision.Load())
	}
	third := k.Change(worth("0.3"))
	said = k.WaitForRevision(third)
	if said.Rejected != nil || c.Counters.RejectedRevision.Load() != 0 {
		t.Errorf("after a good one: %+v", said.Rejected)
	}
	if got := string(r.latest().Entries["/settings/over-share-worth"]); got != "0.3" {
		t.Error(got)
	}
}

// A rejected revision is offered again when the router's own file is another one.
func TestRetry(t *testing.T) {
	k, r := keepertest.New(t), newRouter()
	r.rejects[1] = &configerror.Error{Reason: "not yet"}
	c := newTestClient(t, t.TempDir(), k.Addr())
	c.Start(r.apply)
	k.Change(worth("1"))
	k.WaitForStatus("it refuses", func(r configlog.FollowerStatus) bool { return r.Rejected != nil })
	r.mu.Lock()
	delete(r.rejects, 1)
	r.mu.Unlock()
	c.Retry()
	k.WaitForRevision(1)
}

// misbehavior is a keeper's handler that answers what a router must not apply.
type misbehavior struct {
	name    string
	handler http.HandlerFunc
}

// answerUpdate answers each call with an update.
func answerUpdate(update configlog.Update) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(update) }
}

// misbehaviors returns the ways in which keepers misbehave. A silent one holds its calls until stop is closed.
func misbehaviors(stop <-chan struct{}) []misbehavior {
	put := map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("7")}
	return []misbehavior{
		{"silent", func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-stop:
			}
		}},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4000")
			_, _ = io.WriteString(w, `{"from":0,"to":5,"snapshot":true,"put":{"`)
			panic(http.ErrAbortHandler)
		}},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "\x00\xff<html>") }},
		{"wrong hash", answerUpdate(configlog.Update{To: 5, Snapshot: true, Put: put})},
		{"behind", answerUpdate(configlog.Update{To: 0, KeeperBehind: true})},
		{"an update from another revision", answerUpdate(configlog.Update{From: 4, To: 5, Put: put})},
		{"huge", func(w http.ResponseWriter, _ *http.Request) {
			part := strings.Repeat("x", 1<<16)
			for range maxAnswerBytes>>16 + 4 {
				if _, err := io.WriteString(w, part); err != nil {
					return
				}
			}
		}},
		{"huge header", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", strings.Repeat("x", maxHeaderBytes<<3))
		}},
		{"busy", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "busy", http.StatusServiceUnavailable) }},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
		}},
	}
}

// Nothing that a misbehaving keeper answers is in force, and the router goes on with the other one.
func TestMisbehavingKeepers(t *testing.T) {
	const pointer = "/settings/over-share-worth"
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for _, bad := range misbehaviors(stop) {
		t.Run(bad.name, func(t *testing.T) {
			t.Parallel()
			wrong, good, r := keepertest.New(t), keepertest.New(t), newRouter()
			met := make(chan struct{}, 1024)
			wrong.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				met <- struct{}{}
				bad.handler(w, r)
			})
			c := New(Config{Addresses: []string{wrong.Addr()}, Dir: t.TempDir(), MaxPollWaitMS: 100}, "n0", configlog.NewInstance(1, 1), discard)
			t.Cleanup(c.Stop)
			c.Start(r.apply)
			<-met // it was polled, whatever it answers
			<-met // and once more
			if r.latest().Revision != 0 {
				t.Errorf("revision %d is in force", r.latest().Revision)
			}
			rev := good.Change(worth("0.5"))
			c.Configure(Config{Addresses: []string{wrong.Addr(), good.Addr()}, MaxPollWaitMS: 100})
			good.WaitForRevision(rev)
			if got := r.latest(); string(got.Entries[pointer]) != "0.5" || c.Counters.FailedCalls.Load() == 0 {
				t.Errorf("%+v, %d failed calls", got, c.Counters.FailedCalls.Load())
			}
		})
	}
}

// A keeper that is behind never moves a router to an older revision.
func TestOlderRevisionIsIgnored(t *testing.T) {
	ahead, late, r := keepertest.New(t), keepertest.New(t), newRouter()
	for i := range 3 {
		ahead.Change(worth(fmt.Sprint(i)))
	}
	late.Change(worth("0.9"))
	c := newTestClient(t, t.TempDir(), ahead.Addr())
	c.Start(r.apply)
	ahead.WaitForRevision(3)
	c.Configure(Config{Addresses: []string{late.Addr()}, MaxPollWaitMS: 100})
	late.WaitForRevision(3)
	late.WaitForRevision(3) // once more, after what it was told
	if r.latest().Revision != 3 {
		t.Errorf("revision %d", r.latest().Revision)
	}
}

// In a burst of changes a poll brings several of them, so that reloads stay bounded; the last one arrives.
func TestBurstOfChanges(t *testing.T) {
	k, r := keepertest.New(t), newRouter()
	c := newTestClient(t, t.TempDir(), k.Addr())
	c.Start(r.apply)
	k.WaitForRevision(0)
	began := time.Now()
	var last uint64
	for i := range 300 {
		last = k.Change(worth(fmt.Sprint(i)))
	}
	k.WaitForRevision(last)
	most := 3 + int64(time.Since(began)/changeInterval)
	if n := c.Counters.Changes.Load(); n > most {
		t.Errorf("%d calls brought changes, %d at most may", n, most)
	}
}

// A later revision of this router's other process is not fetched again, and is reported to the keepers.
func TestRevisionOfOtherProcess(t *testing.T) {
	k, r := keepertest.New(t), newRouter()
	c := newTestClient(t, t.TempDir(), k.Addr())
	c.Start(r.apply)
	k.WaitForRevision(0)
	entries := map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("4")}
	c.SetInForce(Revision{7, configlog.HashEntries(entries), entries})
	k.WaitForRevision(7)
	c.SetInForce(Revision{5, configlog.Hash{}, nil}) // older: ignored
	r.waitFor(t, 7)
	if c.Latest().Revision != 7 {
		t.Error(c.Latest().Revision)
	}
}

func copyPath(dir string) string { return filepath.Join(dir, "n%2F0.revision") }

// saveCopy follows a keeper up to its revision and saves the copy in dir.
func saveCopy(t *testing.T, k *keepertest.Keeper, dir string) {
	t.Helper()
	c, r := newTestClient(t, dir, k.Addr()), newRouter()
	c.Restore(5*time.Second, r.apply)
	c.Start(r.apply)
	c.Stop() // what is not written yet is written then
	if c.Counters.CopyWriteErrors.Load() > 0 {
		t.Fatal("the copy was not written")
	}
}

// Without a keeper a router starts with its copy, within a bounded time; a copy that is damaged or of another router is
// set aside.
func TestStartFromTheCopy(t *testing.T) {
	k, dir := keepertest.New(t), t.TempDir()
	rev := k.Change(worth("0.7"))
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
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(copyPath(dir), good, 0o600), os.Rename(copyPath(dir), filepath.Join(dir, "n1.revision"))); err != nil {
		t.Fatal(err)
	}
	other, r := New(Config{Addresses: []string{silent.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n1", "1", discard), newRouter()
	t.Cleanup(other.Stop)
	other.Restore(100*time.Millisecond, r.apply)
	if r.latest().Revision != 0 || other.Counters.CopiesSetAside.Load() != 1 {
		t.Errorf("another router's copy: revision %d, set aside %d", r.latest().Revision, other.Counters.CopiesSetAside.Load())
	}
}

// A copy that doesn't fit the router's own file is rejected, and the router starts without it.
func TestRejectedCopy(t *testing.T) {
	k, dir := keepertest.New(t), t.TempDir()
	rev := k.Change(worth("0.7"))
	saveCopy(t, k, dir)
	c, r := newTestClient(t, dir, "127.0.0.1:1"), newRouter()
	r.rejects[rev] = &configerror.Error{Reason: "does not fit"}
	c.Restore(time.Second, r.apply)
	if r.latest().Revision != 0 || c.Counters.RejectedRevision.Load() != int64(rev) {
		t.Errorf("revision %d, refused %d", r.latest().Revision, c.Counters.RejectedRevision.Load())
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
	c := New(Config{Addresses: []string{k.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n0", "1", slog.New(slog.NewTextHandler(&said, nil)))
	c.Start(r.apply)
	for i := range 3 {
		k.WaitForRevision(k.Change(worth(fmt.Sprint(i))))
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
		if _, ok, err := f.Offer(configlog.Update{To: rev, Snapshot: true, Put: entries, Hash: configlog.HashEntries(entries)}); !ok {
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
	rev := k.Change(worth("0.7"))
	saveCopy(t, k, dir)
	c, r := New(Config{Addresses: []string{k.Addr()}, Dir: dir, MaxPollWaitMS: 100}, "n/0", configlog.NewInstance(2, 2), discard), newRouter()
	t.Cleanup(c.Stop)
	c.Restore(20*time.Second, r.apply)
	if r.latest().Revision != rev || c.Counters.Changes.Load() != 1 {
		t.Errorf("revision %d after %d changes", r.latest().Revision, c.Counters.Changes.Load())
	}
}
