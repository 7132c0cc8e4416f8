package configclient

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"windflow/internal/configclient/keepertest"
	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

// fakeRouter records the revisions that it is told to apply, and rejects the ones in rejections.
type fakeRouter struct {
	mu         sync.Mutex
	revisions  []Revision
	rejections map[uint64]*configerror.Error
	applied    chan uint64
}

func newFakeRouter() *fakeRouter {
	return &fakeRouter{rejections: map[uint64]*configerror.Error{}, applied: make(chan uint64, 4096)}
}

func (r *fakeRouter) apply(revision Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rejection := r.rejections[revision.Revision]; rejection != nil {
		return rejection
	}
	if n := len(r.revisions); n > 0 && r.revisions[n-1].Revision > revision.Revision {
		return ErrSuperseded
	}
	r.revisions = append(r.revisions, revision)
	r.applied <- revision.Revision
	return nil
}

func (r *fakeRouter) waitFor(t *testing.T, revision uint64) {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case n := <-r.applied:
			if n == revision {
				return
			}
		case <-timeout:
			t.Fatalf("revision %d was not applied within 30 s", revision)
		}
	}
}

func (r *fakeRouter) latest() Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.revisions) == 0 {
		return Revision{}
	}
	return r.revisions[len(r.revisions)-1]
}

var discardLog = slog.New(slog.DiscardHandler)

func newTestClient(t *testing.T, dir string, keepers ...string) *Client {
	t.Helper()
	client := New(Config{Addresses: keepers, Dir: dir, MaxPollWaitMS: 2000}, "n/0", configlog.NewInstanceID(1, 1),
		discardLog)
	t.Cleanup(client.Stop)
	return client
}

func overQuotaWeight(value string) map[string]string {
	return map[string]string{"/settings/over-share-worth": value}
}

func hasRejection(status configlog.FollowerStatus) bool { return status.Rejected != nil }

// The poll after a change reports its outcome: the revision is in force, or it is rejected with the pointer of the
// entry and the previous revision stays in force.
func TestNextPollReportsOutcome(t *testing.T) {
	keeper, router := keepertest.New(t), newFakeRouter()
	first := keeper.Change(overQuotaWeight("0.1"))
	client := newTestClient(t, t.TempDir(), keeper.Addr())
	client.Restore(time.Second, router.apply)
	if router.latest().Revision != first {
		t.Fatalf("after Restore revision %d is in force, want %d", router.latest().Revision, first)
	}
	router.rejections[first+1] = &configerror.Error{Pointer: "/settings/over-share-worth", Reason: "too much"}
	client.Start(router.apply)
	keeper.Change(overQuotaWeight("9"))
	status := keeper.WaitForStatus("a revision is rejected", hasRejection)
	if status.Revision != first || status.Rejected.Revision != first+1 ||
		status.Rejected.Pointer != "/settings/over-share-worth" ||
		status.Rejected.Reason != "too much" {
		t.Errorf("status %+v, rejection %+v; want revision %d in force, revision %d rejected with its pointer and reason",
			status, status.Rejected, first, first+1)
	}
	if client.Counters.Revision.Load() != int64(first) || client.Counters.RejectedRevision.Load() != int64(first+1) ||
		client.Latest().Revision != first {
		t.Errorf("revision %d is in force, revision %d is rejected; want %d and %d", client.Counters.Revision.Load(),
			client.Counters.RejectedRevision.Load(), first, first+1)
	}
	third := keeper.Change(overQuotaWeight("0.3"))
	status = keeper.WaitForRevision(third)
	if status.Rejected != nil || client.Counters.RejectedRevision.Load() != 0 {
		t.Errorf("rejection after a valid revision: %+v, want none", status.Rejected)
	}
	if got := string(router.latest().Entries["/settings/over-share-worth"]); got != "0.3" {
		t.Errorf("weight %s is in force, want 0.3", got)
	}
}

// After RetryRejected a rejected revision is offered again and can come into force.
func TestRetryRejected(t *testing.T) {
	keeper, router := keepertest.New(t), newFakeRouter()
	router.rejections[1] = &configerror.Error{Reason: "not yet"}
	client := newTestClient(t, t.TempDir(), keeper.Addr())
	client.Start(router.apply)
	keeper.Change(overQuotaWeight("1"))
	keeper.WaitForStatus("a revision is rejected", hasRejection)
	router.mu.Lock()
	delete(router.rejections, 1)
	router.mu.Unlock()
	client.RetryRejected()
	keeper.WaitForRevision(1)
}

// misbehavior is a handler with answers of a keeper that a router must not apply.
type misbehavior struct {
	name    string
	handler http.HandlerFunc
}

// answerUpdate returns a handler that answers each call with an update.
func answerUpdate(update configlog.Update) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(update) }
}

// misbehaviors returns the misbehaviors under test. The silent keeper keeps its calls open until stop is closed.
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
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "\x00\xff<html>") }},
		{"wrong hash", answerUpdate(configlog.Update{To: 5, Snapshot: true, Put: put})},
		{"behind the router", answerUpdate(configlog.Update{To: 0, KeeperBehind: true})},
		{"update from another revision", answerUpdate(configlog.Update{From: 4, To: 5, Put: put})},
		{"body too large", func(w http.ResponseWriter, _ *http.Request) {
			part := strings.Repeat("x", 1<<16)
			for range maxAnswerBytes>>16 + 4 {
				if _, err := io.WriteString(w, part); err != nil {
					return
				}
			}
		}},
		{"header too large", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", strings.Repeat("x", maxHeaderBytes<<3))
		}},
		{"busy", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "busy", http.StatusServiceUnavailable) }},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
		}},
	}
}

// A router applies no answer of a misbehaving keeper, and gets its configuration from another keeper.
func TestMisbehavingKeepers(t *testing.T) {
	const pointer = "/settings/over-share-worth"
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for _, test := range misbehaviors(stop) {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			faulty, good, router := keepertest.New(t), keepertest.New(t), newFakeRouter()
			polled := make(chan struct{}, 1024)
			faulty.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				polled <- struct{}{}
				test.handler(w, r)
			})
			client := New(Config{Addresses: []string{faulty.Addr()}, Dir: t.TempDir(), MaxPollWaitMS: 100}, "n0",
				configlog.NewInstanceID(1, 1), discardLog)
			t.Cleanup(client.Stop)
			client.Start(router.apply)
			<-polled
			<-polled // by the second call, the answer to the first one has been handled
			if router.latest().Revision != 0 {
				t.Errorf("revision %d is in force, want none", router.latest().Revision)
			}
			revision := good.Change(overQuotaWeight("0.5"))
			client.Configure(Config{Addresses: []string{faulty.Addr(), good.Addr()}, MaxPollWaitMS: 100})
			good.WaitForRevision(revision)
			if got := router.latest(); string(got.Entries[pointer]) != "0.5" || client.Counters.FailedCalls.Load() == 0 {
				t.Errorf("revision %+v is in force, %d calls failed; want weight 0.5, at least one failed call", got,
					client.Counters.FailedCalls.Load())
			}
		})
	}
}

// A keeper that is behind does not move a router back to an older revision.
func TestOlderRevisionIsIgnored(t *testing.T) {
	ahead, behind, router := keepertest.New(t), keepertest.New(t), newFakeRouter()
	for i := range 3 {
		ahead.Change(overQuotaWeight(fmt.Sprint(i)))
	}
	behind.Change(overQuotaWeight("0.9"))
	client := newTestClient(t, t.TempDir(), ahead.Addr())
	client.Start(router.apply)
	ahead.WaitForRevision(3)
	client.Configure(Config{Addresses: []string{behind.Addr()}, MaxPollWaitMS: 100})
	behind.WaitForRevision(3)
	behind.WaitForRevision(3) // by the second call, the answer to the first one has been handled
	if router.latest().Revision != 3 {
		t.Errorf("revision %d is in force, want 3", router.latest().Revision)
	}
}

// In a burst of changes a poll returns several of them, so that the number of reloads is bounded. The last change comes
// into force.
func TestBurstOfChanges(t *testing.T) {
	keeper, router := keepertest.New(t), newFakeRouter()
	client := newTestClient(t, t.TempDir(), keeper.Addr())
	client.Start(router.apply)
	keeper.WaitForRevision(0)
	startedAt := time.Now()
	var last uint64
	for i := range 300 {
		last = keeper.Change(overQuotaWeight(fmt.Sprint(i)))
	}
	keeper.WaitForRevision(last)
	maxChanges := 3 + int64(time.Since(startedAt)/changeInterval)
	if changes := client.Counters.Changes.Load(); changes > maxChanges {
		t.Errorf("%d calls returned changes, want at most %d", changes, maxChanges)
	}
}

// A revision that the router's other process supplied is in force and reported to the keepers; an older one is ignored.
func TestRevisionOfOtherProcess(t *testing.T) {
	keeper, router := keepertest.New(t), newFakeRouter()
	client := newTestClient(t, t.TempDir(), keeper.Addr())
	client.Start(router.apply)
	keeper.WaitForRevision(0)
	entries := map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("4")}
	client.SetInForce(Revision{7, configlog.HashEntries(entries), entries})
	keeper.WaitForRevision(7)
	client.SetInForce(Revision{5, configlog.Hash{}, nil}) // older, to be ignored
	router.waitFor(t, 7)
	if client.Latest().Revision != 7 {
		t.Errorf("revision %d is in force, want 7", client.Latest().Revision)
	}
}

// Guards against a configuration that is never heard: each answer of the keepers is later than a call usually waits.
func TestLateAnswersAreHeard(t *testing.T) {
	const lateness = answerTimeout + time.Second
	keeper, router := keepertest.New(t), newFakeRouter()
	late := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(lateness)
		keeper.ServeHTTP(w, r)
	}))
	t.Cleanup(late.Close)
	revision := keeper.Change(overQuotaWeight("0.1"))
	client := New(Config{
		Addresses: []string{late.Listener.Addr().String()}, Dir: t.TempDir(), MaxPollWaitMS: 100,
	}, "n/0", configlog.NewInstanceID(1, 1), discardLog)
	t.Cleanup(client.Stop)
	client.Start(router.apply)
	router.waitFor(t, revision)
}
