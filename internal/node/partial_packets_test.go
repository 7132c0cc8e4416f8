package node

import (
	"bufio"
	"net"
	"syscall"
	"testing"
)

// Requests that arrive in pieces around SIGTERM are answered while the router drains: on an idle connection, on one
// that has just been accepted, and on one whose request arrives half before the signal and half after. Then all
// connections are closed without a reset. Guards against a lost request or a reset connection when bytes arrive during
// the signal.
func TestPartialPacketsAcrossShutdown(t *testing.T) {
	engine := newBlockingEngine()
	harness := newRouterHarness(t, engine)
	adminAddress := freePort(t)
	router := harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	blocked, idle, interrupted := harness.dial(), harness.dial(), harness.dial()
	// This request stays open, so that the router keeps draining.
	if err := blocked.write(0, append([]byte{3}, query("load", 1, "slow")...)); err != nil {
		t.Fatal(err)
	}
	<-engine.started
	accepted, err := net.Dial("tcp", harness.clientListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	fresh := &mysqlClient{conn: accepted, reader: bufio.NewReader(accepted)}
	// The greeting shows that the connection is accepted. The client sends nothing yet.
	if _, err := fresh.packet(); err != nil {
		t.Fatal(err)
	}
	writeInPieces := func(c *mysqlClient, b []byte, size int) {
		t.Helper()
		for ; len(b) > 0; b = b[min(size, len(b)):] {
			if _, err := c.conn.Write(b[:min(size, len(b))]); err != nil {
				t.Fatal(err)
			}
		}
	}
	packet := func(id int) []byte {
		body := append([]byte{3}, query("lookup", id, "SELECT 1")...)
		return append([]byte{byte(len(body)), 0, 0, 0}, body...)
	}
	interruptedPacket := packet(2)
	writeInPieces(interrupted, interruptedPacket[:9], 3)
	if err := router.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	harness.waitFor("router drains", func() bool { return harness.callAdmin("GET", adminAddress, "/api/ready") != 200 })
	writeInPieces(interrupted, interruptedPacket[9:], 7)
	writeInPieces(idle, packet(3), 1)
	if err := fresh.sendLogin(); err != nil {
		t.Fatal(err)
	}
	if _, err := fresh.packet(); err != nil {
		t.Fatal(err)
	}
	writeInPieces(fresh, packet(4), 2)
	for name, c := range map[string]*mysqlClient{"interrupted": interrupted, "idle": idle, "just accepted": fresh} {
		checkServedAnswer(t, c, name)
	}
	close(engine.released)
	checkServedAnswer(t, blocked, "the request that ran before SIGTERM")
	for name, c := range map[string]*mysqlClient{
		"blocked": blocked, "interrupted": interrupted, "idle": idle, "just accepted": fresh,
	} {
		checkClosed(t, name, c)
	}
	if err := router.Wait(); err != nil {
		t.Error("the router process failed:", err)
	}
}
