package netio

import (
	"net"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"

	"windflow/internal/clock"
	"windflow/internal/router"
)

// kernelUnread returns the number of received bytes of a connection that the poller has not read.
func kernelUnread(t *testing.T, c Conn) int {
	t.Helper()
	n, err := unix.IoctlGetInt(c.(*socket).conn.Hash(), unix.TIOCINQ)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// connSet is a listener with a loop that is stepped manually, and the handlers of its connections in the order in which
// the connections were accepted.
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
	p.SetMaxInbound(1) // the poller delivers one read to the loop and waits with the next until the loop has handled it
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

// dial opens a client connection to the listener.
func (s *connSet) dial() net.Conn {
	s.t.Helper()
	return dial(s.t, s.listener.Addr())
}

// opened reports whether the loop has opened connection i.
func (s *connSet) opened(i int) bool { return len(s.handlers) > i && s.handlers[i].conn != nil }

// descriptor returns the descriptor of connection i.
func (s *connSet) descriptor(i int) int { return s.handlers[i].conn.(*socket).conn.Hash() }

// send sends one byte from a client.
func (s *connSet) send(peer net.Conn) {
	s.t.Helper()
	if _, err := peer.Write([]byte("x")); err != nil {
		s.t.Fatal(err)
	}
}

// awaitRead waits until the poller has read all bytes of connection i. With the limit of newConnSet the poller then
// waits for the loop.
func (s *connSet) awaitRead(i int) {
	s.t.Helper()
	for kernelUnread(s.t, s.handlers[i].conn) > 0 {
		runtime.Gosched()
	}
}

// TestEventOfReusedDescriptor checks that an event of a closed connection is not attributed to a new connection with
// the same descriptor. The client closes its connection, and the loop closes it too before the poller has handled that
// event; the next connection then gets the descriptor. Without the registrar, connections of clients and engines would
// be closed right after they were opened, although neither side has closed them.
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
	_ = peers[3].Close() // after the byte, so that the poller fetches both events at once
	s.loop.Step()
	s.awaitRead(2)

	descriptor := s.descriptor(3)
	s.handlers[3].conn.Close()
	peer := s.dial()
	for len(s.listener.slots) < 2 { // until the connection waits for its registration and the listener for the next one
		runtime.Gosched()
	}
	s.send(peers[0]) // the poller fetches this event once it has handled the current ones
	s.stepUntil(func() bool { return s.opened(4) && len(s.handlers[0].data) >= 2 })
	if got := s.descriptor(4); got != descriptor {
		t.Fatalf("the new connection has descriptor %d, want %d: the descriptor was not reused", got, descriptor)
	}
	s.send(peer)
	s.stepUntil(func() bool { return len(s.handlers[4].data)+len(s.handlers[4].closed) > 0 })
	if len(s.handlers[4].closed) > 0 {
		t.Errorf("the new connection was closed although neither side closed it: %v", <-s.handlers[4].closed)
	}
}

// TestSocketPairs checks both kinds of socket pairs. On a system without Unix sockets the poller is woken over TCP, so
// that the router can also start there.
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
				t.Errorf("%s: read %v and error %v, want %d", name, b, err, i)
			}
		}
		for _, c := range ends {
			_ = c.Close()
		}
	}
}
