package node

import (
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A predecessor that does not answer for three seconds is still found by its successor. Guards against a new process
// that treats it as absent. Such a process served without the cordons and with full limits, and the old one never
// learned that it had to stop accepting.
func TestPredecessorStoppedForThreeSeconds(t *testing.T) {
	one, cordoned := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, cordoned)
	oldAdmin, newAdmin := freePort(t), freePort(t)
	old := harness.startProcess(oldAdmin)
	harness.waitReady(oldAdmin)
	if harness.callAdmin("POST", oldAdmin, "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not accepted")
	}
	harness.stopFor(old, 3*time.Second)
	harness.startProcess(newAdmin)
	harness.waitReady(newAdmin)
	c := harness.dial()
	for id := range 40 {
		requireServed(t, c, query("lookup", id, "SELECT 1"))
	}
	if cordoned.totalRuns() > 0 {
		t.Error("the cordoned engine ran queries after the hot restart")
	}
	if got := harness.callAdmin("GET", oldAdmin, "/api/ready"); got != 503 {
		t.Errorf("the readiness check of the old process returns %d, want 503", got)
	}
	harness.terminate(old)
}

// hangingPredecessor is a router whose old process hangs until the test resumes or kills it, and whose new process is
// degraded meanwhile.
type hangingPredecessor struct {
	t                  *testing.T
	harness            *routerHarness
	cordonedOld        *blockingEngine // cordoned at the predecessor before it hung
	cordonedNew        *blockingEngine // cordoned at the successor
	runsBefore         int             // queries that cordonedOld had run when the predecessor hung
	oldAdmin, newAdmin string
	predecessor        *exec.Cmd
	oldClient, client  *mysqlClient // sessions of the predecessor and of the successor
}

// newHangingPredecessor starts a router, stops its process with SIGSTOP, and starts a successor.
func newHangingPredecessor(t *testing.T) *hangingPredecessor {
	t.Helper()
	h := &hangingPredecessor{
		t: t, cordonedOld: newBlockingEngine(), cordonedNew: newBlockingEngine(), oldAdmin: freePort(t),
		newAdmin: freePort(t),
	}
	h.harness = newRouterHarness(t, newBlockingEngine(), h.cordonedOld, h.cordonedNew)
	h.predecessor = h.harness.startProcess(h.oldAdmin)
	h.harness.waitReady(h.oldAdmin)
	h.oldClient = h.harness.dial()
	requireServed(t, h.oldClient, query("load", 7, "SELECT 1"))
	if h.harness.callAdmin("POST", h.oldAdmin, "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not accepted")
	}
	h.runsBefore = h.cordonedOld.totalRuns()
	if err := h.predecessor.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	h.harness.startProcess(h.newAdmin)
	h.harness.waitReady(h.newAdmin)
	h.client = h.harness.dial()
	return h
}

// requireAnswer sends a request and ends the test unless the answer has wantRows rows and the error code wantCode.
func (h *hangingPredecessor) requireAnswer(client *mysqlClient, class string, id, wantRows, wantCode int) {
	h.t.Helper()
	rows, code, err := client.exchange(query(class, id, "SELECT 1"))
	if rows != wantRows || code != wantCode || err != nil {
		h.t.Fatalf("%s %d: %d rows, error %d, %v; want %d rows, error %d", class, id, rows, code, err, wantRows, wantCode)
	}
}

// checkDegraded checks that the successor knows the cordon, rejects loads, and accepts a further cordon.
func (h *hangingPredecessor) checkDegraded() {
	h.t.Helper()
	for id := range 40 {
		h.requireAnswer(h.client, "lookup", 100+id, 1, 0)
	}
	if h.cordonedOld.totalRuns() != h.runsBefore {
		h.t.Error("the engine that was cordoned at the old process ran queries")
	}
	h.requireAnswer(h.client, "load", 7, 0, 1040) // it ran in the predecessor, but the successor can't know that yet
	h.requireAnswer(h.client, "load", 8, 0, 1040)
	if h.harness.callAdmin("POST", h.newAdmin, "/api/exclude/s-00000003") != 200 {
		h.t.Fatal("the cordon was not accepted")
	}
}

// kill ends the predecessor, and waits until the successor accepts loads.
func (h *hangingPredecessor) kill() {
	h.t.Helper()
	if err := h.predecessor.Process.Kill(); err != nil {
		h.t.Fatal(err)
	}
	_ = h.predecessor.Wait()
	h.harness.waitFor("loads are served again", func() bool {
		rows, code, err := h.client.exchange(query("load", 9, "SELECT 1"))
		return rows == 1 && code == 0 && err == nil
	})
}

// resume lets the predecessor continue. It checks that the predecessor stops accepting and learns of the new cordon,
// and that the successor learns which loads the predecessor ran.
func (h *hangingPredecessor) resume() {
	h.t.Helper()
	if err := h.predecessor.Process.Signal(syscall.SIGCONT); err != nil {
		h.t.Fatal(err)
	}
	h.harness.waitFor("the old process has stopped accepting", func() bool {
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
		h.t.Error("a cordoned engine ran queries of the old process")
	}
	h.requireAnswer(h.client, "load", 7, 0, 1064) // the successor knows now that it has run
	h.requireAnswer(h.client, "load", 10, 1, 0)
	h.harness.terminate(h.predecessor)
}

// A predecessor that hangs delays its successor by a few seconds only. The successor then knows the cordons and rejects
// loads. If the predecessor continues, the successor learns what it knows. Guards against a router
// whose hanging process can't be replaced by a hot restart.
func TestPredecessorHangs(t *testing.T) {
	t.Run("killed", func(t *testing.T) {
		h := newHangingPredecessor(t)
		h.checkDegraded()
		h.kill()
	})
	t.Run("resumed", func(t *testing.T) {
		h := newHangingPredecessor(t)
		h.checkDegraded()
		h.resume()
	})
}

// Ten hot restarts in a row under load, during which processes are throttled or stopped. Clients, operators and the
// platform must not notice them: no request is lost, no load runs twice, no cordon is lost, and the processes together
// stay within the limit on descriptors.
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
		t.Fatal("the cordon was not accepted")
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
			t.Fatalf("hot restart %d: the cordoned engine ran queries", round)
		}
	}
	load.stop(t)
	one.requireLoadsOnce(t)
	descriptors.mu.Lock()
	defer descriptors.mu.Unlock()
	t.Logf("at most %d descriptors were open, the limit is %d", descriptors.peak, sockets)
	if descriptors.peak > sockets {
		t.Errorf("%d descriptors were open, the limit is %d", descriptors.peak, sockets)
	}
}

// A hot restart has two processes. Two further processes that start at once meanwhile wait until one of the two has
// ended, and then take over one after the other. If a hot restart is reverted, the old process serves again.
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
		t.Fatal("the cordon was not accepted")
	}
	load := harness.startLoad(8)
	second := harness.startProcess(adminAddresses[1])
	harness.waitReady(adminAddresses[1])
	third, fourth := harness.startProcess(adminAddresses[2]), harness.startProcess(adminAddresses[3]) // both at once
	for range 30 {
		if harness.callAdmin("GET", adminAddresses[2], "/api/ready") == 200 ||
			harness.callAdmin("GET", adminAddresses[3], "/api/ready") == 200 {
			t.Fatal("a third process serves while two others run")
		}
		time.Sleep(10 * time.Millisecond)
	}
	harness.terminate(first)
	// One of them, whichever was first, becomes the successor of the second process. The other waits until that has
	// ended.
	next, last, nextAdmin, lastAdmin := third, fourth, adminAddresses[2], adminAddresses[3]
	harness.waitFor("the third or the fourth process is ready", func() bool {
		if harness.callAdmin("GET", adminAddresses[3], "/api/ready") == 200 {
			next, last, nextAdmin, lastAdmin = fourth, third, adminAddresses[3], adminAddresses[2]
			return true
		}
		return harness.callAdmin("GET", adminAddresses[2], "/api/ready") == 200
	})
	harness.terminate(second)
	harness.waitReady(lastAdmin)
	// The last process ends, so the hot restart is reverted: the process before it accepts again.
	harness.terminate(last)
	harness.waitReady(nextAdmin)
	// A process that ends before it has served does not affect the others.
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
		t.Error("the cordoned engine ran queries after the hot restart")
	}
	left, _ := filepath.Glob(filepath.Join(strings.TrimPrefix(harness.env[1], "TMPDIR="), "*"))
	t.Log(len(left), "files in the directory of the process slots")
}
