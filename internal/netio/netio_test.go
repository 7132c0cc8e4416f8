package netio

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
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

func newNet(t *testing.T, listen string, accept func() Handler) (*Net, *router.Loop) {
	t.Helper()
	loop := router.NewLoop(clock.NewSystem())
	n, err := New(loop, listen, accept, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	end := routertest.Run(loop)
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
	addr := routertest.Refused(t, [4]byte{127, 0, 0, 2})
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
		if _, err := n.listener.Accept(); !errors.Is(err, net.ErrClosed) {
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
