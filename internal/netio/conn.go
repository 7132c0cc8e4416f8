package netio

import (
	"errors"
	"os"
)

// Conn is a connection. Its methods are called in the loop's goroutine, and none blocks.
type Conn interface {
	// Write queues all of b. An error means that no byte of b was or will be sent; the connection is closed then.
	Write(b []byte) error
	// Close closes the connection at once and drops the queued bytes. If the peer has sent bytes that were not read,
	// the system resets the connection, and the peer may not receive what was written last. It is meant for
	// connections that are of no further use.
	Close()
	// CloseGracefully closes the connection in order: queued bytes are sent, then the end of the stream, and what the
	// peer still sends is read and dropped until it closes too, or a limit of time or bytes is met. The handler gets
	// no more data. A plain Close that crosses bytes of the peer would reset the connection and might lose the last
	// answer.
	CloseGracefully()
	// HasUnread reports whether the peer has sent bytes that the handler has not received yet.
	HasUnread() bool
	// Detach releases the connection without closing it: fn is called with its descriptor, which fn must close, once
	// all that was read was handed to the handler; no call of the handler follows. Where that is not possible, fn is
	// called with nil and the connection is unchanged.
	Detach(fn func(*os.File))
	// NotifyFlushed calls fn in the loop once all that was written has left for the peer, which may be at once. It is
	// never called if the connection closes before.
	NotifyFlushed(fn func())
}

// Handler receives the events of a connection, always in the loop's goroutine. Closed is the last call; it is made also
// after the owner's own Close.
type Handler interface {
	Opened(conn Conn)
	// Data receives bytes and the time at which they were read from the socket, in milliseconds of the loop's clock.
	Data(b []byte, atMS float64)
	Closed(err error)
}

// Dialer opens connections.
type Dialer interface {
	// Dial opens a connection; handler.Opened is called once it is up, or handler.Closed with ErrNotConnected.
	Dial(addr string, timeoutMS float64, handler Handler) Conn
}

// ErrNotConnected means that a connection was never established, so that nothing was written to it.
var ErrNotConnected = errors.New("not connected")
