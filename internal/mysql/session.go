package mysql

import (
	"context"
	"fmt"
	"log/slog"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// Time limits of a session, checked every sweepIntervalMS. Clients connect when they have a statement to send, and a
// client that cannot be served has to get an answer or a close within 3 s.
const (
	// firstCommandTimeoutMS bounds the time from the connection to the first complete command, including the login.
	firstCommandTimeoutMS = 2200.0
	// packetTimeoutMS bounds the time from the first byte of a packet to the last.
	packetTimeoutMS = 2000.0
	// idleTimeoutMS bounds the time without a command. The platform's own clients close after 4 s without one.
	idleTimeoutMS = 10_000.0
)

// maxPacketsPerTurn is the number of packets of one session that are handled in one turn of the loop. It exceeds the
// number of packets that fit into the data of one turn, so that the buffer does not grow from turn to turn.
const maxPacketsPerTurn = 1024

// session is the connection of one client. It implements netio.Handler and router.ResponseHandler.
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
	busy        bool // a request is open, whose answer is not written yet
	handle      router.Handle
	seq         byte // sequence number of the next packet to write
	buffer      []byte

	openedMS       float64
	lastDataMS     float64 // time at which the last bytes arrived; 0 if none have
	waitingSinceMS float64 // since when the client is due to send a login, a command or the rest of a packet
}

// Opened implements netio.Handler. It sends the greeting, or an error if the front is full.
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
	s.seq = w.seq + 1 // skips the number of the client's login packet
}

// Closed implements netio.Handler. An open request is abandoned.
func (s *session) Closed(error) { s.deregister() }

// Data implements netio.Handler. It closes the session if it exceeds a limit on buffered bytes.
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
		s.closeWithError(errPacketTooBig, "too many bytes sent before the answer to the open request")
	case s.front.exceedsBufferLimit():
		s.closeWithError(errTooManyConnections, "the sessions of this router together buffer too many bytes")
	}
}

// setBuffer replaces the buffer and updates the front's total. The memory of an empty buffer is released.
func (s *session) setBuffer(b []byte) {
	s.front.buffered += len(b) - len(s.buffer)
	s.buffer = b
	if len(b) == 0 {
		s.buffer = nil
	}
}

// idle reports whether the client has logged in and the session has neither an open request nor buffered bytes.
func (s *session) idle() bool { return s.loggedIn && !s.busy && len(s.buffer) == 0 }

// expire closes the session if it exceeds a time limit. A session with an open request never does.
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
	if text == "" || s.conn.HasUnread() { // unread bytes: what the session waits for may have arrived
		return
	}
	s.counters.TimedOut++
	s.log.Debug("session timed out", "session", s.id, "text", text)
	if !s.loggedIn || len(s.buffer) > 0 { // an idle client could take the error for the answer to a command just sent
		s.writeError(errReadTimeout, text)
	}
	s.close()
}

// processBuffer handles the complete packets in the buffer until a request is open. A packet over maxPacket closes the
// session. Beyond maxPacketsPerTurn, it goes on in a later step of the loop, so that other sessions get their turn.
func (s *session) processBuffer() {
	for packets := 0; !s.closed && !s.busy && len(s.buffer) >= headerLength; packets++ {
		if packets == maxPacketsPerTurn {
			s.loop.Post(s.processBuffer)
			return
		}
		n := int(s.buffer[0]) | int(s.buffer[1])<<8 | int(s.buffer[2])<<16
		if n > maxPacket {
			s.counters.BadPackets++
			s.closeWithError(errPacketTooBig, fmt.Sprintf("packet has %d bytes, at most %d are allowed", n, maxPacket))
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

// interrupt abandons the open request, if there is one, and answers it with error 1317.
func (s *session) interrupt() {
	if !s.busy {
		return
	}
	s.core.Abandon(s.handle)
	s.busy = false
	s.writeError(errInterrupted, "query execution was interrupted")
	s.processBuffer()
}

// closeWithError sends an error and closes the session. It is for errors after which the packet boundaries are lost or
// the client must not continue.
func (s *session) closeWithError(code int, text string) {
	level := slog.LevelWarn
	if code == errTooManyConnections {
		level = slog.LevelDebug // many rejected connections would fill the log; the counters show them
	}
	s.log.Log(context.Background(), level, "session closed", "session", s.id, "code", code, "text", text)
	s.writeError(code, text)
	s.close()
}

// close closes the session: queued answers are sent, then the end of the stream. Every close by this side goes through
// it. What the client sends afterwards is dropped; the end of the stream tells the client that it was not handled.
func (s *session) close() {
	s.deregister()
	s.conn.CloseGracefully()
}

// deregister removes the session from the front and abandons its open request, which gets no answer.
func (s *session) deregister() {
	delete(s.front.sessions, s.id)
	s.closed = true
	s.setBuffer(nil)
	if s.busy {
		s.busy = false
		s.core.Abandon(s.handle)
	}
}
