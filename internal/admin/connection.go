package admin

import (
	"errors"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// connection is one client's connection: it takes one request and sends one response.
type connection struct {
	server          *Server
	conn            netio.Conn
	buffer          []byte
	sequence        int64 // connections are numbered as they are opened
	timer           *router.Timer
	requestReceived bool // the request was received completely
	finished        bool
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

// finish takes the connection out of the server's.
func (c *connection) finish() {
	c.finished, c.buffer = true, nil
	c.timer.Stop()
	delete(c.server.connections, c)
}

// respond writes the response and closes the connection once the client has had time to read it.
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
		c.conn.Close() // the request was read completely
		return
	}
	c.conn.CloseGracefully()
}

func (c *connection) count(r response) {
	if r.succeeded() {
		c.server.Counters.Succeeded++
		return
	}
	c.server.Counters.Rejected++
}

// evictedBefore reports whether the connection makes room before another: it has sent less, or as much but is older.
func (c *connection) evictedBefore(other *connection) bool {
	if len(c.buffer) != len(other.buffer) {
		return len(c.buffer) < len(other.buffer)
	}
	return c.sequence < other.sequence
}
