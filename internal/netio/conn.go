package netio

import (
	"errors"
	"os"
)

// Conn is a connection. Its methods must be called in the loop's goroutine and do not block.
type Conn interface {
	// Write queues all of b. If it returns an error, no byte of b was or will be sent, and the connection is closed.
	Write(b []byte) error
	// Close closes the connection immediately and discards the queued bytes. If the peer has sent bytes that were not
	// read, the operating system resets the connection, and the peer may not receive the bytes written last. It is
	// meant for connections whose peer expects no further data.
	Close()
	// CloseGracefully sends the queued bytes and then the end of the stream. Bytes that the peer still sends are read
	// and discarded until the peer closes the connection or a limit of time or bytes is reached. The handler receives
	// no more data. A plain Close while the peer is sending would reset the connection and might lose the last answer.
	CloseGracefully()
	// HasUnread reports whether the peer has sent bytes that the handler has not received yet.
	HasUnread() bool
	// PeerClosed reports whether the peer has closed the connection, or its sending side, although the handler may not
	// have received all that the peer sent before.
	PeerClosed() bool
	// Detach releases the connection without closing it. After all bytes read so far were passed to the handler, fn is
	// called with the connection's descriptor, which fn must close; the handler is not called afterwards. If the
	// connection cannot be detached, fn is called with nil and the connection is unchanged.
	Detach(fn func(*os.File))
	// NotifyFlushed calls fn in the loop once all written bytes were passed to the operating system, which may be
	// immediately. fn is never called if the connection is closed earlier.
	NotifyFlushed(fn func())
}

// Handler receives the events of a connection in the loop's goroutine.
type Handler interface {
	// Opened is called once the connection is established.
	Opened(conn Conn)
	// Data receives bytes and the time at which they were read from the socket, in milliseconds of the loop's clock.
	Data(b []byte, atMS float64)
	// Closed is the last call. It is also made after the owner of the connection has closed it.
	Closed(err error)
}

// Dialer opens connections.
type Dialer interface {
	// Dial opens a connection. It calls handler.Opened once the connection is established, or handler.Closed with
	// ErrNotConnected if that fails or takes longer than timeoutMS milliseconds.
	Dial(addr string, timeoutMS float64, handler Handler) Conn
}

// ErrNotConnected means that a connection was never established and that nothing was written to it.
var ErrNotConnected = errors.New("not connected")
