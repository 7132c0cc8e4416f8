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

// script is one process of a recorded exchange: what it says, by kind of message, in its order.
type script []hotrestartipc.Message

// recorded reads the exchange of that name. Lines are 'old: kind body' and 'new: kind body', as the processes sent them.
func recorded(t *testing.T, name string) (old, new script) {
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

func (s script) of(t *testing.T, kind string) hotrestartipc.Message {
	t.Helper()
	for _, m := range s {
		if m.Kind == kind {
			return m
		}
	}
	t.Fatal("not recorded:", kind)
	return hotrestartipc.Message{}
}

// hello is the recorded one, from the place that the test has.
func (s script) hello(t *testing.T, p *hotrestartipc.ProcessSlot) hotrestartipc.Message {
	t.Helper()
	h := s.of(t, "hello")
	h.Body = jsoniter.RawMessage(strings.Replace(string(h.Body), `"place":3`, fmt.Sprintf(`"place":%d`, p.Process), 1))
	return h
}

func (f *fleet) dir() string { return strings.TrimPrefix(f.env[1], "TMPDIR=") }

// place takes a place among the processes of the fleet's router.
func (f *fleet) place() *hotrestartipc.ProcessSlot {
	f.t.Helper()
	p, err := hotrestartipc.AcquireSlot(f.dir(), "n0 "+f.clients.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func keys(t *testing.T, m hotrestartipc.Message) []string {
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
func TestVersion1TakesOver(t *testing.T) {
	old, next := recorded(t, "version 1")
	f := newFleet(t, newSlowEngine(), newSlowEngine())
	door := freePort(t)
	f.start(door)
	f.ready(door)
	path, _ := hotrestartipc.SocketPath(f.dir(), "n0 "+f.clients.Addr().String())
	conn, err := hotrestartipc.Dial(path, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	a := act(conn)
	a.link.Send(next.of(t, "hello"))
	state := a.want(t, "state")
	theirs := keys(t, state)
	for _, key := range keys(t, old.of(t, "state")) {
		if !slices.Contains(theirs, key) {
			t.Errorf("the state has no %s", key)
		}
	}
	a.link.Send(next.of(t, "ready"))
	a.want(t, "go-ahead")
	if got := f.call("GET", door, "/api/ready"); got != 503 {
		t.Errorf("it says %d when asked whether it is ready", got)
	}
	a.link.Close() // the new one ends
	f.ready(door)
}

// A process of version 1 that serves is found, and gone on from.
func TestVersion1IsTakenOver(t *testing.T) {
	old, next := recorded(t, "version 1")
	one, two := newSlowEngine(), newSlowEngine()
	f := newFleet(t, one, two)
	path, _ := hotrestartipc.SocketPath(f.dir(), "n0 "+f.clients.Addr().String())
	lis, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	door := freePort(t)
	f.start(door)
	var a *actor
	for a == nil {
		conn, err := lis.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		b := act(conn)
		if m, ok := b.next(); ok && m.Kind == "hello" { // others only look whether somebody lives
			a = b
			for _, key := range keys(t, next.of(t, "hello")) {
				if !slices.Contains(keys(t, m), key) {
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
	a.link.Send(old.of(t, "state")) // s-00000002 is out by hand in it
	a.want(t, "ready")
	a.link.Send(old.of(t, "go-ahead"))
	f.ready(door)
	c := f.client()
	for id := range 40 {
		if rows, code, err := c.ask(query("lookup", id, "SELECT 1")); rows != 1 || code != 0 || err != nil {
			t.Fatal(rows, code, err)
		}
	}
	if two.total() > 0 || one.total() != 40 {
		t.Error("the ban of the process of version 1 was forgotten")
	}
}

// The exchange of this version is as it was recorded: a message that changes its fields, or its place in the order, needs
// a new version.
func TestExchange(t *testing.T) {
	old, next := recorded(t, "version 2")
	f := newFleet(t, newSlowEngine(), newSlowEngine())
	door := freePort(t)
	f.start(door)
	f.ready(door)
	p := f.place()
	conn, err := p.Connect(p.Predecessor())
	if err != nil {
		t.Fatal(err)
	}
	a := act(conn)
	a.link.Send(next.hello(t, p))
	type said struct {
		Kind string
		Keys []string
	}
	var got, want []said
	for _, m := range old {
		if m.Kind == "wait" { // the exchange has a third process's
			continue
		}
		want = append(want, said{m.Kind, keys(t, m)})
		g := a.want(t, m.Kind)
		got = append(got, said{g.Kind, keys(t, g)})
		if m.Kind == "state" {
			a.link.Send(next.of(t, "ready"))
		}
		if m.Kind == "go-ahead" {
			a.link.Send(next.of(t, "back"))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("-recorded +now\n", diff)
	}
}

// The process before this one dies, or falls silent, at each step. It guards against a new process that never serves, and
// against one that serves too early.
func TestPredecessorAtEachStep(t *testing.T) {
	old, _ := recorded(t, "version 2")
	for step, name := range []string{"before it accepts", "after hello", "after state", "after ready", "after go-ahead"} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %t", name, silent), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, newSlowEngine(), newSlowEngine())
				p := f.place()
				door := freePort(t)
				f.start(door)
				var a *actor
				if step > 0 {
					conn, err := p.Listener.AcceptUnix()
					if err != nil {
						t.Fatal(err)
					}
					a = act(conn)
					a.want(t, "hello")
				}
				if step < 4 && f.call("GET", door, "/api/ready") == 200 {
					t.Error("it serves before its time")
				}
				if step > 1 {
					a.link.Send(old.of(t, "state"))
				}
				if step > 2 {
					a.want(t, "ready")
				}
				if step > 3 {
					a.link.Send(old.of(t, "go-ahead"))
				}
				if !silent {
					if a != nil {
						a.link.Close()
					}
					p.Close()
				}
				f.ready(door)
				if rows, code, err := f.client().ask(query("lookup", 1, "SELECT 1")); rows != 1 || code != 0 || err != nil {
					t.Error(rows, code, err)
				}
			})
		}
	}
}

// The process after this one dies at each step, or breaks the link and takes it up again. It guards against a router on
// which nobody accepts.
func TestSuccessorAtEachStep(t *testing.T) {
	_, next := recorded(t, "version 2")
	for step, name := range []string{"before hello", "after hello", "after state", "after ready", "after go-ahead"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newSlowEngine(), newSlowEngine())
			door := freePort(t)
			f.start(door)
			f.ready(door)
			for round := range 2 { // the link breaks, then the process ends
				p := f.place()
				conn, err := p.Connect(p.Predecessor())
				if err != nil {
					t.Fatal(err)
				}
				a := act(conn)
				h := next.hello(t, p)
				play := func() {
					a.ask = func() { a.link.Send(h) }
					if step > 0 {
						a.link.Send(h)
						a.link.Send(h) // twice
					}
					if step > 1 {
						a.want(t, "state")
					}
					if step > 2 {
						a.link.Send(next.of(t, "ready"))
					}
					if step > 3 {
						a.want(t, "go-ahead")
					}
				}
				play()
				if round == 0 {
					a.link.Close()
					if conn, err = p.Connect(p.Predecessor()); err != nil {
						t.Fatal(err)
					}
					a = act(conn)
					play()
				}
				a.link.Close()
				p.Close()
				f.ready(door)
				if rows, code, err := f.client().ask(query("lookup", 1+round, "SELECT 1")); rows != 1 || code != 0 || err != nil {
					t.Error(rows, code, err)
				}
			}
		})
	}
}

// Where the processes meet there may be anything: a dead process's socket, a foreign listener that never speaks, a lock
// file that nobody holds. It guards against a router that does not start.
func TestForeignAtTheMeetingPoint(t *testing.T) {
	t.Parallel()
	f := newFleet(t, newSlowEngine(), newSlowEngine())
	path, _ := hotrestartipc.SocketPath(f.dir(), "n0 "+f.clients.Addr().String())
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
	door := freePort(t)
	f.start(door)
	f.ready(door) // guarded, after its time: something lives there
	if rows, code, err := f.client().ask(query("lookup", 1, "SELECT 1")); rows != 1 || code != 0 || err != nil {
		t.Error(rows, code, err)
	}
	if _, err := os.Stat(filepath.Join(base + ".7.sock")); err == nil {
		t.Error("a dead process's socket was left")
	}
}
