package flightsql

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
)

const (
	// silentAfterMS is the age from which on a connection that has opened no call is evicted first, in milliseconds.
	silentAfterMS = 500.0
	// MaxWaitingConnections is the number of accepted connections that may wait for a free place; more are closed.
	MaxWaitingConnections = 16
	// admissionTimeout is how long a connection waits for a free place before it is closed.
	admissionTimeout = time.Second
	// evictionTimeout is how long the client of an evicted connection may take to leave.
	evictionTimeout = 300 * time.Millisecond
)

// connectionSet admits clients' connections up to a limit. Beyond it a connection waits, unread, while the one whose
// client loses least is asked to leave; if none has ended after admissionTimeout, because each has an open call, the
// waiting one is closed. It is safe for concurrent use.
type connectionSet struct {
	newServer func() *grpc.Server
	now       func() float64
	counters  *Counters

	mu       sync.Mutex
	max      int
	open     map[*connection]struct{}
	waiting  []*waitingConnection // oldest first
	draining bool                 // clients are asked to leave
	stopped  bool
}

// waitingConnection is an accepted connection that is not read yet.
type waitingConnection struct {
	conn  net.Conn
	timer *time.Timer
}

func newConnectionSet(
	maxOpen int, newServer func() *grpc.Server, now func() float64, counters *Counters,
) *connectionSet {
	return &connectionSet{
		newServer: newServer, now: now, counters: counters, max: maxOpen, open: map[*connection]struct{}{},
	}
}

// add takes ownership of an accepted connection: it is served, waits for a place, or is closed.
func (s *connectionSet) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped:
		_ = conn.Close()
	case len(s.open) < s.max:
		s.serve(conn)
	case len(s.waiting) >= MaxWaitingConnections:
		s.reject(conn)
	default:
		waiting := &waitingConnection{conn: conn}
		waiting.timer = time.AfterFunc(admissionTimeout, func() { s.giveUp(waiting) })
		s.waiting = append(s.waiting, waiting)
		s.makeRoom()
	}
}

// reject closes a connection of which nothing was read.
func (s *connectionSet) reject(conn net.Conn) {
	s.counters.TurnedAway.Add(1)
	_ = conn.Close()
}

// giveUp closes a connection that has waited for admissionTimeout.
func (s *connectionSet) giveUp(waiting *waitingConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, waiting); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.reject(waiting.conn)
	}
}

// serve starts to serve a connection. The caller holds s.mu.
func (s *connectionSet) serve(conn net.Conn) {
	client := newConnection(conn, s.newServer(), s.now)
	client.onClose = s.remove
	client.onIdle = s.idle
	s.open[client] = struct{}{}
	go client.serve() // returns when the connection is closed
	if s.draining {
		s.askToLeave(client)
	}
}

// remove removes a closed connection and serves the oldest waiting one.
func (s *connectionSet) remove(client *connection) {
	go client.server.Stop() // releases what gRPC keeps for the connection; blocks, so that it cannot run here
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, client)
	if len(s.waiting) > 0 && !s.stopped {
		oldest := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		oldest.timer.Stop()
		s.serve(oldest.conn)
	}
}

// idle is called when the last call of a connection has ended, so that it may make room for another.
func (s *connectionSet) idle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeRoom()
}

// makeRoom evicts one connection for each that waits, as far as there are any without an open call. The caller holds
// s.mu.
func (s *connectionSet) makeRoom() {
	leaving := 0
	for client := range s.open {
		if client.leaving {
			leaving++
		}
	}
	for ; leaving < len(s.waiting); leaving++ {
		client := s.evictionCandidate()
		if client == nil {
			return
		}
		s.counters.Evicted.Add(1)
		s.askToLeave(client)
		go client.closeWhenIdle()
	}
}

// evictionCandidate returns the connection whose client loses least if it must reconnect, or nil. The caller holds s.mu.
func (s *connectionSet) evictionCandidate() *connection {
	type candidate struct {
		client  *connection
		rank    int
		sinceMS float64
	}
	var candidates []candidate
	now := s.now()
	for client := range s.open {
		if rank, sinceMS, ok := client.evictionRank(now); ok && !client.leaving {
			candidates = append(candidates, candidate{client, rank, sinceMS})
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sinceMS, b.sinceMS))
	}).client
}

// askToLeave lets the calls of a connection end and its client open no more (HTTP/2 GOAWAY); then the connection ends.
// The caller holds the set's lock.
func (s *connectionSet) askToLeave(client *connection) {
	if client.leaving {
		return
	}
	client.leaving = true
	go func() {
		select {
		case <-client.reading: // before it, gRPC would drop the connection unread
			client.server.GracefulStop()
		case <-client.ended:
		}
	}()
}

// closeWhenIdle closes a connection whose client was asked to leave and does not, once no call is open.
func (c *connection) closeWhenIdle() {
	check := time.NewTicker(evictionTimeout)
	defer check.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-check.C:
			if c.openCalls() == 0 && !c.hasUnread() {
				_ = c.Close()
				return
			}
		}
	}
}

// drain asks all clients to leave, also those that are still admitted.
func (s *connectionSet) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for client := range s.open {
		s.askToLeave(client)
	}
}

// stop closes all connections and cancels their calls.
func (s *connectionSet) stop() {
	s.mu.Lock()
	s.stopped = true
	clients := make([]*connection, 0, len(s.open))
	for client := range s.open {
		clients = append(clients, client)
	}
	for _, waiting := range s.waiting {
		waiting.timer.Stop()
		_ = waiting.conn.Close()
	}
	s.waiting = nil
	s.mu.Unlock()
	for _, client := range clients {
		_ = client.Close()
		client.server.Stop() // waits for the connection
	}
}
