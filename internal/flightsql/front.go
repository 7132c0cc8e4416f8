package flightsql

import (
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// Bounds on clients' connections and calls.
const (
	// maxStatement bounds a statement, in bytes, as on the MySQL front.
	maxStatement = 64 << 10
	// maxCall bounds a message of a call, in bytes. A call has little beside the statement, so that there is room
	// for an error response to one that is too long.
	maxCall = 2 * maxStatement
	// maxHeaderList bounds the headers of a call, in bytes.
	maxHeaderList = 16 << 10
	// maxStreams bounds the calls of one connection. If all calls of all connections stopped short of their end, they
	// would occupy max_connections * maxStreams * maxCall: 128 MB of the 192 with the default of 32 connections.
	maxStreams = 32
	// flowControlWindow is how many bytes a client may send ahead; where it is set, gRPC does not raise it by itself.
	flowControlWindow = 64 << 10
	// handshakeTimeout bounds the setup of a connection.
	handshakeTimeout = 5 * time.Second
)

// Config is the section flightsql of the settings; its schema is in package installation.
type Config struct {
	Listen         string   `json:"listen"`
	EngineKinds    []string `json:"engine_kinds"`
	MaxConnections int      `json:"max_connections"`
}

// Counters count clients' calls and their answers.
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
}

// Front serves clients that speak Flight SQL. Its methods are safe for concurrent use.
type Front struct {
	log      *slog.Logger
	server   *grpc.Server
	service  *service
	tickets  *ticketStore
	addr     string
	maxConns int

	listenerMu sync.Mutex
	addrKnown  bool
	listener   net.Listener // nil while it does not accept

	Counters Counters
}

// NewFront returns a front that accepts nothing yet. The seed makes its tickets hard to guess; two processes of one
// router that share one differ in generation.
func NewFront(
	cfg Config, core *router.Core, loop *router.Loop, seed uint64, generation uint8, log *slog.Logger,
) (*Front, error) {
	front := &Front{
		log: log, addr: cfg.Listen, maxConns: cfg.MaxConnections, tickets: newTicketStore(loop, seed, generation),
	}
	var err error
	if front.service, err = newService(core, loop, front.tickets, &front.Counters, front.Addr); err != nil {
		return nil, err
	}
	guard := &panicRecovery{log: log, counters: &front.Counters}
	front.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxCall), grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(flowControlWindow), grpc.InitialConnWindowSize(flowControlWindow),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderList),
		grpc.UnaryInterceptor(guard.unary), grpc.StreamInterceptor(guard.stream))
	flight.RegisterFlightServiceServer(front.server, flightsql.NewFlightServer(front.service))
	return front, nil
}

// Serve accepts connections on a listener, which it owns from then on, until StopAccepting or Stop.
func (f *Front) Serve(lis net.Listener) {
	f.listenerMu.Lock()
	if !f.addrKnown { // the address stays: calls read it from now on
		f.addr, f.addrKnown = lis.Addr().String(), true
	}
	f.listener = lis
	f.listenerMu.Unlock()
	go func() {
		err := f.server.Serve(netutil.LimitListener(lis, f.maxConns))
		f.listenerMu.Lock()
		defer f.listenerMu.Unlock()
		if f.listener == lis && err != nil {
			f.log.Error("flight sql server ended", "error", err)
		}
	}()
}

// StopAccepting stops accepting and returns a copy of the listener's descriptor; open connections stay.
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

// ListenerFile returns a copy of the listener's descriptor.
func (f *Front) ListenerFile() (*os.File, error) {
	f.listenerMu.Lock()
	defer f.listenerMu.Unlock()
	return netio.ListenerFile(f.listener)
}

// Drain makes clients reconnect to the other process, and lets calls in flight end.
func (f *Front) Drain() {
	go f.server.GracefulStop() // it ends with the last call, or with Stop
}

// Stop closes the listener and all connections.
func (f *Front) Stop() { f.server.Stop() }

// Addr returns the address that it listens on.
func (f *Front) Addr() string { return f.addr }

// ActiveCalls returns the number of requests in flight.
func (f *Front) ActiveCalls() int { return int(f.service.activeCalls.Load()) }

// SetTicketClaimer sets how to request a ticket that is not here from the other process of this router; claim waits
// for the answer. Each ticket is in one process at a time, so that none is redeemed twice.
func (f *Front) SetTicketClaimer(claim func(handle string) *Ticket) { f.tickets.setClaimer(claim) }

// ReleaseTicket removes a ticket for the other process; nil means that it is not here.
func (f *Front) ReleaseTicket(handle string) *Ticket { return f.tickets.release(handle) }

// ReleaseAllTickets removes all tickets for the other process.
func (f *Front) ReleaseAllTickets() []Ticket { return f.tickets.releaseAll() }

// ImportTickets adds tickets that the other process released.
func (f *Front) ImportTickets(tickets []Ticket) { f.tickets.importAll(tickets) }
