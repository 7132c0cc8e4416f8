package node

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// A router that is killed, or told to end, under load and started again at once on its own address comes up each time:
// connections that its clients left open, and a process that has not ended yet, keep no address from it. It guards against
// an end with status 1 at a restart.
func TestRestartsOnItsAddress(t *testing.T) {
	engine := newSlowEngine()
	f := newFleet(t, engine)
	addr := freePort(t)
	text, err := os.ReadFile(f.config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(f.config, []byte(strings.Replace(string(text), f.clients.Addr().String(), addr, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	f.env = slices.DeleteFunc(f.env, func(s string) bool { return strings.HasPrefix(s, passedSocketEnv) })
	door := freePort(t)
	var last *exec.Cmd
	for round := range 12 {
		now := f.start(door)
		if last != nil && round%3 == 2 { // told to end a moment ago, and replaced while it drains
			if err := last.Wait(); err != nil {
				t.Error("at its end:", err)
			}
		}
		f.ready(door)
		for i := range 8 {
			c, err := dialMySQL(addr)
			if err != nil {
				t.Fatal(round, err)
			}
			t.Cleanup(func() { _ = c.c.Close() })
			if rows, code, err := c.ask(query("lookup", round<<8+i+1, "SELECT 1")); rows != 1 || code != 0 || err != nil {
				t.Fatal(round, rows, code, err)
			}
		}
		last = now
		how := syscall.SIGKILL
		if round%3 == 1 {
			how = syscall.SIGTERM
		}
		if err := now.Process.Signal(how); err != nil {
			t.Fatal(err)
		}
		if how == syscall.SIGKILL {
			_ = now.Wait()
		}
	}
}

// A process that is told to end with a request in flight, clients that rest, and one that never finishes its packet answers the
// request, ends the others in order, resets nobody and exits 0.
func TestTermWithRequestsInFlight(t *testing.T) {
	engine := newSlowEngine()
	f := newFleet(t, engine)
	door := freePort(t)
	p := f.start(door)
	f.ready(door)
	asks, half := f.client(), f.client()
	rests := []*mysqlClient{f.client(), f.client(), f.client()}
	for i, c := range rests[1:] { // the first one has only logged in
		if rows, code, err := c.ask(query("lookup", i+1, "SELECT 1")); rows != 1 || code != 0 || err != nil {
			t.Fatal(rows, code, err)
		}
	}
	if _, err := half.c.Write([]byte{40, 0, 0, 0, 3}); err != nil {
		t.Fatal(err)
	}
	if err := asks.write(0, append([]byte{3}, query("lookup", 9, "slow")...)); err != nil {
		t.Fatal(err)
	}
	<-engine.started
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	f.waitFor("it drains", func() bool { return f.call("GET", door, "/api/ready") != 200 })
	close(engine.released)
	if rows, code, err := asks.answer(); rows != 1 || code != 0 || err != nil {
		t.Error("the request in flight:", rows, code, err)
	}
	for i, c := range append(rests, asks) {
		if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("client %d: %v, want the end", i, err)
		}
	}
	if err := p.Wait(); err != nil {
		t.Error("at its end:", err)
	}
}
