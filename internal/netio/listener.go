package netio

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// Listener accepts connections until it is closed. Each has a bound of its own on those that the loop has not heard of
// yet, so that a flood on one does not hold up another.
type Listener struct {
	net       *Poller
	lis       net.Listener
	accept    func() Handler
	unsettled chan struct{} // holds one for each connection that the loop has not heard of yet
	done      chan struct{}
	closing   sync.Once
	ended     chan struct{}
	accepted  atomic.Int32 // see Waiting
}

// Serve accepts on a listener, which it takes over; accept gives each new connection's handler.
func (n *Poller) Serve(lis net.Listener, accept func() Handler) *Listener {
	l := &Listener{
		net: n, lis: lis, accept: accept, unsettled: make(chan struct{}, maxUnsettled),
		done: make(chan struct{}), ended: make(chan struct{}),
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go l.serve()
	return l
}

// Pending is the number of connections that were accepted and that the loop has not heard of.
func (l *Listener) Pending() int { return int(l.accepted.Load()) }

// Addr is where it listens.
func (l *Listener) Addr() string { return l.lis.Addr().String() }

// File gives a copy of the listener's descriptor.
func (l *Listener) File() (*os.File, error) { return ListenerFile(l.lis) }

// Replace accepts on another listener in place of this one, for the same handlers.
func (l *Listener) Replace(lis net.Listener) *Listener { return l.net.Serve(lis, l.accept) }

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
	s := &socket{net: l.net, c: c}
	c.SetSession(s)
	l.accepted.Add(1)
	l.net.turns.add(c, func(err error) {
		l.net.loop.Post(func() {
			<-l.unsettled
			l.accepted.Add(-1)
			if err != nil {
				l.net.log.Warn("accept failed", "err", err) // nbio has closed it
				return
			}
			s.h = l.accept()
			s.h.Opened(s)
		})
	})
	return nil
}
