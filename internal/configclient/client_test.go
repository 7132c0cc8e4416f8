package configclient

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"windflow/internal/configclient/keepertest"
	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

// router is a fake of the router, which applies revisions.
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
			t.Fatalf("revision %d was never received", revision)
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

func overQuotaWeight(v string) map[string]string {
	return map[string]string{"/settings/over-share-worth": v}
}

// The poll after a change reports the result: in force, or rejected with the pointer while the revision before stays.
func TestNextPollReportsResult(t *testing.T) {
	k, r := keepertest.New(t), newRouter()
	first := k.Change(overQuotaWeight("0.1"))
	c := newTestClient(t, t.TempDir(), k.Addr())
	c.Restore(time.Second, r.apply)
	if r.latest().Revision != first {
		t.Fatalf("at the start revision %d is in force", r.latest().Revision)
	}
	r.rejects[first+1] = &configerror.Error{Pointer: "/settings/over-share-worth", Reason: "too much"}
	c.Start(r.apply)
	k.Change(overQuotaWeight("9"))
	said := k.WaitForStatus("it rejects", func(r configlog.FollowerStatus) bool { return r.Rejected != nil })
	if said.Revision != first || said.Rejected.Revision != first+1 ||
		said.Rejected.Pointer != "/settings/over-share-worth" ||
		said.Rejected.Reason != "too much" {
		t.Errorf("%+v, %+v", said, said.Rejected)
	}
	if c.Counters.Revision.Load() != int64(first) || c.Counters.RejectedRevision.Load() != int64(first+1) ||
		c.Latest().Revision != first {
		t.Errorf("in force %d, rejected %d", c.Counters.Revision.Load(), c.Counters.RejectedRevision.Load())
	}
	third := k.Change(overQuotaWeight("0.3"))
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
	k.Change(overQuotaWeight("1"))
	k.WaitForStatus("it rejects", func(r configlog.FollowerStatus) bool { return r.Rejected != nil })
	r.mu.Lock()
	delete(r.rejects, 1)
	r.mu.Unlock()
	c.RetryRejected()
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

// misbehaviors returns the ways in which keepers misbehave. A silent one keeps its calls open until stop is closed.
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

// Nothing that a misbehaving keeper answers is in force, and the router continues with the other one.
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
			c := New(Config{Addresses: []string{wrong.Addr()}, Dir: t.TempDir(), MaxPollWaitMS: 100}, "n0",
				configlog.NewInstance(1, 1), discard)
			t.Cleanup(c.Stop)
			c.Start(r.apply)
			<-met // it was polled, whatever it answers
			<-met // and once more
			if r.latest().Revision != 0 {
				t.Errorf("revision %d is in force", r.latest().Revision)
			}
			rev := good.Change(overQuotaWeight("0.5"))
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
		ahead.Change(overQuotaWeight(fmt.Sprint(i)))
	}
	late.Change(overQuotaWeight("0.9"))
	c := newTestClient(t, t.TempDir(), ahead.Addr())
	c.Start(r.apply)
	ahead.WaitForRevision(3)
	c.Configure(Config{Addresses: []string{late.Addr()}, MaxPollWaitMS: 100})
	late.WaitForRevision(3)
	late.WaitForRevision(3) // once more, after the updates it has received
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
		last = k.Change(overQuotaWeight(fmt.Sprint(i)))
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
