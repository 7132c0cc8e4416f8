package admin

import (
	"log/slog"
	"net"
	"os"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// Backend provides the functions that the API exposes. Its methods are called in the loop.
type Backend interface {
	// Ready returns nil while the router serves queries; otherwise the error gives the reason.
	Ready() error
	// Telemetry returns the metrics, one per line.
	Telemetry() string
	// Cordon cordons an engine. It calls done once the cordon is in force in all processes of the router. known is
	// false if no endpoint list has ever contained the id.
	Cordon(id string, done func(known bool))
	// Uncordon ends the cordon of an engine. It calls done like Cordon, once the cordon has ended in all processes.
	Uncordon(id string, done func(known bool))
}

const (
	// maxConnections is the maximum number of open connections. When it is reached, the connection that has sent the
	// least is evicted for a new one, because otherwise clients that connect and send nothing could block the others.
	maxConnections = 16
	// requestTimeoutMS is the time in milliseconds that a client has to send its request.
	requestTimeoutMS = 3000.0
)

// Counters counts complete requests by their result, and connections that ended without a complete request.
type Counters struct {
	Requests  int64 `status:"calls"`
	Succeeded int64 `status:"answered"`
	Rejected  int64 `status:"denied"`
	Malformed int64 `status:"malformed"`
	TimedOut  int64 `status:"timed_out"`
	Evicted   int64 `status:"evicted"`
}

// Server is the HTTP server of the API. It must be used only in the loop's goroutine.
type Server struct {
	loop        *router.Loop
	backend     Backend
	log         *slog.Logger
	listener    *netio.Listener
	connections map[*connection]bool
	sequence    int64 // number of the newest connection
	Counters    Counters
}

// NewServer starts a server on a listener and takes ownership of the listener.
func NewServer(
	loop *router.Loop, poller *netio.Poller, listener net.Listener, backend Backend, log *slog.Logger,
) *Server {
	s := newServer(loop, backend, log)
	s.listener = poller.Serve(listener, s.accept)
	return s
}

// newServer returns a server without a listener.
func newServer(loop *router.Loop, backend Backend, log *slog.Logger) *Server {
	return &Server{loop: loop, backend: backend, log: log, connections: map[*connection]bool{}}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr() }

// Reopen makes the server accept connections on another listener after Close.
func (s *Server) Reopen(listener net.Listener) { s.listener = s.listener.Replace(listener) }

// File returns a duplicate of the listener's descriptor.
func (s *Server) File() (*os.File, error) { return s.listener.File() }

// Close stops accepting connections. Requests on open connections are still answered.
func (s *Server) Close() { s.listener.Close() }

// accept returns the handler of a new connection.
func (s *Server) accept() netio.Handler { return &connection{server: s} }

// add registers a new connection and evicts another one if there are already maxConnections. It returns false if none
// can be evicted.
func (s *Server) add(c *connection) bool {
	s.sequence++
	c.sequence = s.sequence
	if len(s.connections) >= maxConnections && !s.evict() {
		return false
	}
	s.connections[c] = true
	return true
}

// evict closes the connection that has sent the fewest bytes, and of several such connections the oldest. It returns
// false if the requests of all connections are being handled.
func (s *Server) evict() bool {
	var victim *connection
	for c := range s.connections {
		if c.requestReceived {
			continue // the response to its request is pending
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
