package keeper_test

import (
	"fmt"
	"io"
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

// The client that routers have, at real keepers: a revision, one that a router refuses, a keeper that is stopped in the
// middle of a call, a client that begins anew with its copy and one without.
func TestRoutersClient(t *testing.T) {
	t.Parallel()
	g := started(t, 3, func(_ int, o *keeper.Options) { o.LeaseDuration = 2500 * time.Millisecond })
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	client := func(n int, life uint64, dir string, refuses uint64) *configclient.Client {
		cfg := configclient.Config{Dir: dir, MaxPollWaitMS: 1000}
		for i := range g.members { // each begins at another one
			cfg.Addresses = append(cfg.Addresses, g.members[(n+i)%3].options.HTTPAddr)
		}
		c := configclient.New(cfg, fmt.Sprint("r", n), configlog.NewInstance(int64(life), uint64(n)), log)
		apply := func(r configclient.Revision) error {
			if r.Revision == refuses {
				return &configerror.Error{Pointer: "/settings/over-share-worth", Reason: "no"}
			}
			return nil
		}
		c.Restore(3*time.Second, apply)
		c.Start(apply)
		t.Cleanup(c.Stop)
		return c
	}
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var clients []*configclient.Client
	for n, dir := range dirs {
		c := client(n, 1, dir, map[int]uint64{1: 3}[n])
		if got := c.Latest().Revision; got != 1 {
			t.Errorf("r%d begins with revision %d", n, got)
		}
		clients = append(clients, c)
	}
	g.everywhere(g.change(0, put("second", "/settings/over-share-worth", "2")))
	g.change(0, put("third", "/settings/over-share-worth", "3"))
	var v rolloutReply
	wait(t, "a refusal and two that have it", func() bool {
		v = g.verdict(0, "revision=3")
		return len(v.Rejected) == 1 && len(v.InForce) == 2
	})
	if v.Converged || v.Rejected[0].Name != "r1" || v.Rejected[0].Rejected.Reason != "no" {
		t.Errorf("%+v", v)
	}
	g.everywhere(g.change(0, put("fourth", "/settings/over-share-worth", "4")))
	stopped := g.leader()
	g.members[stopped].signal(syscall.SIGSTOP)
	other := (stopped + 1) % 3
	wait(t, "another leader", func() bool { return g.leader() != stopped })
	v = g.everywhereAt(other, g.change(other, put("fifth", "/settings/over-share-worth", "5")))
	if len(v.InForce) != 3 || v.Revision != 5 {
		t.Errorf("with a keeper stopped: %+v", v)
	}
	g.members[stopped].signal(syscall.SIGCONT)
	for _, c := range clients[:2] {
		c.Stop()
	}
	rev := g.change(other, put("sixth", "/settings/over-share-worth", "6"))
	clients[0], clients[1] = client(0, 2, dirs[0], 0), client(1, 2, t.TempDir(), 0)
	v = g.everywhereAt(other, rev)
	names := map[string]bool{}
	for _, s := range v.InForce {
		names[s.Name] = true
	}
	if len(names) != 3 {
		t.Errorf("in new lives: %+v", v)
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
