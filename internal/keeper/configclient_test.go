package keeper_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"syscall"
	"testing"
	"time"

	"windflow/internal/configclient"
	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
	"windflow/internal/keeper"
)

// routerClients starts the configuration clients of the routers r0 to r2 against the keepers of a group.
type routerClients struct {
	g *group
}

// start runs the client of router n until the test ends. The client rejects the given revision; 0 means none.
func (r routerClients) start(n int, incarnation int64, dir string, rejected uint64) *configclient.Client {
	r.g.t.Helper()
	cfg := configclient.Config{Dir: dir, MaxPollWaitMS: 1000}
	for i := range r.g.members { // each router starts with a different keeper
		cfg.Addresses = append(cfg.Addresses, r.g.members[(n+i)%3].options.HTTPAddr)
	}
	instance := configlog.NewInstanceID(incarnation, uint64(n))
	client := configclient.New(cfg, fmt.Sprint("r", n), instance, slog.New(slog.DiscardHandler))
	apply := func(revision configclient.Revision) error {
		if revision.Revision == rejected {
			return &configerror.Error{Pointer: "/settings/over-share-worth", Reason: "no"}
		}
		return nil
	}
	client.Restore(3*time.Second, apply)
	client.Start(apply)
	r.g.t.Cleanup(client.Stop)
	return client
}

// The routers' client works against real keepers: it applies a revision, reports a rejected one, survives that a keeper
// is paused during a call, and restarts both with and without its local copy.
func TestConfigClientAgainstKeepers(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.LeaseDuration = 2500 * time.Millisecond })
	routers := routerClients{g}
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var clients []*configclient.Client
	for n, dir := range dirs {
		c := routers.start(n, 1, dir, map[int]uint64{1: 3}[n])
		if got := c.Latest().Revision; got != 1 {
			t.Errorf("r%d starts with revision %d, want 1", n, got)
		}
		clients = append(clients, c)
	}
	g.waitForConvergence(g.change(0, put("second", "/settings/over-share-worth", "2")))
	g.change(0, put("third", "/settings/over-share-worth", "3"))
	var v rolloutReply
	waitUntil(t, "one rejection and two followers with revision 3", func() bool {
		v = g.rollout(0, "revision=3")
		return len(v.Rejected) == 1 && len(v.InForce) == 2
	})
	if v.Converged || v.Rejected[0].Name != "r1" || v.Rejected[0].Rejected.Reason != "no" {
		t.Errorf("after a rejection by r1: %+v; want no convergence and the rejection by r1 with its reason", v)
	}
	g.waitForConvergence(g.change(0, put("fourth", "/settings/over-share-worth", "4")))
	paused := g.leader()
	g.members[paused].signal(syscall.SIGSTOP)
	other := (paused + 1) % 3
	waitUntil(t, "a new leader", func() bool { return g.leader() != paused })
	v = g.waitForConvergenceAt(other, g.change(other, put("fifth", "/settings/over-share-worth", "5")))
	if len(v.InForce) != 3 || v.Revision != 5 {
		t.Errorf("with a paused keeper: %+v; want revision 5 in effect at 3 routers", v)
	}
	g.members[paused].signal(syscall.SIGCONT)
	for _, c := range clients[:2] {
		c.Stop()
	}
	rev := g.change(other, put("sixth", "/settings/over-share-worth", "6"))
	clients[0], clients[1] = routers.start(0, 2, dirs[0], 0), routers.start(1, 2, t.TempDir(), 0)
	v = g.waitForConvergenceAt(other, rev)
	names := map[string]bool{}
	for _, s := range v.InForce {
		names[s.Name] = true
	}
	if len(names) != 3 {
		t.Errorf("after restarts: %+v; want revision %d in effect at 3 routers", v, rev)
	}
	for n, c := range clients {
		if r := c.Latest(); r.Revision != rev || string(r.Entries["/settings/over-share-worth"]) != "6" {
			t.Errorf("r%d has %+v, want revision %d with over-share-worth 6", n, r, rev)
		}
	}
	if code := g.get(other, "/v1/config?revision=6", &struct{}{}); code != http.StatusOK {
		t.Errorf("GET /v1/config: status %d, want 200", code)
	}
}
