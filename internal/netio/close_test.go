package netio

import (
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"

	"windflow/internal/clock"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// owing has an answer written and the connection finished as soon as it is up.
type owing struct {
	answer []byte
	conn   Conn
	closed chan struct{}
	heard  int
}

func (o *owing) Opened(c Conn) {
	o.conn = c
	_ = c.Write(o.answer)
	c.CloseGracefully()
}
func (o *owing) Data([]byte, float64) { o.heard++ }
func (o *owing) Closed(error)         { close(o.closed) }

// What was written before a Finish comes whole, however late its client reads, and then the end; what the client sends
// meanwhile is heard by nobody and resets nothing. The clock stands until the client has what it is owed: no time ends the
// connection. It guards against an answer that is cut off in the write queue, and a close that crosses a request.
func TestFinishSendsWhatIsOwed(t *testing.T) {
	loop := router.NewLoop(&clock.Manual{MS: 1})
	o := &owing{answer: make([]byte, maxUnwritten-1), closed: make(chan struct{})}
	n, err := New(loop, "127.0.0.1:0", func() Handler { return o }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	end := routertest.RunLoop(loop)
	defer n.Stop()
	defer end()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // a small window, so that most of the answer waits in the router
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	c, err := d.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("a request that crosses the end")); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || len(got) != len(o.answer) {
		t.Fatalf("%d of %d bytes, %v", len(got), len(o.answer), err)
	}
	if _, err := c.Write([]byte("one that was sent before the end was read")); err != nil {
		t.Error("after the end of what was owed:", err)
	}
	_ = c.Close()
	<-o.closed
	if o.heard > 0 {
		t.Error("bytes after the Finish were heard")
	}
}

// Beyond maxFinishing at once, connections are closed without a Finish, for the descriptors' sake; at the end of the program
// all of them finish.
func TestFinishIsBounded(t *testing.T) {
	for _, ends := range []bool{false, true} {
		loop := router.NewLoop(&clock.Manual{MS: 1})
		var all []*owing
		n, err := New(loop, "127.0.0.1:0", func() Handler {
			o := &owing{answer: []byte("x"), closed: make(chan struct{})}
			all = append(all, o)
			return o
		}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if ends {
			n.BeginShutdown()
		}
		end := routertest.RunLoop(loop)
		clients := make([]net.Conn, 2*maxFinishing)
		for i := range clients {
			if clients[i], err = net.Dial("tcp", n.Addr()); err != nil {
				t.Fatal(err)
			}
			if b, err := io.ReadAll(clients[i]); err != nil || string(b) != "x" {
				t.Error(string(b), err)
			}
		}
		left := make(chan int)
		loop.Post(func() { left <- n.ClosingConns() })
		want := maxFinishing
		if ends {
			want = len(clients)
		}
		if got := <-left; got != want {
			t.Errorf("end %v: %d finish, want %d", ends, got, want)
		}
		for _, c := range clients {
			_ = c.Close()
		}
		for _, o := range all {
			<-o.closed
		}
		end()
		n.Stop()
	}
}
