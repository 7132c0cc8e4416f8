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

// limit bounds the files that a living keeper may write, which stands in for a full disk: what grows a file fails.
func (g *group) limit(i int, bytes uint64) {
	g.t.Helper()
	l := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(g.members[i].cmd.Process.Pid, unix.RLIMIT_FSIZE, &l, nil); err != nil {
		g.t.Fatal(err)
	}
}

// full lets a keeper's log not grow from here on.
func (g *group) full(i int) {
	g.t.Helper()
	f, err := os.Stat(filepath.Join(g.members[i].options.Dir, "raft.db"))
	if err != nil {
		g.t.Fatal(err)
	}
	g.limit(i, uint64(f.Size()))
}

func large(n int) configlog.Change {
	return put(fmt.Sprint("c", n), "/board", `"`+strings.Repeat("x", 20<<10)+fmt.Sprint(n)+`"`)
}

// All disks are full: no change is lost or made by half, calls go on being answered, and with room again changes are
// taken.
func TestDisksFull(t *testing.T) {
	t.Parallel()
	g := started(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 3 * time.Second })
	f := follower{g: g, name: "r1", instance: "a"}
	last := g.change(0, large(0))
	f.until(0, last)
	for i := range g.members {
		g.full(i)
	}
	var no reply
	n := 1
	for ; ; n++ {
		no = reply{}
		code := g.post(0, "/v1/changes", large(n), &no)
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
		if c := g.at(i, last); c.Revision != last {
			t.Errorf("%s serves %d", p.options.ID, c.Revision)
		}
		if strings.Contains(g.status(i).DiskError, "file too large") {
			said++
		}
	}
	if said == 0 {
		t.Error("no status says that a disk is full")
	}
	f.until(1, last)
	for i := range g.members {
		g.limit(i, unix.RLIM_INFINITY)
	}
	g.leader()
	if rev := g.change(1, large(n)); rev != last+1 {
		t.Errorf("with room again: revision %d after %d", rev, last)
	}
	g.equal(last + 1)
}

// One disk is full, the leader's: another one leads and takes the changes.
func TestLeadersDiskFull(t *testing.T) {
	g := started(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 20 * time.Second })
	last := g.change(0, large(0))
	full := g.leader()
	g.full(full)
	asked := (full + 1) % 3
	for n := 1; n < 20; n++ {
		last = g.change(asked, large(n))
	}
	if s := g.status(full); !strings.Contains(s.DiskError, "file too large") || !g.members[full].alive() {
		t.Errorf("%+v", s)
	}
	g.limit(full, unix.RLIM_INFINITY)
	g.equal(last)
	if last != 20 {
		t.Error("revision", last)
	}
}
