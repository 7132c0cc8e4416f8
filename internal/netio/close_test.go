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

// rejectingHandler answers the first data with a rejection and calls CloseGracefully twice.
type rejectingHandler struct {
	conn   Conn
	calls  int      // number of calls of Data
	closed chan int // receives the number of calls when the connection is closed
}

func (h *rejectingHandler) Opened(conn Conn) { h.conn = conn }
func (h *rejectingHandler) Closed(error)     { h.closed <- h.calls }
func (h *rejectingHandler) Data([]byte, float64) {
	h.calls++
	_ = h.conn.Write([]byte("no"))
	h.conn.CloseGracefully()
	h.conn.CloseGracefully()
}

// TestGracefulClose checks that a client that is rejected while it sends can continue to send and reads the rejection.
// A plain close with unread input resets the connection, so that the client's writes fail and the rejection may be
// lost. The clock is stopped, so that only the client can end the connection.
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
		t.Fatalf("read %q and error %v, want \"no\"", answer, err)
	}
	if _, err := c.Write(make([]byte, maxLingerBytes/2)); err != nil {
		t.Error("write after the rejection:", err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	if calls := <-h.closed; calls != 1 {
		t.Errorf("the handler received data %d times, want once", calls)
	}
	closing := make(chan int)
	loop.Post(func() { closing <- p.ClosingConns() })
	if n := <-closing; n != 0 {
		t.Errorf("%d connections are counted as closing, want 0", n)
	}
}

// TestGracefulCloseIsLimited checks that a graceful close ends after a time limit if the client does not close, and
// also if the client sends too many bytes.
func TestGracefulCloseIsLimited(t *testing.T) {
	h := &rejectingHandler{closed: make(chan int, 1)}
	p, _ := startPoller(t, "127.0.0.1:0", func() Handler { return h })
	for _, more := range []int{0, 4 * maxLingerBytes} {
		c := dial(t, p.Addr())
		_, _ = c.Write(make([]byte, 5+more)) // the connection may be reset, which this test ignores
		<-h.closed
		_ = c.Close()
	}
}

// answeringHandler writes an answer and closes gracefully as soon as the connection is open.
type answeringHandler struct {
	answer []byte
	closed chan struct{}
	calls  int // number of calls of Data
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

// TestGracefulCloseSendsQueuedBytes checks that bytes written before a graceful close arrive completely, followed by
// the end of the stream, even if the client reads late. Bytes that the client sends in the meantime are discarded and
// do not reset the connection. Otherwise an answer could be truncated in the write queue, or by a close while a request
// arrives. The clock is stopped, so that no time limit ends the connection.
func TestGracefulCloseSendsQueuedBytes(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1})
	h := newAnsweringHandler(make([]byte, maxUnwritten-1))
	p := newPoller(t, loop, "127.0.0.1:0", func() Handler { return h })
	t.Cleanup(routertest.RunLoop(loop))
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // a small window, so that most of the answer stays in the write queue
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	c, err := dialer.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("a request sent before the end of the stream")); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || len(got) != len(h.answer) {
		t.Fatalf("read %d of %d bytes, error %v", len(got), len(h.answer), err)
	}
	if _, err := c.Write([]byte("a request sent after the end of the stream")); err != nil {
		t.Error("write after the end of the stream:", err)
	}
	_ = c.Close()
	<-h.closed
	if h.calls > 0 {
		t.Error("the handler received bytes after the graceful close")
	}
}

// TestGracefulClosesAreBounded checks that at most maxGracefulCloses connections close gracefully at the same time and
// that further ones are closed immediately, because of their descriptors. During a shutdown all close gracefully.
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
			t.Errorf("connection %d: read %q and error %v, want \"x\"", i, b, err)
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
