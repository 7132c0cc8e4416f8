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

// routerClients starts the clients of routers r0 to r2 at the keepers of a group.
type routerClients struct {
	g *group
}

// start runs a client until the test ends. It rejects one revision; 0 for none.
func (r routerClients) start(n int, incarnation int64, dir string, rejected uint64) *configclient.Client {
	r.g.t.Helper()
	cfg := configclient.Config{Dir: dir, MaxPollWaitMS: 1000}
	for i := range r.g.members { // each starts with another one
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

// The routers' client with real keepers: a revision, one that a router rejects, a keeper that is paused during a
// call, a client that restarts with its copy and one without.
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
			t.Errorf("r%d starts with revision %d", n, got)
		}
		clients = append(clients, c)
	}
	g.waitForConvergence(g.change(0, put("second", "/settings/over-share-worth", "2")))
	g.change(0, put("third", "/settings/over-share-worth", "3"))
	var v rolloutReply
	waitUntil(t, "a rejection and two followers that have it", func() bool {
		v = g.rollout(0, "revision=3")
		return len(v.Rejected) == 1 && len(v.InForce) == 2
	})
	if v.Converged || v.Rejected[0].Name != "r1" || v.Rejected[0].Rejected.Reason != "no" {
		t.Errorf("%+v", v)
	}
	g.waitForConvergence(g.change(0, put("fourth", "/settings/over-share-worth", "4")))
	stopped := g.leader()
	g.members[stopped].signal(syscall.SIGSTOP)
	other := (stopped + 1) % 3
	waitUntil(t, "another leader", func() bool { return g.leader() != stopped })
	v = g.waitForConvergenceAt(other, g.change(other, put("fifth", "/settings/over-share-worth", "5")))
	if len(v.InForce) != 3 || v.Revision != 5 {
		t.Errorf("with a keeper stopped: %+v", v)
	}
	g.members[stopped].signal(syscall.SIGCONT)
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
		t.Errorf("after restarts: %+v", v)
	}
	for n, c := range clients {
		if r := c.Latest(); r.Revision != rev || string(r.Entries["/settings/over-share-worth"]) != "6" {
			t.Errorf("r%d: %+v", n, r)
		}
	}
	if code := g.get(other, "/v1/config?revision=6", &struct{}{}); code != http.StatusOK {
		t.Error(code)
	}
}
