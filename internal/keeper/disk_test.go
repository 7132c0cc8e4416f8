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

// limitFileSize limits the size of the files that a running keeper can write. It simulates a full disk: a write that
// extends a file beyond the limit fails.
func (g *group) limitFileSize(i int, bytes uint64) {
	g.t.Helper()
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(g.members[i].cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		g.t.Fatal(err)
	}
}

// fillDisk prevents a keeper's log file from growing.
func (g *group) fillDisk(i int) {
	g.t.Helper()
	info, err := os.Stat(filepath.Join(g.members[i].options.Dir, "raft.db"))
	if err != nil {
		g.t.Fatal(err)
	}
	g.limitFileSize(i, uint64(info.Size()))
}

func largeChange(n int) configlog.Change {
	return put(fmt.Sprint("c", n), "/board", `"`+strings.Repeat("x", 20<<10)+fmt.Sprint(n)+`"`)
}

// While the disks of all keepers are full, no change is lost or partly applied, and the keepers respond to calls. Once
// there is free space, they accept changes again.
func TestAllDisksFull(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 3 * time.Second })
	f := follower{g: g, name: "r1", instance: "a"}
	last := g.change(0, largeChange(0))
	f.pollUntil(0, last)
	for i := range g.members {
		g.fillDisk(i)
	}
	var failure reply
	n := 1
	for ; ; n++ {
		failure = reply{}
		code := g.post(0, "/v1/changes", largeChange(n), &failure)
		if code == 503 {
			break
		}
		if code != 200 {
			t.Fatalf("status %d, want 503: %+v", code, failure)
		}
		last = failure.Revision
	}
	if failure.Done == "" || failure.Reason == "" {
		t.Errorf("the reply lacks done or reason: %+v", failure)
	}
	reported := 0
	for i, p := range g.members {
		if !p.alive() {
			t.Fatalf("%s has exited", p.options.ID)
		}
		if c := g.waitForRevision(i, last); c.Revision != last {
			t.Errorf("%s serves revision %d, want %d", p.options.ID, c.Revision, last)
		}
		if strings.Contains(g.status(i).DiskError, "file too large") {
			reported++
		}
	}
	if reported == 0 {
		t.Error("no keeper reports in its status that its disk is full")
	}
	f.pollUntil(1, last)
	for i := range g.members {
		g.limitFileSize(i, unix.RLIM_INFINITY)
	}
	g.leader()
	if rev := g.change(1, largeChange(n)); rev != last+1 {
		t.Errorf("with free space again: revision %d, want %d", rev, last+1)
	}
	g.checkEqualState(last + 1)
}

// When only the leader's disk is full, another keeper becomes the leader and accepts the changes.
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
		t.Errorf("the keeper with the full disk has exited or does not report it: %+v", s)
	}
	g.limitFileSize(full, unix.RLIM_INFINITY)
	g.checkEqualState(last)
	if last != 20 {
		t.Errorf("revision %d, want 20", last)
	}
}
