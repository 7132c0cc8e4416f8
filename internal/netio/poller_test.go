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

// eventChannels is a handler that sends the events of a connection to channels.
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

// newPoller starts a poller for a loop that the caller runs. The poller is stopped at the end of the test.
func newPoller(t *testing.T, loop *router.Loop, listen string, accept func() Handler) *Poller {
	t.Helper()
	p, err := New(loop, listen, accept, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// startPoller starts a poller and its loop with the system clock.
func startPoller(t *testing.T, listen string, accept func() Handler) (*Poller, *router.Loop) {
	t.Helper()
	loop := router.NewLoop(clock.NewSystem())
	p := newPoller(t, loop, listen, accept)
	t.Cleanup(routertest.RunLoop(loop))
	return p, loop
}

// dial opens a client connection, which is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestDial checks that a refused dial ends with ErrNotConnected and that an accepted connection carries data. nbio's
// own dialer would report a refused connection as open and, for IPv4, connect to 0.0.0.0.
func TestDial(t *testing.T) {
	p, loop := startPoller(t, "", nil)
	addr := routertest.RefusingAddress(t, [4]byte{127, 0, 0, 2})
	h := newEventChannels()
	loop.Post(func() { p.Dial(addr, 5000, h) })
	if err := <-h.closed; !errors.Is(err, ErrNotConnected) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refused dial: error %v, want ErrNotConnected and ECONNREFUSED", err)
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
		t.Errorf("received %q, want \"hello\"", got)
	}
	_ = peer.Close()
	if err := <-h.closed; errors.Is(err, ErrNotConnected) {
		t.Errorf("connection closed by the peer: error %v, want one other than ErrNotConnected", err)
	}
}

// recordCounter is a log handler that counts records of all levels.
type recordCounter struct {
	slog.Handler
	n *atomic.Int64
}

func (c recordCounter) Handle(context.Context, slog.Record) error { c.n.Add(1); return nil }
func (c recordCounter) Enabled(context.Context, slog.Level) bool  { return true }
func (c recordCounter) WithAttrs([]slog.Attr) slog.Handler        { return c }
func (c recordCounter) WithGroup(string) slog.Handler             { return c }

// TestStopRightAfterStart checks that a poller that is stopped immediately after its start closes its listener and logs
// nothing, and that the next poller can set its logger. nbio's acceptor would lose such a stop, retry accept on the
// closed listener indefinitely, and read the logger while the next poller sets it.
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
			t.Errorf("accept after the stop: error %v, want net.ErrClosed", err)
		}
	}
	if got := logged.Load(); got != 0 {
		t.Errorf("%d records were logged, want none", got)
	}
}

// collector is a handler that sends all received data to done once it has at least size bytes.
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

// TestInputBeyondReadBudget checks that input larger than the read budget, for which the poller has to wait for the
// loop, arrives completely and in order. Nothing is sent back, because maxUnwritten limits the output.
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
		t.Errorf("received %d of %d bytes, or in the wrong order", len(got), len(sent))
	}
}

// TestAcceptsAheadOfLoopAreBounded checks that at most maxPendingAccepts connections are accepted before the loop
// handles them, and that all are opened in the end. Otherwise a flood of connections between two steps of the loop
// could use up the descriptors.
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
			t.Fatalf("%d connections opened in one step, want at most %d", opened-before, maxPendingAccepts)
		}
		runtime.Gosched()
	}
}

// TestNotifyFlushedWaitsForLastByte checks that NotifyFlushed does not count bytes in nbio's write queue as sent. It
// also fails if nbio renames the field from which the length of the queue is read.
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
		for queuedBytes(s.conn) == 0 { // the peer does not read, so the system's buffers fill up
			_ = s.Write(make([]byte, maxUnwritten/2))
		}
		s.NotifyFlushed(func() { flushed <- "all" })
		flushed <- "queued"
	})
	if one, two := <-flushed, <-flushed; one != "one byte" || two != "queued" {
		t.Errorf("got %q, then %q; want \"one byte\", then \"queued\"", one, two)
	}
	go func() { _, _ = io.Copy(io.Discard, peer) }() // ends with the connection
	if got := <-flushed; got != "all" {
		t.Errorf("got %q, want \"all\"", got)
	}
}

// connHandler is a handler that stores its connection.
type connHandler struct {
	*eventChannels
	conn Conn
}

func (h *connHandler) Opened(conn Conn) { h.conn = conn }

// TestHasUnread checks that HasUnread reports bytes that the peer has sent and the handler has not received. Otherwise
// a session could be closed although a request has just arrived.
func TestHasUnread(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1}) // stepped manually, so that read bytes wait for the next step
	h := &connHandler{eventChannels: newEventChannels()}
	p := newPoller(t, loop, "127.0.0.1:0", func() Handler { return h })
	peer := dial(t, p.Addr())
	for h.conn == nil {
		loop.Step()
		runtime.Gosched()
	}
	if h.conn.HasUnread() {
		t.Error("unread bytes are reported although nothing was sent")
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
		t.Error("unread bytes are reported although all were received")
	}
}
