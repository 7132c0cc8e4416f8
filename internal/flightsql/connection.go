package flightsql

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"google.golang.org/grpc"

	"windflow/internal/netio"
)

// Eviction ranks of connections without an open call; the lowest rank is evicted first.
const (
	rankSilent = iota // has opened no call for silentAfterMS
	rankIdle          // idle after a call; gRPC clients reconnect for their next one
	rankNew           // has just connected and opened no call yet
)

// connection is a client's connection. It has a gRPC server of its own, because gRPC can ask the clients of a whole
// server to leave, but not the client of one connection. It is safe for concurrent use.
type connection struct {
	net.Conn
	now     func() float64 // in milliseconds
	server  *grpc.Server
	onIdle  func()            // called when the last open call has ended; must not block
	onClose func(*connection) // called once, when the connection is closed
	ended   chan struct{}     // closed with the connection
	reading chan struct{}     // closed once the server has taken over the connection
	leaving bool              // was asked to end; guarded by the connectionSet's lock

	readOnce, closeOnce sync.Once

	mu           sync.Mutex
	streams      *streamTracker
	openedMS     float64
	lastActiveMS float64 // when the last bytes were received or sent
}

func newConnection(conn net.Conn, server *grpc.Server, now func() float64) *connection {
	openedMS := now()
	return &connection{
		Conn: conn, now: now, server: server, onIdle: func() {}, onClose: func(*connection) {},
		ended: make(chan struct{}), reading: make(chan struct{}),
		streams: newStreamTracker(), openedMS: openedMS, lastActiveMS: openedMS,
	}
}

// serve lets gRPC serve the connection until it is closed. It blocks.
func (c *connection) serve() {
	_ = c.server.Serve(&singleConnListener{conn: c, closed: make(chan struct{})}) // says only that it was closed
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	c.readOnce.Do(func() { close(c.reading) })
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.track(func(streams *streamTracker) { streams.received(b[:n]) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.track(func(streams *streamTracker) { streams.sent(b[:n]) })
	return n, err
}

// track updates the open calls after bytes have passed, and calls onIdle if the last open call has ended.
func (c *connection) track(update func(*streamTracker)) {
	c.mu.Lock()
	c.lastActiveMS = c.now()
	open := len(c.streams.open)
	update(c.streams)
	idle := open > 0 && len(c.streams.open) == 0
	c.mu.Unlock()
	if idle {
		c.onIdle()
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		close(c.ended)
		c.onClose(c)
	})
	return err
}

// openCalls returns the number of calls whose answer is not written yet.
func (c *connection) openCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams.open)
}

// evictionRank returns the connection's rank by what its client would lose, and since when it is inactive. ok is false
// if the connection must not be evicted, because a call is open or bytes have arrived that may begin one.
func (c *connection) evictionRank(now float64) (rank int, inactiveSinceMS float64, ok bool) {
	if c.hasUnread() {
		return 0, 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.streams.open) > 0:
		return 0, 0, false
	case c.streams.lastStream > 0:
		return rankIdle, c.lastActiveMS, true
	case now-c.openedMS >= silentAfterMS:
		return rankSilent, c.lastActiveMS, true
	}
	return rankNew, c.lastActiveMS, true
}

// hasUnread reports whether the client has sent bytes that gRPC has not read.
func (c *connection) hasUnread() bool {
	conn, ok := c.Conn.(syscall.Conn)
	return ok && netio.HasUnread(conn)
}

// singleConnListener is a listener that accepts one connection, then blocks until it is closed.
type singleConnListener struct {
	conn      *connection
	accepted  bool
	closed    chan struct{}
	closeOnce sync.Once
}

var errListenerClosed = errors.New("listener closed")

// Accept implements net.Listener.
func (l *singleConnListener) Accept() (net.Conn, error) {
	if !l.accepted {
		l.accepted = true
		return l.conn, nil
	}
	select {
	case <-l.closed:
	case <-l.conn.ended:
	}
	return nil, errListenerClosed
}

// Close implements net.Listener.
func (l *singleConnListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *singleConnListener) Addr() net.Addr { return l.conn.LocalAddr() }
