package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"windflow/internal/configclient/keepertest"
	"windflow/internal/decide/configlog"
)

// keepersFleet is a fleet whose routers follow keepers.
type keepersFleet struct {
	*fleet
	own string // path of the installation's settings
	dir string // of the copies
}

func newKeepersFleet(t *testing.T, addrs ...string) *keepersFleet {
	t.Helper()
	f := &keepersFleet{fleet: newFleet(t, newSlowEngine(), newSlowEngine()), dir: t.TempDir()}
	f.own = filepath.Join(filepath.Dir(f.config), "windflow.json")
	f.follow(addrs...)
	f.env = append(f.env, "WINDFLOW_TEST_ROUTER=settings="+f.own)
	return f
}

// follow writes which keepers are to be followed.
func (f *keepersFleet) follow(addrs ...string) {
	f.t.Helper()
	list, err := json.Marshal(addrs)
	if err == nil {
		err = os.WriteFile(f.own, fmt.Appendf(nil, `{"keepers": {"addresses": %s, "dir": %q, "hold_ms": 1000}}`, list, f.dir), 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// figure gives a figure of the door, -1 where it is not there.
func (f *keepersFleet) figure(door, name string) int {
	f.t.Helper()
	answer, err := http.Get("http://" + door + "/api/telemetry")
	if err != nil {
		f.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var n int
		if _, err := fmt.Sscanf(line, name+":%d|g", &n); err == nil {
			return n
		}
	}
	return -1
}

const (
	revisionFigure = "svc.configuration_revision"
	refusedFigure  = "svc.configuration_refused"
)

// serves tells whether requests are served.
func (f *keepersFleet) serves(id int) {
	f.t.Helper()
	c := f.client()
	if rows, code, err := c.ask(query("lookup", id, "SELECT 1")); rows != 1 || code != 0 || err != nil {
		f.t.Error(rows, code, err)
	}
}

// boardAt waits until a router follows a board, which only one with that configuration does.
func boardAt(t *testing.T) (addr string, reached func()) {
	t.Helper()
	addr, links := listenBoard(t)
	return addr, func() {
		t.Helper()
		l := <-links
		t.Cleanup(func() { _ = l.Close() })
	}
}

// A revision is put in force in a running router, which goes on serving; one that it refuses is named with its pointer, and the
// former one stays; the next good one is in force again.
func TestRevisionInForce(t *testing.T) {
	k := keepertest.New(t)
	f := newKeepersFleet(t, k.Addr())
	door := freePort(t)
	f.start(door)
	f.ready(door)
	if got := f.figure(door, revisionFigure); got != 0 {
		t.Errorf("at the start revision %d", got)
	}
	addr, reached := boardAt(t)
	first := k.Change(map[string]string{"/board": fmt.Sprintf("%q", addr)})
	k.WaitForRevision(first)
	reached()
	f.serves(1)
	bad := k.Change(map[string]string{"/settings/specifics/width-by-class": "[1]", "/settings/over-share-worth": "0.5"})
	said := k.WaitForStatus("it refuses", func(r configlog.FollowerStatus) bool { return r.Rejected != nil })
	if said.Revision != first || said.Rejected.Revision != bad || said.Rejected.Pointer != "/settings/specifics/width-by-class" {
		t.Errorf("%+v, %+v", said, said.Rejected)
	}
	if a, b := f.figure(door, revisionFigure), f.figure(door, refusedFigure); a != int(first) || b != int(bad) {
		t.Errorf("in force %d, refused %d", a, b)
	}
	f.serves(2)
	last := k.Change(nil, "/settings/specifics/width-by-class")
	if said := k.WaitForRevision(last); said.Rejected != nil || said.Name != "n0" {
		t.Errorf("%+v", said)
	}
	if a, b := f.figure(door, revisionFigure), f.figure(door, refusedFigure); a != int(last) || b != 0 {
		t.Errorf("in force %d, refused %d", a, b)
	}
	f.serves(3)
}

// A router reads its own file again while revisions come: the entries in force stay laid over it, and a file that does not fit
// with them is refused while what was in force stays.
func TestReloadAmidRevisions(t *testing.T) {
	k := keepertest.New(t)
	f := newKeepersFleet(t, k.Addr())
	door := freePort(t)
	p := f.start(door)
	f.ready(door)
	hup := func() {
		t.Helper()
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	// The board is an entry, the file's own is another one: the entry's is followed whatever the file says.
	addr, reached := boardAt(t)
	k.WaitForRevision(k.Change(map[string]string{"/board": fmt.Sprintf("%q", addr)}))
	reached()
	elsewhere, links := listenBoard(t)
	var last uint64
	for i := range 20 {
		last = k.Change(map[string]string{"/settings/over-share-worth": fmt.Sprintf("0.%d", i+1)})
		if i%4 == 0 {
			f.edit(func(s string) string { return strings.Replace(s, `"memory_mb":1`, `"memory_mb":11`, 1) })
			hup()
		}
	}
	k.WaitForRevision(last)
	// A file that has no class for the entry does not fit.
	k.WaitForRevision(k.Change(map[string]string{"/settings/classes/1/credit": "9"}))
	text, err := os.ReadFile(f.config)
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
	doc["board"] = elsewhere
	text, _ = json.Marshal(doc)
	f.edit(func(string) string { return string(text) })
	hup()
	// It is refused: revisions go on over the file that was in force, which has two classes.
	end := k.Change(map[string]string{"/settings/classes/1/credit": "8"})
	if said := k.WaitForRevision(end); said.Rejected != nil {
		t.Errorf("%+v", said.Rejected)
	}
	// With the entries gone, and the signal given again, the same file is in force.
	k.WaitForRevision(k.Change(nil, "/settings/classes/1/credit", "/board"))
	hup()
	l := <-links
	_ = l.Close()
	f.serves(1)
}

// A router that starts without its folder, or with a copy that is a thousand revisions old, has the latest one before it is ready.
func TestRestartFarBehind(t *testing.T) {
	k := keepertest.New(t)
	f := newKeepersFleet(t, k.Addr())
	for i := range 5 {
		k.Change(map[string]string{fmt.Sprintf("/settings/parties/t%d", i): `{"quota-rps":5}`})
	}
	var last uint64 = 5
	for round := range 3 {
		door := freePort(t)
		p := f.start(door)
		f.ready(door)
		if got := f.figure(door, revisionFigure); got != int(last) {
			t.Errorf("round %d: revision %d is in force where clients come, of %d", round, got, last)
		}
		k.WaitForRevision(last)
		f.serves(round + 1)
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(); err != nil {
			t.Error(err)
		}
		copies, _ := filepath.Glob(filepath.Join(f.dir, "*.revision"))
		if len(copies) != 1 {
			t.Fatalf("copies: %v", copies)
		}
		if round == 0 {
			for i := range 1000 {
				last = k.Change(map[string]string{fmt.Sprintf("/settings/parties/t%d", i%50): fmt.Sprintf(`{"quota-rps":%d}`, i+1)})
			}
		} else if err := os.RemoveAll(f.dir); err != nil {
			t.Fatal(err)
		}
	}
}

// Without a keeper at the start a router has its copy in force, or its own file where there is none, and serves.
func TestStartWithoutKeepers(t *testing.T) {
	k := keepertest.New(t)
	silent := keepertest.New(t)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	silent.SetHandler(func(http.ResponseWriter, *http.Request) { <-stop })
	f := newKeepersFleet(t, k.Addr())
	rev := k.Change(map[string]string{"/settings/over-share-worth": "0.5"})
	for _, how := range []struct {
		name    string
		keepers []string
		want    uint64
	}{{"a keeper", []string{k.Addr()}, rev}, {"a copy", []string{silent.Addr(), freePort(t)}, rev}, {"nothing", []string{silent.Addr()}, 0}} {
		f.follow(how.keepers...)
		if how.want == 0 {
			if err := os.RemoveAll(f.dir); err != nil {
				t.Fatal(err)
			}
		}
		door := freePort(t)
		p := f.start(door)
		f.ready(door)
		if got := f.figure(door, revisionFigure); got != int(how.want) {
			t.Errorf("%s: revision %d", how.name, got)
		}
		f.serves(1)
		if how.want == 0 { // keepers come back: a SIGHUP tells of another address
			f.follow(k.Addr())
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
	f, plain := newKeepersFleet(t, k.Addr()), &keepersFleet{fleet: newFleet(t, newSlowEngine(), newSlowEngine())}
	doorA, doorB := freePort(t), freePort(t)
	f.start(doorA)
	plain.start(doorB)
	f.ready(doorA)
	plain.ready(doorB)
	k.WaitForRevision(k.Change(map[string]string{"/settings/over-share-worth": "0.5"}))
	if a, b := f.figure(doorA, revisionFigure), plain.figure(doorB, revisionFigure); a != 1 || b != -1 {
		t.Errorf("revisions %d and %d", a, b)
	}
	f.serves(1)
	plain.serves(1)
}

// An upgrade while revisions arrive: the new process is ready with no earlier revision than the old one had, also where it
// reaches no keeper itself, and both obey the same one in the end.
func TestUpgradeWhileRevisionsArrive(t *testing.T) {
	k := keepertest.New(t)
	f := newKeepersFleet(t, k.Addr())
	doorA, doorB := freePort(t), freePort(t)
	old := f.start(doorA)
	f.ready(doorA)
	k.WaitForRevision(k.Change(map[string]string{"/settings/over-share-worth": "0.01"}))
	// The new one knows a keeper only that is not there.
	f.dir = t.TempDir() // nor the copy
	f.follow(freePort(t))
	burst := make(chan uint64, 1)
	go func() {
		var last uint64
		for i := range 200 {
			last = k.Change(map[string]string{"/settings/over-share-worth": fmt.Sprintf("0.%d", i+2)})
		}
		burst <- last
	}()
	before := f.figure(doorA, revisionFigure)
	f.start(doorB)
	f.ready(doorB)
	if got := f.figure(doorB, revisionFigure); got < before || before == 0 {
		t.Errorf("the new process accepts at revision %d, the old one was at %d before", got, before)
	}
	last := <-burst
	k.WaitForRevision(last) // in the old one
	f.waitFor("both obey the same revision", func() bool {
		return f.figure(doorB, revisionFigure) == int(last) && f.figure(doorA, revisionFigure) == int(last)
	})
	f.serves(1)
	// The new one alone goes on from there.
	f.end(old)
	if got := f.figure(doorB, revisionFigure); got != int(last) {
		t.Errorf("alone at revision %d", got)
	}
	f.serves(2)
}
