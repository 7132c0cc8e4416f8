package keeper_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
	"windflow/internal/keeper"
)

// rolloutReply is the response to GET /v1/rollout.
type rolloutReply struct {
	configlog.ConvergenceStatus
	Keeper   string `json:"keeper"`
	Majority bool   `json:"majority"`
	Why      string `json:"why"`
	code     int
	err      error
}

// follower simulates the follower in a router.
type follower struct {
	g              *group
	name, instance string
	revision       uint64
	hash           configlog.Hash
	rejected       *configlog.Rejection
	content        map[string]json.RawMessage
	updates        []configlog.Update
}

// poll makes one call to keeper i, applies the update, if any, and returns the HTTP status.
func (f *follower) poll(i int, waitMS int) (code int) {
	f.g.t.Helper()
	var u configlog.Update
	code = f.g.post(i, "/v1/follow", map[string]any{"wait_ms": waitMS, "report": configlog.FollowerStatus{
		Name: f.name, Instance: f.instance,
		Revision: f.revision, Hash: f.hash, Rejected: f.rejected,
	}}, &u)
	if code != http.StatusOK || u.KeeperBehind {
		return code
	}
	f.updates = append(f.updates, u)
	if u.Snapshot {
		f.content = map[string]json.RawMessage{}
	}
	for p, v := range u.Put {
		if f.content == nil {
			f.content = map[string]json.RawMessage{}
		}
		f.content[p] = v
	}
	for _, p := range u.Remove {
		delete(f.content, p)
	}
	f.revision, f.hash = u.To, u.Hash
	if h := configlog.HashEntries(f.content); h != u.Hash {
		f.g.t.Errorf("%s: content of revision %d has hash %s, want %s", f.name, u.To, h, u.Hash)
	}
	return code
}

// pollUntil polls keeper i until the follower has at least the revision.
func (f *follower) pollUntil(i int, rev uint64) {
	f.g.t.Helper()
	waitUntil(f.g.t, fmt.Sprintf("%s at revision %d", f.name, rev), func() bool {
		return f.revision >= rev || f.poll(i, 1000) != 200 && f.revision >= rev
	})
}

// report reports the follower's current revision to keeper i.
func (f *follower) report(i int) { f.g.t.Helper(); f.poll(i, 0) }

// The convergence status includes followers from their first call on, reports a rejection, lists a follower that no
// longer calls as missing, and drops it once it is forgotten.
func TestConvergenceStatus(t *testing.T) {
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.LeaseDuration = 1500 * time.Millisecond })
	a, b := follower{g: g, name: "ra", instance: "1"}, follower{g: g, name: "rb", instance: "1"}
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	a.pollUntil(0, 1)
	b.pollUntil(2, 1)
	a.report(0)
	b.report(2)
	v := g.rollout(1, "revision=1&wait_ms=10000")
	if !v.Converged || len(v.InForce) != 2 || !v.Majority {
		t.Errorf("after both followers reported the revision: %+v; want convergence at 2 followers", v)
	}
	// A waiting poll returns when a change is committed.
	type pollResult struct{ code int }
	calls := make(chan pollResult, 2)
	go func() { calls <- pollResult{a.poll(1, 700)} }()
	go func() { calls <- pollResult{b.poll(2, 700)} }()
	waitUntil(t, "two waiting calls", func() bool {
		return g.status(1).Counters["waiting"] == 1 &&
			g.status(2).Counters["waiting"] == 1
	})
	g.change(0, put("second", "/settings/over-share-worth", "2"))
	for range 2 {
		if c := <-calls; c.code != 200 {
			t.Errorf("waiting poll: status %d, want 200", c.code)
		}
	}
	a.report(1)
	b.revision = 1
	b.rejected = &configlog.Rejection{
		Revision: 2, Hash: b.hash, Pointer: "/settings/over-share-worth", Reason: "too much",
	}
	b.hash = configlog.HashEntries(map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("1")})
	if code := b.poll(2, 0); code != http.StatusNoContent {
		t.Errorf("poll after a rejection: status %d, want 204", code)
	}
	v = g.rollout(0, "revision=2")
	if v.Converged || len(v.InForce) != 1 || len(v.Rejected) != 1 ||
		v.Rejected[0].Rejected.Pointer != "/settings/over-share-worth" || v.Rejected[0].Rejected.Reason != "too much" {
		t.Errorf("with one rejection: %+v; want revision 2 in effect at 1 follower and the rejection with its reason", v)
	}
	waitUntil(t, "the follower that no longer calls to be missing", func() bool {
		a.poll(1, 0)
		v = g.rollout(0, "")
		return reflect.DeepEqual(v.Missing, []string{"rb"})
	})
	if len(v.Rejected) != 0 || v.Revision != 2 {
		t.Errorf("with a missing follower: %+v; want revision 2 and no rejection", v)
	}
	var forgotten struct {
		Forgotten bool `json:"forgotten"`
	}
	if code := g.do(1, http.MethodDelete, "/v1/followers/rb", nil, &forgotten); code != 200 || !forgotten.Forgotten {
		t.Errorf("forget: status %d, %+v; want status 200, forgotten", code, forgotten)
	}
	if code := g.do(2, http.MethodDelete, "/v1/followers/rb", nil, &forgotten); code != 200 || forgotten.Forgotten {
		t.Errorf("repeated forget: status %d, %+v; want status 200, not forgotten", code, forgotten)
	}
	a.poll(1, 0)
	if v = g.rollout(2, ""); len(v.Missing) != 0 {
		t.Errorf("after the missing follower was forgotten: %+v; want none missing", v)
	}
}

func (g *group) rollout(i int, query string) (v rolloutReply) {
	g.t.Helper()
	if code := g.get(i, "/v1/rollout?"+query, &v); code != 200 {
		g.t.Fatalf("rollout: status %d, want 200", code)
	}
	return v
}

// A keeper that has just started may not know all live followers yet, so the convergence status lists it as unreached.
func TestRestartedKeeperCountsAsUnreached(t *testing.T) {
	g := startGroup(t, 3, nil)
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	a := follower{g: g, name: "ra", instance: "1"}
	a.pollUntil(0, 1)
	a.report(0)
	if v := g.rollout(1, ""); len(v.UnreachedKeepers) != 3 {
		t.Errorf("when all keepers have just started: %+v; want 3 unreached keepers", v)
	}
	if v := g.rollout(1, "wait_ms=10000"); !v.Converged {
		t.Errorf("after the only follower reported the revision: %+v; want convergence", v)
	}
}

// A keeper rejects a poll when the maximum number of polls is open.
func TestWaitingFollowersAreBounded(t *testing.T) {
	g := startGroup(t, 1, func(_ int, o *keeper.Options) { o.MaxWaitingFollowers = 2 })
	done := make(chan int, 2)
	for n := range 2 {
		f := follower{g: g, name: fmt.Sprint("r", n), instance: "1"}
		go func() { done <- f.poll(0, 2500) }()
	}
	waitUntil(t, "two waiting calls", func() bool { return g.status(0).Counters["waiting"] == 2 })
	f := follower{g: g, name: "r9", instance: "1"}
	if code := f.poll(0, 1000); code != http.StatusServiceUnavailable {
		t.Errorf("the third poll: status %d, want 503", code)
	}
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	for range 2 {
		if code := <-done; code != 200 {
			t.Errorf("a waiting poll: status %d, want 200", code)
		}
	}
	if code := f.poll(0, 1000); code != http.StatusOK {
		t.Errorf("after the other polls ended: status %d, want 200", code)
	}
}

// A follower that is a thousand revisions behind receives a single update: the difference if that is smaller than the
// complete content, otherwise a snapshot.
func TestFollowerThousandChangesBehind(t *testing.T) {
	g := startGroup(t, 3, nil)
	follower50, follower51 := follower{g: g, name: "at-50", instance: "1"}, follower{g: g, name: "at-51", instance: "1"}
	for n := range 50 {
		g.change(0, put(fmt.Sprint("base", n), fmt.Sprintf("/settings/parties/q%d", n), `{"quota-rps":1}`))
	}
	follower50.pollUntil(1, 50)
	change := put("c0", "/settings/over-share-worth", "0")
	g.change(0, change)
	follower51.pollUntil(1, 51)
	start := time.Now()
	for n := 1; n < 1000; n++ {
		g.change(0, put(fmt.Sprint("c", n), fmt.Sprintf("/settings/parties/p%d", n%5), fmt.Sprintf(`{"quota-rps":%d}`, n)))
	}
	t.Logf("999 consecutive changes in %v", time.Since(start).Round(time.Millisecond))
	for _, f := range []*follower{&follower50, &follower51} {
		f.updates = nil
		g.waitForRevision(2, 1050)
		f.pollUntil(2, 1050)
		if len(f.updates) != 1 || f.updates[0].Snapshot || len(f.updates[0].Put) > 6 || len(f.content) != 56 {
			t.Errorf("%s: %d updates, snapshot %v, %d entries of %d; want 1 update without a snapshot, at most 6 of 56",
				f.name, len(f.updates), f.updates[0].Snapshot, len(f.updates[0].Put), len(f.content))
		}
	}
	newFollower := follower{g: g, name: "new", instance: "1"}
	newFollower.pollUntil(1, 1050)
	if len(newFollower.updates) != 1 || !reflect.DeepEqual(newFollower.content, follower50.content) {
		t.Errorf("new follower: %d updates, %d entries; want 1 update with the content of %s", len(newFollower.updates),
			len(newFollower.content), follower50.name)
	}
	follower1 := follower{
		g: g, name: "at-1", instance: "1", revision: 1,
		hash: configlog.HashEntries(map[string]json.RawMessage{"/settings/parties/q0": json.RawMessage(`{"quota-rps":1}`)}),
	}
	follower1.content = map[string]json.RawMessage{"/settings/parties/q0": json.RawMessage(`{"quota-rps":1}`)}
	follower1.pollUntil(2, 1050)
	if len(follower1.updates) != 1 || !reflect.DeepEqual(follower1.content, follower50.content) {
		t.Errorf("follower at revision 1: %d updates, %d entries; want 1 update with the content of %s",
			len(follower1.updates), len(follower1.content), follower50.name)
	}
}
