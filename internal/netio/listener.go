package netio

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// acceptRetryDelay is the delay after a failed accept. When the process has no free descriptors, each call of accept
// fails immediately.
const acceptRetryDelay = 20 * time.Millisecond

// Listener accepts connections until it is closed. Each listener has its own limit of connections that the loop has not
// handled yet, so that a flood on one listener does not block another.
type Listener struct {
	poller *Poller
	log    *slog.Logger
	lis    net.Listener
	accept func() Handler

	slots     chan struct{} // semaphore of the accept in progress and the connections not yet handled by the loop
	pending   atomic.Int32  // result of Pending
	done      chan struct{} // closed by Close
	closeOnce sync.Once
	ended     chan struct{} // closed when serve returns
}

// Serve accepts connections on a listener and takes ownership of the listener. accept returns the handler of each
// connection.
func (p *Poller) Serve(lis net.Listener, accept func() Handler) *Listener {
	l := &Listener{
		poller: p, log: p.log, lis: lis, accept: accept, slots: make(chan struct{}, maxPendingAccepts),
		done: make(chan struct{}), ended: make(chan struct{}),
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	go l.serve() // ends after Close
	return l
}

// Pending returns the number of connections that were accepted and that the loop has not handled yet.
func (l *Listener) Pending() int { return int(l.pending.Load()) }

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() string { return l.lis.Addr().String() }

// File returns a duplicate of the listener's descriptor.
func (l *Listener) File() (*os.File, error) { return ListenerFile(l.lis) }

// Replace starts to accept connections on another listener with the same accept function. It does not close l.
func (l *Listener) Replace(lis net.Listener) *Listener { return l.poller.Serve(lis, l.accept) }

// Close stops accepting connections; the loop still handles those that were already accepted. The socket is closed but
// not shut down, because another process may accept from the same queue.
func (l *Listener) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.lis.Close()
	})
}

// serve accepts connections until the listener is closed and registers each of them with the poller.
//
// nbio's own acceptor is not used. It clears its stop flag when it starts, so that a stop immediately after the start
// is lost. It then retries accept on the closed listener, as after any other error, without a delay and logs each
// failure.
func (l *Listener) serve() {
	defer close(l.ended)
	for {
		select {
		case l.slots <- struct{}{}:
		case <-l.done:
			return
		}
		netConn, err := l.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			err = l.register(netConn)
		}
		if err != nil {
			<-l.slots
			l.log.Warn("listener accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// register registers an accepted connection with the poller and then opens it in the loop.
func (l *Listener) register(netConn net.Conn) error {
	conn, err := nbio.NBConn(netConn)
	if err != nil {
		return errors.Join(err, netConn.Close()) // nbio does not close it if it cannot duplicate the descriptor
	}
	_ = conn.SetNoDelay(true)
	s := l.poller.newSocket(nil)
	s.quantum = clientQuantum
	s.conn = conn
	conn.SetSession(s)
	l.pending.Add(1)
	l.poller.registerAccepted(conn, func(err error) { l.open(s, err) })
	return nil
}

// registerAccepted registers a connection with the poller and then calls open in the loop.
func (p *Poller) registerAccepted(conn *nbio.Conn, open func(error)) {
	p.registrar.register(conn, func(err error) {
		p.loop.Post(func() { open(err) })
	})
}

// open assigns a handler to a registered connection, or logs why it could not be registered. It is called in the loop's
// goroutine.
func (l *Listener) open(s *socket, err error) {
	<-l.slots
	l.pending.Add(-1)
	if err != nil {
		l.log.Warn("listener accept failed", "error", err) // nbio has closed the connection
		return
	}
	s.handler = l.accept()
	s.handler.Opened(s)
}
