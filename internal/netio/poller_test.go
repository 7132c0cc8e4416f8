package netio

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"

	"windflow/internal/clock"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// eventChannels is a handler that passes the events of a connection on.
type eventChannels struct {
	opened chan struct{}
	data   chan []byte
	closed chan error
}

func newEventChannels() *eventChannels {
	return &eventChannels{opened: make(chan struct{}, 1), data: make(chan []byte, 1024), closed: make(chan error, 2)}
}
func (h *eventChannels) Opened(Conn)              { h.opened <- struct{}{} }
func (h *eventChannels) Data(b []byte, _ float64) { h.data <- b }
func (h *eventChannels) Closed(err error)         { h.closed <- err }

// newPoller starts a poller on a loop, which the caller runs; it is stopped with the test.
func newPoller(t *testing.T, loop *router.Loop, listen string, accept func() Handler) *Poller {
	t.Helper()
	p, err := New(loop, listen, accept, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// startPoller starts a poller and its loop on the system's clock.
func startPoller(t *testing.T, listen string, accept func() Handler) (*Poller, *router.Loop) {
	t.Helper()
	loop := router.NewLoop(clock.NewSystem())
	p := newPoller(t, loop, listen, accept)
	t.Cleanup(routertest.RunLoop(loop))
	return p, loop
}

// dial opens a connection of a client, which is closed with the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// A refused dial ends as one that was never connected. nbio's own dialer would report it as open and, for IPv4,
// connect to 0.0.0.0.
func TestDial(t *testing.T) {
	p, loop := startPoller(t, "", nil)
	addr := routertest.RefusingAddress(t, [4]byte{127, 0, 0, 2})
	h := newEventChannels()
	loop.Post(func() { p.Dial(addr, 5000, h) })
	if err := <-h.closed; !errors.Is(err, ErrNotConnected) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refused: %v", err)
	}

	lis, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	h = newEventChannels()
	loop.Post(func() { p.Dial(lis.Addr().String(), 5000, h) })
	peer, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	<-h.opened
	if _, err := peer.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if got := <-h.data; string(got) != "hello" {
		t.Errorf("got %q", got)
	}
	_ = peer.Close()
	if err := <-h.closed; errors.Is(err, ErrNotConnected) {
		t.Errorf("closed by the peer: %v", err)
	}
}

// recordCounter is a log handler that counts records.
type recordCounter struct {
	slog.Handler
	n *atomic.Int64
}

func (c recordCounter) Handle(context.Context, slog.Record) error { c.n.Add(1); return nil }
func (c recordCounter) Enabled(context.Context, slog.Level) bool  { return true }
func (c recordCounter) WithAttrs([]slog.Attr) slog.Handler        { return c }
func (c recordCounter) WithGroup(string) slog.Handler             { return c }

// A poller that is stopped right after its start closes its listener and logs nothing, and the next one may replace
// the logger. nbio's acceptor would lose such a stop, run on the closed listener for ever, and read the logger while
// the next poller sets it.
func TestStopRightAfterStart(t *testing.T) {
	var logged atomic.Int64
	for i := range 4 {
		log := slog.New(recordCounter{slog.DiscardHandler, &logged})
		p, err := New(router.NewLoop(clock.NewSystem()), "127.0.0.1:0", func() Handler { return newEventChannels() }, log)
		if err != nil {
			t.Fatalf("start %d: %v", i, err)
		}
		p.Stop()
		if _, err := p.listener.lis.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the listener after the stop: %v", err)
		}
	}
	if got := logged.Load(); got != 0 {
		t.Errorf("%d records were logged", got)
	}
}

// collector is a handler that passes on all data once that is long enough.
type collector struct {
	data []byte
	size int
	done chan []byte
}

func (c *collector) Opened(Conn)  {}
func (c *collector) Closed(error) {}
func (c *collector) Data(b []byte, _ float64) {
	if c.data = append(c.data, b...); len(c.data) >= c.size {
		c.done <- c.data
	}
}

// Input beyond the read budget arrives completely and in order, while the poller waits for the loop. Nothing is sent
// back: what a slow reader leaves unwritten has a bound of its own.
func TestInputBeyondReadBudget(t *testing.T) {
	sent := make([]byte, 2*defaultMaxInbound)
	for i := range sent {
		sent[i] = byte(i * 7 >> 3)
	}
	received := &collector{size: len(sent), done: make(chan []byte, 1)}
	p, _ := startPoller(t, "127.0.0.1:0", func() Handler { return received })
	if _, err := dial(t, p.Addr()).Write(sent); err != nil {
		t.Fatal(err)
	}
	if got := <-received.done; !bytes.Equal(got, sent) {
		t.Errorf("%d bytes received of %d, or in another order", len(got), len(sent))
	}
}

// No more than maxPendingAccepts connections are accepted ahead of the loop, and all are opened in the end: a flood
// between two steps of the loop does not use up the descriptors.
func TestAcceptsAheadOfLoopAreBounded(t *testing.T) {
	const clients = 3 * maxPendingAccepts
	opened := 0
	loop := router.NewLoop(&clock.Manual{MS: 1})
	p := newPoller(t, loop, "127.0.0.1:0", func() Handler { opened++; return newEventChannels() })
	for range clients {
		dial(t, p.Addr())
	}
	for before := 0; opened < clients; before = opened {
		loop.Step()
		if opened-before > maxPendingAccepts {
			t.Fatalf("%d connections in one step", opened-before)
		}
		runtime.Gosched()
	}
}

// NotifyFlushed waits for the last byte to leave: bytes that merely wait in nbio's queue do not count as sent. It also
// guards the name of the field by which that queue is read.
func TestNotifyFlushedWaitsForLastByte(t *testing.T) {
	p, loop := startPoller(t, "", nil)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	h := newEventChannels()
	flushed := make(chan string, 4)
	var conn Conn
	loop.Post(func() { conn = p.Dial(lis.Addr().String(), 5000, h) })
	peer, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	<-h.opened
	loop.Post(func() {
		s := conn.(*socket)
		_ = s.conn.SetWriteBuffer(8 << 10)
		_ = s.Write([]byte("x"))
		s.NotifyFlushed(func() { flushed <- "one byte" })
		for queuedBytes(s.conn) == 0 { // the peer does not read, so that the system's buffers fill
			_ = s.Write(make([]byte, maxUnwritten/2))
		}
		s.NotifyFlushed(func() { flushed <- "all" })
		flushed <- "queued"
	})
	if one, two := <-flushed, <-flushed; one != "one byte" || two != "queued" {
		t.Errorf("got %q, then %q", one, two)
	}
	go func() { _, _ = io.Copy(io.Discard, peer) }() // it ends with the connection
	if got := <-flushed; got != "all" {
		t.Errorf("got %q", got)
	}
}

// connHandler is a handler that stores its connection.
type connHandler struct {
	*eventChannels
	conn Conn
}

func (h *connHandler) Opened(conn Conn) { h.conn = conn }

// HasUnread reports what the peer has sent and the handler has not received, so that no session is closed although a
// request has just arrived.
func TestHasUnread(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1}) // stepped by hand, so that what is read waits
	h := &connHandler{eventChannels: newEventChannels()}
	p := newPoller(t, loop, "127.0.0.1:0", func() Handler { return h })
	peer := dial(t, p.Addr())
	for h.conn == nil {
		loop.Step()
		runtime.Gosched()
	}
	if h.conn.HasUnread() {
		t.Error("unread bytes are reported, and nothing was sent")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for !h.conn.HasUnread() {
		runtime.Gosched()
	}
	for len(h.data) == 0 {
		loop.Step()
	}
	if h.conn.HasUnread() {
		t.Error("unread bytes are reported, and all were received")
	}
}
