package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// Requests that come in pieces over the moment in which the router is told to end, on a connection that has rested, on one that
// has just been accepted, and half before it and half after, are answered while it drains; then all hear the end in order.
// It guards against a request that is lost, or a connection that is reset, since its bytes crossed the signal.
func TestPiecesAcrossTheEnd(t *testing.T) {
	engine := newSlowEngine()
	f := newFleet(t, engine)
	door := freePort(t)
	p := f.start(door)
	f.ready(door)
	holds, rests, half := f.client(), f.client(), f.client()
	if err := holds.write(0, append([]byte{3}, query("load", 1, "slow")...)); err != nil { // so that it goes on draining
		t.Fatal(err)
	}
	<-engine.started
	accepted, err := net.Dial("tcp", f.clients.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	fresh := &mysqlClient{c: accepted, r: bufio.NewReader(accepted)}
	if _, err := fresh.packet(); err != nil { // its greeting: it is accepted, and has said nothing
		t.Fatal(err)
	}
	pieces := func(c *mysqlClient, b []byte, size int) {
		t.Helper()
		for ; len(b) > 0; b = b[min(size, len(b)):] {
			if _, err := c.c.Write(b[:min(size, len(b))]); err != nil {
				t.Fatal(err)
			}
		}
	}
	packet := func(id int) []byte {
		body := append([]byte{3}, query("lookup", id, "SELECT 1")...)
		return append([]byte{byte(len(body)), 0, 0, 0}, body...)
	}
	split := packet(2)
	pieces(half, split[:9], 3)
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	f.waitFor("it drains", func() bool { return f.call("GET", door, "/api/ready") != 200 })
	pieces(half, split[9:], 7)
	pieces(rests, packet(3), 1)
	if err := fresh.login(); err != nil {
		t.Fatal(err)
	}
	if _, err := fresh.packet(); err != nil {
		t.Fatal(err)
	}
	pieces(fresh, packet(4), 2)
	for name, c := range map[string]*mysqlClient{"half before": half, "rested": rests, "just accepted": fresh} {
		if rows, code, err := c.answer(); rows != 1 || code != 0 || err != nil {
			t.Errorf("%s: %d rows, error %d, %v", name, rows, code, err)
		}
	}
	close(engine.released)
	if rows, code, err := holds.answer(); rows != 1 || code != 0 || err != nil {
		t.Error("the one that ran:", rows, code, err)
	}
	for name, c := range map[string]*mysqlClient{"holds": holds, "half before": half, "rested": rests, "just accepted": fresh} {
		if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v, want the end", name, err)
		}
	}
	if err := p.Wait(); err != nil {
		t.Error("at its end:", err)
	}
}
