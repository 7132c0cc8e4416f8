package enginehttp

import (
	"errors"
	"fmt"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// reuseDelayMS is the time in milliseconds for which a connection stays unused between the requests of two attempts.
// Responses contain no request id, so surplus bytes that an engine sends after a response could be taken for the
// response to the next request if that were written immediately. If bytes arrive during the delay, the connection is
// closed instead of reused. Requests of the same attempt need no delay, because their responses distinguish progress
// from pages, and pages from each other.
const reuseDelayMS = 50.0

// conn is a connection to an engine; it carries one request at a time. It implements netio.Handler.
type conn struct {
	pool    *pool
	loop    *router.Loop
	engine  router.Engine
	netConn netio.Conn

	request     *request // nil while idle
	lastAttempt *attempt // the attempt of the latest request
	buffer      []byte   // received bytes that are not parsed yet
	lastReadMS  float64  // when bytes were last received, or the connection was opened
	interim     int      // interim (1xx) responses received for the current request
	closed      bool
}

// usableFor reports whether the request may be written to the idle connection. A connection with unread bytes cannot be
// used, nor one to a former address of the engine, where another engine may be listening now. A request of another
// attempt cannot use the connection before reuseDelayMS has passed.
func (c *conn) usableFor(r *request) bool {
	return !r.newConn && c.engine.Address == r.engine.Address &&
		(c.lastAttempt == r.attempt || c.loop.Now()-c.lastReadMS >= reuseDelayMS) && !c.netConn.HasUnread()
}

// idleBefore reports whether the last read of the connection is older than that of another. If both are equally old, it
// reports whether the engine id is lower.
func (c *conn) idleBefore(other *conn) bool {
	return c.lastReadMS < other.lastReadMS ||
		c.lastReadMS == other.lastReadMS && c.engine.ID < other.engine.ID
}

// start writes a request, or fails it with errTooLate if its latest start time has passed.
func (c *conn) start(req *request) {
	if req.latestStartMS > 0 && c.loop.Now() > req.latestStartMS {
		c.request, req.conn = nil, nil
		// Posted, because the caller expects no callback before this method returns.
		c.loop.Post(func() { req.finish(nil, errTooLate) })
		c.release()
		return
	}
	c.request, c.lastAttempt = req, req.attempt
	req.conn, req.writeStarted = c, true
	c.interim = 0
	if !req.delayLastByte {
		c.write(req, req.payload)
		return
	}
	last := len(req.payload) - 1
	if err := c.netConn.Write(req.payload[:last]); err != nil {
		c.failUnwritten(err)
		return
	}
	req.timer = c.loop.After(writeDelayMS, func() { c.write(req, req.payload[last:]) })
}

// write writes the remaining bytes of a request and starts the response timeout. From then on the engine may have read
// the complete request.
func (c *conn) write(r *request, remaining []byte) {
	if err := c.netConn.Write(remaining); err != nil {
		c.failUnwritten(err)
		return
	}
	r.written = true
	if r.onWritten != nil {
		r.onWritten(c.netConn)
	}
	r.timer = c.loop.After(r.timeoutMS, func() {
		c.pool.counters.TimedOut++
		r.abort(errResponseTimeout)
	})
}

// failUnwritten fails a request that was not completely written, which proves that it was never executed. The failure
// is posted to the loop, because the caller expects no callback before it returns.
func (c *conn) failUnwritten(err error) { c.loop.Post(func() { c.fail(err) }) }

// Opened implements netio.Handler.
func (c *conn) Opened(netConn netio.Conn) {
	c.netConn, c.lastReadMS = netConn, c.loop.Now()
	c.pool.removeDialing(c)
	if c.request == nil || c.request.done { // aborted during the dial
		c.release()
		return
	}
	c.start(c.request)
}

// Data implements netio.Handler.
func (c *conn) Data(data []byte, atMS float64) {
	if c.closed {
		return
	}
	c.lastReadMS = atMS
	if c.request == nil {
		// These bytes belong to no request; the response to the next request would be parsed after them.
		c.fail(&badResponseError{errors.New("bytes received on an idle connection")})
		return
	}
	c.buffer = append(c.buffer, data...)
	for len(c.buffer) > 0 && !c.closed {
		resp, size, err := parseResponse(c.buffer)
		switch {
		case err != nil:
			c.fail(&badResponseError{err})
			return
		case resp == nil:
			return
		}
		c.buffer = c.buffer[size:]
		if resp.interim() {
			c.countInterim()
			continue
		}
		c.deliver(resp)
	}
}

// countInterim counts an interim response and fails the connection when there are more than maxInterim.
func (c *conn) countInterim() {
	c.interim++
	if c.interim > maxInterim {
		c.fail(&badResponseError{fmt.Errorf("more than %d interim responses before the final one", maxInterim)})
	}
}

// deliver finishes the request with its response. The connection is reused only if the engine keeps it open, no bytes
// follow the response and the request was completely written.
func (c *conn) deliver(resp *response) {
	r := c.request
	resp.trailingBytes = len(c.buffer) > 0
	if resp.close || resp.trailingBytes || !r.written { // an engine may respond before it has read the complete request
		c.close()
	} else {
		c.buffer = nil
		c.release()
	}
	r.finish(resp, nil)
}

// Closed implements netio.Handler.
func (c *conn) Closed(err error) {
	if err == nil {
		err = errors.New("connection closed by the engine")
	}
	c.fail(err)
}

// release starts the next queued request that can use the connection, or returns the connection to the pool.
func (c *conn) release() {
	c.request = nil
	if next := c.pool.dequeueFor(c); next != nil {
		c.start(next)
		return
	}
	c.pool.addIdle(c)
	c.pool.serveQueue()
}

// fail closes the connection and fails its request with the error.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	r := c.request
	c.close()
	if r != nil {
		r.finish(nil, err)
	}
}

// close closes the connection without finishing its request and removes it from the pool.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.request = nil
	c.pool.remove(c)
	if c.netConn != nil {
		c.netConn.Close()
	}
	c.loop.Post(c.pool.serveQueue)
}
