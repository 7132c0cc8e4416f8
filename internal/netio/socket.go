package netio

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"windflow/internal/router"
)

// socket implements Conn. Its fields belong to the loop's goroutine, but for the atomic ones and calls of conn.
type socket struct {
	loop    *router.Loop
	closes  *gracefulCloses
	conn    *nbio.Conn // nil until it is registered with the poller
	handler Handler    // nil until the loop has accepted the connection

	dialTimer   *router.Timer
	adopting    bool   // it is up and not registered yet
	earlyWrites []byte // written until it is registered
	closed      bool
	closing     bool          // it closes gracefully
	closeTimer  *router.Timer // of the graceful close

	pendingReads atomic.Int32 // reads that the loop has not handled
	flushWanted  atomic.Bool  // onFlushed is not empty
	onFlushed    []func()
	onDetached   func() // called in place of the handler's Closed
}

func (p *Poller) newSocket(handler Handler) *socket {
	return &socket{loop: p.loop, closes: p.closes, handler: handler}
}

// connected handles the registered connection of a dial.
func (s *socket) connected(conn *nbio.Conn) {
	s.dialTimer.Stop()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.conn = conn
	s.handler.Opened(s)
}

// adopted handles a connection of another process that was registered, or could not be.
func (s *socket) adopted(conn *nbio.Conn, err error) {
	s.adopting = false
	switch {
	case err != nil:
		s.handleClosed(err)
	case s.closed:
		_ = conn.Close()
	default:
		s.conn = conn
		if len(s.earlyWrites) > 0 {
			_ = s.Write(s.earlyWrites)
		}
		s.earlyWrites = nil
		s.flush()
	}
}

// failDial ends a dial. A connection that is established later is closed by connected.
func (s *socket) failDial(err error) {
	if s.conn == nil {
		s.handleClosed(fmt.Errorf("%w: %w", ErrNotConnected, err))
	}
}

// deliver hands data to the handler.
func (s *socket) deliver(data []byte, atMS float64) {
	if s.handler != nil && !s.closed && !s.closing {
		s.handler.Data(data, atMS)
	}
}

// handleClosed handles the end of the connection, once.
func (s *socket) handleClosed(err error) {
	s.dialTimer.Stop()
	if s.closed {
		return
	}
	s.closed = true
	if s.closing {
		s.closeTimer.Stop()
		s.closes.end(s.conn)
	}
	if s.onDetached != nil {
		s.onDetached()
		return
	}
	if s.handler != nil {
		s.handler.Closed(err)
	}
}

// Detach implements Conn. The poller closes its descriptor, which leaves the connection to the copy.
func (s *socket) Detach(fn func(*os.File)) {
	if s.closed || s.closing || s.conn == nil || queuedBytes(s.conn) > 0 {
		fn(nil)
		return
	}
	fd, err := -1, net.ErrClosed
	s.withDescriptor(func(own int) { fd, err = syscall.Dup(own) })
	if err != nil {
		fn(nil)
		return
	}
	syscall.CloseOnExec(fd)
	s.onDetached = func() { fn(os.NewFile(uintptr(fd), "connection")) }
	_ = s.conn.Close() // the loop learns of it after all that was read
}

// withDescriptor calls fn with the connection's descriptor unless the poller has closed it, and keeps the poller from
// closing it meanwhile.
func (s *socket) withDescriptor(fn func(fd int)) {
	s.conn.Lock()
	defer s.conn.Unlock()
	if closed, _ := s.conn.IsClosed(); !closed {
		fn(s.conn.Hash())
	}
}

// Write implements Conn.
func (s *socket) Write(b []byte) error {
	if s.adopting && !s.closed {
		s.earlyWrites = append(s.earlyWrites, b...)
		return nil
	}
	if s.conn == nil || s.closed {
		return net.ErrClosed
	}
	_, err := s.conn.Write(b) // nbio takes all of it or, with an error, nothing; the error closes the connection
	return err
}

// HasUnread implements Conn.
func (s *socket) HasUnread() bool {
	if s.closed || s.conn == nil {
		return false
	}
	unread := false
	s.withDescriptor(func(fd int) {
		inKernel, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		// In this order: the poller counts what it has read after the read. Between the two it is in neither figure,
		// for less than a microsecond.
		unread = err == nil && inKernel > 0 || s.pendingReads.Load() > 0
	})
	return unread
}

// NotifyFlushed implements Conn.
func (s *socket) NotifyFlushed(fn func()) {
	s.onFlushed = append(s.onFlushed, fn)
	s.flushWanted.Store(true)
	s.flush()
}

// flush calls the functions that wait for the write queue to be empty, if it is.
func (s *socket) flush() {
	if s.closed || s.conn == nil || queuedBytes(s.conn) > 0 {
		return
	}
	s.flushWanted.Store(false)
	waiting := s.onFlushed
	s.onFlushed = nil
	for _, fn := range waiting {
		fn()
	}
}

// queuedBytes returns how many bytes wait in nbio's write queue of a connection. nbio reports what it takes off the
// queue, but neither what it writes at once nor how much is left, so the figure is read from nbio's own field; a test
// guards the field's name.
func queuedBytes(conn *nbio.Conn) int {
	conn.Lock()
	defer conn.Unlock()
	return int(reflect.ValueOf(conn).Elem().FieldByName("left").Int())
}

// Close implements Conn. What the system has taken before is still sent.
func (s *socket) Close() {
	if s.closed {
		return
	}
	s.loop.Post(func() { s.handleClosed(net.ErrClosed) })
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// CloseGracefully implements Conn.
func (s *socket) CloseGracefully() {
	if s.closed || s.closing {
		return
	}
	if s.conn == nil || !s.closes.begin(s.conn) {
		s.Close()
		return
	}
	s.closing = true
	s.closeTimer = s.loop.After(flushTimeoutMS, s.Close)
	s.NotifyFlushed(s.closeWrite)
}

// closeWrite ends the outgoing stream once all that was written has been sent.
func (s *socket) closeWrite() {
	s.closeTimer.Stop()
	s.closeTimer = s.loop.After(lingerTimeoutMS, s.Close)
	s.withDescriptor(func(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) })
}
