package discovery

import (
	"errors"
	"fmt"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// silenceTimeoutMS is how long discovery may send nothing, in milliseconds, before the connection counts as dead:
	// it sends a frame each second. What a service that has stopped would have sent counts as sent 4 s after its
	// stop, so that there must be time left to connect again.
	silenceTimeoutMS = 1800.0
	// minFrameProgress is how many bytes of an incomplete frame must arrive to count as a sign of life: one that trickles
	// would keep the connection for ever.
	minFrameProgress = 4096
)

// Reasons why a connection ends.
var (
	errTimeout          = errors.New("no frame in time")
	errConnectionClosed = errors.New("connection closed")
)

// connection is one connection to discovery; it implements netio.Handler.
type connection struct {
	watcher       *Watcher
	conn          netio.Conn
	buffer        []byte
	timer         *router.Timer
	received      bool // anything was received on it
	creditedBytes int  // bytes of the incomplete frame that have counted as a sign of life
	closed        bool // nothing that it receives counts any more
}

// restartTimeout starts the wait for the next sign of life anew.
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

// readFrames handles the frames that are complete.
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

// failBadFrame ends a connection whose frames can't be trusted. The endpoint list stays, and the next connection goes
// on from the last good event.
func (c *connection) failBadFrame(err error) {
	c.watcher.Counters.BadFrames++
	c.fail(fmt.Errorf("bad frame: %w", err))
}

// fail ends the connection and has the watcher connect again.
func (c *connection) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	c.watcher.connectionLost(c.received, err)
}

// close closes the connection; nothing that it receives counts any more.
func (c *connection) close() {
	c.closed = true
	c.timer.Stop()
	c.conn.Close()
}
