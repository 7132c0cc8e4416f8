package keeper_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"windflow/internal/decide/configlog"
	"windflow/internal/keeper"
)

// limitFileSize bounds the files of a running keeper, which simulates a full disk: a write that grows a file fails.
func (g *group) limitFileSize(i int, bytes uint64) {
	g.t.Helper()
	l := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(g.members[i].cmd.Process.Pid, unix.RLIMIT_FSIZE, &l, nil); err != nil {
		g.t.Fatal(err)
	}
}

// fillDisk prevents a keeper's log from growing.
func (g *group) fillDisk(i int) {
	g.t.Helper()
	f, err := os.Stat(filepath.Join(g.members[i].options.Dir, "raft.db"))
	if err != nil {
		g.t.Fatal(err)
	}
	g.limitFileSize(i, uint64(f.Size()))
}

func largeChange(n int) configlog.Change {
	return put(fmt.Sprint("c", n), "/board", `"`+strings.Repeat("x", 20<<10)+fmt.Sprint(n)+`"`)
}

// With all disks full no change is lost or made in part, and calls are answered; with free space changes are accepted
// again.
func TestAllDisksFull(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 3 * time.Second })
	f := follower{g: g, name: "r1", instance: "a"}
	last := g.change(0, largeChange(0))
	f.pollUntil(0, last)
	for i := range g.members {
		g.fillDisk(i)
	}
	var no reply
	n := 1
	for ; ; n++ {
		no = reply{}
		code := g.post(0, "/v1/changes", largeChange(n), &no)
		if code == 503 {
			break
		}
		if code != 200 {
			t.Fatalf("%d %+v", code, no)
		}
		last = no.Revision
	}
	if no.Done == "" || no.Reason == "" {
		t.Errorf("%+v", no)
	}
	said := 0
	for i, p := range g.members {
		if !p.alive() {
			t.Fatalf("%s has ended", p.options.ID)
		}
		if c := g.waitForRevision(i, last); c.Revision != last {
			t.Errorf("%s serves %d", p.options.ID, c.Revision)
		}
		if strings.Contains(g.status(i).DiskError, "file too large") {
			said++
		}
	}
	if said == 0 {
		t.Error("no status reports that a disk is full")
	}
	f.pollUntil(1, last)
	for i := range g.members {
		g.limitFileSize(i, unix.RLIM_INFINITY)
	}
	g.leader()
	if rev := g.change(1, largeChange(n)); rev != last+1 {
		t.Errorf("with room again: revision %d after %d", rev, last)
	}
	g.checkEqualState(last + 1)
}

// With the leader's disk full another keeper leads and accepts the changes.
func TestLeaderDiskFull(t *testing.T) {
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 20 * time.Second })
	last := g.change(0, largeChange(0))
	full := g.leader()
	g.fillDisk(full)
	receiver := (full + 1) % 3
	for n := 1; n < 20; n++ {
		last = g.change(receiver, largeChange(n))
	}
	if s := g.status(full); !strings.Contains(s.DiskError, "file too large") || !g.members[full].alive() {
		t.Errorf("%+v", s)
	}
	g.limitFileSize(full, unix.RLIM_INFINITY)
	g.checkEqualState(last)
	if last != 20 {
		t.Error("revision", last)
	}
}
