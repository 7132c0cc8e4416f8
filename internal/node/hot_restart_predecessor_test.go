package node

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A predecessor that does not answer for three seconds. It guards against a new process that takes it for none: it
// went on without the cordons, with all of the bounds, and the old one never heard that it was to give way.
func TestStoppedPredecessor(t *testing.T) {
	one, two := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, two)
	oldAdmin, newAdmin := freePort(t), freePort(t)
	old := harness.startProcess(oldAdmin)
	harness.waitReady(oldAdmin)
	if harness.callAdmin("POST", oldAdmin, "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not taken")
	}
	harness.stopFor(old, 3*time.Second)
	harness.startProcess(newAdmin)
	harness.waitReady(newAdmin)
	c := harness.dial()
	for id := range 40 {
		requireServed(t, c, query("lookup", id, "SELECT 1"))
	}
	if two.totalRuns() > 0 {
		t.Error("the cordon was forgotten")
	}
	if got := harness.callAdmin("GET", oldAdmin, "/api/ready"); got != 503 {
		t.Errorf("the old process says %d when asked whether it is ready", got)
	}
	harness.terminate(old)
}

// A predecessor that hangs for good keeps the new process from serving for some seconds only. That knows the cordons,
// takes in no load, and is told of cordons that the old one keeps when it goes on after all. It guards against a
// router that can't be upgraded out of a process that hangs.
func TestPredecessorHangs(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(map[bool]string{true: "and is killed", false: "and goes on"}[ends], func(t *testing.T) {
			one, two, three := newBlockingEngine(), newBlockingEngine(), newBlockingEngine()
			harness := newRouterHarness(t, one, two, three)
			oldAdmin, newAdmin := freePort(t), freePort(t)
			old := harness.startProcess(oldAdmin)
			harness.waitReady(oldAdmin)
			there := harness.dial()
			requireServed(t, there, query("load", 7, "SELECT 1"))
			if harness.callAdmin("POST", oldAdmin, "/api/exclude/s-00000002") != 200 {
				t.Fatal("the cordon was not taken")
			}
			before := two.totalRuns()
			if err := old.Process.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			harness.startProcess(newAdmin)
			harness.waitReady(newAdmin)
			c := harness.dial()
			ask := func(c *mysqlClient, class string, id, wantRows, wantCode int) {
				t.Helper()
				if rows, code, err := c.ask(query(class, id, "SELECT 1")); rows != wantRows || code != wantCode || err != nil {
					t.Fatal(class, id, rows, code, err)
				}
			}
			for id := range 40 {
				ask(c, "lookup", 100+id, 1, 0)
			}
			if two.totalRuns() != before {
				t.Error("the cordon that the old process was told was forgotten")
			}
			ask(c, "load", 7, 0, 1040) // it ran in the old process, which can't be asked
			ask(c, "load", 8, 0, 1040)
			if harness.callAdmin("POST", newAdmin, "/api/exclude/s-00000003") != 200 {
				t.Fatal("the cordon was not taken")
			}
			if ends {
				if err := old.Process.Kill(); err != nil {
					t.Fatal(err)
				}
				_ = old.Wait()
				harness.waitFor("loads again", func() bool {
					rows, code, err := c.ask(query("load", 9, "SELECT 1"))
					return rows == 1 && code == 0 && err == nil
				})
				return
			}
			if err := old.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			harness.waitFor("the old process gives way", func() bool { return harness.callAdmin("GET", oldAdmin, "/api/ready") == 503 })
			harness.waitFor("the old process has the ban", func() bool {
				n := three.totalRuns()
				for id := range 20 {
					ask(there, "lookup", 1000+id+20*n, 1, 0)
				}
				return three.totalRuns() == n
			})
			n := three.totalRuns()
			for id := range 40 {
				ask(there, "lookup", 20000+id, 1, 0)
			}
			if three.totalRuns() != n || two.totalRuns() != before {
				t.Error("the old process forgot a cordon")
			}
			ask(c, "load", 7, 0, 1064) // now it is known to have run
			ask(c, "load", 10, 1, 0)
			harness.terminate(old)
		})
	}
}

// Ten upgrades in a row under load, with processes that are slowed or stopped meanwhile. It guards against all that a
// client, an operator or the platform would see of them: a request lost, a load that ran twice, a cordon forgotten,
// more descriptors than the limit.
func TestTenHotRestarts(t *testing.T) {
	const sockets = 256
	one, two := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, two)
	harness.limitSockets(sockets)
	all := &descriptorWatch{tracked: map[int]bool{}}
	all.run(t)
	adminAddresses := []string{freePort(t), freePort(t)}
	now := harness.startProcess(adminAddresses[0])
	all.track(now, true)
	harness.waitReady(adminAddresses[0])
	if harness.callAdmin("POST", adminAddresses[0], "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not taken")
	}
	c := harness.startLoad(24)
	for n := 1; n <= 10; n++ {
		stop := func() {}
		switch n {
		case 2, 7:
			harness.stopFor(now, 3*time.Second)
		case 3, 8:
			stop = harness.throttle(now)
		}
		next := harness.startProcess(adminAddresses[n%2])
		all.track(next, true)
		switch n {
		case 4:
			stop = harness.throttle(next)
		case 5:
			harness.stopFor(next, time.Second)
		}
		harness.waitReady(adminAddresses[n%2])
		harness.terminate(now)
		stop()
		all.track(now, false)
		now = next
		if two.totalRuns() > 0 {
			t.Fatalf("upgrade %d: the ban was forgotten", n)
		}
	}
	c.stop(t)
	one.requireLoadsOnce(t)
	all.mu.Lock()
	defer all.mu.Unlock()
	t.Logf("%d descriptors of %d", all.peak, sockets)
	if all.peak > sockets {
		t.Errorf("%d descriptors where %d is the limit", all.peak, sockets)
	}
}

// A third and a fourth process that start while two live wait their turn; an upgrade that is taken back leaves the old
// process serving; two that start at once become one after the other.
func TestChainedAndRevertedHotRestarts(t *testing.T) {
	one, two := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, two)
	adminAddresses := make([]string, 6)
	for i := range adminAddresses {
		adminAddresses[i] = freePort(t)
	}
	first := harness.startProcess(adminAddresses[0])
	harness.waitReady(adminAddresses[0])
	if harness.callAdmin("POST", adminAddresses[0], "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not taken")
	}
	c := harness.startLoad(8)
	second := harness.startProcess(adminAddresses[1])
	harness.waitReady(adminAddresses[1])
	third, fourth := harness.startProcess(adminAddresses[2]), harness.startProcess(adminAddresses[3]) // at once
	for range 30 {
		if harness.callAdmin("GET", adminAddresses[2], "/api/ready") == 200 || harness.callAdmin("GET", adminAddresses[3], "/api/ready") == 200 {
			t.Fatal("a third process serves while two do")
		}
		time.Sleep(10 * time.Millisecond)
	}
	harness.terminate(first)
	// Whichever of them came first goes on from the second, and the other waits for the second's end.
	next, last, nextAdmin, lastAdmin := third, fourth, adminAddresses[2], adminAddresses[3]
	harness.waitFor("one of the two", func() bool {
		if harness.callAdmin("GET", adminAddresses[3], "/api/ready") == 200 {
			next, last, nextAdmin, lastAdmin = fourth, third, adminAddresses[3], adminAddresses[2]
			return true
		}
		return harness.callAdmin("GET", adminAddresses[2], "/api/ready") == 200
	})
	harness.terminate(second)
	harness.waitReady(lastAdmin)
	// The last one is taken back: the one before accepts again.
	harness.terminate(last)
	harness.waitReady(nextAdmin)
	// One that is told to end before it serves leaves no trace.
	harness.stopFor(next, time.Second)
	early := harness.startProcess(adminAddresses[4])
	time.Sleep(200 * time.Millisecond)
	harness.terminate(early)
	harness.waitReady(nextAdmin)
	harness.startProcess(adminAddresses[5])
	harness.waitReady(adminAddresses[5])
	harness.terminate(next)
	c.stop(t)
	one.requireLoadsOnce(t)
	if two.totalRuns() > 0 {
		t.Error("the cordon was forgotten")
	}
	left, _ := filepath.Glob(filepath.Join(strings.TrimPrefix(harness.env[1], "TMPDIR="), "*"))
	t.Log(len(left), "files where the processes meet")
}
