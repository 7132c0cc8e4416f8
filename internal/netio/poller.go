// Package netio joins nbio's poller to the router's loop: what comes in on a connection is handed over in
// the loop's goroutine, and writes never block it.
package netio

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"windflow/internal/clock"
	"windflow/internal/router"
)

// Conn is a connection as its owner sees it; no call blocks.
type Conn interface {
	// Write queues all of b. An error says that nothing of b has left or ever will; the connection is closed then.
	Write(b []byte) error
	// Close closes at once: what waits to be written is dropped. Where the peer has sent what was not read, the system
	// resets the connection, and the peer may never see what was written last. It is for connections of no further use.
	Close()
	// Finish ends the connection in order. Data is not heard any more; what was written is sent, then the peer is told that
	// no more will come, and what it still sends is read and dropped until it closes too, or its time or bytes are up. It
	// guards against a close that crosses what the peer sends, which would reset the connection over the last answer.
	CloseGracefully()
	// Unread tells whether the peer has sent what the handler has not heard yet.
	HasUnread() bool
	// Detach gives the connection up without closing it: f hears its descriptor, which it must close, once all that was
	// read has been handed over, and nothing after. Where that can't be, f hears nil and the connection is as it was.
	Detach(f func(*os.File))
	// Flushed has f run in the loop once all that was written has left for the peer, which may be at once. It is
	// never run if the connection ends before.
	NotifyFlushed(f func())
}

// Handler hears of a connection, always in the loop's goroutine. Closed is the last call; it is made also
// after the owner's own Close.
type Handler interface {
	Opened(Conn)
	Data(b []byte, at float64) // at is when the bytes were read off the socket
	Closed(err error)
}

// Dialer opens connections: h hears Opened, or Closed with ErrNotConnected.
type Dialer interface {
	Dial(addr string, timeoutMS float64, h Handler) Conn
}

// ErrNotConnected says that a connection never came up, so that nothing was written to it.
var ErrNotConnected = errors.New("not connected")

// The limits that keep a flood within the memory that the router has.
const (
	// maxInbound bounds the bytes read but not yet handled, unless SetMaxInbound says less; past it the poller
	// waits for the loop.
	maxInbound = 4 << 20
	// maxUnwritten bounds what a peer that does not read may leave queued on its connection.
	maxUnwritten = 256 << 10
	readBuffer   = 32 << 10
	// maxUnsettled is how many connections may be accepted ahead of the loop: it closes those that are too many,
	// and until it has, each holds a descriptor that nothing has counted.
	maxUnsettled = 16
	// owedFor is how long a connection that finishes may take to send what is owed, lingerFor how long its peer has to
	// close after that, in milliseconds, and maxDropped what it may send meanwhile, in bytes. Beyond maxFinishing at
	// once, connections are closed without that: they hold descriptors that nobody else may use.
	owedFor      = 2000.0
	lingerFor    = 300.0
	maxDropped   = 4 << 20
	maxFinishing = 32
)

// Poller opens connections and listens.
type Poller struct {
	loop   *router.Loop
	engine *nbio.Engine
	log    *slog.Logger

	listener  *Listener // that of New; nil where it only dials
	done      chan struct{}
	finishing int  // touched in the loop only
	ending    bool // see End; touched in the loop only

	turns      *turns
	mu         sync.Mutex
	drained    *sync.Cond
	inbound    int
	maxInbound int
	stopped    bool
	dropping   map[*nbio.Conn]int // the bytes that connections which finish may still send
	listeners  []*Listener
}

// Adopt takes a connection over that another process opened; it closes f. h hears Opened, and Data of what was not read
// before.
func (n *Poller) Adopt(f *os.File, h Handler) error {
	std, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		return err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		return errors.Join(err, std.Close())
	}
	s := &socket{net: n, h: h, adopts: true}
	c.SetSession(s)
	h.Opened(s) // it is up; what is written until the poller has it waits
	n.turns.add(c, func(err error) { n.loop.Post(func() { s.adopted(c, err) }) })
	return nil
}

// New starts a poller. Where listen is not empty, accept gives each new connection's handler.
func New(loop *router.Loop, listen string, accept func() Handler, log *slog.Logger) (*Poller, error) {
	pollerLog.Store(log)
	n := &Poller{loop: loop, log: log, maxInbound: maxInbound, done: make(chan struct{}), dropping: map[*nbio.Conn]int{}}
	n.drained = sync.NewCond(&n.mu)
	n.engine = nbio.NewEngine(nbio.Config{
		Name: "windflow", Network: "tcp", NPoller: 1,
		ReadBufferSize: readBuffer, MaxWriteBufferSize: maxUnwritten,
	})
	n.engine.OnData(func(c *nbio.Conn, b []byte) {
		s, ok := c.Session().(*socket)
		if !ok {
			n.turns.turn() // only its own connection has no socket
			return
		}
		if n.drop(c, len(b)) {
			return
		}
		at, data := loop.Now(), append([]byte(nil), b...)
		s.posted.Add(1)
		n.admit(len(data))
		loop.Post(func() {
			s.posted.Add(-1)
			n.release(len(data))
			if s.h != nil && !s.closed && !s.finishes {
				s.h.Data(data, at)
			}
		})
	})
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		s, ok := c.Session().(*socket)
		if !ok {
			return
		}
		loop.Post(func() { s.shut(err) })
	})
	n.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, _ int) {
		if s, ok := c.Session().(*socket); ok && s.unflushed.Load() {
			loop.Post(s.flush)
		}
	})
	var lis net.Listener
	if listen != "" {
		var err error
		if lis, err = net.Listen("tcp", listen); err != nil {
			return nil, err
		}
	}
	err := n.engine.Start()
	if err == nil {
		n.turns, err = newTurns(n.engine)
	}
	if err == nil {
		loop.OnStall = n.turns.pass
	}
	if err != nil {
		if lis != nil {
			_ = lis.Close()
		}
		return nil, err
	}
	if lis != nil {
		n.listener = n.Serve(lis, accept)
	}
	return n, nil
}

// Addr is where it listens; it is empty for a Net that only dials.
func (n *Poller) Addr() string {
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr()
}

// stopWithin bounds Stop. A poller that nbio started a moment ago may miss its stop (it clears its own mark as
// it comes up), and engine.Stop would then wait for ever: a router that fails at its start would hang.
const stopWithin = time.Second

// BeginShutdown says that the program ends: connections may finish now whatever their number. It is called in the loop.
func (n *Poller) BeginShutdown() { n.ending = true }

// ClosingConns is the number of connections that finish. It is asked in the loop.
func (n *Poller) ClosingConns() int { return n.finishing }

// Stop closes the listeners and all connections.
func (n *Poller) Stop() {
	n.mu.Lock()
	n.stopped = true
	n.drained.Broadcast()
	n.mu.Unlock()
	close(n.done)
	n.mu.Lock()
	listeners := n.listeners
	n.mu.Unlock()
	for _, l := range listeners {
		l.Close()
		<-l.ended
	}
	n.turns.close()
	stopped := make(chan struct{})
	go func() {
		n.engine.Stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(stopWithin):
	}
}

// drop tells whether what came on a connection is dropped, and closes one that sends too much of that.
func (n *Poller) drop(c *nbio.Conn, size int) bool {
	n.mu.Lock()
	left, drops := n.dropping[c]
	if drops {
		n.dropping[c] = left - size
	}
	n.mu.Unlock()
	if drops && left < size {
		_ = c.Close()
	}
	return drops
}

// SetMaxInbound bounds the bytes that were read and not yet handled.
func (n *Poller) SetMaxInbound(bytes int) {
	n.mu.Lock()
	n.maxInbound = bytes
	n.drained.Broadcast()
	n.mu.Unlock()
}

// admit waits in the poller's goroutine until the loop has caught up.
func (n *Poller) admit(size int) {
	n.mu.Lock()
	for n.inbound > 0 && n.inbound+size > n.maxInbound && !n.stopped {
		n.drained.Wait()
	}
	n.inbound += size
	n.mu.Unlock()
}

func (n *Poller) release(size int) {
	n.mu.Lock()
	n.inbound -= size
	n.drained.Signal()
	n.mu.Unlock()
}

// Dial opens a connection; h hears Opened, or Closed with ErrNotConnected when it did not come up within
// timeout milliseconds. It is called in the loop's goroutine.
//
// The system dials here and nbio takes the connection over: nbio's own dialer reads the first four bytes of
// an IPv4 address in its 16-byte form and so connects to 0.0.0.0, and it reports a refused connection as open.
func (n *Poller) Dial(addr string, timeout float64, h Handler) Conn {
	s := &socket{net: n, h: h}
	s.dialing = n.loop.After(timeout, func() {
		s.dialing = nil
		s.fail(os.ErrDeadlineExceeded)
	})
	go func() {
		if err := n.connect(addr, clock.Duration(timeout), s); err != nil {
			n.loop.Post(func() { s.fail(err) })
		}
	}()
	return s
}

// connect dials and has the poller take the connection; it runs in a goroutine of its own.
func (n *Poller) connect(addr string, timeout time.Duration, s *socket) error {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	std, err := d.Dial("tcp", addr)
	if err != nil {
		return err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		return errors.Join(err, std.Close())
	}
	_ = c.SetNoDelay(true)
	c.SetSession(s)
	n.turns.add(c, func(err error) {
		n.loop.Post(func() {
			if err != nil {
				s.fail(err)
				return
			}
			s.up(c)
		})
	})
	return nil
}
