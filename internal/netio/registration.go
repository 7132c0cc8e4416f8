package netio

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// registrar registers new connections with the poller. It does so in the poller's goroutine, and only after the poller
// has handled all events that it had fetched from the kernel when the connection was accepted.
//
// nbio identifies a connection by its descriptor, and the poller fetches events for many descriptors at once. The loop
// may close a connection whose event was fetched and not yet handled. The system then assigns the descriptor to the
// next connection, and nbio would attribute the event, such as the end of the former connection, to the new one.
// Without the delay, connections of clients and engines would be closed right after they were opened, although neither
// side has closed them.
//
// To run code in the poller's goroutine, the registrar writes a byte to a connection of its own, which wakes the
// poller. A registration is carried out at the second wake-up after it was enqueued, because the poller may have
// fetched the events that it handles with the first wake-up before the registration was enqueued.
type registrar struct {
	engine   *nbio.Engine
	wakeConn net.Conn // the poller reads the other end

	mu          sync.Mutex
	arrived     []registration // enqueued since the last wake-up
	due         []registration // to be carried out at the next wake-up
	wakePending bool           // a byte was written that the poller has not read
	closed      bool
}

// registration is a connection to register, or a pending call: if conn is nil, only done is called.
type registration struct {
	conn *nbio.Conn
	done func(error)
}

// newRegistrar returns the registrar of a poller. It uses two descriptors.
func newRegistrar(engine *nbio.Engine) (*registrar, error) {
	ends, err := newSocketPair()
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(ends[1])
	if err != nil {
		return nil, err
	}
	r := &registrar{engine: engine, wakeConn: ends[0]}
	if _, err := engine.AddConn(conn); err != nil { // safe without a delay: no descriptor was closed and reused yet
		return nil, err
	}
	return r, nil
}

// register registers a connection and calls done in the poller's goroutine before any data of the connection is
// delivered. If done receives an error, the connection was closed. After close it closes the connection and does not
// call done.
func (r *registrar) register(conn *nbio.Conn, done func(error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = conn.Close()
		return
	}
	r.enqueue(registration{conn, done})
}

// afterPending calls fn once the poller has delivered all events that occurred before the call, or at once if the
// registrar is closed.
func (r *registrar) afterPending(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		fn()
		return
	}
	r.enqueue(registration{done: func(error) { fn() }})
}

// enqueue adds a registration and wakes the poller. The caller must hold r.mu.
func (r *registrar) enqueue(reg registration) {
	r.arrived = append(r.arrived, reg)
	r.wake()
}

// wake writes a byte that wakes the poller, unless one is already pending. The caller must hold r.mu.
func (r *registrar) wake() {
	if !r.wakePending {
		r.wakePending = true
		_, _ = r.wakeConn.Write([]byte{0}) // never blocks, because at most one byte is unread
	}
}

// handleWake carries out the registrations that are due. It is called in the poller's goroutine at each wake-up.
// Registrations that were enqueued before the previous wake-up are due: the events that the poller is handling were
// fetched after that wake-up, when the former connections with the same descriptors were already closed. Later
// registrations may have been enqueued after the events were fetched, so they wait for the next wake-up.
func (r *registrar) handleWake() {
	for _, reg := range r.takeDue() {
		var err error
		if reg.conn != nil {
			_, err = r.engine.AddConn(reg.conn)
		}
		reg.done(err)
	}
}

// takeDue returns the registrations that are due. Those that have arrived since the last wake-up become due at the next
// one.
func (r *registrar) takeDue() []registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.due
	r.due, r.arrived = r.arrived, nil
	r.wakePending = false
	if len(r.due) > 0 {
		r.wake()
	}
	return due
}

// close stops the registrar and closes the connections that are not registered yet.
func (r *registrar) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, reg := range append(r.due, r.arrived...) {
		if reg.conn != nil {
			_ = reg.conn.Close()
		}
	}
	r.due, r.arrived = nil, nil
	_ = r.wakeConn.Close()
}
