package discovery

import (
	"errors"
	"fmt"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// silenceTimeoutMS is the time in milliseconds without a frame after which a connection lags. Discovery sends a frame
	// every second. The timeout leaves time to connect again: events that a stopped service did not send count as sent
	// 4 s after it stopped.
	silenceTimeoutMS = 1800.0
	// slowConnectMS is the time in milliseconds after which a connection that is not established lags.
	slowConnectMS = 250.0
	// minFrameProgress is the number of further bytes of an incomplete frame that restart the timeout. If single bytes
	// restarted it, a peer that sends a frame very slowly could keep the router waiting indefinitely.
	minFrameProgress = 4096
)

// Reasons why a connection lags or has ended.
var (
	errTimeout          = errors.New("no frame received in time")
	errConnectionClosed = errors.New("connection closed")
)

// connection is a connection to discovery; it implements netio.Handler. A connection that lags stays open, because what
// discovery sends may only be late: closed again and again, it would never be heard.
type connection struct {
	watcher       *Watcher
	conn          netio.Conn
	buffer        []byte
	timer         *router.Timer // makes the connection lag
	received      bool          // whether any bytes were received
	creditedBytes int           // bytes in the buffer when the timeout was last restarted
	progressMS    float64       // time of the dial or of the last progress
	lagging       bool          // no progress in time
	closed        bool          // further events of the connection are ignored
}

// restartTimeout restarts the timeout after which the connection lags.
func (c *connection) restartTimeout(timeoutMS float64) {
	c.timer.Stop()
	c.timer = c.watcher.loop.After(timeoutMS, func() {
		c.lagging = true
		c.watcher.connectionLags(c)
	})
}

// progressed is called when a frame, or a good part of one, has arrived.
func (c *connection) progressed() {
	c.creditedBytes = len(c.buffer)
	c.progressMS = c.watcher.loop.Now()
	c.lagging = false
	c.restartTimeout(silenceTimeoutMS)
	c.watcher.connectionProgressed(c)
}

// Opened implements netio.Handler.
func (c *connection) Opened(conn netio.Conn) {
	c.conn = conn
	if c.closed {
		conn.Close()
		return
	}
	_ = conn.Write(encodeLastEvent(c.watcher.lastEvent))
	if !c.lagging {
		c.restartTimeout(silenceTimeoutMS)
	}
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
		c.progressed()
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

// fail closes the connection and lets the watcher connect again.
func (c *connection) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	c.watcher.connectionEnded(c, err)
}

// close closes the connection. Data that is received afterwards is ignored, and the watcher does not connect again.
func (c *connection) close() {
	c.closed = true
	c.timer.Stop()
	c.conn.Close()
}
