package node

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// A router that is killed, or gets SIGTERM, while clients are connected, and is started again at once on the same
// address, starts each time. Guards against a start that fails with status 1 because the address is in use by
// connections that clients left open, or by a process that has not ended yet.
func TestRestartOnSameAddress(t *testing.T) {
	engine := newBlockingEngine()
	harness := newRouterHarness(t, engine)
	addr := freePort(t)
	text, err := os.ReadFile(harness.config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(harness.config, []byte(strings.Replace(string(text), harness.clientListener.Addr().String(),
		addr, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	harness.env = slices.DeleteFunc(harness.env, func(s string) bool { return strings.HasPrefix(s, passedSocketEnv) })
	adminAddress := freePort(t)
	var previous *exec.Cmd
	for round := range 12 {
		current := harness.startProcess(adminAddress)
		if previous != nil && round%3 == 2 { // it got SIGTERM just before, and is replaced while it drains
			if err := previous.Wait(); err != nil {
				t.Error("the router process failed:", err)
			}
		}
		harness.waitReady(adminAddress)
		for i := range 8 {
			c, err := dialMySQL(addr)
			if err != nil {
				t.Fatal(round, err)
			}
			t.Cleanup(func() { _ = c.conn.Close() })
			requireServed(t, c, query("lookup", round<<8+i+1, "SELECT 1"))
		}
		previous = current
		signal := syscall.SIGKILL
		if round%3 == 1 {
			signal = syscall.SIGTERM
		}
		if err := current.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		if signal == syscall.SIGKILL {
			_ = current.Wait()
		}
	}
}

// A process that gets SIGTERM with a request in flight, idle clients, and a client that never finishes its packet
// answers the request, closes the other connections without a reset, and exits with status 0.
func TestSIGTERMWithRequestInFlight(t *testing.T) {
	engine := newBlockingEngine()
	harness := newRouterHarness(t, engine)
	adminAddress := freePort(t)
	router := harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	requesting, incomplete := harness.dial(), harness.dial()
	idle := []*mysqlClient{harness.dial(), harness.dial(), harness.dial()}
	for i, c := range idle[1:] { // the first client only logs in
		requireServed(t, c, query("lookup", i+1, "SELECT 1"))
	}
	if _, err := incomplete.conn.Write([]byte{40, 0, 0, 0, 3}); err != nil {
		t.Fatal(err)
	}
	if err := requesting.write(0, append([]byte{3}, query("lookup", 9, "slow")...)); err != nil {
		t.Fatal(err)
	}
	<-engine.started
	if err := router.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	harness.waitFor("router drains", func() bool { return harness.callAdmin("GET", adminAddress, "/api/ready") != 200 })
	close(engine.released)
	checkServedAnswer(t, requesting, "the request in flight")
	for i, c := range append(idle, requesting) {
		checkClosed(t, fmt.Sprint("client ", i), c)
	}
	if err := router.Wait(); err != nil {
		t.Error("the router process failed:", err)
	}
}
