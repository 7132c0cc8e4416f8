package flightsql

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// Limits on clients' connections and calls.
const (
	// maxStatement bounds a statement, in bytes. It equals the maximum packet of the MySQL front.
	maxStatement = 64 << 10
	// maxCall bounds a message of a call, in bytes. A message has little besides the statement, so a statement that is
	// too long by some margin still arrives and is answered with an error that says so.
	maxCall = 2 * maxStatement
	// maxHeaderList bounds the headers of a call, in bytes.
	maxHeaderList = 16 << 10
	// maxStreams bounds the concurrent calls of one connection. The memory for the calls of all connections is bounded by
	// callLimiter.
	maxStreams = 32
	// flowControlWindow is the HTTP/2 flow-control window in bytes. gRPC does not enlarge a window that is set.
	flowControlWindow = 64 << 10
	// connReadBuffer and connWriteBuffer are the sizes of the buffers of a connection, in bytes.
	connReadBuffer, connWriteBuffer = 8 << 10, 32 << 10
	// handshakeTimeout bounds the time to set up a connection.
	handshakeTimeout = 5 * time.Second
	// acceptRetryDelay is the delay after a failed accept. Without free descriptors, each accept fails at once.
	acceptRetryDelay = 20 * time.Millisecond
)

// Config is the section flightsql of the settings. The schema of its values is in package installation.
type Config struct {
	Listen         string   `json:"listen"`
	EngineKinds    []string `json:"engine_kinds"`
	MaxConnections int      `json:"max_connections"`
}

// Counters count the calls of clients (FlightInfo requests, DoGets and DoPuts) and their answers.
type Counters struct {
	Infos      atomic.Int64 `status:"infos"`
	Gets       atomic.Int64 `status:"gets"`
	Puts       atomic.Int64 `status:"puts"`
	Malformed  atomic.Int64 `status:"malformed"`
	BadTickets atomic.Int64 `status:"bad_tickets"`
	Served     atomic.Int64 `status:"served"`
	Rejected   atomic.Int64 `status:"refused"`
	Failed     atomic.Int64 `status:"failed"`
	TimedOut   atomic.Int64 `status:"late"`
	Cancelled  atomic.Int64 `status:"left"`
	Evicted    atomic.Int64 `status:"evicted"`     // idle connections that made room for others
	TurnedAway atomic.Int64 `status:"turned_away"` // connections that were closed unread
	Expired    atomic.Int64 `status:"timed_out"`   // calls whose client took too long to send or to read
}

// Front serves clients that speak Flight SQL. Its methods are safe for concurrent use.
type Front struct {
	log     *slog.Logger
	service *service
	tickets *ticketStore
	clients *connectionSet
	calls   *callLimiter
	addr    string

	listenerMu sync.Mutex
	addrKnown  bool
	listener   net.Listener // nil while the front does not accept connections

	Counters Counters
}

// NewFront returns a front that accepts no connections until Serve. The seed makes its tickets hard to guess. Processes
// of one router with the same seed need different generations, so that their tickets differ.
func NewFront(
	cfg Config, core *router.Core, loop *router.Loop, seed uint64, generation uint8, log *slog.Logger,
) (*Front, error) {
	front := &Front{log: log, addr: cfg.Listen, tickets: newTicketStore(loop, seed, generation)}
	var err error
	if front.service, err = newService(core, loop, front.tickets, &front.Counters, front.Addr); err != nil {
		return nil, err
	}
	front.calls = &callLimiter{counters: &front.Counters, limit: defaultCallBytes}
	front.clients = newConnectionSet(cfg.MaxConnections, front.newServer, loop.Now, &front.Counters)
	return front, nil
}

// newServer returns the gRPC server of one connection.
func (f *Front) newServer() *grpc.Server {
	guard := &panicRecovery{log: f.log, counters: &f.Counters}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxCall), grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(flowControlWindow), grpc.InitialConnWindowSize(flowControlWindow),
		grpc.ReadBufferSize(connReadBuffer), grpc.WriteBufferSize(connWriteBuffer),
		grpc.InTapHandle(f.calls.admit), grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderList),
		grpc.UnaryInterceptor(guard.unary), grpc.StreamInterceptor(guard.stream))
	flight.RegisterFlightServiceServer(server, flightsql.NewFlightServer(f.service))
	return server
}

// LimitCallBytes sets the limit of the memory for the headers and messages of all open calls, in bytes.
func (f *Front) LimitCallBytes(limit int) { f.calls.setLimit(limit) }

// Serve takes ownership of a listener and accepts connections on it until StopAccepting or Stop. It does not block.
func (f *Front) Serve(lis net.Listener) {
	f.listenerMu.Lock()
	if !f.addrKnown { // calls read addr without a lock from now on, so it must not change
		f.addr, f.addrKnown = lis.Addr().String(), true
	}
	f.listener = lis
	f.listenerMu.Unlock()
	go f.accept(lis) // returns when the listener is closed
}

// accept accepts connections until the listener is closed or fails.
func (f *Front) accept(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		switch {
		case err == nil:
			f.clients.add(conn)
		case isTransient(err):
			f.log.Warn("listener accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
		default:
			f.listenerMu.Lock()
			defer f.listenerMu.Unlock()
			if f.listener == lis {
				f.log.Error("flight sql server ended", "error", err)
			}
			return
		}
	}
}

// isTransient reports whether a later accept may succeed: the client has left, or descriptors or memory ran out.
func isTransient(err error) bool {
	for _, transient := range []error{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// StopAccepting closes the listener and returns a copy of its descriptor. Open connections stay open.
func (f *Front) StopAccepting() (*os.File, error) {
	f.listenerMu.Lock()
	defer f.listenerMu.Unlock()
	file, err := netio.ListenerFile(f.listener)
	if lis := f.listener; lis != nil {
		f.listener = nil
		_ = lis.Close()
	}
	return file, err
}

// ListenerFile returns a copy of the listener's descriptor. The front continues to accept.
func (f *Front) ListenerFile() (*os.File, error) {
	f.listenerMu.Lock()
	defer f.listenerMu.Unlock()
	return netio.ListenerFile(f.listener)
}

// Drain tells clients to reconnect, which leads them to the other process, and lets calls in flight end. It does not
// block.
func (f *Front) Drain() {
	f.clients.drain()
}

// Stop closes the listener and all connections, and cancels the calls in flight.
func (f *Front) Stop() {
	f.listenerMu.Lock()
	lis := f.listener
	f.listener = nil
	f.listenerMu.Unlock()
	if lis != nil {
		_ = lis.Close()
	}
	f.clients.stop()
}

// Addr returns the address that the front listens on, or the configured one before the first Serve.
func (f *Front) Addr() string { return f.addr }

// ActiveCalls returns the number of requests in flight.
func (f *Front) ActiveCalls() int { return int(f.service.activeCalls.Load()) }

// SetTicketClaimer sets the function that requests a ticket from the other process of this router, for tickets that
// this process does not have. claim blocks until the answer and returns nil if there is no such ticket. Each ticket is
// in one process at a time, so that a single-use ticket is not redeemed twice.
func (f *Front) SetTicketClaimer(claim func(handle string) *Ticket) { f.tickets.setClaimer(claim) }

// ReleaseTicket removes a ticket and returns it for the other process. It returns nil if this process does not have it.
func (f *Front) ReleaseTicket(handle string) *Ticket { return f.tickets.release(handle) }

// ReleaseAllTickets removes all tickets and returns them for the other process.
func (f *Front) ReleaseAllTickets() []Ticket { return f.tickets.releaseAll() }

// ImportTickets adds tickets that the other process released.
func (f *Front) ImportTickets(tickets []Ticket) { f.tickets.importAll(tickets) }
