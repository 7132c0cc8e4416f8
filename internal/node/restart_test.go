package node

import (
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
	f.env = slices.DeleteFunc(f.env, func(s string) bool { return strings.HasPrefix(s, passedEnv) })
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
