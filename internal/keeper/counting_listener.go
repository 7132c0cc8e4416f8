package keeper

import (
	"net"
	"sync/atomic"
)

// countingListener adds the bytes read from and written to its connections, headers included, to two counters.
type countingListener struct {
	net.Listener
	in, out *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.in, l.out}, nil
}

type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.out.Add(int64(n))
	return n, err
}
