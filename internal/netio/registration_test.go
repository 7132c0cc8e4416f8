package netio

import (
	"log/slog"
	"net"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"

	"windflow/internal/clock"
	"windflow/internal/router"
)

// unheard is what the system has of a connection that the poller has not read.
func unheard(t *testing.T, c Conn) int {
	t.Helper()
	n, err := unix.IoctlGetInt(c.(*socket).c.Hash(), unix.TIOCINQ)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A connection whose peer has gone is closed by the loop while the poller still has the event of that in hand, and the next
// connection gets its descriptor's number: the event must not be taken for the new one's. It guards against connections of
// clients and engines that are closed right after they came up, though nobody has closed them.
func TestEventOfAFormerConnection(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1}) // stepped by hand
	n, err := New(loop, "", nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	n.SetMaxInbound(1) // the poller waits before each read but the first that the loop has not handled
	lis, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all []*holder
	l := n.Serve(lis, func() Handler {
		all = append(all, &holder{tap: newTap()})
		return all[len(all)-1]
	})
	dial := func() net.Conn {
		peer, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = peer.Close() })
		return peer
	}
	send := func(peer net.Conn) {
		if _, err := peer.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	var peers []net.Conn
	for len(peers) < 4 {
		peers = append(peers, dial())
		for len(all) < len(peers) || all[len(all)-1].conn == nil {
			loop.Step()
			runtime.Gosched()
		}
	}
	read := func(i int) { // the poller has what this one sent, and waits with it for the loop
		for unheard(t, all[i].conn) > 0 {
			runtime.Gosched()
		}
	}
	send(peers[0])
	read(0)
	send(peers[1])
	read(1)
	send(peers[2])
	_ = peers[3].Close() // behind the byte: the poller hears of both at once
	loop.Step()
	read(2)

	number := all[3].conn.(*socket).c.Hash()
	all[3].conn.Close()
	peer := dial()
	for len(l.unsettled) < 2 { // it was handed over, and the next one is waited for
		runtime.Gosched()
	}
	send(peers[0]) // the poller hears of it once it is through with what it has in hand
	for len(all) < 5 || all[4].conn == nil || len(all[0].data) < 2 {
		loop.Step()
		runtime.Gosched()
	}
	if got := all[4].conn.(*socket).c.Hash(); got != number {
		t.Fatalf("the new connection has the number %d, not %d: nothing was tried", got, number)
	}
	send(peer)
	for len(all[4].data)+len(all[4].closed) == 0 {
		loop.Step()
		runtime.Gosched()
	}
	if len(all[4].closed) > 0 {
		t.Errorf("the new connection was closed, which nobody did: %v", <-all[4].closed)
	}
}

// Where the system gives no Unix sockets, the poller is woken over TCP. It guards against a router that does not start there.
func TestPairsOfSockets(t *testing.T) {
	for name, make := range map[string]func() ([2]net.Conn, error){"unix": unixPair, "tcp": tcpPair} {
		ends, err := make()
		if err != nil {
			t.Fatal(name, err)
		}
		for i, to := range ends {
			if _, err := ends[1-i].Write([]byte{byte(i)}); err != nil {
				t.Error(name, err)
			}
			b := []byte{9}
			if _, err := to.Read(b); err != nil || b[0] != byte(i) {
				t.Error(name, b, err)
			}
		}
		for _, c := range ends {
			_ = c.Close()
		}
	}
}
