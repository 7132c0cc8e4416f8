package node

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"
	"golang.org/x/tools/txtar"

	"windflow/internal/hotrestartipc"
)

// recordedMessages are the messages that one process sends in a recorded exchange, in order.
type recordedMessages []hotrestartipc.Message

// readExchange returns the messages of the old and the new process in the recorded exchange of that name. Its lines are
// 'old: kind body' and 'new: kind body', in the order in which they were sent.
func readExchange(t *testing.T, name string) (old, next recordedMessages) {
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
			var sender, kind string
			fields := strings.SplitN(strings.TrimSpace(line), " ", 3)
			if sender, kind = fields[0], fields[1]; len(fields) < 3 {
				fields = append(fields, "null")
			}
			m := hotrestartipc.Message{Kind: kind, Body: jsoniter.RawMessage(fields[2])}
			if sender == "old:" {
				old = append(old, m)
			} else {
				next = append(next, m)
			}
		}
		return old, next
	}
	t.Fatalf("testdata/takeover.txtar has no exchange %q", name)
	return nil, nil
}

// byKind returns the first message of a kind.
func (s recordedMessages) byKind(t *testing.T, kind string) hotrestartipc.Message {
	t.Helper()
	for _, m := range s {
		if m.Kind == kind {
			return m
		}
	}
	t.Fatalf("the exchange has no message of kind %q", kind)
	return hotrestartipc.Message{}
}

// helloFrom returns the recorded hello, with the number of the process slot that the test has acquired.
func (s recordedMessages) helloFrom(t *testing.T, p *hotrestartipc.ProcessSlot) hotrestartipc.Message {
	t.Helper()
	h := s.byKind(t, "hello")
	h.Body = jsoniter.RawMessage(strings.Replace(string(h.Body), `"place":3`, fmt.Sprintf(`"place":%d`, p.Process), 1))
	return h
}

// slotDir returns the directory in which the processes of the router have their slots.
func (h *routerHarness) slotDir() string { return strings.TrimPrefix(h.env[1], "TMPDIR=") }

// acquireSlot acquires a process slot of the router.
func (h *routerHarness) acquireSlot() *hotrestartipc.ProcessSlot {
	h.t.Helper()
	p, err := hotrestartipc.AcquireSlot(h.slotDir(), "n0 "+h.clientListener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(p.Close)
	return p
}

// bodyFields returns the names of the fields in a message's body, sorted.
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

// A process with version 1 of the protocol can replace a process of this version: it finds the fields of the state that
// it knows, and the exchange completes.
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
	peer := startProtocolPeer(conn)
	peer.link.Send(next.byKind(t, "hello"))
	state := peer.expect(t, "state")
	stateFields := bodyFields(t, state)
	for _, key := range bodyFields(t, old.byKind(t, "state")) {
		if !slices.Contains(stateFields, key) {
			t.Errorf("the state has no field %s", key)
		}
	}
	peer.link.Send(next.byKind(t, "ready"))
	peer.expect(t, "go-ahead")
	if got := harness.callAdmin("GET", adminAddress, "/api/ready"); got != 503 {
		t.Errorf("the readiness check of the replaced process returns %d, want 503", got)
	}
	peer.link.Close() // the new process ends
	harness.waitReady(adminAddress)
}

// A process of this version can replace a process with version 1 of the protocol, and takes over its cordons.
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
	var peer *protocolPeer
	for peer == nil {
		conn, err := lis.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		candidate := startProtocolPeer(conn)
		// Other connections only check whether the process is alive.
		if m, ok := candidate.next(); ok && m.Kind == "hello" {
			peer = candidate
			for _, key := range bodyFields(t, next.byKind(t, "hello")) {
				if !slices.Contains(bodyFields(t, m), key) {
					t.Errorf("the hello has no field %s", key)
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
	peer.link.Send(old.byKind(t, "state")) // in this state s-00000002 is cordoned
	peer.expect(t, "ready")
	peer.link.Send(old.byKind(t, "go-ahead"))
	harness.waitReady(adminAddress)
	c := harness.dial()
	for id := range 40 {
		requireServed(t, c, query("lookup", id, "SELECT 1"))
	}
	if two.totalRuns() > 0 || one.totalRuns() != 40 {
		t.Error("the engine that was cordoned in the process of version 1 ran queries")
	}
}

// The exchange of messages equals the recorded one of this version of the protocol. A change of a message's fields or
// of the order of messages needs a new version.
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
	peer := startProtocolPeer(conn)
	peer.link.Send(next.helloFrom(t, p))
	type messageShape struct {
		Kind string
		Keys []string
	}
	var got, want []messageShape
	for _, m := range old {
		if m.Kind == "wait" { // this message was sent to a third process
			continue
		}
		want = append(want, messageShape{m.Kind, bodyFields(t, m)})
		g := peer.expect(t, m.Kind)
		got = append(got, messageShape{g.Kind, bodyFields(t, g)})
		if m.Kind == "state" {
			peer.link.Send(next.byKind(t, "ready"))
		}
		if m.Kind == "go-ahead" {
			peer.link.Send(next.byKind(t, "back"))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the exchange differs from the recorded one (-recorded +sent):\n%s", diff)
	}
}

// exchangeStep is the point in the exchange of a hot restart at which the other process dies or stops answering.
type exchangeStep int

const (
	beforeHello exchangeStep = iota
	afterHello
	afterState
	afterReady
	afterGoAhead
)

func (s exchangeStep) String() string {
	return [...]string{"before hello", "after hello", "after state", "after ready", "after go-ahead"}[s]
}

// The predecessor dies, or stops answering, at each step of the exchange. Guards against a successor that never serves,
// and against one that serves before the predecessor has stopped.
func TestPredecessorFailsAtEachStep(t *testing.T) {
	for step := beforeHello; step <= afterGoAhead; step++ {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %t", step, silent), func(t *testing.T) {
				t.Parallel()
				harness := newRouterHarness(t, newBlockingEngine(), newBlockingEngine())
				slot := harness.acquireSlot()
				adminAddress := freePort(t)
				harness.startProcess(adminAddress)
				predecessor := playPredecessor(t, slot, step, func() {
					if step < afterGoAhead && harness.callAdmin("GET", adminAddress, "/api/ready") == 200 {
						t.Error("the successor is ready before the predecessor has failed")
					}
				})
				if !silent {
					if predecessor != nil {
						predecessor.link.Close()
					}
					slot.Close()
				}
				harness.waitReady(adminAddress)
				checkServed(t, harness.dial(), query("lookup", 1, "SELECT 1"))
			})
		}
	}
}

// playPredecessor sends the messages of the recorded predecessor up to a step. It calls onHello once the successor has
// sent its hello. For the step beforeHello it calls onHello at once and returns nil.
func playPredecessor(t *testing.T, slot *hotrestartipc.ProcessSlot, step exchangeStep, onHello func()) *protocolPeer {
	t.Helper()
	recorded, _ := readExchange(t, "version 2")
	if step == beforeHello {
		onHello()
		return nil
	}
	conn, err := slot.Listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	peer := startProtocolPeer(conn)
	peer.expect(t, "hello")
	onHello()
	if step >= afterState {
		peer.link.Send(recorded.byKind(t, "state"))
	}
	if step >= afterReady {
		peer.expect(t, "ready")
	}
	if step >= afterGoAhead {
		peer.link.Send(recorded.byKind(t, "go-ahead"))
	}
	return peer
}

// The successor closes the link and connects again, and then dies, at each step of the exchange. Guards against a
// router of which no process accepts.
func TestSuccessorFailsAtEachStep(t *testing.T) {
	for step := beforeHello; step <= afterGoAhead; step++ {
		t.Run(step.String(), func(t *testing.T) {
			harness := newRouterHarness(t, newBlockingEngine(), newBlockingEngine())
			adminAddress := freePort(t)
			harness.startProcess(adminAddress)
			harness.waitReady(adminAddress)
			for round := range 2 { // in round 0 the link is closed and opened again before the process ends
				slot := harness.acquireSlot()
				peer := playSuccessor(t, slot, step)
				if round == 0 {
					peer.link.Close()
					peer = playSuccessor(t, slot, step)
				}
				peer.link.Close()
				slot.Close()
				harness.waitReady(adminAddress)
				checkServed(t, harness.dial(), query("lookup", 1+round, "SELECT 1"))
			}
		})
	}
}

// playSuccessor connects to the predecessor and sends the messages of the recorded successor up to a step.
func playSuccessor(t *testing.T, slot *hotrestartipc.ProcessSlot, step exchangeStep) *protocolPeer {
	t.Helper()
	_, recorded := readExchange(t, "version 2")
	conn, err := slot.Connect(slot.Predecessor())
	if err != nil {
		t.Fatal(err)
	}
	peer := startProtocolPeer(conn)
	hello := recorded.helloFrom(t, slot)
	peer.repeatHello = func() { peer.link.Send(hello) }
	if step >= afterHello {
		peer.link.Send(hello)
		peer.link.Send(hello) // a repeated hello must not matter
	}
	if step >= afterState {
		peer.expect(t, "state")
	}
	if step >= afterReady {
		peer.link.Send(recorded.byKind(t, "ready"))
	}
	if step >= afterGoAhead {
		peer.expect(t, "go-ahead")
	}
	return peer
}

// The directory of the process slots contains a dead process's socket, a socket of a foreign process that never
// answers, and lock files that nobody has locked. Guards against a router that does not start because of such files.
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
	harness.waitReady(adminAddress) // degraded, after a timeout, since the foreign process accepts connections
	checkServed(t, harness.dial(), query("lookup", 1, "SELECT 1"))
	if _, err := os.Stat(base + ".7.sock"); err == nil {
		t.Error("the socket of a dead process was not removed")
	}
}
