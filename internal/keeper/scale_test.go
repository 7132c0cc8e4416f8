package keeper_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

var followerCount = flag.Int("followers", 100, "followers of TestManyFollowers")

// runFollower is a fake router with the follower of configlog, until ctx ends.
func (g *group) runFollower(ctx context.Context, n int) {
	f := configlog.NewFollower(fmt.Sprintf("r%03d", n), configlog.NewInstanceID(1, uint64(n+1)))
	c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	began := time.Now()
	for ctx.Err() == nil {
		to := g.members[f.SelectKeeper(len(g.members))].options.HTTPAddr
		text, _ := json.Marshal(map[string]any{"wait_ms": 2000, "report": f.Status()})
		q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/v1/follow", bytes.NewReader(text))
		var u configlog.Update
		a, err := c.Do(q)
		if err == nil {
			switch a.StatusCode {
			case http.StatusNoContent:
				f.CallSucceeded()
			case http.StatusOK:
				if err = json.NewDecoder(a.Body).Decode(&u); err == nil {
					var ok bool
					if _, ok, err = f.Offer(u); ok {
						f.Accept()
					}
				}
			default:
				err = fmt.Errorf("%s", a.Status)
			}
			_ = a.Body.Close()
		}
		if err == nil {
			continue
		}
		lost := f.CallFailed(float64(time.Since(began).Milliseconds()), float64(n%16)/16)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(lost) * time.Millisecond):
		}
	}
}

// Many followers join at once; changes converge one after the other; a keeper is killed, and its followers continue
// with the others. With -followers 600 it measures the figures of the design note.
func TestManyFollowers(t *testing.T) {
	g := startGroup(t, 3, nil)
	g.change(0, put("base", "/settings/over-share-worth", "1"))
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	from := time.Now()
	for n := range *followerCount {
		all.Go(func() { g.runFollower(ctx, n) })
	}
	waitUntil(t, "all on the roster", func() bool { return g.status(0).Roster == *followerCount })
	t.Logf("%d followers are on the roster after %v", *followerCount, time.Since(from).Round(time.Millisecond))
	look := func() (ticks int, in, out int64) {
		for i := range g.members {
			s := g.status(i)
			ticks += cpuTicks(t, g.members[i].cmd.Process.Pid)
			in, out = in+s.Counters["bytes_in"], out+s.Counters["bytes_out"]
		}
		return ticks, in, out
	}
	ticks, in, out := look()
	from = time.Now()
	var took []time.Duration
	for n := range 10 {
		sent := time.Now()
		rev := g.change(n%3, put(fmt.Sprint("c", n), "/settings/over-share-worth", fmt.Sprint(n+2)))
		v := g.waitForConvergence(rev)
		if len(v.InForce) != *followerCount {
			t.Fatalf("revision %d: in force at %d, gone %d, unreached %v", rev, len(v.InForce), len(v.Missing),
				v.UnreachedKeepers)
		}
		took = append(took, time.Since(sent).Round(time.Millisecond))
	}
	moreTicks, moreIn, moreOut := look()
	slices.Sort(took)
	t.Logf("from the call to reported convergence: %v", took)
	t.Logf("%.1f s: %.1f%% of a core at all keepers, %d bytes in and %d out for each follower", time.Since(from).Seconds(),
		float64(moreTicks-ticks)/time.Since(from).Seconds(), (moreIn-in)/int64(*followerCount),
		(moreOut-out)/int64(*followerCount))
	for i := range g.members {
		t.Logf("%s: %d kB resident, %d calls waiting", g.members[i].options.ID, residentKB(t, g.members[i].cmd.Process.Pid),
			g.status(i).Counters["waiting"])
	}
	dead := g.leader()
	g.kill(dead)
	sent := time.Now()
	rev := g.change((dead+1)%3, put("last", "/settings/over-share-worth", "99"))
	v := g.waitForConvergenceAt((dead+1)%3, rev)
	if len(v.InForce) != *followerCount || !slices.Contains(v.UnreachedKeepers, g.members[dead].options.ID) {
		t.Errorf("in force at %d, gone %v, unreached %v", len(v.InForce), v.Missing, v.UnreachedKeepers)
	}
	t.Logf("from the kill of the leader to the convergence of a change: %v",
		time.Since(sent).Round(time.Millisecond))
}

func (g *group) waitForConvergence(rev uint64) rolloutReply {
	g.t.Helper()
	return g.waitForConvergenceAt(0, rev)
}

func (g *group) waitForConvergenceAt(i int, rev uint64) (v rolloutReply) {
	g.t.Helper()
	waitUntil(g.t, fmt.Sprintf("revision %d everywhere", rev), func() bool {
		v = g.rollout(i, fmt.Sprintf("revision=%d&wait_ms=10000", rev))
		return v.Converged
	})
	return v
}
