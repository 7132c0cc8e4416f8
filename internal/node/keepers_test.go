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

// keeperHarness is a fleet whose routers follow keepers.
type keeperHarness struct {
	*routerHarness
	settingsPath string // path of the installation's settings
	copyDir      string // of the copies
}

func newKeeperHarness(t *testing.T, addrs ...string) *keeperHarness {
	t.Helper()
	h := &keeperHarness{routerHarness: newRouterHarness(t, newBlockingEngine(), newBlockingEngine()), copyDir: t.TempDir()}
	h.settingsPath = filepath.Join(filepath.Dir(h.config), "windflow.json")
	h.configureKeepers(addrs...)
	h.env = append(h.env, "WINDFLOW_TEST_ROUTER=settings="+h.settingsPath)
	return h
}

// configureKeepers writes which keepers are to be followed.
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

// requireServing fails the test unless requests are served.
func (h *keeperHarness) requireServing(id int) {
	h.t.Helper()
	c := h.dial()
	checkServed(h.t, c, query("lookup", id, "SELECT 1"))
}

// discoveryOfRevision starts a fake discovery server, and returns its address and a function that waits until a router
// connects, which only one with that address in its configuration does.
func discoveryOfRevision(t *testing.T) (addr string, waitForConnection func()) {
	t.Helper()
	addr, links := listenDiscovery(t)
	return addr, func() {
		t.Helper()
		l := <-links
		t.Cleanup(func() { _ = l.Close() })
	}
}

// A revision is put in force in a running router, which continues to serve; one that it rejects is named with its
// pointer, and the former one stays; the next good one is in force again.
func TestRevisionTakesEffect(t *testing.T) {
	k := keepertest.New(t)
	harness := newKeeperHarness(t, k.Addr())
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	if got := harness.metric(adminAddress, revisionMetric); got != 0 {
		t.Errorf("at the start revision %d", got)
	}
	addr, reached := discoveryOfRevision(t)
	first := k.Change(map[string]string{"/board": fmt.Sprintf("%q", addr)})
	k.WaitForRevision(first)
	reached()
	harness.requireServing(1)
	bad := k.Change(map[string]string{"/settings/specifics/width-by-class": "[1]", "/settings/over-share-worth": "0.5"})
	status := k.WaitForStatus("it rejects", func(r configlog.FollowerStatus) bool { return r.Rejected != nil })
	if status.Revision != first || status.Rejected.Revision != bad ||
		status.Rejected.Pointer != "/settings/specifics/width-by-class" {
		t.Errorf("%+v, %+v", status, status.Rejected)
	}
	a, b := harness.metric(adminAddress, revisionMetric), harness.metric(adminAddress, rejectedMetric)
	if a != int(first) || b != int(bad) {
		t.Errorf("in force %d, rejected %d", a, b)
	}
	harness.requireServing(2)
	last := k.Change(nil, "/settings/specifics/width-by-class")
	if status := k.WaitForRevision(last); status.Rejected != nil || status.Name != "n0" {
		t.Errorf("%+v", status)
	}
	a, b = harness.metric(adminAddress, revisionMetric), harness.metric(adminAddress, rejectedMetric)
	if a != int(last) || b != 0 {
		t.Errorf("in force %d, rejected %d", a, b)
	}
	harness.requireServing(3)
}

// A router reads its own file again while revisions come: the entries in force stay laid over it, and a file that
// does not fit with them is rejected while what was in force stays.
func TestReloadWhileRevisionsArrive(t *testing.T) {
	k := keepertest.New(t)
	harness := newKeeperHarness(t, k.Addr())
	adminAddress := freePort(t)
	p := harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	sendSIGHUP := func() {
		t.Helper()
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	// The address of discovery is an entry, the file's own is another one: the entry's is followed whatever the file
	// says.
	addr, reached := discoveryOfRevision(t)
	k.WaitForRevision(k.Change(map[string]string{"/board": fmt.Sprintf("%q", addr)}))
	reached()
	otherAddress, links := listenDiscovery(t)
	var last uint64
	for i := range 20 {
		last = k.Change(map[string]string{"/settings/over-share-worth": fmt.Sprintf("0.%d", i+1)})
		if i%4 == 0 {
			harness.editConfig(func(s string) string { return strings.Replace(s, `"memory_mb":1`, `"memory_mb":11`, 1) })
			sendSIGHUP()
		}
	}
	k.WaitForRevision(last)
	// A file that has no class for the entry does not fit.
	k.WaitForRevision(k.Change(map[string]string{"/settings/classes/1/credit": "9"}))
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
	// It is rejected: revisions continue over the file that was in force, which has two classes.
	afterRejection := k.Change(map[string]string{"/settings/classes/1/credit": "8"})
	if status := k.WaitForRevision(afterRejection); status.Rejected != nil {
		t.Errorf("%+v", status.Rejected)
	}
	// With the entries gone, and the signal sent again, the same file is in force.
	k.WaitForRevision(k.Change(nil, "/settings/classes/1/credit", "/board"))
	sendSIGHUP()
	l := <-links
	_ = l.Close()
	harness.requireServing(1)
}

// A router that starts without its folder, or with a copy that is a thousand revisions old, has the latest one before
// it is ready.
func TestStartManyRevisionsBehind(t *testing.T) {
	k := keepertest.New(t)
	harness := newKeeperHarness(t, k.Addr())
	for i := range 5 {
		k.Change(map[string]string{fmt.Sprintf("/settings/parties/t%d", i): `{"quota-rps":5}`})
	}
	var last uint64 = 5
	for round := range 3 {
		adminAddress := freePort(t)
		p := harness.startProcess(adminAddress)
		harness.waitReady(adminAddress)
		if got := harness.metric(adminAddress, revisionMetric); got != int(last) {
			t.Errorf("round %d: revision %d is in force where clients come, of %d", round, got, last)
		}
		k.WaitForRevision(last)
		harness.requireServing(round + 1)
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(); err != nil {
			t.Error(err)
		}
		copies, _ := filepath.Glob(filepath.Join(harness.copyDir, "*.revision"))
		if len(copies) != 1 {
			t.Fatalf("copies: %v", copies)
		}
		if round == 0 {
			for i := range 1000 {
				last = k.Change(map[string]string{fmt.Sprintf("/settings/parties/t%d", i%50): fmt.Sprintf(`{"quota-rps":%d}`, i+1)})
			}
		} else if err := os.RemoveAll(harness.copyDir); err != nil {
			t.Fatal(err)
		}
	}
}

// Without a keeper at the test a router has its copy in force, or its own file where there is none, and serves.
func TestStartWithoutKeepers(t *testing.T) {
	k := keepertest.New(t)
	silent := keepertest.New(t)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	silent.SetHandler(func(http.ResponseWriter, *http.Request) { <-stop })
	harness := newKeeperHarness(t, k.Addr())
	rev := k.Change(map[string]string{"/settings/over-share-worth": "0.5"})
	for _, test := range []struct {
		name    string
		keepers []string
		want    uint64
	}{
		{"a keeper", []string{k.Addr()}, rev},
		{"a copy", []string{silent.Addr(), freePort(t)}, rev},
		{"nothing", []string{silent.Addr()}, 0},
	} {
		harness.configureKeepers(test.keepers...)
		if test.want == 0 {
			if err := os.RemoveAll(harness.copyDir); err != nil {
				t.Fatal(err)
			}
		}
		adminAddress := freePort(t)
		p := harness.startProcess(adminAddress)
		harness.waitReady(adminAddress)
		if got := harness.metric(adminAddress, revisionMetric); got != int(test.want) {
			t.Errorf("%s: revision %d", test.name, got)
		}
		harness.requireServing(1)
		if test.want == 0 { // keepers come back: a SIGHUP brings another address
			harness.configureKeepers(k.Addr())
			if err := p.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			k.WaitForRevision(rev)
		}
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// A router that knows no keepers has its own file in force, and no figure of a revision, beside one that follows them.
func TestRouterWithoutKeepers(t *testing.T) {
	k := keepertest.New(t)
	harness := newKeeperHarness(t, k.Addr())
	withoutKeepers := &keeperHarness{routerHarness: newRouterHarness(t, newBlockingEngine(), newBlockingEngine())}
	oldAdmin, newAdmin := freePort(t), freePort(t)
	harness.startProcess(oldAdmin)
	withoutKeepers.startProcess(newAdmin)
	harness.waitReady(oldAdmin)
	withoutKeepers.waitReady(newAdmin)
	k.WaitForRevision(k.Change(map[string]string{"/settings/over-share-worth": "0.5"}))
	if a, b := harness.metric(oldAdmin, revisionMetric), withoutKeepers.metric(newAdmin, revisionMetric); a != 1 || b != -1 {
		t.Errorf("revisions %d and %d", a, b)
	}
	harness.requireServing(1)
	withoutKeepers.requireServing(1)
}

// A hot restart while revisions arrive: the new process is ready with no earlier revision than the old one had, also
// where it reaches no keeper itself, and both obey the same one in the end.
func TestHotRestartWhileRevisionsArrive(t *testing.T) {
	k := keepertest.New(t)
	harness := newKeeperHarness(t, k.Addr())
	oldAdmin, newAdmin := freePort(t), freePort(t)
	old := harness.startProcess(oldAdmin)
	harness.waitReady(oldAdmin)
	k.WaitForRevision(k.Change(map[string]string{"/settings/over-share-worth": "0.01"}))
	// The new one knows a keeper only that is not there.
	harness.copyDir = t.TempDir() // nor the copy
	harness.configureKeepers(freePort(t))
	lastRevision := make(chan uint64, 1)
	go func() {
		var last uint64
		for i := range 200 {
			last = k.Change(map[string]string{"/settings/over-share-worth": fmt.Sprintf("0.%d", i+2)})
		}
		lastRevision <- last
	}()
	before := harness.metric(oldAdmin, revisionMetric)
	harness.startProcess(newAdmin)
	harness.waitReady(newAdmin)
	if got := harness.metric(newAdmin, revisionMetric); got < before || before == 0 {
		t.Errorf("the new process accepts at revision %d, the old one was at %d before", got, before)
	}
	last := <-lastRevision
	k.WaitForRevision(last) // in the old one
	harness.waitFor("both obey the same revision", func() bool {
		return harness.metric(newAdmin, revisionMetric) == int(last) && harness.metric(oldAdmin, revisionMetric) == int(last)
	})
	harness.requireServing(1)
	// The new one alone continues from there.
	harness.terminate(old)
	if got := harness.metric(newAdmin, revisionMetric); got != int(last) {
		t.Errorf("alone at revision %d", got)
	}
	harness.requireServing(2)
}
