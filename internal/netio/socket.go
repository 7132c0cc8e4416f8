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

// socket is one connection; all but c's own calls belongs to the loop's goroutine.
type socket struct {
	net      *Poller
	c        *nbio.Conn // nil while it is being dialled, or adopted
	h        Handler
	dialing  *router.Timer
	adopts   bool   // it is up, and the poller has not taken it yet
	early    []byte // written until then
	closed   bool
	finishes bool
	ending   *router.Timer // of a Finish

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

// adopted goes on with a connection of another process that the poller has taken, or that it could not take.
func (s *socket) adopted(c *nbio.Conn, err error) {
	s.adopts = false
	switch {
	case err != nil:
		s.shut(err)
	case s.closed:
		_ = c.Close()
	default:
		s.c = c
		if len(s.early) > 0 {
			_ = s.Write(s.early)
		}
		s.early = nil
		s.flush()
	}
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
	if s.finishes {
		s.net.finishing--
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
	if s.closed || s.finishes || s.c == nil || queued(s.c) > 0 {
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
	if s.adopts && !s.closed {
		s.early = append(s.early, b...)
		return nil
	}
	if s.c == nil || s.closed {
		return net.ErrClosed
	}
	_, err := s.c.Write(b) // nbio takes all of it or, with an error, nothing; the error closes the connection
	return err
}

// HasUnread implements Conn.
func (s *socket) HasUnread() bool {
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

// NotifyFlushed implements Conn.
func (s *socket) NotifyFlushed(f func()) {
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

// Close closes at once; what the system has taken before is still sent.
func (s *socket) Close() {
	if s.closed {
		return
	}
	s.net.loop.Post(func() { s.shut(net.ErrClosed) })
	if s.c != nil {
		_ = s.c.Close()
	}
}

// CloseGracefully implements Conn.
func (s *socket) CloseGracefully() {
	switch {
	case s.closed || s.finishes:
	case s.c == nil || s.net.finishing >= maxFinishing && !s.net.ending:
		s.Close()
	default:
		s.net.finishing++
		s.finishes = true
		s.net.mu.Lock()
		s.net.dropping[s.c] = maxDropped
		s.net.mu.Unlock()
		s.ending = s.net.loop.After(owedFor, s.Close)
		s.NotifyFlushed(s.endWrites)
	}
}

// endWrites tells the peer that no more will come, once all that was written has left.
func (s *socket) endWrites() {
	s.ending.Stop()
	s.ending = s.net.loop.After(lingerFor, s.Close)
	s.c.Lock() // so that the poller does not close the descriptor meanwhile
	defer s.c.Unlock()
	if closed, _ := s.c.IsClosed(); !closed {
		_ = unix.Shutdown(s.c.Hash(), unix.SHUT_WR)
	}
}
