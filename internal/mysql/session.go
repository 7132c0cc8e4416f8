// Package mysql is the platform's front: client sessions of the MySQL client protocol 4.1. It parses packets,
// logins and the fields of requests, hands requests to the core and writes what the core answers.
package mysql

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"

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

// Front hands the requests of its sessions to the core.
type Front struct {
	core     *router.Core
	loop     *router.Loop
	log      *slog.Logger
	status   func() [][2]string
	cfg      Config
	sessions map[uint32]*session
	base     uint32 // the ids' upper bits; see SetGeneration
	next     uint32
	leaving  bool
	buffered int // bytes in the buffers of all sessions
	// Elsewhere, where it is set, passes a KILL on to the other process of this router, and tells whether there is one
	// that may have the session.
	Elsewhere func(id uint32, query bool) bool
	Counters  Counters
}

// Config bounds the front.
type Config struct {
	MaxSessions int
	MaxBuffered int // bytes of all sessions together that wait for the rest of a packet or for their turn
}

// Counters count what the front took in.
type Counters struct {
	Sessions, TurnedAway, Evicted, TimedOut, Logins, BadLogins, BadPackets, BadFields, Pings, Kills int64
}

// NewFront returns a front; status gives the rows of SHOW STATUS.
func NewFront(core *router.Core, loop *router.Loop, cfg Config, status func() [][2]string, log *slog.Logger) *Front {
	f := &Front{core: core, loop: loop, cfg: cfg, status: status, log: log, sessions: map[uint32]*session{}}
	f.sweep()
	return f
}

// Configure has the front go by other bounds from now on; sessions that are open stay.
func (f *Front) Configure(cfg Config) { f.cfg = cfg }

// idBits are the bits of a session's id that count; those above name the process; see SetGeneration.
const idBits = 28

// SetGeneration gives the ids of sessions from now on their upper bits: two processes of one router, of different
// generations, never give the same id.
func (f *Front) SetGeneration(g uint8) { f.base = uint32(g%16) << idBits }

// Sessions is the number of those that are open.
func (f *Front) Sessions() int { return len(f.sessions) }

// Leave has the front end its sessions: at once those that have asked before and are idle, others with the answer that
// they wait for. Those that have not asked yet are heard out. Another process takes the next request of these clients.
func (f *Front) Leave() {
	if f.leaving {
		return
	}
	f.leaving = true
	f.leave()
}

func (f *Front) leave() {
	for _, s := range f.sessions {
		if s.idle() && s.asked && !s.conn.Unread() {
			s.close()
		}
	}
	f.loop.After(leaveEvery, f.leave)
}

// Kill ends the open query of a session, or the session, and tells whether there is one of that id.
func (f *Front) Kill(id uint32, query bool) bool {
	s := f.sessions[id]
	if s == nil {
		return false
	}
	if s.busy {
		f.core.Abandon(s.handle)
		s.busy = false
		s.fail(errInterrupted, "query execution was interrupted")
		s.advance()
	}
	if !query {
		s.close()
	}
	return true
}

// sweep ends the sessions whose time is up.
func (f *Front) sweep() {
	now := f.loop.Now()
	for _, s := range f.sessions {
		s.expire(now)
	}
	f.loop.After(sweepEvery, f.sweep)
}

// evict ends the session that is missed least, to make room for a new one. It guards against connections that say
// nothing, or that were used once and kept, shutting everybody else out; and against ending those of clients that are
// merely slow to write, which may take 2 s for a request.
func (f *Front) evict() bool {
	var least *session
	leastRank := 0
	now := f.loop.Now()
	for _, s := range f.sessions {
		rank, ok := s.missed(now)
		if ok && (least == nil || rank < leastRank || rank == leastRank &&
			(s.heard() < least.heard() || s.heard() == least.heard() && s.id < least.id)) {
			least, leastRank = s, rank
		}
	}
	if least == nil {
		return false
	}
	f.Counters.Evicted++
	f.log.Debug("session evicted", "session", least.id, "rank", leastRank, "quiet_ms", now-least.heard())
	if !least.loggedIn {
		least.fail(errTooManyConns, "too many connections")
	}
	least.close()
	return true
}

// missed ranks a session by what its client would miss, the least first; false says that it stays. Within a rank the one
// that was quiet longest goes first.
func (s *session) missed(now float64) (rank int, ok bool) {
	quiet := now - s.heard()
	switch {
	case s.busy:
		return 0, false
	case s.at == 0 && quiet >= silentFor:
		return 0, true // a login takes a round trip or two, and a slow client has begun by now
	case s.loggedIn && len(s.buf) == 0 && s.asked:
		return 1, true // such may be closed at any time
	case s.loggedIn && len(s.buf) == 0:
		return 2, true
	case s.at == 0 && quiet >= greetFor:
		return 3, true
	case s.at > 0:
		return 4, true // a packet has begun
	}
	return 5, true // in a crowd there is hardly another kind that has said nothing
}

// heard is when the client last sent something, or came.
func (s *session) heard() float64 { return max(s.at, s.opened) }

// Accept gives the handler of a new connection.
func (f *Front) Accept() netio.Handler { return &session{front: f} }

// Busy tells whether any session has bytes of which nothing has come yet.
func (f *Front) Busy() bool {
	for _, s := range f.sessions {
		if s.busy || len(s.buf) > 0 {
			return true
		}
	}
	return false
}

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
		f.Counters.TurnedAway++
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
	if text == "" {
		return
	}
	s.front.Counters.TimedOut++
	s.front.log.Debug("session timed out", "session", s.id, "text", text)
	if s.loggedIn && len(s.buf) == 0 {
		s.close() // an error packet here could pass for the answer to a command that is just under way
		return
	}
	s.fail(errReadTimeout, text)
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

func (s *session) command(com byte, body []byte) {
	switch com {
	case comQuit:
		s.close()
	case comPing:
		s.front.Counters.Pings++
		s.ok()
	case comResetConn:
		s.ok()
	case comInitDB:
		if string(body) != database {
			s.fail(errUnknownDB, fmt.Sprintf("unknown database %q", body))
			return
		}
		s.ok()
	case comStatistics:
		w := writer{seq: s.seq}
		w.begin()
		for _, kv := range s.front.status() {
			w.b = fmt.Appendf(w.b, "%s: %s  ", kv[0], kv[1])
		}
		w.end()
		_ = s.conn.Write(w.b)
	case comQuery:
		s.query(string(body))
	default:
		s.fail(errUnknownCom, fmt.Sprintf("unknown command %d", com))
	}
}

// query takes a request, or one of the few statements that clients send without fields.
func (s *session) query(text string) {
	fields, statement, found, err := parseFields(text)
	if err == nil && !found {
		s.plain(strings.TrimRight(strings.TrimSpace(text), "; \t\r\n"))
		return
	}
	var r *router.Request
	if err == nil {
		r, err = router.NewRequest(func(name string) string { return fields[name] }, statement, s.at)
	}
	if err != nil {
		s.front.Counters.BadFields++
		s.fail(errParse, err.Error())
		return
	}
	s.busy = true
	if s.handle, err = s.front.core.Submit(r, s); err != nil {
		s.busy = false
		s.front.Counters.BadFields++
		s.fail(errParse, err.Error())
	}
}

// plain answers statements that carry no fields and reach no engine.
func (s *session) plain(text string) {
	words := strings.Fields(text)
	switch {
	case len(words) >= 2 && strings.EqualFold(words[0], "KILL"):
		s.kill(words)
	case len(words) == 2 && strings.EqualFold(words[0], "USE") && strings.Trim(words[1], "`") == database,
		len(words) > 1 && strings.EqualFold(words[0], "SET"):
		s.ok()
	case len(words) >= 2 && strings.EqualFold(words[0], "SHOW") && strings.EqualFold(words[len(words)-1], "STATUS"):
		r := &router.Result{Columns: []string{"Variable_name", "Value"}}
		for _, kv := range s.front.status() {
			r.Cells = append(r.Cells, router.Cell{Text: kv[0]}, router.Cell{Text: kv[1]})
		}
		s.Served(r)
	case len(words) > 1 && strings.EqualFold(words[0], "SELECT") && s.about(text):
	default:
		s.fail(errParse, "no fields: a query starts with /* method=CLASS,rid=ID,budget=MS */")
	}
}

// about answers what stock clients ask of a server when they connect, and the id that KILL takes. It says no to
// a SELECT that asks for anything else.
func (s *session) about(text string) bool {
	list := strings.ToLower(strings.Join(strings.Fields(text)[1:], " "))
	r := &router.Result{}
	const most = 16 // a long list would make a far longer answer
	items := strings.Split(strings.TrimSuffix(list, " limit 1"), ",")
	if len(items) > most {
		return false
	}
	for _, item := range items {
		item = strings.TrimSpace(item)
		value, ok := map[string]string{
			"version()": serverVersion, "@@version": serverVersion, "@@version_comment": "windflow query router",
			"connection_id()": strconv.FormatUint(uint64(s.id), 10), "@@max_allowed_packet": strconv.Itoa(maxPacket),
			"database()": database, "schema()": database, "user()": user + "@%", "current_user()": user + "@%",
		}[item]
		if !ok {
			return false
		}
		r.Columns = append(r.Columns, item)
		r.Cells = append(r.Cells, router.Cell{Text: value})
	}
	s.Served(r)
	return true
}

// kill ends the open query of another session: KILL QUERY id. Its client waits no longer, so the module is
// told that no answer is owed; the session itself stays usable.
func (s *session) kill(words []string) {
	id, err := strconv.ParseUint(words[len(words)-1], 10, 32)
	if err != nil || len(words) > 3 {
		s.fail(errParse, "KILL takes QUERY or CONNECTION and a connection id")
		return
	}
	s.front.Counters.Kills++
	query := strings.EqualFold(words[1], "QUERY")
	f := s.front
	if !f.Kill(uint32(id), query) && (uint32(id)>>idBits == f.base>>idBits || f.Elsewhere == nil || !f.Elsewhere(uint32(id), query)) {
		s.fail(errNoSuchThread, fmt.Sprintf("unknown thread id: %d", id))
		return
	}
	s.ok()
}

// Served implements router.Asker.
func (s *session) Served(r *router.Result) {
	w := writer{seq: s.seq}
	w.result(r)
	s.answer(w.b)
}

// Refused implements router.Asker.
func (s *session) Refused(backoffMS float64) {
	w := writer{seq: s.seq}
	w.err(errTooManyConns, fmt.Sprintf("refused, nothing was done; try again later: backoff=%.0f", backoffMS))
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
	case wasBusy && s.front.leaving && !s.conn.Unread():
		s.close()
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

// end closes once the client has had time to read the error that was written; it may be sending still.
func (s *session) end() {
	s.leave()
	s.conn.Linger()
}

func (s *session) close() {
	s.leave()
	s.conn.Close()
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
