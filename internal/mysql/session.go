package mysql

import (
	"context"
	"fmt"
	"log/slog"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// The time limits of a session, checked every sweepIntervalMS. Clients connect when they have a statement to send,
// and one that cannot be served is due an answer or a close within 3 s.
const (
	// firstCommandTimeoutMS bounds the time from the connection to the first command, login included.
	firstCommandTimeoutMS = 2200.0
	// packetTimeoutMS bounds the time from the first byte of a packet to its last.
	packetTimeoutMS = 2000.0
	// idleTimeoutMS bounds the time without a command; the platform's own clients close after 4 s of it.
	idleTimeoutMS = 10_000.0
)

// session is one client connection.
type session struct {
	front    *Front
	core     *router.Core
	loop     *router.Loop
	log      *slog.Logger
	counters *Counters

	conn        netio.Conn
	id          uint32
	loggedIn    bool
	sentCommand bool
	closed      bool
	busy        bool // a request is open
	handle      router.Handle
	seq         byte // of the answer's next packet
	buffer      []byte

	openedMS       float64
	lastDataMS     float64 // when the last bytes arrived; 0: none have
	waitingSinceMS float64 // since when it waits for the client: for the login, a command, or the remainder of a packet
}

// Opened implements netio.Handler.
func (s *session) Opened(conn netio.Conn) {
	s.conn = conn
	s.id = s.front.nextID()
	s.counters.Sessions++
	s.openedMS = s.loop.Now()
	s.waitingSinceMS = s.openedMS
	if !s.front.add(s) {
		s.counters.Rejected++
		s.closeWithError(errTooManyConnections, "too many connections")
		return
	}
	w := packetWriter{}
	w.greeting(s.id)
	_ = conn.Write(w.buffer)
	s.seq = w.seq + 1 // the client's login is between
}

// Closed implements netio.Handler.
func (s *session) Closed(error) { s.deregister() }

// Data implements netio.Handler.
func (s *session) Data(b []byte, atMS float64) {
	if s.closed {
		return
	}
	if len(s.buffer) == 0 {
		s.waitingSinceMS = atMS
	}
	s.setBuffer(append(s.buffer, b...))
	s.lastDataMS = atMS
	s.processBuffer()
	switch {
	case s.closed:
	case len(s.buffer) > maxSessionBuffer:
		s.closeWithError(errPacketTooBig, "too much sent ahead of the answer")
	case s.front.exceedsBufferLimit():
		s.closeWithError(errTooManyConnections, "too many packets are under way")
	}
}

// setBuffer sets the buffer; an empty one takes no memory.
func (s *session) setBuffer(b []byte) {
	s.front.buffered += len(b) - len(s.buffer)
	s.buffer = b
	if len(b) == 0 {
		s.buffer = nil
	}
}

// idle reports whether no request is open and no byte of one has arrived.
func (s *session) idle() bool { return s.loggedIn && !s.busy && len(s.buffer) == 0 }

// expire ends the session if it exceeds a time limit.
func (s *session) expire(now float64) {
	text := ""
	switch {
	case s.busy:
	case !s.sentCommand && now-s.openedMS >= firstCommandTimeoutMS:
		text = "no whole command came after the connection"
	case len(s.buffer) > 0 && now-s.waitingSinceMS >= packetTimeoutMS:
		text = "the rest of a packet did not come"
	case len(s.buffer) == 0 && now-s.waitingSinceMS >= idleTimeoutMS:
		text = "idle"
	}
	if text == "" || s.conn.HasUnread() { // what it waits for has arrived and was not read yet
		return
	}
	s.counters.TimedOut++
	s.log.Debug("session timed out", "session", s.id, "text", text)
	if !s.loggedIn || len(s.buffer) > 0 { // else the error could pass for the answer to a command that is on its way
		s.writeError(errReadTimeout, text)
	}
	s.close()
}

// advance handles complete packets until a request is open.
func (s *session) processBuffer() {
	for !s.closed && !s.busy && len(s.buffer) >= headerLength {
		n := int(s.buffer[0]) | int(s.buffer[1])<<8 | int(s.buffer[2])<<16
		if n > maxPacket {
			s.counters.BadPackets++
			s.closeWithError(errPacketTooBig, fmt.Sprintf("packet of %d bytes; at most %d are taken", n, maxPacket))
			return
		}
		if len(s.buffer) < headerLength+n {
			return
		}
		seq, body := s.buffer[3], s.buffer[headerLength:headerLength+n]
		s.setBuffer(s.buffer[headerLength+n:])
		s.waitingSinceMS = s.loop.Now()
		s.seq = seq + 1
		s.handlePacket(seq, body)
	}
}

func (s *session) handlePacket(seq byte, body []byte) {
	if !s.loggedIn {
		s.handleLogin(seq, body)
		return
	}
	switch {
	case seq != 0:
		s.counters.BadPackets++
		s.closeWithError(errPacketOrder, fmt.Sprintf("packet number %d opens a command", seq))
	case len(body) == 0:
		s.counters.BadPackets++
		s.writeError(errUnknownCommand, "an empty command")
	default:
		s.handleCommand(body[0], body[1:])
	}
	s.sentCommand = true
}

// interrupt answers the open request, if there is one, with an error.
func (s *session) interrupt() {
	if !s.busy {
		return
	}
	s.core.Abandon(s.handle)
	s.busy = false
	s.writeError(errInterrupted, "query execution was interrupted")
	s.processBuffer()
}

// fail answers with an error and closes: the framing is lost, or the client may not continue.
func (s *session) closeWithError(code int, text string) {
	level := slog.LevelWarn
	if code == errTooManyConnections {
		level = slog.LevelDebug // a flood would fill the log; the counters show it
	}
	s.log.Log(context.Background(), level, "session closed", "session", s.id, "code", code, "text", text)
	s.writeError(code, text)
	s.close()
}

// end is the one way in which a session closes: queued answers are sent, then the end of the stream. What the client
// sends from here on is dropped; it learns from the end that it was not handled.
func (s *session) close() {
	s.deregister()
	s.conn.CloseGracefully()
}

// deregister removes the session from the front; its open request is not answered any more.
func (s *session) deregister() {
	delete(s.front.sessions, s.id)
	s.closed = true
	s.setBuffer(nil)
	if s.busy {
		s.busy = false
		s.core.Abandon(s.handle)
	}
}
