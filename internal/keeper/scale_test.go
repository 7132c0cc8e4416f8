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

var followerCount = flag.Int("followers", 100, "number of followers in TestManyFollowers")

// runFollower simulates router n, using configlog.Follower, until ctx ends.
func (g *group) runFollower(ctx context.Context, n int) {
	f := configlog.NewFollower(fmt.Sprintf("r%03d", n), configlog.NewInstanceID(1, uint64(n+1)))
	c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	start := time.Now()
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
		delayMS := f.CallFailed(float64(time.Since(start).Milliseconds()), float64(n%16)/16)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(delayMS) * time.Millisecond):
		}
	}
}

// Many followers join at once and consecutive changes converge. After the leader is killed, its followers continue with
// the other keepers. With -followers 600 the test measures the figures of the design note.
func TestManyFollowers(t *testing.T) {
	g := startGroup(t, 3, nil)
	g.change(0, put("base", "/settings/over-share-worth", "1"))
	ctx, stop := context.WithCancel(context.Background())
	var followers sync.WaitGroup
	defer followers.Wait()
	defer stop()
	start := time.Now()
	for n := range *followerCount {
		followers.Go(func() { g.runFollower(ctx, n) })
	}
	waitUntil(t, "all followers on the roster", func() bool { return g.status(0).Roster == *followerCount })
	t.Logf("%d followers are on the roster after %v", *followerCount, time.Since(start).Round(time.Millisecond))
	measure := func() (ticks int, in, out int64) {
		for i := range g.members {
			s := g.status(i)
			ticks += cpuTicks(t, g.members[i].cmd.Process.Pid)
			in, out = in+s.Counters["bytes_in"], out+s.Counters["bytes_out"]
		}
		return ticks, in, out
	}
	ticks, in, out := measure()
	start = time.Now()
	var durations []time.Duration
	for n := range 10 {
		sent := time.Now()
		rev := g.change(n%3, put(fmt.Sprint("c", n), "/settings/over-share-worth", fmt.Sprint(n+2)))
		v := g.waitForConvergence(rev)
		if len(v.InForce) != *followerCount {
			t.Fatalf("revision %d: in effect at %d followers, %d missing, unreached keepers %v",
				rev, len(v.InForce), len(v.Missing), v.UnreachedKeepers)
		}
		durations = append(durations, time.Since(sent).Round(time.Millisecond))
	}
	moreTicks, moreIn, moreOut := measure()
	slices.Sort(durations)
	t.Logf("time from a change to reported convergence: %v", durations)
	t.Logf("%.1f s: %.1f%% of a core for all keepers, %d bytes in and %d out per follower", time.Since(start).Seconds(),
		float64(moreTicks-ticks)/time.Since(start).Seconds(), (moreIn-in)/int64(*followerCount),
		(moreOut-out)/int64(*followerCount))
	for i := range g.members {
		t.Logf("%s: %d kB resident, %d polls open", g.members[i].options.ID, residentKB(t, g.members[i].cmd.Process.Pid),
			g.status(i).Counters["waiting"])
	}
	killed := g.leader()
	g.kill(killed)
	sent := time.Now()
	rev := g.change((killed+1)%3, put("last", "/settings/over-share-worth", "99"))
	v := g.waitForConvergenceAt((killed+1)%3, rev)
	if len(v.InForce) != *followerCount || !slices.Contains(v.UnreachedKeepers, g.members[killed].options.ID) {
		t.Errorf("in effect at %d followers, missing %v, unreached keepers %v",
			len(v.InForce), v.Missing, v.UnreachedKeepers)
	}
	t.Logf("time from the kill of the leader to the convergence of a change: %v",
		time.Since(sent).Round(time.Millisecond))
}

func (g *group) waitForConvergence(rev uint64) rolloutReply {
	g.t.Helper()
	return g.waitForConvergenceAt(0, rev)
}

func (g *group) waitForConvergenceAt(i int, rev uint64) (v rolloutReply) {
	g.t.Helper()
	waitUntil(g.t, fmt.Sprintf("convergence of revision %d", rev), func() bool {
		v = g.rollout(i, fmt.Sprintf("revision=%d&wait_ms=10000", rev))
		return v.Converged
	})
	return v
}
