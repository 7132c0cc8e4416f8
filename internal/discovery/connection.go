package discovery

import (
	"errors"
	"fmt"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// silenceTimeoutMS is the time in milliseconds without a frame after which the connection is considered dead.
	// Discovery sends a frame every second. The timeout leaves time to connect again: events that a stopped service
	// did not send count as sent 4 s after it stopped.
	silenceTimeoutMS = 1800.0
	// minFrameProgress is the number of further bytes of an incomplete frame that restart the timeout. If single bytes
	// restarted it, a peer that sends a frame very slowly could keep the connection open indefinitely.
	minFrameProgress = 4096
)

// Reasons for the end of a connection.
var (
	errTimeout          = errors.New("no frame received in time")
	errConnectionClosed = errors.New("connection closed")
)

// connection is a connection to discovery; it implements netio.Handler.
type connection struct {
	watcher       *Watcher
	conn          netio.Conn
	buffer        []byte
	timer         *router.Timer // fails the connection after silenceTimeoutMS
	received      bool          // whether any bytes were received
	creditedBytes int           // bytes in the buffer when the timeout was last restarted
	closed        bool          // further events of the connection are ignored
}

// restartTimeout restarts the timeout after which the connection fails for lack of received data.
func (c *connection) restartTimeout() {
	c.timer.Stop()
	c.timer = c.watcher.loop.After(silenceTimeoutMS, func() { c.fail(errTimeout) })
}

// Opened implements netio.Handler.
func (c *connection) Opened(conn netio.Conn) {
	c.conn = conn
	if c.closed {
		conn.Close()
		return
	}
	_ = conn.Write(encodeLastEvent(c.watcher.lastEvent))
}

// Closed implements netio.Handler.
func (c *connection) Closed(err error) {
	if err == nil {
		c.fail(errConnectionClosed)
		return
	}
	c.fail(fmt.Errorf("%w: %w", errConnectionClosed, err))
}

// Data implements netio.Handler.
func (c *connection) Data(b []byte, _ float64) {
	if c.closed {
		return
	}
	if !c.received {
		c.received = true
		c.watcher.connected()
	}
	c.buffer = append(c.buffer, b...)
	frames := c.watcher.Counters.Frames
	c.readFrames()
	progressed := c.watcher.Counters.Frames > frames || len(c.buffer)-c.creditedBytes >= minFrameProgress
	if !c.closed && progressed {
		c.creditedBytes = len(c.buffer)
		c.restartTimeout()
	}
}

// readFrames handles all complete frames in the buffer.
func (c *connection) readFrames() {
	for !c.closed {
		body, remaining, ok, err := cutFrame(c.buffer)
		if err != nil {
			c.failBadFrame(err)
			return
		}
		if !ok {
			return
		}
		c.buffer = remaining
		if err := c.watcher.handleFrame(body); err != nil {
			c.failBadFrame(err)
		}
	}
}

// failBadFrame ends the connection after an invalid frame, because later frames on it cannot be trusted either. The
// endpoint list is kept, and the next connection continues after the last valid event.
func (c *connection) failBadFrame(err error) {
	c.watcher.Counters.BadFrames++
	c.fail(fmt.Errorf("bad frame: %w", err))
}

// fail closes the connection and makes the watcher connect again after a delay.
func (c *connection) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	c.watcher.connectionLost(c.received, err)
}

// close closes the connection. Data that is received afterwards is ignored, and the watcher does not connect again.
func (c *connection) close() {
	c.closed = true
	c.timer.Stop()
	c.conn.Close()
}
