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

// acceptRetryDelay is the wait after a failed accept: short of descriptors, every call fails at once.
const acceptRetryDelay = 20 * time.Millisecond

// Listener accepts connections until it is closed. Each has its own bound on those that the loop has not handled yet,
// so that a flood on one does not stall another.
type Listener struct {
	poller *Poller
	log    *slog.Logger
	lis    net.Listener
	accept func() Handler

	slots     chan struct{} // contains one for each connection that the loop has not handled yet
	pending   atomic.Int32  // see Pending
	done      chan struct{} // closed by Close
	closeOnce sync.Once
	ended     chan struct{} // closed when serve returns
}

// Serve accepts connections on a listener, which it owns from then on; accept returns the handler of each.
func (p *Poller) Serve(lis net.Listener, accept func() Handler) *Listener {
	l := &Listener{
		poller: p, log: p.log, lis: lis, accept: accept, slots: make(chan struct{}, maxPendingAccepts),
		done: make(chan struct{}), ended: make(chan struct{}),
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	go l.serve() // Close ends it
	return l
}

// Pending returns the number of connections that were accepted and that the loop has not handled yet.
func (l *Listener) Pending() int { return int(l.pending.Load()) }

// Addr returns the address that it listens on.
func (l *Listener) Addr() string { return l.lis.Addr().String() }

// File returns a copy of the listener's descriptor.
func (l *Listener) File() (*os.File, error) { return ListenerFile(l.lis) }

// Replace accepts on another listener for the same handlers.
func (l *Listener) Replace(lis net.Listener) *Listener { return l.poller.Serve(lis, l.accept) }

// Close stops accepting; the loop handles all connections that were accepted before. The socket itself is closed, never
// shut down: another process may accept from the same queue.
func (l *Listener) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.lis.Close()
	})
}

// serve accepts until the listener is closed and registers each connection with the poller.
//
// nbio's own acceptor is not used: it clears its stop mark as it starts, so that a stop right after the start is
// lost, and then, as on any other error of accept, it retries without a pause and logs each failure.
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

// register registers a connection with the poller and opens it in the loop.
func (l *Listener) register(netConn net.Conn) error {
	conn, err := nbio.NBConn(netConn)
	if err != nil {
		return errors.Join(err, netConn.Close()) // nbio leaves it open where it could not copy the descriptor
	}
	_ = conn.SetNoDelay(true)
	s := l.poller.newSocket(nil)
	s.conn = conn
	conn.SetSession(s)
	l.pending.Add(1)
	l.poller.registerAccepted(conn, func(err error) { l.open(s, err) })
	return nil
}

// registerAccepted registers a connection and calls open in the loop after that.
func (p *Poller) registerAccepted(conn *nbio.Conn, open func(error)) {
	p.registrar.register(conn, func(err error) {
		p.loop.Post(func() { open(err) })
	})
}

// open assigns a connection its handler, unless it could not be registered. It is called in the loop's goroutine.
func (l *Listener) open(s *socket, err error) {
	<-l.slots
	l.pending.Add(-1)
	if err != nil {
		l.log.Warn("listener accept failed", "error", err) // nbio has closed it
		return
	}
	s.handler = l.accept()
	s.handler.Opened(s)
}
