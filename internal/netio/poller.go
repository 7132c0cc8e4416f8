package netio

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"windflow/internal/router"
)

// stopTimeout bounds Stop. A poller that nbio started a moment ago may miss its stop, because it clears its own mark
// as it starts, and nbio's Stop would then wait for ever: a router that fails at its start would hang.
const stopTimeout = time.Second

// Poller opens connections and listens. Stop ends it, with its goroutines.
type Poller struct {
	loop      *router.Loop
	engine    *nbio.Engine
	log       *slog.Logger
	registrar *registrar
	budget    *readBudget
	closes    *gracefulCloses
	listener  *Listener // the one that New opened; nil if there is none

	mu        sync.Mutex
	listeners []*Listener
}

// New starts a poller. If listen is not empty, it accepts connections at that address and accept returns the handler of
// each.
func New(loop *router.Loop, listen string, accept func() Handler, log *slog.Logger) (*Poller, error) {
	pollerLog.Store(log)
	poller := &Poller{
		loop: loop, log: log, budget: newReadBudget(defaultMaxInbound),
		closes: &gracefulCloses{allowance: map[*nbio.Conn]int{}},
	}
	poller.engine = nbio.NewEngine(nbio.Config{
		Name: "windflow", Network: "tcp", NPoller: 1,
		ReadBufferSize: readBufferSize, MaxWriteBufferSize: maxUnwritten,
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

// start starts nbio's poller and the registrar, and makes the loop wait for them after a stall.
func (p *Poller) start() error {
	if err := p.engine.Start(); err != nil {
		return err
	}
	var err error
	if p.registrar, err = newRegistrar(p.engine); err != nil {
		return err
	}
	p.loop.OnStall = p.registrar.afterPending
	return nil
}

// handleData posts what was read to the loop. It is called in the poller's goroutine, as are the other handle methods.
func (p *Poller) handleData(conn *nbio.Conn, b []byte) {
	sock, ok := conn.Session().(*socket)
	if !ok {
		p.registrar.handleWake() // only the registrar's own connection has no socket
		return
	}
	if p.closes.discard(conn, len(b)) {
		return
	}
	at, data := p.loop.Now(), append([]byte(nil), b...)
	sock.pendingReads.Add(1)
	p.budget.acquire(len(data))
	p.loop.Post(func() {
		sock.pendingReads.Add(-1)
		p.budget.release(len(data))
		sock.deliver(data, at)
	})
}

func (p *Poller) handleClose(conn *nbio.Conn, err error) {
	if s, ok := conn.Session().(*socket); ok {
		p.loop.Post(func() { s.handleClosed(err) })
	}
}

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

// SetMaxInbound bounds the bytes that were read and not handled yet.
func (p *Poller) SetMaxInbound(bytes int) { p.budget.setLimit(bytes) }

// BeginShutdown lifts the bound on connections that close gracefully at once: the process ends and needs no descriptors
// for others. It is called in the loop.
func (p *Poller) BeginShutdown() { p.closes.unlimited = true }

// ClosingConns returns the number of connections that close gracefully. It is called in the loop.
func (p *Poller) ClosingConns() int { return p.closes.count }

// Stop closes the listeners and all connections, and waits for the poller's goroutines.
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
