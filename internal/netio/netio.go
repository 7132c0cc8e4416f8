// Package netio joins nbio's poller to the router's loop: what comes in on a connection is handed over in
// the loop's goroutine, and writes never block it.
package netio

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"windflow/internal/clock"
	"windflow/internal/router"
)

// Conn is a connection as its owner sees it; no call blocks.
type Conn interface {
	// Write queues all of b. An error says that nothing of b has left or ever will; the connection is closed then.
	Write(b []byte) error
	// Close closes at once. Where the peer has sent what was not read, the system resets the connection, and the
	// peer may never see what was written last.
	Close()
	// Linger closes once the peer has had time to read what was written: until then, what it still sends is read
	// and dropped. Data is not heard any more.
	Linger()
	// Unread tells whether the peer has sent what the handler has not heard yet.
	Unread() bool
	// Detach gives the connection up without closing it: f hears its descriptor, which it must close, once all that was
	// read has been handed over, and nothing after. Where that can't be, f hears nil and the connection is as it was.
	Detach(f func(*os.File))
	// Flushed has f run in the loop once all that was written has left for the peer, which may be at once. It is
	// never run if the connection ends before.
	Flushed(f func())
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
	// lingerFor and maxDropped end a Linger, in milliseconds and bytes. Beyond maxLingering at once, connections
	// are closed without one: they hold descriptors that nobody else may use.
	lingerFor    = 300.0
	maxDropped   = 4 << 20
	maxLingering = 32
)

// Net opens connections and listens.
type Net struct {
	loop   *router.Loop
	engine *nbio.Engine
	log    *slog.Logger

	listener  *Listener // that of New; nil where it only dials
	done      chan struct{}
	lingering int // touched in the loop only

	mu         sync.Mutex
	drained    *sync.Cond
	inbound    int
	maxInbound int
	stopped    bool
	dropping   map[*nbio.Conn]int // the bytes that connections in a Linger may still send
	listeners  []*Listener
}

// Adopt takes a connection over that another process opened; it closes f. h hears Opened, and Data of what was not read
// before.
func (n *Net) Adopt(f *os.File, h Handler) error {
	std, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		return err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		return errors.Join(err, std.Close())
	}
	s := &socket{net: n, c: c, h: h}
	c.SetSession(s)
	n.publish()
	h.Opened(s) // it is up; what is read is posted, and so comes later
	if _, err := n.engine.AddConn(c); err != nil {
		s.Close()
		return err
	}
	return nil
}

// New starts a poller. Where listen is not empty, accept gives each new connection's handler.
func New(loop *router.Loop, listen string, accept func() Handler, log *slog.Logger) (*Net, error) {
	pollerLog.Store(log)
	n := &Net{loop: loop, log: log, maxInbound: maxInbound, done: make(chan struct{}), dropping: map[*nbio.Conn]int{}}
	n.drained = sync.NewCond(&n.mu)
	n.engine = nbio.NewEngine(nbio.Config{Name: "windflow", Network: "tcp", NPoller: 1,
		ReadBufferSize: readBuffer, MaxWriteBufferSize: maxUnwritten})
	n.engine.OnOpen(func(c *nbio.Conn) {
		if s, ok := c.Session().(*socket); ok && s.from != nil {
			loop.Post(func() {
				<-s.from.unsettled
				s.h = s.from.accept()
				s.h.Opened(s)
			})
		}
	})
	n.engine.OnData(func(c *nbio.Conn, b []byte) {
		s, ok := c.Session().(*socket)
		if !ok {
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
			if s.h != nil && !s.closed && !s.lingers {
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
	if err := n.engine.Start(); err != nil {
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
func (n *Net) Addr() string {
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr()
}

// Listener accepts connections until it is closed. Each has a bound of its own on those that the loop has not heard of
// yet, so that a flood on one does not hold up another.
type Listener struct {
	net       *Net
	lis       net.Listener
	accept    func() Handler
	unsettled chan struct{} // holds one for each connection that the loop has not heard of yet
	done      chan struct{}
	closing   sync.Once
	ended     chan struct{}
}

// Serve accepts on a listener, which it takes over; accept gives each new connection's handler.
func (n *Net) Serve(lis net.Listener, accept func() Handler) *Listener {
	l := &Listener{net: n, lis: lis, accept: accept, unsettled: make(chan struct{}, maxUnsettled),
		done: make(chan struct{}), ended: make(chan struct{})}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go l.serve()
	return l
}

// Addr is where it listens.
func (l *Listener) Addr() string { return l.lis.Addr().String() }

// File gives a copy of the listener's descriptor.
func (l *Listener) File() (*os.File, error) { return Copy(l.lis) }

// Again accepts on another listener in place of this one, for the same handlers.
func (l *Listener) Again(lis net.Listener) *Listener { return l.net.Serve(lis, l.accept) }

// Close stops accepting; the loop hears of all that was accepted before. The socket itself is closed, never shut down:
// another process may accept from the same queue.
func (l *Listener) Close() {
	l.closing.Do(func() {
		close(l.done)
		_ = l.lis.Close()
	})
}

// acceptPause is how long serve waits after a failed accept: short of descriptors, every call fails at once.
const acceptPause = 20 * time.Millisecond

// serve accepts until the listener is closed and hands each connection to the poller.
//
// nbio's own acceptor is not used: it clears its stop mark as it comes up, so that a stop right after the start
// is lost, and then, as on any other error of accept, it tries again without a pause and logs each failure.
func (l *Listener) serve() {
	defer close(l.ended)
	for {
		select {
		case l.unsettled <- struct{}{}:
		case <-l.done:
			return
		}
		c, err := l.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			err = l.take(c)
		}
		if err != nil {
			<-l.unsettled
			l.net.log.Warn("accept failed", "err", err)
			time.Sleep(acceptPause)
		}
	}
}

// take hands a connection to the poller.
func (l *Listener) take(std net.Conn) error {
	c, err := nbio.NBConn(std)
	if err != nil {
		return errors.Join(err, std.Close()) // nbio leaves it open where it could not copy the descriptor
	}
	_ = c.SetNoDelay(true)
	c.SetSession(&socket{net: l.net, c: c, from: l})
	l.net.publish()
	if _, err = l.net.engine.AddConn(c); err != nil {
		l.net.log.Warn("accept failed", "err", err) // nbio has closed it, and the loop hears of that
	}
	return nil
}

// stopWithin bounds Stop. A poller that nbio started a moment ago may miss its stop (it clears its own mark as
// it comes up), and engine.Stop would then wait for ever: a router that fails at its start would hang.
const stopWithin = time.Second

// Stop closes the listeners and all connections.
func (n *Net) Stop() {
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

// publish lets the poller's goroutine see what was written about a connection before it is handed over: nbio passes it
// through the system's poller, which Go's memory model knows nothing of. The other side of it is drop, which OnData calls
// first.
func (n *Net) publish() {
	n.mu.Lock()
	defer n.mu.Unlock()
}

// drop tells whether what came on a connection is dropped, and closes one that sends too much of that.
func (n *Net) drop(c *nbio.Conn, size int) bool {
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
func (n *Net) SetMaxInbound(bytes int) {
	n.mu.Lock()
	n.maxInbound = bytes
	n.drained.Broadcast()
	n.mu.Unlock()
}

// admit waits in the poller's goroutine until the loop has caught up.
func (n *Net) admit(size int) {
	n.mu.Lock()
	for n.inbound > 0 && n.inbound+size > n.maxInbound && !n.stopped {
		n.drained.Wait()
	}
	n.inbound += size
	n.mu.Unlock()
}

func (n *Net) release(size int) {
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
func (n *Net) Dial(addr string, timeout float64, h Handler) Conn {
	s := &socket{net: n, h: h}
	s.dialing = n.loop.After(timeout, func() {
		s.dialing = nil
		s.fail(os.ErrDeadlineExceeded)
	})
	go func() {
		c, err := n.connect(addr, clock.Duration(timeout), s)
		n.loop.Post(func() {
			if err != nil {
				s.fail(err)
				return
			}
			s.up(c)
		})
	}()
	return s
}

// connect dials and hands the connection to the poller; it runs in a goroutine of its own.
func (n *Net) connect(addr string, timeout time.Duration, s *socket) (*nbio.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	std, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		return nil, errors.Join(err, std.Close())
	}
	c.SetSession(s)
	n.publish()
	if _, err := n.engine.AddConn(c); err != nil {
		return nil, err
	}
	_ = c.SetNoDelay(true)
	return c, nil
}

// socket is one connection; all but c's own calls belongs to the loop's goroutine.
type socket struct {
	net     *Net
	c       *nbio.Conn // nil while it is being dialled
	from    *Listener  // that accepted it; nil for one that was dialled
	h       Handler
	dialing *router.Timer
	closed  bool
	lingers bool
	ending  *router.Timer // of a Linger

	posted    atomic.Int32 // reads that the loop has not handled
	unflushed atomic.Bool  // somebody waits for the write queue to run empty
	flushed   []func()
	detached  func() // runs in place of the handler's Closed
}

func (s *socket) up(c *nbio.Conn) {
	s.dialing.Stop()
	if s.closed {
		_ = c.Close()
		return
	}
	s.c = c
	s.h.Opened(s)
}

// fail ends a dial; a connection that comes up later is closed by up.
func (s *socket) fail(err error) {
	if s.c == nil {
		s.shut(fmt.Errorf("%w: %w", ErrNotConnected, err))
	}
}

func (s *socket) shut(err error) {
	s.dialing.Stop()
	if s.closed {
		return
	}
	s.closed = true
	if s.lingers {
		s.net.lingering--
		s.ending.Stop()
		s.net.mu.Lock()
		delete(s.net.dropping, s.c)
		s.net.mu.Unlock()
	}
	if s.detached != nil {
		s.detached()
		return
	}
	if s.h != nil {
		s.h.Closed(err)
	}
}

// Detach implements Conn. The poller closes its descriptor, which leaves the connection to the copy.
func (s *socket) Detach(f func(*os.File)) {
	if s.closed || s.lingers || s.c == nil || queued(s.c) > 0 {
		f(nil)
		return
	}
	s.c.Lock() // so that the poller does not close the descriptor meanwhile
	fd, err := -1, net.ErrClosed
	if closed, _ := s.c.IsClosed(); !closed {
		fd, err = syscall.Dup(s.c.Hash())
	}
	s.c.Unlock()
	if err != nil {
		f(nil)
		return
	}
	syscall.CloseOnExec(fd)
	s.detached = func() { f(os.NewFile(uintptr(fd), "connection")) }
	_ = s.c.Close() // the loop hears of that behind all that was read
}

func (s *socket) Write(b []byte) error {
	if s.c == nil || s.closed {
		return net.ErrClosed
	}
	_, err := s.c.Write(b) // nbio takes all of it or, with an error, nothing; the error closes the connection
	return err
}

// Unread implements Conn.
func (s *socket) Unread() bool {
	if s.closed || s.c == nil {
		return false
	}
	s.c.Lock() // so that the poller does not close the descriptor meanwhile
	defer s.c.Unlock()
	if closed, _ := s.c.IsClosed(); closed {
		return false
	}
	waiting, err := unix.IoctlGetInt(s.c.Hash(), unix.TIOCINQ)
	// In this order: the poller counts what it has read after it has read it. Between the two it is in neither figure,
	// for less than a microsecond.
	return err == nil && waiting > 0 || s.posted.Load() > 0
}

// Flushed implements Conn.
func (s *socket) Flushed(f func()) {
	s.flushed = append(s.flushed, f)
	s.unflushed.Store(true)
	s.flush()
}

// flush runs those that wait for the write queue to be empty, if it is.
func (s *socket) flush() {
	if s.closed || s.c == nil || queued(s.c) > 0 {
		return
	}
	s.unflushed.Store(false)
	waiting := s.flushed
	s.flushed = nil
	for _, f := range waiting {
		f()
	}
}

// queued is how many bytes wait in nbio's queue of a connection. nbio tells of what it takes off that queue but neither
// of what it writes at once nor how much is left, so the figure is read where it keeps it; a test guards the name.
func queued(c *nbio.Conn) int {
	c.Lock()
	defer c.Unlock()
	return int(reflect.ValueOf(c).Elem().FieldByName("left").Int())
}

// Close closes at once; what was written before is still sent by the system.
func (s *socket) Close() {
	if s.closed {
		return
	}
	s.net.loop.Post(func() { s.shut(net.ErrClosed) })
	if s.c != nil {
		_ = s.c.Close()
	}
}

// Linger implements Conn.
func (s *socket) Linger() {
	switch {
	case s.closed || s.lingers:
	case s.c == nil || s.net.lingering >= maxLingering:
		s.Close()
	default:
		s.net.lingering++
		s.lingers = true
		s.net.mu.Lock()
		s.net.dropping[s.c] = maxDropped
		s.net.mu.Unlock()
		s.ending = s.net.loop.After(lingerFor, s.Close)
	}
}

// pollerLog is where nbio's warnings go. nbio has one logger for the whole process and reads it from its own
// goroutines, so that is set once, here, and only what stands behind it changes.
var pollerLog atomic.Pointer[slog.Logger]

func init() { logging.SetLogger(quiet{}) }

// quiet passes nbio's warnings on to the log and drops its chatter.
type quiet struct{}

func (quiet) Debug(string, ...any)          {}
func (quiet) Info(string, ...any)           {}
func (quiet) Warn(format string, v ...any)  { tell(slog.LevelWarn, format, v) }
func (quiet) Error(format string, v ...any) { tell(slog.LevelError, format, v) }

func tell(level slog.Level, format string, v []any) {
	if log := pollerLog.Load(); log != nil {
		log.Log(context.Background(), level, "poller", "text", strings.TrimSpace(fmt.Sprintf(format, v...)))
	}
}
