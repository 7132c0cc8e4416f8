package enginehttp

import (
	"errors"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// reuseDelayMS is how long a connection rests between the requests of two attempts, in milliseconds. Responses carry no
// request id: bytes that an engine sends after a response would pass for the response to the next request, were that
// written at once. Bytes that arrive during the delay show that the connection must not be used again. Requests of one
// attempt follow each other without a delay: their responses tell progress from a page, and one page from another.
const reuseDelayMS = 50.0

// conn is one connection to an engine; it carries one request at a time.
type conn struct {
	pool    *pool
	loop    *router.Loop
	engine  router.Engine
	netConn netio.Conn

	request     *request // nil while idle
	lastAttempt *attempt // the attempt of its last request
	buffer      []byte
	lastReadMS  float64 // when it was last read from, or was opened
	interim     int     // interim responses before the response
	closed      bool
}

// usableFor reports whether a request may be written to the idle connection; see reuseDelayMS. Neither one with unread
// bytes is usable, nor one to a former address of the engine, where another engine may be.
func (c *conn) usableFor(r *request) bool {
	return !r.newConn && c.engine.Address == r.engine.Address &&
		(c.lastAttempt == r.attempt || c.loop.Now()-c.lastReadMS >= reuseDelayMS) && !c.netConn.HasUnread()
}

// idleBefore orders idle connections by the time of their last read, then by engine.
func (c *conn) idleBefore(other *conn) bool {
	return c.lastReadMS < other.lastReadMS ||
		c.lastReadMS == other.lastReadMS && c.engine.ID < other.engine.ID
}

// start writes a request.
func (c *conn) start(req *request) {
	if req.latestStartMS > 0 && c.loop.Now() > req.latestStartMS {
		c.request, req.conn = nil, nil
		c.loop.Post(func() { req.finish(nil, errTooLate) }) // posted: the caller may not be called back before it returns
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

// write writes the remaining bytes of a request, after which the engine may have read it, and awaits the response.
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

// failUnwritten fails a request that was not written completely, which proves that it never ran. It is posted: the
// caller may not be called back before it returns.
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
		// Be it a complete response or half a line, the next response would be read behind it.
		c.fail(&badResponseError{errors.New("bytes on a connection without a request")})
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

// countInterim fails the connection once too many interim responses precede the response.
func (c *conn) countInterim() {
	c.interim++
	if c.interim > maxInterim {
		c.fail(&badResponseError{errors.New("too many interim responses")})
	}
}

// deliver finishes the request with its response. The connection is kept where it is known to be in step with the
// engine.
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
		err = errors.New("closed by the engine")
	}
	c.fail(err)
}

// release carries the next queued request that the connection may carry, or returns it to the pool.
func (c *conn) release() {
	c.request = nil
	if next := c.pool.dequeueFor(c); next != nil {
		c.start(next)
		return
	}
	c.pool.addIdle(c)
	c.pool.serveQueue()
}

// fail closes the connection and fails its request.
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
