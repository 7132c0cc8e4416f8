package netio

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"

	"windflow/internal/clock"
)

// Dial opens a connection. It calls handler.Opened once the connection is established, or handler.Closed with
// ErrNotConnected if that fails or takes longer than timeoutMS milliseconds. It must be called in the loop's goroutine.
//
// The connection is dialed with package net and then given to nbio, because nbio's own dialer has two faults: it reads
// the first four bytes of the 16-byte form of an IPv4 address and so connects to 0.0.0.0, and it reports a refused
// connection as open.
func (p *Poller) Dial(addr string, timeoutMS float64, handler Handler) Conn {
	s := p.newSocket(handler)
	s.dialTimer = p.loop.After(timeoutMS, func() {
		s.dialTimer = nil
		s.failDial(os.ErrDeadlineExceeded)
	})
	go func() { // ends within the timeout
		if err := p.connect(addr, clock.Duration(timeoutMS), s); err != nil {
			p.loop.Post(func() { s.failDial(err) })
		}
	}()
	return s
}

// connect dials the address and registers the connection of target with the poller. It blocks until the dial has ended.
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

// Adopt takes over a connection that was opened by another process. It calls handler.Opened before it returns, and
// handler.Data later with the bytes that the other process has not read. It always closes file, and fails if file is
// not a connection.
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
	handler.Opened(s) // the connection is established; writes are buffered until it is registered
	p.registrar.register(conn, func(err error) { p.loop.Post(func() { s.adopted(conn, err) }) })
	return nil
}
