package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"windflow/internal/configclient/keepertest"
	"windflow/internal/decide/configlog"
)

// keeperHarness is a router harness whose processes follow keepers.
type keeperHarness struct {
	*routerHarness
	settingsPath string // path of the installation's settings
	copyDir      string // directory of the local copies of revisions
}

func newKeeperHarness(t *testing.T, addrs ...string) *keeperHarness {
	t.Helper()
	h := &keeperHarness{routerHarness: newRouterHarness(t, newBlockingEngine(), newBlockingEngine()), copyDir: t.TempDir()}
	h.settingsPath = filepath.Join(filepath.Dir(h.config), "windflow.json")
	h.configureKeepers(addrs...)
	h.env = append(h.env, "WINDFLOW_TEST_ROUTER=settings="+h.settingsPath)
	return h
}

// configureKeepers writes installation settings with those keepers' addresses.
func (h *keeperHarness) configureKeepers(addrs ...string) {
	h.t.Helper()
	list, err := json.Marshal(addrs)
	if err == nil {
		err = os.WriteFile(h.settingsPath, fmt.Appendf(nil, `{"keepers": {"addresses": %s, "dir": %q, "hold_ms": 1000}}`,
			list, h.copyDir), 0o600)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// requireServing fails the test unless a request on a new connection is served.
func (h *keeperHarness) requireServing(id int) {
	h.t.Helper()
	c := h.dial()
	checkServed(h.t, c, query("lookup", id, "SELECT 1"))
}

// discoveryOfRevision starts a fake discovery server. It returns the server's address, and a function that waits until
// a router connects to it. A router does so only if the revision with that address is in force.
func discoveryOfRevision(t *testing.T) (addr string, waitForConnection func()) {
	t.Helper()
	addr, links := listenDiscovery(t)
	return addr, func() {
		t.Helper()
		l := <-links
		t.Cleanup(func() { _ = l.Close() })
	}
}

// A running router puts a new revision in force and continues to serve. It reports a revision that it rejects with the
// pointer to the invalid entry, and keeps the former one in force. The next valid revision is put in force.
func TestRevisionTakesEffect(t *testing.T) {
	keeper := keepertest.New(t)
	harness := newKeeperHarness(t, keeper.Addr())
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	if got := harness.metric(adminAddress, revisionMetric); got != 0 {
		t.Errorf("revision %d is in force at the start, want 0", got)
	}
	addr, reached := discoveryOfRevision(t)
	first := keeper.Change(map[string]string{"/board": fmt.Sprintf("%q", addr)})
	keeper.WaitForRevision(first)
	reached()
	harness.requireServing(1)
	bad := keeper.Change(map[string]string{
		"/settings/specifics/width-by-class": "[1]", "/settings/over-share-worth": "0.5",
	})
	status := keeper.WaitForStatus("the router reports a rejected revision",
		func(r configlog.FollowerStatus) bool { return r.Rejected != nil })
	if status.Revision != first || status.Rejected.Revision != bad ||
		status.Rejected.Pointer != "/settings/specifics/width-by-class" {
		t.Errorf("status %+v, rejected %+v, want revision %d in force and %d rejected", status, status.Rejected, first, bad)
	}
	inForce, rejected := harness.metric(adminAddress, revisionMetric), harness.metric(adminAddress, rejectedMetric)
	if inForce != int(first) || rejected != int(bad) {
		t.Errorf("metrics: revision %d in force, %d rejected, want %d and %d", inForce, rejected, first, bad)
	}
	harness.requireServing(2)
	last := keeper.Change(nil, "/settings/specifics/width-by-class")
	if status := keeper.WaitForRevision(last); status.Rejected != nil || status.Name != "n0" {
		t.Errorf("status %+v, want nothing rejected and name n0", status)
	}
	inForce, rejected = harness.metric(adminAddress, revisionMetric), harness.metric(adminAddress, rejectedMetric)
	if inForce != int(last) || rejected != 0 {
		t.Errorf("metrics: revision %d in force, %d rejected, want %d and 0", inForce, rejected, last)
	}
	harness.requireServing(3)
}

// A router reloads its own file while revisions arrive. The entries in force still override the file. A file with which
// an entry is invalid is rejected, and the former configuration stays in force.
func TestReloadWhileRevisionsArrive(t *testing.T) {
	keeper := keepertest.New(t)
	harness := newKeeperHarness(t, keeper.Addr())
	adminAddress := freePort(t)
	router := harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	sendSIGHUP := func() {
		t.Helper()
		if err := router.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	// An entry sets the address of discovery, and the file has another address. The entry's address is used, whatever
	// the file says.
	addr, reached := discoveryOfRevision(t)
	keeper.WaitForRevision(keeper.Change(map[string]string{"/board": fmt.Sprintf("%q", addr)}))
	reached()
	otherAddress, links := listenDiscovery(t)
	var last uint64
	for i := range 20 {
		last = keeper.Change(map[string]string{"/settings/over-share-worth": fmt.Sprintf("0.%d", i+1)})
		if i%4 == 0 {
			harness.editConfig(func(s string) string { return strings.Replace(s, `"memory_mb":1`, `"memory_mb":11`, 1) })
			sendSIGHUP()
		}
	}
	keeper.WaitForRevision(last)
	// The entry refers to a class that the next file does not have, so that file is rejected.
	keeper.WaitForRevision(keeper.Change(map[string]string{"/settings/classes/1/credit": "9"}))
	text, err := os.ReadFile(harness.config)
	if err != nil {
		t.Fatal(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(text, &doc); err != nil {
		t.Fatal(err)
	}
	s := doc["settings"].(map[string]any)
	s["classes"] = s["classes"].([]any)[:1]
	s["specifics"] = map[string]any{}
	doc["board"] = otherAddress
	text, _ = json.Marshal(doc)
	harness.editConfig(func(string) string { return string(text) })
	sendSIGHUP()
	// After the rejection, revisions are still applied to the former file, which has two classes.
	afterRejection := keeper.Change(map[string]string{"/settings/classes/1/credit": "8"})
	if status := keeper.WaitForRevision(afterRejection); status.Rejected != nil {
		t.Errorf("a revision was rejected: %+v", status.Rejected)
	}
	// Without the entries, a further SIGHUP puts the same file in force.
	keeper.WaitForRevision(keeper.Change(nil, "/settings/classes/1/credit", "/board"))
	sendSIGHUP()
	l := <-links
	_ = l.Close()
	harness.requireServing(1)
}

// A router that starts without a copy of the configuration, or with one that is a thousand revisions old, puts the
// latest revision in force before it is ready.
func TestStartManyRevisionsBehind(t *testing.T) {
	keeper := keepertest.New(t)
	harness := newKeeperHarness(t, keeper.Addr())
	for i := range 5 {
		keeper.Change(map[string]string{fmt.Sprintf("/settings/parties/t%d", i): `{"quota-rps":5}`})
	}
	var last uint64 = 5
	for round := range 3 {
		adminAddress := freePort(t)
		router := harness.startProcess(adminAddress)
		harness.waitReady(adminAddress)
		if got := harness.metric(adminAddress, revisionMetric); got != int(last) {
			t.Errorf("round %d: revision %d is in force when the router is ready, want %d", round, got, last)
		}
		keeper.WaitForRevision(last)
		harness.requireServing(round + 1)
		if err := router.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := router.Wait(); err != nil {
			t.Error(err)
		}
		copies, _ := filepath.Glob(filepath.Join(harness.copyDir, "*.revision"))
		if len(copies) != 1 {
			t.Fatalf("files with copies: %v, want one", copies)
		}
		if round == 0 {
			for i := range 1000 {
				last = keeper.Change(map[string]string{
					fmt.Sprintf("/settings/parties/t%d", i%50): fmt.Sprintf(`{"quota-rps":%d}`, i+1),
				})
			}
		} else if err := os.RemoveAll(harness.copyDir); err != nil {
			t.Fatal(err)
		}
	}
}

// A router that reaches no keeper at its start puts its copy of the configuration in force, or its own file if there is
// no copy, and serves.
func TestStartWithoutKeepers(t *testing.T) {
	keeper := keepertest.New(t)
	silent := keepertest.New(t)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	silent.SetHandler(func(http.ResponseWriter, *http.Request) { <-stop })
	harness := newKeeperHarness(t, keeper.Addr())
	rev := keeper.Change(map[string]string{"/settings/over-share-worth": "0.5"})
	for _, test := range []struct {
		name    string
		keepers []string
		want    uint64
	}{
		{"keeper answers", []string{keeper.Addr()}, rev},
		{"no keeper, copy", []string{silent.Addr(), freePort(t)}, rev},
		{"no keeper, no copy", []string{silent.Addr()}, 0},
	} {
		harness.configureKeepers(test.keepers...)
		if test.want == 0 {
			if err := os.RemoveAll(harness.copyDir); err != nil {
				t.Fatal(err)
			}
		}
		adminAddress := freePort(t)
		router := harness.startProcess(adminAddress)
		harness.waitReady(adminAddress)
		if got := harness.metric(adminAddress, revisionMetric); got != int(test.want) {
			t.Errorf("%s: revision %d is in force, want %d", test.name, got, test.want)
		}
		harness.requireServing(1)
		if test.want == 0 { // a SIGHUP with the address of a keeper that answers
			harness.configureKeepers(keeper.Addr())
			if err := router.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			keeper.WaitForRevision(rev)
		}
		if err := router.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := router.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// A router without keepers in its settings uses its own file and has no metric of a revision, while another router on
// the same machine follows keepers.
func TestRouterWithoutKeepers(t *testing.T) {
	keeper := keepertest.New(t)
	harness := newKeeperHarness(t, keeper.Addr())
	withoutKeepers := &keeperHarness{routerHarness: newRouterHarness(t, newBlockingEngine(), newBlockingEngine())}
	oldAdmin, newAdmin := freePort(t), freePort(t)
	harness.startProcess(oldAdmin)
	withoutKeepers.startProcess(newAdmin)
	harness.waitReady(oldAdmin)
	withoutKeepers.waitReady(newAdmin)
	keeper.WaitForRevision(keeper.Change(map[string]string{"/settings/over-share-worth": "0.5"}))
	a, b := harness.metric(oldAdmin, revisionMetric), withoutKeepers.metric(newAdmin, revisionMetric)
	if a != 1 || b != -1 {
		t.Errorf("revision metrics are %d with keepers and %d without, want 1 and -1 (none)", a, b)
	}
	harness.requireServing(1)
	withoutKeepers.requireServing(1)
}

// A hot restart while revisions arrive. When the new process is ready, its revision is not older than the one that the
// old process had in force when the new process was started, even if the new process reaches no keeper. In the end both
// have the same revision in force.
func TestHotRestartWhileRevisionsArrive(t *testing.T) {
	keeper := keepertest.New(t)
	harness := newKeeperHarness(t, keeper.Addr())
	oldAdmin, newAdmin := freePort(t), freePort(t)
	old := harness.startProcess(oldAdmin)
	harness.waitReady(oldAdmin)
	keeper.WaitForRevision(keeper.Change(map[string]string{"/settings/over-share-worth": "0.01"}))
	// The new process has the address of a keeper that does not exist, and no copy of the configuration.
	harness.copyDir = t.TempDir()
	harness.configureKeepers(freePort(t))
	lastRevision := make(chan uint64, 1)
	go func() {
		var last uint64
		for i := range 200 {
			last = keeper.Change(map[string]string{"/settings/over-share-worth": fmt.Sprintf("0.%d", i+2)})
		}
		lastRevision <- last
	}()
	before := harness.metric(oldAdmin, revisionMetric)
	harness.startProcess(newAdmin)
	harness.waitReady(newAdmin)
	if got := harness.metric(newAdmin, revisionMetric); got < before || before == 0 {
		t.Errorf("the new process is ready at revision %d, the old one was at %d before", got, before)
	}
	last := <-lastRevision
	keeper.WaitForRevision(last) // the old process reports its revision to the keeper
	harness.waitFor("both processes have the same revision in force", func() bool {
		return harness.metric(newAdmin, revisionMetric) == int(last) && harness.metric(oldAdmin, revisionMetric) == int(last)
	})
	harness.requireServing(1)
	// After the old process has ended, the new one keeps the revision.
	harness.terminate(old)
	if got := harness.metric(newAdmin, revisionMetric); got != int(last) {
		t.Errorf("after the end of the old process revision %d is in force, want %d", got, last)
	}
	harness.requireServing(2)
}
