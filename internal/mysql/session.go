// Package mysql is the platform's front: client sessions of the MySQL client protocol 4.1. It parses packets,
// logins and the fields of requests, hands requests to the core and writes what the core answers.
package mysql

import (
	"context"
	"fmt"
	"log/slog"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	user     = "app"
	database = "warehouse"
	// maxBuffered bounds what a session may pile up ahead of its answer.
	maxBuffered = 2*maxPacket + 2*headerLength

	// The time limits of a session, in milliseconds. Clients connect when they have something to ask, and one that
	// can't be served is owed an answer or a close within 3 s: so a session has askWithin from its opening for the
	// login and its first command, and packetWithin for a packet whose first byte has come. After that it may be
	// idle; the platform's own clients close after 4 s of that. The limits are looked at every sweepEvery.
	askWithin    = 2200.0
	packetWithin = 2000.0
	idleFor      = 10_000.0
	greetFor     = 50.0
	silentFor    = 500.0
	sweepEvery   = 250.0
	// leaveEvery is how often a front that leaves looks for sessions that are done.
	leaveEvery = 20.0
)

// session is one client connection.
type session struct {
	front    *Front
	conn     netio.Conn
	id       uint32
	loggedIn bool
	shut     bool
	busy     bool // a request is open
	handle   router.Handle
	seq      byte // of the answer's next packet
	buf      []byte
	at       float64 // when the last bytes came
	opened   float64
	since    float64 // when it began to wait for the client: for a login, a command, or the rest of a packet
	asked    bool    // a command has come
}

func (s *session) Opened(c netio.Conn) {
	f := s.front
	s.conn = c
	f.next = (f.next + 1) % (1 << idBits)
	s.id = f.base | f.next
	f.Counters.Sessions++
	s.opened = f.loop.Now()
	s.since = s.opened
	if len(f.sessions) >= f.cfg.MaxSessions && !f.evict() {
		f.Counters.Rejected++
		s.fatal(errTooManyConns, "too many connections")
		return
	}
	f.sessions[s.id] = s
	w := writer{}
	w.greeting(s.id, "windflow-needs-no-pw") // 20 bytes; the password is empty, so the salt protects nothing
	_ = c.Write(w.b)
	s.seq = w.seq + 1 // the client's login stands between
}

func (s *session) Closed(error) {
	s.leave()
}

func (s *session) Data(b []byte, at float64) {
	if s.shut {
		return
	}
	if len(s.buf) == 0 {
		s.since = at
	}
	s.keep(append(s.buf, b...))
	s.at = at
	s.advance()
	switch {
	case s.shut:
	case len(s.buf) > maxBuffered:
		s.fatal(errPacketTooBig, "too much sent ahead of the answer")
	case s.front.buffered > s.front.cfg.MaxBuffered:
		s.fatal(errTooManyConns, "too many packets are under way")
	}
}

// keep sets the buffer; an empty one holds no memory.
func (s *session) keep(b []byte) {
	s.front.buffered += len(b) - len(s.buf)
	if s.buf = b; len(b) == 0 {
		s.buf = nil
	}
}

// idle tells whether nothing is open and nothing has begun to come.
func (s *session) idle() bool { return s.loggedIn && !s.busy && len(s.buf) == 0 }

// expire ends the session if the client has let its time go by.
func (s *session) expire(now float64) {
	text := ""
	switch {
	case s.busy:
	case !s.asked && now-s.opened >= askWithin:
		text = "no whole command came after the connection"
	case len(s.buf) > 0 && now-s.since >= packetWithin:
		text = "the rest of a packet did not come"
	case len(s.buf) == 0 && now-s.since >= idleFor:
		text = "idle"
	}
	if text == "" || s.conn.HasUnread() { // what it was waited for is on its way to the session
		return
	}
	s.front.Counters.TimedOut++
	s.front.log.Debug("session timed out", "session", s.id, "text", text)
	if !s.loggedIn || len(s.buf) > 0 { // else an error packet could pass for the answer to a command that is just under way
		s.fail(errReadTimeout, text)
	}
	s.end()
}

// advance handles whole packets until a request is open.
func (s *session) advance() {
	for !s.shut && !s.busy && len(s.buf) >= headerLength {
		n := int(s.buf[0]) | int(s.buf[1])<<8 | int(s.buf[2])<<16
		if n > maxPacket {
			s.front.Counters.BadPackets++
			s.fatal(errPacketTooBig, fmt.Sprintf("packet of %d bytes; at most %d are taken", n, maxPacket))
			return
		}
		if len(s.buf) < headerLength+n {
			return
		}
		seq, body := s.buf[3], s.buf[headerLength:headerLength+n]
		s.keep(s.buf[headerLength+n:])
		s.since = s.front.loop.Now()
		s.seq = seq + 1
		s.packet(seq, body)
	}
}

func (s *session) packet(seq byte, body []byte) {
	first := !s.loggedIn
	switch {
	case !s.loggedIn:
		s.login(seq, body)
	case seq != 0:
		s.front.Counters.BadPackets++
		s.fatal(errPacketOrder, fmt.Sprintf("packet number %d opens a command", seq))
	case len(body) == 0:
		s.front.Counters.BadPackets++
		s.fail(errUnknownCom, "an empty command")
	default:
		s.command(body[0], body[1:])
	}
	s.asked = s.asked || s.loggedIn && !first
}

func (s *session) login(seq byte, body []byte) {
	l, err := parseLogin(body)
	f := s.front
	f.Counters.BadLogins++
	switch {
	case seq != 1:
		s.fatal(errPacketOrder, fmt.Sprintf("login packet with number %d", seq))
	case err != nil:
		s.fatal(errHandshake, "bad handshake: "+err.Error())
	case l.user != user || l.password:
		s.fatal(errAccessDenied, fmt.Sprintf("access denied for user %q; %s has an empty password", l.user, user))
	case l.db != "" && l.db != database:
		s.fatal(errUnknownDB, fmt.Sprintf("unknown database %q", l.db))
	default:
		f.Counters.BadLogins--
		f.Counters.Logins++
		s.loggedIn = true
		s.ok()
	}
}

// Served implements router.Asker.
func (s *session) Served(r *router.Result) {
	w := writer{seq: s.seq}
	w.result(r)
	s.answer(w.b)
}

// Rejected implements router.Asker.
func (s *session) Rejected(backoffMS float64) {
	w := writer{seq: s.seq}
	text := "refused, nothing was done; try again later"
	if backoffMS > 0 { // else the settings allow no advice
		text += fmt.Sprintf(": backoff=%.0f", backoffMS)
	}
	w.err(errTooManyConns, text)
	s.answer(w.b)
}

// Failed implements router.Asker.
func (s *session) Failed(why router.Reason) {
	w := writer{seq: s.seq}
	switch why {
	case router.ReasonDeadline:
		w.err(errTimeout, "the time for the query ran out")
	default:
		w.err(errUnknown, "the query failed; it may have run")
	}
	s.answer(w.b)
}

// answer writes the one answer to the command at hand and goes on with what the client sent meanwhile.
func (s *session) answer(b []byte) {
	wasBusy := s.busy
	s.busy, s.since = false, s.front.loop.Now()
	_ = s.conn.Write(b)
	switch {
	case wasBusy && len(s.buf) > 0:
		s.front.loop.Post(s.advance)
	case wasBusy && s.front.leaving && !s.conn.HasUnread():
		s.end()
	}
}

func (s *session) ok() {
	w := writer{seq: s.seq}
	w.ok()
	_ = s.conn.Write(w.b)
}

func (s *session) fail(code int, text string) {
	w := writer{seq: s.seq}
	w.err(code, text)
	_ = s.conn.Write(w.b)
}

// fatal answers with an error and closes: the framing is lost, or the client may not go on.
func (s *session) fatal(code int, text string) {
	level := slog.LevelWarn
	if code == errTooManyConns {
		level = slog.LevelDebug // a flood would fill the log; the counters tell
	}
	s.front.log.Log(context.Background(), level, "session closed", "session", s.id, "code", code, "text", text)
	s.fail(code, text)
	s.end()
}

// end is the one way in which a session closes: what it was owed is sent, then the client is told that no more will come.
// What the client sends from here on is dropped; it learns from the end that it was not taken.
func (s *session) end() {
	s.leave()
	s.conn.CloseGracefully()
}

// leave takes the session out of the front's; its open request is not answered any more.
func (s *session) leave() {
	s.forget()
	if s.busy {
		s.busy = false
		s.front.core.Abandon(s.handle)
	}
}

func (s *session) forget() {
	delete(s.front.sessions, s.id)
	s.shut = true
	s.keep(nil)
}
