package netio

import (
	"net"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"

	"windflow/internal/clock"
	"windflow/internal/router"
)

// kernelUnread returns how many bytes of a connection the poller has not read.
func kernelUnread(t *testing.T, c Conn) int {
	t.Helper()
	n, err := unix.IoctlGetInt(c.(*socket).conn.Hash(), unix.TIOCINQ)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// connSet is a listener on a loop that is stepped by hand, with its connections and their clients in the order of the
// dials.
type connSet struct {
	t        *testing.T
	loop     *router.Loop
	listener *Listener
	handlers []*connHandler
}

func newConnSet(t *testing.T) *connSet {
	t.Helper()
	s := &connSet{t: t, loop: router.NewLoop(&clock.Manual{MS: 1})}
	p := newPoller(t, s.loop, "", nil)
	p.SetMaxInbound(1) // the poller waits before each read but the first that the loop has not handled
	lis, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = p.Serve(lis, func() Handler {
		s.handlers = append(s.handlers, &connHandler{eventChannels: newEventChannels()})
		return s.handlers[len(s.handlers)-1]
	})
	return s
}

// stepUntil steps the loop until the condition is met.
func (s *connSet) stepUntil(condition func() bool) {
	for !condition() {
		s.loop.Step()
		runtime.Gosched()
	}
}

// dial opens a client's connection.
func (s *connSet) dial() net.Conn {
	s.t.Helper()
	return dial(s.t, s.listener.Addr())
}

// opened reports whether the connection is open.
func (s *connSet) opened(i int) bool { return len(s.handlers) > i && s.handlers[i].conn != nil }

// descriptor returns the connection's descriptor.
func (s *connSet) descriptor(i int) int { return s.handlers[i].conn.(*socket).conn.Hash() }

// send sends a byte.
func (s *connSet) send(peer net.Conn) {
	s.t.Helper()
	if _, err := peer.Write([]byte("x")); err != nil {
		s.t.Fatal(err)
	}
}

// awaitRead waits until the poller has read what the client sent, and waits with it for the loop.
func (s *connSet) awaitRead(i int) {
	s.t.Helper()
	for kernelUnread(s.t, s.handlers[i].conn) > 0 {
		runtime.Gosched()
	}
}

// A connection whose client has gone is closed by the loop while the poller still has to handle the event of that,
// and the next connection gets its descriptor: the event must not be attributed to the new connection. Otherwise
// connections of clients and engines are closed right after they were opened, though nobody has closed them.
func TestEventOfReusedDescriptor(t *testing.T) {
	s := newConnSet(t)
	var peers []net.Conn
	for i := range 4 {
		peers = append(peers, s.dial())
		s.stepUntil(func() bool { return s.opened(i) })
	}
	s.send(peers[0])
	s.awaitRead(0)
	s.send(peers[1])
	s.awaitRead(1)
	s.send(peers[2])
	_ = peers[3].Close() // after the byte: the poller gathers both events at once
	s.loop.Step()
	s.awaitRead(2)

	descriptor := s.descriptor(3)
	s.handlers[3].conn.Close()
	peer := s.dial()
	for len(s.listener.slots) < 2 { // it is to be registered, and the listener waits for the next one
		runtime.Gosched()
	}
	s.send(peers[0]) // the poller gathers it once it has handled the events at hand
	s.stepUntil(func() bool { return s.opened(4) && len(s.handlers[0].data) >= 2 })
	if got := s.descriptor(4); got != descriptor {
		t.Fatalf("the new connection has the descriptor %d, not %d: nothing was tested", got, descriptor)
	}
	s.send(peer)
	s.stepUntil(func() bool { return len(s.handlers[4].data)+len(s.handlers[4].closed) > 0 })
	if len(s.handlers[4].closed) > 0 {
		t.Errorf("the new connection was closed, which nobody did: %v", <-s.handlers[4].closed)
	}
}

// Where the system has no Unix sockets, the poller is woken over TCP, so that the router starts there, too.
func TestSocketPairs(t *testing.T) {
	for name, newPair := range map[string]func() ([2]net.Conn, error){"unix": unixSocketPair, "tcp": tcpSocketPair} {
		ends, err := newPair()
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
