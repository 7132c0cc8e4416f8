package netio

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
)

// turns hands new connections to the poller, each in the poller's own goroutine and only when it is through with all events
// that it had in hand when the connection came.
//
// nbio knows a connection by its descriptor's number, and the poller gathers events for many numbers at once. The loop may
// close a connection whose event is in hand and not handled yet; the system gives its number to the next connection, and
// nbio would take the event, the end of the former one, for that one's. It guards against connections of clients and engines
// that end right after they came up, though nobody has closed them.
type turns struct {
	engine *nbio.Engine
	own    net.Conn // what is written here, the poller hears as an event of its own

	mu      sync.Mutex
	come    []newcomer // since the last turn
	next    []newcomer // these came before the last turn, and so before what the poller gathers after it
	woken   bool       // a byte is on its way to the poller
	stopped bool
}

type newcomer struct {
	c    *nbio.Conn // nil for one that only waits; see pass
	then func(error)
}

// newTurns begins the turns of a poller; it takes two descriptors.
func newTurns(engine *nbio.Engine) (*turns, error) {
	ends, err := pair()
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(ends[1])
	if err != nil {
		return nil, err
	}
	t := &turns{engine: engine, own: ends[0]}
	if _, err := engine.AddConn(c); err != nil { // nothing has been closed yet, so that no number has been another's
		return nil, err
	}
	return t, nil
}

// pair gives two ends of one connection. Where the system gives no Unix sockets, they are TCP over loopback.
func pair() (ends [2]net.Conn, err error) {
	if ends, err = unixPair(); err == nil {
		return ends, nil
	}
	return tcpPair()
}

func tcpPair() (ends [2]net.Conn, err error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return ends, err
	}
	defer lis.Close()
	if ends[0], err = net.Dial("tcp4", lis.Addr().String()); err != nil {
		return ends, err
	}
	for { // another process may have come first
		if ends[1], err = lis.Accept(); err != nil {
			return ends, errors.Join(err, ends[0].Close())
		}
		if ends[1].RemoteAddr().String() == ends[0].LocalAddr().String() {
			return ends, nil
		}
		_ = ends[1].Close()
	}
}

func unixPair() (ends [2]net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return ends, os.NewSyscallError("socketpair", err)
	}
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "turns")
		conn, bad := net.FileConn(f)
		_ = f.Close()
		if err = errors.Join(err, bad); bad == nil {
			ends[i] = conn
		}
	}
	if err == nil {
		return ends, nil
	}
	for _, c := range ends {
		if c != nil {
			_ = c.Close()
		}
	}
	return [2]net.Conn{}, err
}

// add has the poller take a connection, and calls then in the poller's goroutine, before anything that is read on it is
// heard of. With an error the connection has been closed.
func (t *turns) add(c *nbio.Conn, then func(error)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		_ = c.Close()
		return
	}
	t.come = append(t.come, newcomer{c, then})
	t.wake()
}

// pass calls f once the poller has handed on what had come on its connections by now, or has been stopped.
func (t *turns) pass(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		f()
		return
	}
	t.come = append(t.come, newcomer{then: func(error) { f() }})
	t.wake()
}

// wake sees to it that there is a turn to come.
func (t *turns) wake() {
	if !t.woken {
		t.woken = true
		_, _ = t.own.Write([]byte{0}) // at most one byte waits there, so that it never blocks
	}
}

// turn is called in the poller's goroutine, once for each byte. Those that came before the turn before this one are due: the
// events that the poller has in hand now were gathered after that turn, and the former connections of these numbers had been
// closed by then. Those that came later may have come since the events were gathered, and wait for another turn.
func (t *turns) turn() {
	t.mu.Lock()
	due := t.next
	t.next, t.come = t.come, nil
	t.woken = false
	if len(t.next) > 0 {
		t.wake()
	}
	t.mu.Unlock()
	for _, n := range due {
		var err error
		if n.c != nil {
			_, err = t.engine.AddConn(n.c)
		}
		n.then(err)
	}
}

// close ends the turns; connections that the poller has not taken are closed.
func (t *turns) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, n := range append(t.next, t.come...) {
		if n.c != nil {
			_ = n.c.Close()
		}
	}
	t.next, t.come = nil, nil
	_ = t.own.Close()
}
