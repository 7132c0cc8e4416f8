// Package admin is the operators' door: a small HTTP/1.1 server in the router's loop, with one call to a connection.
// It tells whether the router is ready and how it does, and bans engines by hand. It knows none of that itself.
package admin

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// Backend is what the door opens to; all of it is called in the loop.
type Backend interface {
	// Ready is nil while the router serves; else its text says why not.
	Ready() error
	// Telemetry gives the figures, a line each.
	Telemetry() string
	// Exclude and Include answer with no to an id that no list of engines has named. The answer comes once the ban is
	// in force, or ended, in all processes that stand for the router.
	Cordon(id string, answer func(bool))
	Uncordon(id string, answer func(bool))
}

const (
	// maxCallers bounds the connections; past it, the caller that has said least for longest makes room. It guards
	// against callers that connect and stay silent: they would shut the others out.
	maxCallers = 16
	// callWithin is how long a caller has for its call, in milliseconds.
	callWithin = 3000.0
)

// Counters count the calls by their answers, and the callers that gave none.
type Counters struct {
	Requests  int64 `status:"calls"`
	Succeeded int64 `status:"answered"`
	Rejected  int64 `status:"denied"`
	Malformed int64 `status:"malformed"`
	TimedOut  int64 `status:"timed_out"`
	Evicted   int64 `status:"evicted"`
}

// Server answers operators.
type Server struct {
	loop     *router.Loop
	ops      Backend
	log      *slog.Logger
	listener *netio.Listener
	callers  map[*caller]bool
	seq      int64
	Counters Counters
}

// NewServer opens a door on a listener, which it takes over.
func NewServer(loop *router.Loop, n *netio.Poller, lis net.Listener, ops Backend, log *slog.Logger) *Server {
	d := newDoor(loop, ops, log)
	d.listener = n.Serve(lis, d.accept)
	return d
}

func newDoor(loop *router.Loop, ops Backend, log *slog.Logger) *Server {
	return &Server{loop: loop, ops: ops, log: log, callers: map[*caller]bool{}}
}

// Addr is where the door listens.
func (d *Server) Addr() string { return d.listener.Addr() }

// Reopen opens a door that was closed.
func (d *Server) Reopen(lis net.Listener) { d.listener = d.listener.Replace(lis) }

// File gives a copy of the listener's descriptor.
func (d *Server) File() (*os.File, error) { return d.listener.File() }

// Close closes the door to new callers; those that are inside are answered.
func (d *Server) Close() { d.listener.Close() }

func (d *Server) accept() netio.Handler { return &caller{door: d} }

// caller is one connection.
type caller struct {
	door   *Server
	conn   netio.Conn
	buf    []byte
	seq    int64 // callers are numbered as they come
	timer  *router.Timer
	called bool // the call has come whole
	over   bool
}

// Opened implements netio.Handler.
func (c *caller) Opened(conn netio.Conn) {
	d := c.door
	c.conn = conn
	d.seq++
	c.seq = d.seq
	if len(d.callers) >= maxCallers && !d.evict() {
		conn.Close()
		return
	}
	d.callers[c] = true
	c.timer = d.loop.After(callWithin, func() {
		d.Counters.TimedOut++
		c.answer(408, "the call did not come whole")
	})
}

// evict closes the caller that has sent the least, the oldest of those.
func (d *Server) evict() bool {
	var least *caller
	for c := range d.callers {
		if c.called {
			continue // its answer is on the way
		}
		if least == nil || len(c.buf) < len(least.buf) || len(c.buf) == len(least.buf) && c.seq < least.seq {
			least = c
		}
	}
	if least == nil {
		return false
	}
	d.Counters.Evicted++
	least.leave()
	least.conn.Close()
	return true
}

// Data implements netio.Handler.
func (c *caller) Data(b []byte, _ float64) {
	if c.over || c.called {
		return
	}
	c.buf = append(c.buf, b...)
	k, err := parseCall(c.buf)
	switch {
	case err == errTooLong:
		c.door.Counters.Malformed++
		c.answer(413, err.Error())
	case err != nil:
		c.door.Counters.Malformed++
		c.answer(400, err.Error())
	case k != nil:
		c.door.Counters.Requests++
		c.called = true
		c.door.carryOut(k, c.answer)
	}
}

// Closed implements netio.Handler.
func (c *caller) Closed(error) { c.leave() }

func (c *caller) leave() {
	c.over, c.buf = true, nil
	c.timer.Stop()
	delete(c.door.callers, c)
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 503: "Service Unavailable",
}

// answer writes the one answer and closes once the caller has had time to read it.
func (c *caller) answer(code int, text string) {
	if c.over {
		return
	}
	switch {
	case !c.called:
	case code < 300:
		c.door.Counters.Succeeded++
	default:
		c.door.Counters.Rejected++
	}
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	allow := ""
	if code == 405 {
		allow, text = "Allow: "+strings.TrimSpace(text)+"\r\n", "method not allowed\n"
	}
	c.leave()
	_ = c.conn.Write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		code, reasons[code], allow, len(text), text))
	if code < 400 {
		c.conn.Close() // the call has been read whole
		return
	}
	c.conn.CloseGracefully()
}

// carryOut does what a call asks. With 405 the text is the method that is allowed.
func (d *Server) carryOut(k *call, answer func(code int, text string)) {
	for prefix, order := range map[string]func(string, func(bool)){"/api/exclude/": d.ops.Cordon, "/api/include/": d.ops.Uncordon} {
		id, ok := strings.CutPrefix(k.path, prefix)
		switch {
		case !ok:
			continue
		case k.method != "POST":
			answer(405, "POST")
		default:
			order(id, func(known bool) {
				d.log.Info("operator's call", "path", k.path, "known", known)
				if !known {
					answer(404, "no engine of that id was ever listed")
					return
				}
				answer(200, "done")
			})
		}
		return
	}
	switch {
	case k.path != "/api/ready" && k.path != "/api/telemetry":
		answer(404, "there is /api/ready, /api/telemetry, /api/exclude/ID and /api/include/ID")
	case k.method != "GET":
		answer(405, "GET")
	case k.path == "/api/telemetry":
		answer(200, d.ops.Telemetry())
	default:
		if err := d.ops.Ready(); err != nil {
			answer(503, err.Error())
			return
		}
		answer(200, "ready")
	}
}
