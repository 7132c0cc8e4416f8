package node

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A predecessor that does not answer for three seconds. It guards against a new process that takes it for none: it went on
// without the bans, with all of the bounds, and the old one never heard that it was to give way.
func TestPredecessorStopped(t *testing.T) {
	one, two := newSlowEngine(), newSlowEngine()
	f := newFleet(t, one, two)
	doorA, doorB := freePort(t), freePort(t)
	old := f.start(doorA)
	f.ready(doorA)
	if f.call("POST", doorA, "/api/exclude/s-00000002") != 200 {
		t.Fatal("the ban was not taken")
	}
	f.hold(old, 3*time.Second)
	f.start(doorB)
	f.ready(doorB)
	c := f.client()
	for id := range 40 {
		if rows, code, err := c.ask(query("lookup", id, "SELECT 1")); rows != 1 || code != 0 || err != nil {
			t.Fatal(rows, code, err)
		}
	}
	if two.total() > 0 {
		t.Error("the ban was forgotten")
	}
	if got := f.call("GET", doorA, "/api/ready"); got != 503 {
		t.Errorf("the old process says %d when asked whether it is ready", got)
	}
	f.end(old)
}

// A predecessor that hangs for good keeps the new process from serving for some seconds only. That knows the bans, takes
// in no load, and is told of bans that the old one keeps when it goes on after all. It guards against a router that can't
// be upgraded out of a process that hangs.
func TestPredecessorHangs(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(map[bool]string{true: "and is killed", false: "and goes on"}[ends], func(t *testing.T) {
			one, two, three := newSlowEngine(), newSlowEngine(), newSlowEngine()
			f := newFleet(t, one, two, three)
			doorA, doorB := freePort(t), freePort(t)
			old := f.start(doorA)
			f.ready(doorA)
			there := f.client()
			if rows, code, err := there.ask(query("load", 7, "SELECT 1")); rows != 1 || code != 0 || err != nil {
				t.Fatal(rows, code, err)
			}
			if f.call("POST", doorA, "/api/exclude/s-00000002") != 200 {
				t.Fatal("the ban was not taken")
			}
			before := two.total()
			if err := old.Process.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			f.start(doorB)
			f.ready(doorB)
			c := f.client()
			ask := func(c *mysqlClient, class string, id, wantRows, wantCode int) {
				t.Helper()
				if rows, code, err := c.ask(query(class, id, "SELECT 1")); rows != wantRows || code != wantCode || err != nil {
					t.Fatal(class, id, rows, code, err)
				}
			}
			for id := range 40 {
				ask(c, "lookup", 100+id, 1, 0)
			}
			if two.total() != before {
				t.Error("the ban that the old process was told was forgotten")
			}
			ask(c, "load", 7, 0, 1040) // it ran in the old process, which can't be asked
			ask(c, "load", 8, 0, 1040)
			if f.call("POST", doorB, "/api/exclude/s-00000003") != 200 {
				t.Fatal("the ban was not taken")
			}
			if ends {
				if err := old.Process.Kill(); err != nil {
					t.Fatal(err)
				}
				_ = old.Wait()
				f.waitFor("loads again", func() bool {
					rows, code, err := c.ask(query("load", 9, "SELECT 1"))
					return rows == 1 && code == 0 && err == nil
				})
				return
			}
			if err := old.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			f.waitFor("the old process gives way", func() bool { return f.call("GET", doorA, "/api/ready") == 503 })
			f.waitFor("the old process has the ban", func() bool {
				n := three.total()
				for id := range 20 {
					ask(there, "lookup", 1000+id+20*n, 1, 0)
				}
				return three.total() == n
			})
			n := three.total()
			for id := range 40 {
				ask(there, "lookup", 20000+id, 1, 0)
			}
			if three.total() != n || two.total() != before {
				t.Error("the old process forgot a ban")
			}
			ask(c, "load", 7, 0, 1064) // now it is known to have run
			ask(c, "load", 10, 1, 0)
			f.end(old)
		})
	}
}

// Ten upgrades in a row under load, with processes that are slowed or stopped meanwhile. It guards against all that a
// client, an operator or the platform would see of them: a request lost, a load that ran twice, a ban forgotten, more
// descriptors than the limit.
func TestTenUpgrades(t *testing.T) {
	const sockets = 256
	one, two := newSlowEngine(), newSlowEngine()
	f := newFleet(t, one, two)
	f.limit(sockets)
	all := &descriptors{of: map[int]bool{}}
	all.watch(t)
	doors := []string{freePort(t), freePort(t)}
	now := f.start(doors[0])
	all.set(now, true)
	f.ready(doors[0])
	if f.call("POST", doors[0], "/api/exclude/s-00000002") != 200 {
		t.Fatal("the ban was not taken")
	}
	c := f.crowd(24)
	for n := 1; n <= 10; n++ {
		stop := func() {}
		switch n {
		case 2, 7:
			f.hold(now, 3*time.Second)
		case 3, 8:
			stop = f.slow(now)
		}
		next := f.start(doors[n%2])
		all.set(next, true)
		switch n {
		case 4:
			stop = f.slow(next)
		case 5:
			f.hold(next, time.Second)
		}
		f.ready(doors[n%2])
		f.end(now)
		stop()
		all.set(now, false)
		now = next
		if two.total() > 0 {
			t.Fatalf("upgrade %d: the ban was forgotten", n)
		}
	}
	c.stop(t)
	one.once(t)
	all.mu.Lock()
	defer all.mu.Unlock()
	t.Logf("%d descriptors of %d", all.most, sockets)
	if all.most > sockets {
		t.Errorf("%d descriptors where %d is the limit", all.most, sockets)
	}
}

// A third and a fourth process that start while two live wait their turn; an upgrade that is taken back leaves the old
// process serving; two that start at once become one after the other.
func TestChainsAndUpgradesTakenBack(t *testing.T) {
	one, two := newSlowEngine(), newSlowEngine()
	f := newFleet(t, one, two)
	doors := make([]string, 6)
	for i := range doors {
		doors[i] = freePort(t)
	}
	first := f.start(doors[0])
	f.ready(doors[0])
	if f.call("POST", doors[0], "/api/exclude/s-00000002") != 200 {
		t.Fatal("the ban was not taken")
	}
	c := f.crowd(8)
	second := f.start(doors[1])
	f.ready(doors[1])
	third, fourth := f.start(doors[2]), f.start(doors[3]) // at once
	for range 30 {
		if f.call("GET", doors[2], "/api/ready") == 200 || f.call("GET", doors[3], "/api/ready") == 200 {
			t.Fatal("a third process serves while two do")
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.end(first)
	// Whichever of them came first goes on from the second, and the other waits for the second's end.
	next, last, nextDoor, lastDoor := third, fourth, doors[2], doors[3]
	f.waitFor("one of the two", func() bool {
		if f.call("GET", doors[3], "/api/ready") == 200 {
			next, last, nextDoor, lastDoor = fourth, third, doors[3], doors[2]
			return true
		}
		return f.call("GET", doors[2], "/api/ready") == 200
	})
	f.end(second)
	f.ready(lastDoor)
	// The last one is taken back: the one before accepts again.
	f.end(last)
	f.ready(nextDoor)
	// One that is told to end before it serves leaves no trace.
	f.hold(next, time.Second)
	early := f.start(doors[4])
	time.Sleep(200 * time.Millisecond)
	f.end(early)
	f.ready(nextDoor)
	f.start(doors[5])
	f.ready(doors[5])
	f.end(next)
	c.stop(t)
	one.once(t)
	if two.total() > 0 {
		t.Error("the ban was forgotten")
	}
	left, _ := filepath.Glob(filepath.Join(strings.TrimPrefix(f.env[1], "TMPDIR="), "*"))
	t.Log(len(left), "files where the processes meet")
}
