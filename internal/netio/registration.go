package netio

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// registrar registers new connections with the poller, in the poller's own goroutine and only after it has handled all
// events that it had gathered when the connection was accepted.
//
// nbio identifies a connection by its descriptor, and the poller gathers events for many descriptors at once. The
// loop may close a connection whose event was gathered and not handled yet; the system assigns its descriptor to the
// next connection, and nbio would take the event, the end of the former connection, for one of the new connection.
// Without the deferral, connections of clients and engines end right after they were opened, though nobody has closed
// them.
//
// The poller's goroutine is entered by a byte on a connection of the registrar's own. Each such wake-up is a turn: a
// registration is due in the second turn after it was enqueued, because the events of the turn that follows it may
// have been gathered before.
type registrar struct {
	engine   *nbio.Engine
	wakeConn net.Conn // what is written here is read by the poller

	mu          sync.Mutex
	arrived     []registration // since the last turn
	due         []registration // in the next turn
	wakePending bool           // a byte is on its way to the poller
	closed      bool
}

// registration is a connection to register; conn is nil for one that only waits for its turn.
type registration struct {
	conn *nbio.Conn
	done func(error)
}

// newRegistrar returns the registrar of a poller; it uses two descriptors.
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
	if _, err := engine.AddConn(conn); err != nil { // nothing was closed yet, so that no descriptor is a former one
		return nil, err
	}
	return r, nil
}

// register registers a connection and calls done in the poller's goroutine, before anything that was read on it is
// handed on. With an error the connection was closed.
func (r *registrar) register(conn *nbio.Conn, done func(error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = conn.Close()
		return
	}
	r.enqueue(registration{conn, done})
}

// afterPending calls fn once the poller has delivered the events of its connections up to now, or has been stopped.
func (r *registrar) afterPending(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		fn()
		return
	}
	r.enqueue(registration{done: func(error) { fn() }})
}

// enqueue adds a registration and makes sure of a later turn; r.mu is held.
func (r *registrar) enqueue(reg registration) {
	r.arrived = append(r.arrived, reg)
	r.wake()
}

// wake makes sure of a later turn; r.mu is held.
func (r *registrar) wake() {
	if !r.wakePending {
		r.wakePending = true
		_, _ = r.wakeConn.Write([]byte{0}) // at most one byte is unread, so that it never blocks
	}
}

// handleWake runs a turn. It is called in the poller's goroutine, once for each byte. Registrations enqueued before
// the previous turn are due: the events that the poller handles now were gathered after that turn, and the former
// connections of these descriptors had been closed by then. Those enqueued later may have been enqueued after the
// events were gathered, and wait for another turn.
func (r *registrar) handleWake() {
	for _, reg := range r.takeDue() {
		var err error
		if reg.conn != nil {
			_, err = r.engine.AddConn(reg.conn)
		}
		reg.done(err)
	}
}

// takeDue returns the registrations that are due and makes those that arrived since the last turn due in the next one.
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

// close ends the turns and closes connections that are not registered yet.
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
