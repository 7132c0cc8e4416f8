package admin

import (
	"log/slog"
	"net"
	"os"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// Backend is what the API exposes; all of it is called in the loop.
type Backend interface {
	// Ready returns nil while the router serves, or why it does not.
	Ready() error
	// Telemetry returns the metrics, a line each.
	Telemetry() string
	// Cordon and Uncordon answer false for an id that no list of engines has named. The answer follows once the
	// cordon is in force, or ended, in all processes of the router.
	Cordon(id string, answer func(known bool))
	Uncordon(id string, answer func(known bool))
}

const (
	// maxConnections bounds the connections; past it, the one that has sent the least is evicted. It guards against
	// clients that connect and stay silent: they would shut the others out.
	maxConnections = 16
	// requestTimeoutMS is how long a client has to send its request, in milliseconds.
	requestTimeoutMS = 3000.0
)

// Counters count the requests by their answers, and the connections that sent none.
type Counters struct {
	Requests  int64 `status:"calls"`
	Succeeded int64 `status:"answered"`
	Rejected  int64 `status:"denied"`
	Malformed int64 `status:"malformed"`
	TimedOut  int64 `status:"timed_out"`
	Evicted   int64 `status:"evicted"`
}

// Server answers operators. It belongs to the loop's goroutine.
type Server struct {
	loop        *router.Loop
	backend     Backend
	log         *slog.Logger
	listener    *netio.Listener
	connections map[*connection]bool
	sequence    int64 // the number of the newest connection
	Counters    Counters
}

// NewServer starts a server on a listener, which it takes over.
func NewServer(
	loop *router.Loop, poller *netio.Poller, listener net.Listener, backend Backend, log *slog.Logger,
) *Server {
	s := newServer(loop, backend, log)
	s.listener = poller.Serve(listener, s.accept)
	return s
}

func newServer(loop *router.Loop, backend Backend, log *slog.Logger) *Server {
	return &Server{loop: loop, backend: backend, log: log, connections: map[*connection]bool{}}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr() }

// Reopen listens again, after Close.
func (s *Server) Reopen(listener net.Listener) { s.listener = s.listener.Replace(listener) }

// File returns a duplicate of the listener's descriptor.
func (s *Server) File() (*os.File, error) { return s.listener.File() }

// Close stops listening; open connections are still answered.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) accept() netio.Handler { return &connection{server: s} }

// add counts a connection in, and reports whether there is room for it.
func (s *Server) add(c *connection) bool {
	s.sequence++
	c.sequence = s.sequence
	if len(s.connections) >= maxConnections && !s.evict() {
		return false
	}
	s.connections[c] = true
	return true
}

// evict closes the connection that has sent the least, the oldest of those.
func (s *Server) evict() bool {
	var victim *connection
	for c := range s.connections {
		if c.requestReceived {
			continue // its answer is on the way
		}
		if victim == nil || c.evictedBefore(victim) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	s.Counters.Evicted++
	victim.finish()
	victim.conn.Close()
	return true
}
