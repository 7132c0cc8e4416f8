package netio

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"

	"windflow/internal/clock"
)

// Dial opens a connection. handler.Opened is called once it is up; if that takes more than timeoutMS or fails,
// handler.Closed is called with ErrNotConnected. It is called in the loop's goroutine.
//
// The system dials here and nbio takes the connection over: nbio's own dialer reads the first four bytes of an IPv4
// address in its 16-byte form and so connects to 0.0.0.0, and it reports a refused connection as open.
func (p *Poller) Dial(addr string, timeoutMS float64, handler Handler) Conn {
	s := p.newSocket(handler)
	s.dialTimer = p.loop.After(timeoutMS, func() {
		s.dialTimer = nil
		s.failDial(os.ErrDeadlineExceeded)
	})
	go func() { // it ends within the timeout
		if err := p.connect(addr, clock.Duration(timeoutMS), s); err != nil {
			p.loop.Post(func() { s.failDial(err) })
		}
	}()
	return s
}

// connect dials and registers the connection. It blocks.
func (p *Poller) connect(addr string, timeout time.Duration, target *socket) error {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	netConn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return err
	}
	conn, err := nbio.NBConn(netConn)
	if err != nil {
		return errors.Join(err, netConn.Close())
	}
	_ = conn.SetNoDelay(true)
	conn.SetSession(target)
	p.registrar.register(conn, func(err error) {
		p.loop.Post(func() {
			if err != nil {
				target.failDial(err)
				return
			}
			target.connected(conn)
		})
	})
	return nil
}

// Adopt takes over a connection that another process opened; it closes file. handler.Opened is called before it
// returns, and handler.Data with what was not read before.
func (p *Poller) Adopt(file *os.File, handler Handler) error {
	netConn, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return err
	}
	conn, err := nbio.NBConn(netConn)
	if err != nil {
		return errors.Join(err, netConn.Close())
	}
	s := p.newSocket(handler)
	s.adopting = true
	conn.SetSession(s)
	handler.Opened(s) // the connection is up; writes are kept until it is registered
	p.registrar.register(conn, func(err error) { p.loop.Post(func() { s.adopted(conn, err) }) })
	return nil
}
