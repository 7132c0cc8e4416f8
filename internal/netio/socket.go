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

// socket implements Conn. Its fields are used only in the loop's goroutine, except for the atomic ones; the methods of
// conn may be called in any goroutine.
type socket struct {
	loop    *router.Loop
	closes  *gracefulCloses
	conn    *nbio.Conn // nil until a dialed or adopted connection is registered with the poller
	handler Handler    // nil until the loop has accepted the connection

	dialTimer   *router.Timer
	adopting    bool   // an adopted connection that is not registered yet
	earlyWrites []byte // bytes written while adopting
	closed      bool
	closing     bool          // a graceful close is in progress
	closeTimer  *router.Timer // the current time limit of the graceful close

	inbound      inboundQueue
	quantum      int          // bytes that the handler receives in one turn of the loop; 0 for no limit
	pendingReads atomic.Int32 // reads that the handler has not received whole
	batching     bool         // writes are collected in batch, while the handler of a client handles data
	batch        []byte
	flushWanted  atomic.Bool // whether onFlushed has entries
	onFlushed    []func()
	onDetached   func() // called in place of the handler's Closed
}

func (p *Poller) newSocket(handler Handler) *socket {
	return &socket{loop: p.loop, closes: p.closes, handler: handler}
}

// connected is called when a dialed connection was established and registered.
func (s *socket) connected(conn *nbio.Conn) {
	s.dialTimer.Stop()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.conn = conn
	s.handler.Opened(s)
}

// adopted is called when an adopted connection was registered, or could not be registered. It sends the early writes.
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

// failDial ends a dial with an error. If the connection is established later, connected closes it.
func (s *socket) failDial(err error) {
	if s.conn == nil {
		s.handleClosed(fmt.Errorf("%w: %w", ErrNotConnected, err))
	}
}

// deliver passes data to the handler, unless the connection is closed or closes gracefully. The answers that a client's
// handler writes meanwhile are sent together: a client may send thousands of small commands at once.
func (s *socket) deliver(data []byte, atMS float64) {
	if s.handler == nil || s.closed || s.closing {
		return
	}
	s.batching = s.quantum > 0
	s.handler.Data(data, atMS)
	s.endBatch()
}

// endBatch sends the bytes that were written while data was handled.
func (s *socket) endBatch() {
	s.batching = false
	batch := s.batch
	s.batch = nil
	if len(batch) > 0 {
		_ = s.Write(batch)
	}
}

// handleClosed handles the end of the connection; calls after the first have no effect.
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

// Detach implements Conn. It duplicates the descriptor and lets the poller close its own, so that only the duplicate
// still refers to the connection.
func (s *socket) Detach(fn func(*os.File)) {
	s.endBatch()
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
	_ = s.conn.Close() // the loop handles the close after all bytes that were read
}

// withDescriptor calls fn with the connection's descriptor, unless the poller has closed it. The poller cannot close it
// during the call.
func (s *socket) withDescriptor(fn func(fd int)) {
	s.conn.Lock()
	defer s.conn.Unlock()
	if closed, _ := s.conn.IsClosed(); !closed {
		fn(s.conn.Hash())
	}
}

// Write implements Conn.
func (s *socket) Write(data []byte) error {
	if s.adopting && !s.closed {
		s.earlyWrites = append(s.earlyWrites, data...)
		return nil
	}
	if s.conn == nil || s.closed {
		return net.ErrClosed
	}
	if s.batching {
		s.batch = append(s.batch, data...)
		if len(s.batch) < maxBatch {
			return nil
		}
		data, s.batch = s.batch, nil
	}
	_, err := s.conn.Write(data) // nbio accepts all bytes, or returns an error, accepts none and closes the connection
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
		// The kernel's count is read before pendingReads, because the poller increments pendingReads after its read.
		// Between its read and the increment the bytes are in neither count, for less than a microsecond.
		unread = err == nil && inKernel > 0 || s.pendingReads.Load() > 0
	})
	return unread
}

// PeerClosed implements Conn. The kernel knows of the end before the poller has read what precedes it.
func (s *socket) PeerClosed() bool {
	if s.closed || s.conn == nil || s.inbound.hasEnded() {
		return true
	}
	ended := false
	s.withDescriptor(func(fd int) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(events, 0)
		ended = err == nil && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended
}

// HasUnread reports whether the kernel holds bytes that the peer of a connection has sent.
func HasUnread(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && unread > 0
}

// NotifyFlushed implements Conn.
func (s *socket) NotifyFlushed(fn func()) {
	s.endBatch()
	s.onFlushed = append(s.onFlushed, fn)
	s.flushWanted.Store(true)
	s.flush()
}

// flush calls the functions passed to NotifyFlushed if the write queue is empty.
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

// queuedBytes returns the number of bytes in nbio's write queue of a connection. nbio reports the bytes that it removes
// from the queue, but neither those that it writes immediately nor those that are left. The number is therefore read
// from a private field of nbio; TestNotifyFlushedWaitsForLastByte fails if the field is renamed.
func queuedBytes(conn *nbio.Conn) int {
	conn.Lock()
	defer conn.Unlock()
	return int(reflect.ValueOf(conn).Elem().FieldByName("left").Int())
}

// Close implements Conn. Bytes that were already passed to the operating system are still sent.
func (s *socket) Close() {
	if s.closed {
		return
	}
	s.endBatch()
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
	s.endBatch()
	if s.conn == nil || !s.closes.begin(s.conn) {
		s.Close()
		return
	}
	s.closing = true
	s.closeTimer = s.loop.After(flushTimeoutMS, s.Close)
	s.NotifyFlushed(s.closeWrite)
}

// closeWrite sends the end of the stream and starts the time limit for the peer. It is called once all written bytes
// were sent.
func (s *socket) closeWrite() {
	s.closeTimer.Stop()
	s.closeTimer = s.loop.After(lingerTimeoutMS, s.Close)
	s.withDescriptor(func(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) })
}
