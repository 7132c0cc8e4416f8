package node

import (
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A predecessor that does not answer for three seconds. It guards against a new process that takes it for none: it
// went on without the cordons, with the full limits, and the old one never read that it was to stop accepting.
func TestPredecessorStoppedForThreeSeconds(t *testing.T) {
	one, cordoned := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, cordoned)
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
	if cordoned.totalRuns() > 0 {
		t.Error("the cordon was forgotten")
	}
	if got := harness.callAdmin("GET", oldAdmin, "/api/ready"); got != 503 {
		t.Errorf("the old process's readiness check returns %d", got)
	}
	harness.terminate(old)
}

// hangingPredecessor is a router whose predecessor hangs for good, and whose successor is degraded.
type hangingPredecessor struct {
	t                  *testing.T
	harness            *routerHarness
	cordonedOld        *blockingEngine // at the predecessor, before it hung
	cordonedNew        *blockingEngine // at the successor
	runsBefore         int             // of cordonedOld, before its cordon
	oldAdmin, newAdmin string
	old                *exec.Cmd
	oldClient, client  *mysqlClient // sessions of the predecessor and of the successor
}

func hangPredecessor(t *testing.T) *hangingPredecessor {
	t.Helper()
	h := &hangingPredecessor{
		t: t, cordonedOld: newBlockingEngine(), cordonedNew: newBlockingEngine(), oldAdmin: freePort(t),
		newAdmin: freePort(t),
	}
	h.harness = newRouterHarness(t, newBlockingEngine(), h.cordonedOld, h.cordonedNew)
	h.old = h.harness.startProcess(h.oldAdmin)
	h.harness.waitReady(h.oldAdmin)
	h.oldClient = h.harness.dial()
	requireServed(t, h.oldClient, query("load", 7, "SELECT 1"))
	if h.harness.callAdmin("POST", h.oldAdmin, "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not taken")
	}
	h.runsBefore = h.cordonedOld.totalRuns()
	if err := h.old.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	h.harness.startProcess(h.newAdmin)
	h.harness.waitReady(h.newAdmin)
	h.client = h.harness.dial()
	return h
}

// requireAnswer ends the test unless a request is answered as wanted.
func (h *hangingPredecessor) requireAnswer(client *mysqlClient, class string, id, wantRows, wantCode int) {
	h.t.Helper()
	rows, code, err := client.exchange(query(class, id, "SELECT 1"))
	if rows != wantRows || code != wantCode || err != nil {
		h.t.Fatal(class, id, rows, code, err)
	}
}

// checkDegraded checks that the successor knows the cordons, and takes no load.
func (h *hangingPredecessor) checkDegraded() {
	h.t.Helper()
	for id := range 40 {
		h.requireAnswer(h.client, "lookup", 100+id, 1, 0)
	}
	if h.cordonedOld.totalRuns() != h.runsBefore {
		h.t.Error("the cordon that was ordered at the old process was forgotten")
	}
	h.requireAnswer(h.client, "load", 7, 0, 1040) // it ran in the predecessor, which does not answer
	h.requireAnswer(h.client, "load", 8, 0, 1040)
	if h.harness.callAdmin("POST", h.newAdmin, "/api/exclude/s-00000003") != 200 {
		h.t.Fatal("the cordon was not taken")
	}
}

// kill ends the predecessor; the successor takes loads then.
func (h *hangingPredecessor) kill() {
	h.t.Helper()
	if err := h.old.Process.Kill(); err != nil {
		h.t.Fatal(err)
	}
	_ = h.old.Wait()
	h.harness.waitFor("loads again", func() bool {
		rows, code, err := h.client.exchange(query("load", 9, "SELECT 1"))
		return rows == 1 && code == 0 && err == nil
	})
}

// goOn resumes the predecessor: it stops accepting, learns of the cordon, and what it knew is known to the successor.
func (h *hangingPredecessor) resume() {
	h.t.Helper()
	if err := h.old.Process.Signal(syscall.SIGCONT); err != nil {
		h.t.Fatal(err)
	}
	h.harness.waitFor("the old process stops accepting", func() bool {
		return h.harness.callAdmin("GET", h.oldAdmin, "/api/ready") == 503
	})
	h.harness.waitFor("the old process has the cordon", func() bool {
		runs := h.cordonedNew.totalRuns()
		for id := range 20 {
			h.requireAnswer(h.oldClient, "lookup", 1000+id+20*runs, 1, 0)
		}
		return h.cordonedNew.totalRuns() == runs
	})
	runs := h.cordonedNew.totalRuns()
	for id := range 40 {
		h.requireAnswer(h.oldClient, "lookup", 20000+id, 1, 0)
	}
	if h.cordonedNew.totalRuns() != runs || h.cordonedOld.totalRuns() != h.runsBefore {
		h.t.Error("the old process forgot a cordon")
	}
	h.requireAnswer(h.client, "load", 7, 0, 1064) // now it is known to have run
	h.requireAnswer(h.client, "load", 10, 1, 0)
	h.harness.terminate(h.old)
}

// A predecessor that hangs for good keeps its successor from serving for some seconds only. That knows the cordons,
// takes in no load, and learns of what the predecessor knows when it continues after all. It guards against a router
// that can't be restarted out of a process that hangs.
func TestPredecessorHangs(t *testing.T) {
	t.Run("killed", func(t *testing.T) {
		h := hangPredecessor(t)
		h.checkDegraded()
		h.kill()
	})
	t.Run("resumed", func(t *testing.T) {
		h := hangPredecessor(t)
		h.checkDegraded()
		h.resume()
	})
}

// Ten hot restarts in a row under load, with processes that are slowed or stopped meanwhile. It guards against all
// that a client, an operator or the platform would see of them: a request lost, a load that ran twice, a cordon
// forgotten, more descriptors than the limit.
func TestTenHotRestarts(t *testing.T) {
	const sockets = 256
	one, cordoned := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, cordoned)
	harness.limitSockets(sockets)
	descriptors := &descriptorWatch{tracked: map[int]bool{}}
	descriptors.run(t)
	adminAddresses := []string{freePort(t), freePort(t)}
	current := harness.startProcess(adminAddresses[0])
	descriptors.track(current, true)
	harness.waitReady(adminAddresses[0])
	if harness.callAdmin("POST", adminAddresses[0], "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not taken")
	}
	load := harness.startLoad(24)
	for round := 1; round <= 10; round++ {
		stopThrottling := func() {}
		switch round {
		case 2, 7:
			harness.stopFor(current, 3*time.Second)
		case 3, 8:
			stopThrottling = harness.throttle(current)
		}
		next := harness.startProcess(adminAddresses[round%2])
		descriptors.track(next, true)
		switch round {
		case 4:
			stopThrottling = harness.throttle(next)
		case 5:
			harness.stopFor(next, time.Second)
		}
		harness.waitReady(adminAddresses[round%2])
		harness.terminate(current)
		stopThrottling()
		descriptors.track(current, false)
		current = next
		if cordoned.totalRuns() > 0 {
			t.Fatalf("hot restart %d: the cordon was forgotten", round)
		}
	}
	load.stop(t)
	one.requireLoadsOnce(t)
	descriptors.mu.Lock()
	defer descriptors.mu.Unlock()
	t.Logf("%d descriptors of %d", descriptors.peak, sockets)
	if descriptors.peak > sockets {
		t.Errorf("%d descriptors where %d is the limit", descriptors.peak, sockets)
	}
}

// A third and a fourth process that start while two live wait their turn; a hot restart that is reverted leaves the old
// process serving; two that start at once become one after the other.
func TestChainedAndRevertedHotRestarts(t *testing.T) {
	one, cordoned := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, cordoned)
	adminAddresses := make([]string, 6)
	for i := range adminAddresses {
		adminAddresses[i] = freePort(t)
	}
	first := harness.startProcess(adminAddresses[0])
	harness.waitReady(adminAddresses[0])
	if harness.callAdmin("POST", adminAddresses[0], "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not taken")
	}
	load := harness.startLoad(8)
	second := harness.startProcess(adminAddresses[1])
	harness.waitReady(adminAddresses[1])
	third, fourth := harness.startProcess(adminAddresses[2]), harness.startProcess(adminAddresses[3]) // at once
	for range 30 {
		if harness.callAdmin("GET", adminAddresses[2], "/api/ready") == 200 ||
			harness.callAdmin("GET", adminAddresses[3], "/api/ready") == 200 {
			t.Fatal("a third process serves while two do")
		}
		time.Sleep(10 * time.Millisecond)
	}
	harness.terminate(first)
	// Whichever of them was first continues from the second, and the other waits for the second's end.
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
	// One that is requested to end before it serves leaves no trace.
	harness.stopFor(next, time.Second)
	early := harness.startProcess(adminAddresses[4])
	time.Sleep(200 * time.Millisecond)
	harness.terminate(early)
	harness.waitReady(nextAdmin)
	harness.startProcess(adminAddresses[5])
	harness.waitReady(adminAddresses[5])
	harness.terminate(next)
	load.stop(t)
	one.requireLoadsOnce(t)
	if cordoned.totalRuns() > 0 {
		t.Error("the cordon was forgotten")
	}
	left, _ := filepath.Glob(filepath.Join(strings.TrimPrefix(harness.env[1], "TMPDIR="), "*"))
	t.Log(len(left), "files where the processes meet")
}
