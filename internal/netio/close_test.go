package netio

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"windflow/internal/clock"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// rejectingHandler answers the first data with a rejection and closes gracefully, twice.
type rejectingHandler struct {
	conn   Conn
	calls  int      // of Data
	closed chan int // receives calls
}

func (h *rejectingHandler) Opened(conn Conn) { h.conn = conn }
func (h *rejectingHandler) Closed(error)     { h.closed <- h.calls }
func (h *rejectingHandler) Data([]byte, float64) {
	h.calls++
	_ = h.conn.Write([]byte("no"))
	h.conn.CloseGracefully()
	h.conn.CloseGracefully()
}

// A client that is rejected while it sends continues to send, reads the rejection, and is not reset: a close with
// unread input would make its writes fail and might lose the rejection. The clock is stopped, so that nothing but the
// client ends the connection here.
func TestGracefulClose(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1})
	h := &rejectingHandler{closed: make(chan int, 1)}
	p := newPoller(t, loop, "127.0.0.1:0", func() Handler { return h })
	t.Cleanup(routertest.RunLoop(loop))
	c := dial(t, p.Addr())
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 2)
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "no" {
		t.Fatalf("%q, %v", answer, err)
	}
	if _, err := c.Write(make([]byte, maxLingerBytes/2)); err != nil {
		t.Error("what the client sends after the rejection:", err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	if calls := <-h.closed; calls != 1 {
		t.Errorf("the handler received data %d times", calls)
	}
	closing := make(chan int)
	loop.Post(func() { closing <- p.ClosingConns() })
	if n := <-closing; n != 0 {
		t.Errorf("%d connections are counted as closing", n)
	}
}

// Time ends a graceful close where the client does not, and so do too many bytes.
func TestGracefulCloseIsLimited(t *testing.T) {
	h := &rejectingHandler{closed: make(chan int, 1)}
	p, _ := startPoller(t, "127.0.0.1:0", func() Handler { return h })
	for _, more := range []int{0, 4 * maxLingerBytes} {
		c := dial(t, p.Addr())
		_, _ = c.Write(make([]byte, 5+more)) // it may be reset; that is not under test here
		<-h.closed
		_ = c.Close()
	}
}

// answeringHandler writes an answer and closes gracefully as soon as the connection is open.
type answeringHandler struct {
	answer []byte
	closed chan struct{}
	calls  int // of Data
}

func newAnsweringHandler(answer []byte) *answeringHandler {
	return &answeringHandler{answer: answer, closed: make(chan struct{})}
}

func (h *answeringHandler) Opened(conn Conn) {
	_ = conn.Write(h.answer)
	conn.CloseGracefully()
}
func (h *answeringHandler) Data([]byte, float64) { h.calls++ }
func (h *answeringHandler) Closed(error)         { close(h.closed) }

// What was written before a graceful close arrives completely, however late its client reads, and then the end; what
// the client sends meanwhile is dropped and resets nothing. The clock is stopped until the client has read all: no time
// ends the connection. Otherwise an answer would be cut off in the write queue, or by a close that crosses a request.
func TestGracefulCloseSendsQueuedBytes(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1})
	h := newAnsweringHandler(make([]byte, maxUnwritten-1))
	p := newPoller(t, loop, "127.0.0.1:0", func() Handler { return h })
	t.Cleanup(routertest.RunLoop(loop))
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // a small window, so that most of the answer waits in the router
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	c, err := dialer.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("a request that crosses the end")); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || len(got) != len(h.answer) {
		t.Fatalf("%d of %d bytes, %v", len(got), len(h.answer), err)
	}
	if _, err := c.Write([]byte("one that was sent before the end was read")); err != nil {
		t.Error("after the end of the stream:", err)
	}
	_ = c.Close()
	<-h.closed
	if h.calls > 0 {
		t.Error("the handler received bytes after the graceful close")
	}
}

// Beyond maxGracefulCloses at once, connections are closed at once, because of their descriptors; in a shutdown all of
// them close gracefully.
func TestGracefulClosesAreBounded(t *testing.T) {
	for _, shutdown := range []bool{false, true} {
		t.Run(fmt.Sprintf("shutdown %v", shutdown), func(t *testing.T) { testGracefulCloseLimit(t, shutdown) })
	}
}

func testGracefulCloseLimit(t *testing.T, shutdown bool) {
	t.Helper()
	loop := router.NewLoop(&clock.Manual{MS: 1})
	var handlers []*answeringHandler
	p := newPoller(t, loop, "127.0.0.1:0", func() Handler {
		handlers = append(handlers, newAnsweringHandler([]byte("x")))
		return handlers[len(handlers)-1]
	})
	want := maxGracefulCloses
	clients := make([]net.Conn, 2*maxGracefulCloses)
	if shutdown {
		p.BeginShutdown()
		want = len(clients)
	}
	t.Cleanup(routertest.RunLoop(loop))
	for i := range clients {
		clients[i] = dial(t, p.Addr())
		if b, err := io.ReadAll(clients[i]); err != nil || string(b) != "x" {
			t.Error(string(b), err)
		}
	}
	closing := make(chan int)
	loop.Post(func() { closing <- p.ClosingConns() })
	if got := <-closing; got != want {
		t.Errorf("%d connections close gracefully, want %d", got, want)
	}
	for _, c := range clients {
		_ = c.Close()
	}
	for _, h := range handlers {
		<-h.closed
	}
}
