package keeper_test

import (
	"net"
	"sync"
	"testing"
)

// link is a TCP proxy from one keeper to another that can be blocked in each direction. It delivers the pending data
// when it is unblocked, like a network that has lost packets for a while.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	changed  *sync.Cond
	blocked  [2]bool // indexed by forward and reverse
	closed   bool
	conns    map[net.Conn]bool
}

const (
	forward = 0
	reverse = 1
)

func newLink(t *testing.T, listen, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *link) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(c)
	}
}

func (r *link) connect(c net.Conn) {
	// A blocked link does not connect to the target, although the listener has accepted the caller's connection.
	if !r.waitUntilUnblocked(forward) {
		_ = c.Close()
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	if !r.track(c, to) {
		return
	}
	go r.copyData(c, to, forward)
	r.copyData(to, c, reverse)
}

func (r *link) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if r.closed {
			_ = c.Close()
		}
		r.conns[c] = true
	}
	return !r.closed
}

func (r *link) copyData(from, to net.Conn, direction int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !r.waitUntilUnblocked(direction) {
			break
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = from.Close(), to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}

// waitUntilUnblocked waits while a direction is blocked. It returns false once the link is closed.
func (r *link) waitUntilUnblocked(direction int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.blocked[direction] && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *link) setBlocked(direction int, blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[direction] = blocked
	r.changed.Broadcast()
}

func (r *link) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
	r.changed.Broadcast()
}
