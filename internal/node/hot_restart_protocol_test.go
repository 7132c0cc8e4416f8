package node

import (
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"
	"golang.org/x/tools/txtar"

	"windflow/internal/hotrestartipc"
)

var discard = slog.New(slog.DiscardHandler)

// recordedMessages is one process of a recorded exchange: what it says, by kind of message, in its order.
type recordedMessages []hotrestartipc.Message

// readExchange reads the exchange of that name. Lines are 'old: kind body' and 'new: kind body', as the processes
// sent them.
func readExchange(t *testing.T, name string) (old, new recordedMessages) {
	t.Helper()
	a, err := txtar.ParseFile("testdata/takeover.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		if f.Name != name {
			continue
		}
		for line := range strings.Lines(string(f.Data)) {
			var who, kind string
			fields := strings.SplitN(strings.TrimSpace(line), " ", 3)
			if who, kind = fields[0], fields[1]; len(fields) < 3 {
				fields = append(fields, "null")
			}
			m := hotrestartipc.Message{Kind: kind, Body: jsoniter.RawMessage(fields[2])}
			if who == "old:" {
				old = append(old, m)
			} else {
				new = append(new, m)
			}
		}
		return old, new
	}
	t.Fatal("no exchange", name)
	return nil, nil
}

func (s recordedMessages) byKind(t *testing.T, kind string) hotrestartipc.Message {
	t.Helper()
	for _, m := range s {
		if m.Kind == kind {
			return m
		}
	}
	t.Fatal("not recorded:", kind)
	return hotrestartipc.Message{}
}

// helloFrom is the recorded one, from the place that the test has.
func (s recordedMessages) helloFrom(t *testing.T, p *hotrestartipc.ProcessSlot) hotrestartipc.Message {
	t.Helper()
	h := s.byKind(t, "hello")
	h.Body = jsoniter.RawMessage(strings.Replace(string(h.Body), `"place":3`, fmt.Sprintf(`"place":%d`, p.Process), 1))
	return h
}

func (h *routerHarness) slotDir() string { return strings.TrimPrefix(h.env[1], "TMPDIR=") }

// acquireSlot takes a place among the processes of the fleet's router.
func (h *routerHarness) acquireSlot() *hotrestartipc.ProcessSlot {
	h.t.Helper()
	p, err := hotrestartipc.AcquireSlot(h.slotDir(), "n0 "+h.clientListener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(p.Close)
	return p
}

func bodyFields(t *testing.T, m hotrestartipc.Message) []string {
	t.Helper()
	var all map[string]any
	if len(m.Body) == 0 || string(m.Body) == "null" {
		return nil
	}
	if err := m.Decode(&all); err != nil {
		t.Fatal(err)
	}
	return slices.Sorted(maps.Keys(all))
}

// A process of version 1 that comes later finds this one, understands its state, and takes its place.
func TestVersion1Successor(t *testing.T) {
	old, next := readExchange(t, "version 1")
	harness := newRouterHarness(t, newBlockingEngine(), newBlockingEngine())
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	path, _ := hotrestartipc.SocketPath(harness.slotDir(), "n0 "+harness.clientListener.Addr().String())
	conn, err := hotrestartipc.Dial(path, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	a := startProtocolPeer(conn)
	a.link.Send(next.byKind(t, "hello"))
	state := a.expect(t, "state")
	theirs := bodyFields(t, state)
	for _, key := range bodyFields(t, old.byKind(t, "state")) {
		if !slices.Contains(theirs, key) {
			t.Errorf("the state has no %s", key)
		}
	}
	a.link.Send(next.byKind(t, "ready"))
	a.expect(t, "go-ahead")
	if got := harness.callAdmin("GET", adminAddress, "/api/ready"); got != 503 {
		t.Errorf("it says %d when asked whether it is ready", got)
	}
	a.link.Close() // the new one ends
	harness.waitReady(adminAddress)
}

// A process of version 1 that serves is found, and gone on from.
func TestVersion1Predecessor(t *testing.T) {
	old, next := readExchange(t, "version 1")
	one, two := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, two)
	path, _ := hotrestartipc.SocketPath(harness.slotDir(), "n0 "+harness.clientListener.Addr().String())
	lis, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	var a *protocolPeer
	for a == nil {
		conn, err := lis.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		b := startProtocolPeer(conn)
		if m, ok := b.next(); ok && m.Kind == "hello" { // others only look whether somebody lives
			a = b
			for _, key := range bodyFields(t, next.byKind(t, "hello")) {
				if !slices.Contains(bodyFields(t, m), key) {
					t.Errorf("the hello has no %s", key)
				}
			}
		}
	}
	go func() {
		for {
			if _, err := lis.AcceptUnix(); err != nil {
				return
			}
		}
	}()
	a.link.Send(old.byKind(t, "state")) // s-00000002 is out by hand in it
	a.expect(t, "ready")
	a.link.Send(old.byKind(t, "go-ahead"))
	harness.waitReady(adminAddress)
	c := harness.dial()
	for id := range 40 {
		requireServed(t, c, query("lookup", id, "SELECT 1"))
	}
	if two.totalRuns() > 0 || one.totalRuns() != 40 {
		t.Error("the cordon of the process of version 1 was forgotten")
	}
}

// The exchange of this version is as it was recorded: a message that changes its fields, or its place in the order,
// needs a new version.
func TestProtocolExchange(t *testing.T) {
	old, next := readExchange(t, "version 2")
	harness := newRouterHarness(t, newBlockingEngine(), newBlockingEngine())
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	p := harness.acquireSlot()
	conn, err := p.Connect(p.Predecessor())
	if err != nil {
		t.Fatal(err)
	}
	a := startProtocolPeer(conn)
	a.link.Send(next.helloFrom(t, p))
	type said struct {
		Kind string
		Keys []string
	}
	var got, want []said
	for _, m := range old {
		if m.Kind == "wait" { // the exchange has a third process's
			continue
		}
		want = append(want, said{m.Kind, bodyFields(t, m)})
		g := a.expect(t, m.Kind)
		got = append(got, said{g.Kind, bodyFields(t, g)})
		if m.Kind == "state" {
			a.link.Send(next.byKind(t, "ready"))
		}
		if m.Kind == "go-ahead" {
			a.link.Send(next.byKind(t, "back"))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("-recorded +now\n", diff)
	}
}

// The process before this one dies, or falls silent, at each step. It guards against a new process that never serves,
// and against one that serves too early.
func TestPredecessorAtEachStep(t *testing.T) {
	old, _ := readExchange(t, "version 2")
	for step, name := range []string{"before it accepts", "after hello", "after state", "after ready", "after go-ahead"} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %t", name, silent), func(t *testing.T) {
				t.Parallel()
				harness := newRouterHarness(t, newBlockingEngine(), newBlockingEngine())
				p := harness.acquireSlot()
				adminAddress := freePort(t)
				harness.startProcess(adminAddress)
				var a *protocolPeer
				if step > 0 {
					conn, err := p.Listener.AcceptUnix()
					if err != nil {
						t.Fatal(err)
					}
					a = startProtocolPeer(conn)
					a.expect(t, "hello")
				}
				if step < 4 && harness.callAdmin("GET", adminAddress, "/api/ready") == 200 {
					t.Error("it serves before its time")
				}
				if step > 1 {
					a.link.Send(old.byKind(t, "state"))
				}
				if step > 2 {
					a.expect(t, "ready")
				}
				if step > 3 {
					a.link.Send(old.byKind(t, "go-ahead"))
				}
				if !silent {
					if a != nil {
						a.link.Close()
					}
					p.Close()
				}
				harness.waitReady(adminAddress)
				checkServed(t, harness.dial(), query("lookup", 1, "SELECT 1"))
			})
		}
	}
}

// The process after this one dies at each step, or breaks the link and takes it up again. It guards against a router on
// which nobody accepts.
func TestSuccessorAtEachStep(t *testing.T) {
	_, next := readExchange(t, "version 2")
	for step, name := range []string{"before hello", "after hello", "after state", "after ready", "after go-ahead"} {
		t.Run(name, func(t *testing.T) {
			harness := newRouterHarness(t, newBlockingEngine(), newBlockingEngine())
			adminAddress := freePort(t)
			harness.startProcess(adminAddress)
			harness.waitReady(adminAddress)
			for round := range 2 { // the link breaks, then the process ends
				p := harness.acquireSlot()
				conn, err := p.Connect(p.Predecessor())
				if err != nil {
					t.Fatal(err)
				}
				a := startProtocolPeer(conn)
				h := next.helloFrom(t, p)
				play := func() {
					a.repeatHello = func() { a.link.Send(h) }
					if step > 0 {
						a.link.Send(h)
						a.link.Send(h) // twice
					}
					if step > 1 {
						a.expect(t, "state")
					}
					if step > 2 {
						a.link.Send(next.byKind(t, "ready"))
					}
					if step > 3 {
						a.expect(t, "go-ahead")
					}
				}
				play()
				if round == 0 {
					a.link.Close()
					if conn, err = p.Connect(p.Predecessor()); err != nil {
						t.Fatal(err)
					}
					a = startProtocolPeer(conn)
					play()
				}
				a.link.Close()
				p.Close()
				harness.waitReady(adminAddress)
				checkServed(t, harness.dial(), query("lookup", 1+round, "SELECT 1"))
			}
		})
	}
}

// Where the processes meet there may be anything: a dead process's socket, a foreign listener that never speaks, a lock
// file that nobody holds. It guards against a router that does not start.
func TestForeignFilesInSlotDirectory(t *testing.T) {
	t.Parallel()
	harness := newRouterHarness(t, newBlockingEngine(), newBlockingEngine())
	path, _ := hotrestartipc.SocketPath(harness.slotDir(), "n0 "+harness.clientListener.Addr().String())
	base := strings.TrimSuffix(path, ".sock")
	dead, err := net.ListenUnix("unix", &net.UnixAddr{Name: base + ".7.sock", Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	dead.SetUnlinkOnClose(false)
	_ = dead.Close()
	for _, name := range []string{".7.lock", ".x.lock", ".roster"} {
		if err := os.WriteFile(base+name, []byte("?"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	foreign, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer foreign.Close()
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress) // guarded, after its time: something lives there
	checkServed(t, harness.dial(), query("lookup", 1, "SELECT 1"))
	if _, err := os.Stat(filepath.Join(base + ".7.sock")); err == nil {
		t.Error("a dead process's socket was left")
	}
}
