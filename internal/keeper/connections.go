package keeper

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionLimiter bounds the open connections of an HTTP server. A connection beyond the limit replaces the one that
// has been waiting for a request longest. If the calls of all others are open, the new one is closed unread, so that
// its client can turn to another keeper at once. It is safe for concurrent use.
type connectionLimiter struct {
	maxOpen int

	mu   sync.Mutex
	open map[net.Conn]*connectionState
}

// connectionState is the state of an open connection.
type connectionState struct {
	inCall bool
	since  time.Time // when the connection was opened or its last call ended
}

func newConnectionLimiter(maxOpen int) *connectionLimiter {
	return &connectionLimiter{maxOpen: maxOpen, open: map[net.Conn]*connectionState{}}
}

// connState is the ConnState hook of the server.
func (l *connectionLimiter) connState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open[conn] = &connectionState{since: time.Now()}
		if len(l.open) > l.maxOpen {
			victim := l.evictionCandidate(conn)
			delete(l.open, victim)
			_ = victim.Close()
		}
	case http.StateActive:
		if current := l.open[conn]; current != nil {
			current.inCall = true
		}
	case http.StateIdle:
		if current := l.open[conn]; current != nil {
			current.inCall, current.since = false, time.Now()
		}
	case http.StateHijacked, http.StateClosed:
		delete(l.open, conn)
	}
}

// evictionCandidate returns the connection without an open call that has been waiting longest, or the newest one if
// there is no other. The caller holds l.mu.
func (l *connectionLimiter) evictionCandidate(newest net.Conn) net.Conn {
	victim := newest
	for conn, state := range l.open {
		if !state.inCall && state.since.Before(l.open[victim].since) {
			victim = conn
		}
	}
	return victim
}
