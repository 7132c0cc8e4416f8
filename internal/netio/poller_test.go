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

// tap is a handler that passes on what it hears.
type tap struct {
	up     chan struct{}
	data   chan []byte
	closed chan error
}

func newTap() *tap {
	return &tap{up: make(chan struct{}, 1), data: make(chan []byte, 1024), closed: make(chan error, 2)}
}
func (h *tap) Opened(Conn)              { h.up <- struct{}{} }
func (h *tap) Data(b []byte, _ float64) { h.data <- b }
func (h *tap) Closed(err error)         { h.closed <- err }

func newNet(t *testing.T, listen string, accept func() Handler) (*Poller, *router.Loop) {
	t.Helper()
	loop := router.NewLoop(clock.NewSystem())
	n, err := New(loop, listen, accept, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	end := routertest.RunLoop(loop)
	t.Cleanup(func() {
		end()
		n.Stop()
	})
	return n, loop
}

// A refused connection is told as one that never came up. It guards against nbio's own dialer, which reports
// it as open and, for IPv4, connects to 0.0.0.0.
func TestDial(t *testing.T) {
	n, loop := newNet(t, "", nil)
	addr := routertest.RefusingAddress(t, [4]byte{127, 0, 0, 2})
	h := newTap()
	loop.Post(func() { n.Dial(addr, 5000, h) })
	if err := <-h.closed; !errors.Is(err, ErrNotConnected) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refused: %v", err)
	}

	lis, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	h = newTap()
	loop.Post(func() { n.Dial(lis.Addr().String(), 5000, h) })
	peer, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	<-h.up
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

// records counts what is logged.
type records struct {
	slog.Handler
	n *atomic.Int64
}

func (r records) Handle(context.Context, slog.Record) error { r.n.Add(1); return nil }
func (r records) Enabled(context.Context, slog.Level) bool  { return true }
func (r records) WithAttrs([]slog.Attr) slog.Handler        { return r }
func (r records) WithGroup(string) slog.Handler             { return r }

// A Net that is stopped right after its start stops: its listener is closed, nothing is logged, and the next one
// may take over the log. It guards against nbio's acceptor, which lost such a stop, went on for ever on the closed
// listener, and read the logger while the next Net wrote it.
func TestStopRightAfterStart(t *testing.T) {
	var logged atomic.Int64
	for i := range 4 {
		log := slog.New(records{slog.DiscardHandler, &logged})
		n, err := New(router.NewLoop(clock.NewSystem()), "127.0.0.1:0", func() Handler { return newTap() }, log)
		if err != nil {
			t.Fatalf("start %d: %v", i, err)
		}
		n.Stop()
		if _, err := n.listener.lis.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the listener after the stop: %v", err)
		}
	}
	if got := logged.Load(); got != 0 {
		t.Errorf("%d records were logged", got)
	}
}

// gather is a handler that keeps what comes until that is enough.
type gather struct {
	got    []byte
	enough int
	done   chan []byte
}

func (g *gather) Opened(Conn)  {}
func (g *gather) Closed(error) {}
func (g *gather) Data(b []byte, _ float64) {
	if g.got = append(g.got, b...); len(g.got) >= g.enough {
		g.done <- g.got
	}
}

// More than the inbound bound goes through, whole and in order, while the poller waits for the loop. Nothing is
// sent back: what a slow reader leaves unwritten has a bound of its own.
func TestFloodPassesWhole(t *testing.T) {
	sent := make([]byte, 2*maxInbound)
	for i := range sent {
		sent[i] = byte(i * 7 >> 3)
	}
	g := &gather{enough: len(sent), done: make(chan []byte, 1)}
	n, _ := newNet(t, "127.0.0.1:0", func() Handler { return g })
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(sent); err != nil {
		t.Fatal(err)
	}
	if got := <-g.done; !bytes.Equal(got, sent) {
		t.Errorf("%d bytes came of %d, or in another order", len(got), len(sent))
	}
}

// refuser answers the first bytes with an error and finishes.
type refuser struct {
	conn   Conn
	heard  int
	closed chan int
}

func (r *refuser) Opened(c Conn) { r.conn = c }
func (r *refuser) Closed(error)  { r.closed <- r.heard }
func (r *refuser) Data([]byte, float64) {
	r.heard++
	_ = r.conn.Write([]byte("no"))
	r.conn.CloseGracefully()
	r.conn.CloseGracefully()
}

// A client that is refused while it sends goes on sending, reads the refusal, and is not reset: a close with unread
// input would make its writes fail and might take the refusal away. The clock stands, so that nothing but the
// client ends the connection here.
func TestFinish(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1})
	r := &refuser{closed: make(chan int, 1)}
	n, err := New(loop, "127.0.0.1:0", func() Handler { return r }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	end := routertest.RunLoop(loop)
	defer n.Stop()
	defer end()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 2)
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "no" {
		t.Fatalf("%q, %v", answer, err)
	}
	if _, err := c.Write(make([]byte, maxDropped/2)); err != nil {
		t.Error("what the client goes on sending:", err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	if heard := <-r.closed; heard != 1 {
		t.Errorf("the handler heard %d times", heard)
	}
	done := make(chan int)
	loop.Post(func() { done <- n.finishing })
	if left := <-done; left != 0 {
		t.Errorf("%d connections are counted as finishing", left)
	}
}

// Time ends a Finish where the client does not, and so do too many bytes.
func TestFinishEnds(t *testing.T) {
	r := &refuser{closed: make(chan int, 1)}
	n, _ := newNet(t, "127.0.0.1:0", func() Handler { return r })
	for _, more := range []int{0, 4 * maxDropped} {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(make([]byte, 5+more)) // it may be reset; that is not at stake here
		<-r.closed
		_ = c.Close()
	}
}

// No more than maxUnsettled connections are accepted ahead of the loop, and all come up in the end. It guards the
// descriptors against a flood that comes between two steps of the loop.
func TestAcceptWaitsForTheLoop(t *testing.T) {
	const clients = 3 * maxUnsettled
	opened := 0
	loop := router.NewLoop(&clock.Manual{MS: 1})
	n, err := New(loop, "127.0.0.1:0", func() Handler { opened++; return newTap() }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	for range clients {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for before := 0; opened < clients; before = opened {
		loop.Step()
		if opened-before > maxUnsettled {
			t.Fatalf("%d connections in one step", opened-before)
		}
		runtime.Gosched()
	}
}

// Flushed waits for the last byte to leave. It guards the count of what was sent against bytes that merely wait in the
// poller's queue, and the name by which that queue is read.
func TestFlushedWaitsForTheLastByte(t *testing.T) {
	n, loop := newNet(t, "", nil)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	h := newTap()
	flushed := make(chan string, 4)
	var conn Conn
	loop.Post(func() { conn = n.Dial(lis.Addr().String(), 5000, h) })
	peer, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	<-h.up
	loop.Post(func() {
		s := conn.(*socket)
		_ = s.c.SetWriteBuffer(8 << 10)
		_ = s.Write([]byte("x"))
		s.NotifyFlushed(func() { flushed <- "one byte" })
		for queued(s.c) == 0 { // the peer does not read, so that the system's buffers fill
			_ = s.Write(make([]byte, maxUnwritten/2))
		}
		s.NotifyFlushed(func() { flushed <- "all" })
		flushed <- "queued"
	})
	if one, two := <-flushed, <-flushed; one != "one byte" || two != "queued" {
		t.Errorf("heard %q, then %q", one, two)
	}
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	if got := <-flushed; got != "all" {
		t.Errorf("heard %q", got)
	}
}

// holder is a handler that keeps its connection.
type holder struct {
	*tap
	conn Conn
}

func (h *holder) Opened(c Conn) { h.conn = c }

// Unread sees what the peer has sent and the handler has not heard. It guards against closing a session under a request
// that has just come.
func TestUnread(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1}) // stepped by hand, so that what is read waits
	h := &holder{tap: newTap()}
	n, err := New(loop, "127.0.0.1:0", func() Handler { return h }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	peer, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for h.conn == nil {
		loop.Step()
		runtime.Gosched()
	}
	if h.conn.HasUnread() {
		t.Error("nothing was sent, and something is unread")
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
		t.Error("all was heard, and something is unread")
	}
}
