package netio

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"windflow/internal/router"
)

// stopTimeout limits the time that Stop waits for nbio. A poller that nbio has just started may miss the stop, because
// it clears its stop flag when it starts. nbio's Stop then never returns, and a router that fails during startup would
// hang.
const stopTimeout = time.Second

// Poller opens connections and accepts them on listeners. Stop ends the poller and its goroutines.
type Poller struct {
	loop      *router.Loop
	engine    *nbio.Engine
	log       *slog.Logger
	registrar *registrar
	budget    *readBudget
	closes    *gracefulCloses
	backlog   atomic.Int32 // connections with events that the loop has not handled
	listener  *Listener    // the listener that New opened; nil if there is none

	mu        sync.Mutex
	listeners []*Listener
}

// New starts a poller for the loop. If listen is not empty, the poller accepts connections at that address, and accept
// returns the handler of each connection.
func New(loop *router.Loop, listen string, accept func() Handler, log *slog.Logger) (*Poller, error) {
	pollerLog.Store(log)
	poller := &Poller{
		loop: loop, log: log, budget: newReadBudget(defaultMaxInbound),
		closes: &gracefulCloses{allowance: map[*nbio.Conn]int{}},
	}
	poller.engine = nbio.NewEngine(nbio.Config{
		Name: "windflow", Network: "tcp", NPoller: 1,
		ReadBufferSize: readBufferSize, MaxConnReadTimesPerEventLoop: 1, MaxWriteBufferSize: maxUnwritten,
	})
	poller.engine.OnData(poller.handleData)
	poller.engine.OnClose(poller.handleClose)
	poller.engine.OnWrittenSize(poller.handleWritten)
	var lis net.Listener
	if listen != "" {
		var err error
		if lis, err = net.Listen("tcp", listen); err != nil {
			return nil, err
		}
	}
	if err := poller.start(); err != nil {
		if lis != nil {
			_ = lis.Close()
		}
		return nil, err
	}
	if lis != nil {
		poller.listener = poller.Serve(lis, accept)
	}
	return poller, nil
}

// start starts nbio's poller and the registrar. It also makes the loop, after each stall, wait until the poller has
// delivered the events that are pending.
func (p *Poller) start() error {
	if err := p.engine.Start(); err != nil {
		return err
	}
	var err error
	if p.registrar, err = newRegistrar(p.engine); err != nil {
		return err
	}
	p.loop.OnStall = func(caughtUp func()) {
		p.registrar.afterPending(func() { p.afterBacklog(p.loop.Now()+maxBacklogWaitMS, caughtUp) })
	}
	return nil
}

// handleData queues the bytes that were read on a connection for the loop. It is called in the poller's goroutine, as are
// handleClose and handleWritten.
func (p *Poller) handleData(conn *nbio.Conn, b []byte) {
	sock, ok := conn.Session().(*socket)
	if !ok {
		p.registrar.handleWake() // only the connection of the registrar has no socket
		return
	}
	if p.closes.discard(conn, len(b)) {
		return
	}
	data := append([]byte(nil), b...)
	sock.pendingReads.Add(1)
	p.budget.acquire(len(data))
	p.enqueue(sock, inboundEvent{data: data, atMS: p.loop.Now()})
}

// handleClose queues the end of a connection behind the data that was read on it.
func (p *Poller) handleClose(conn *nbio.Conn, err error) {
	if s, ok := conn.Session().(*socket); ok {
		p.enqueue(s, inboundEvent{closed: true, err: err})
	}
}

// handleWritten posts a flush to the loop if NotifyFlushed was called for the connection.
func (p *Poller) handleWritten(conn *nbio.Conn, _ []byte, _ int) {
	if s, ok := conn.Session().(*socket); ok && s.flushWanted.Load() {
		p.loop.Post(s.flush)
	}
}

// Addr returns the address of the listener that New opened; it is empty if there is none.
func (p *Poller) Addr() string {
	if p.listener == nil {
		return ""
	}
	return p.listener.Addr()
}

// SetMaxInbound sets the limit of the bytes that were read and not yet handled.
func (p *Poller) SetMaxInbound(bytes int) { p.budget.setLimit(bytes) }

// BeginShutdown removes the limit of connections that close gracefully at the same time, because the process is about
// to end and needs no descriptors for new connections. It must be called in the loop.
func (p *Poller) BeginShutdown() { p.closes.unlimited = true }

// ClosingConns returns the number of connections that are closing gracefully. It must be called in the loop.
func (p *Poller) ClosingConns() int { return p.closes.count }

// Stop closes the listeners and all connections. It waits for the poller's goroutines, for nbio's at most stopTimeout.
func (p *Poller) Stop() {
	p.budget.close()
	p.mu.Lock()
	listeners := p.listeners
	p.mu.Unlock()
	for _, l := range listeners {
		l.Close()
		<-l.ended
	}
	p.registrar.close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.engine.Stop()
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
	}
}
