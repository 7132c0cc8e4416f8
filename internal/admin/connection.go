package admin

import (
	"errors"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// connection is a connection of a client; it receives one request and sends one response.
type connection struct {
	server          *Server
	conn            netio.Conn
	buffer          []byte
	sequence        int64         // number of the connection, in the order in which connections were opened
	timer           *router.Timer // the request timeout
	requestReceived bool          // the request was completely received
	finished        bool          // the response was written or the connection was closed
}

// Opened implements netio.Handler.
func (c *connection) Opened(conn netio.Conn) {
	c.conn = conn
	if !c.server.add(c) {
		conn.Close()
		return
	}
	c.timer = c.server.loop.After(requestTimeoutMS, func() {
		c.server.Counters.TimedOut++
		c.respond(response{status: statusRequestTimeout, text: "the call did not come whole"})
	})
}

// Data implements netio.Handler.
func (c *connection) Data(b []byte, _ float64) {
	if c.finished || c.requestReceived {
		return
	}
	c.buffer = append(c.buffer, b...)
	request, err := parseRequest(c.buffer)
	switch {
	case errors.Is(err, errRequestTooLong):
		c.server.Counters.Malformed++
		c.respond(response{status: statusContentTooLarge, text: err.Error()})
	case err != nil:
		c.server.Counters.Malformed++
		c.respond(response{status: statusBadRequest, text: err.Error()})
	case request != nil:
		c.server.Counters.Requests++
		c.requestReceived = true
		c.server.handle(request, c.respond)
	}
}

// Closed implements netio.Handler.
func (c *connection) Closed(error) { c.finish() }

// finish stops the request timeout and removes the connection from the server. Data that is received later is ignored.
func (c *connection) finish() {
	c.finished, c.buffer = true, nil
	c.timer.Stop()
	delete(c.server.connections, c)
}

// respond writes the response and closes the connection. After an error it closes gracefully, so that the client can
// read the response although it may still be sending. It has no effect on a finished connection.
func (c *connection) respond(r response) {
	if c.finished {
		return
	}
	if c.requestReceived {
		c.count(r)
	}
	c.finish()
	_ = c.conn.Write(r.encode())
	if r.status < statusBadRequest {
		c.conn.Close() // the request was completely read, so the close does not reset the connection
		return
	}
	c.conn.CloseGracefully()
}

// count counts the response to a complete request as succeeded or rejected.
func (c *connection) count(r response) {
	if r.succeeded() {
		c.server.Counters.Succeeded++
		return
	}
	c.server.Counters.Rejected++
}

// evictedBefore reports whether the connection is evicted before another one: the client has sent fewer bytes, or as
// many on an older connection.
func (c *connection) evictedBefore(other *connection) bool {
	if len(c.buffer) != len(other.buffer) {
		return len(c.buffer) < len(other.buffer)
	}
	return c.sequence < other.sequence
}
