package mysql

import (
	"log/slog"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// sweepIntervalMS is the time between two checks of the sessions' time limits.
	sweepIntervalMS = 250.0
	// drainIntervalMS is the time between two searches of a draining front for sessions that may end.
	drainIntervalMS = 20.0
	// generationBits are the upper bits of a session's id, which name the process; see SetGeneration.
	generationBits = 4
	// counterBits are the bits of a session's id that count.
	counterBits = 32 - generationBits
)

// Config bounds the front.
type Config struct {
	MaxSessions int
	MaxBuffered int // bytes of all sessions together that wait for the remainder of a packet or for an answer
}

// Counters count sessions, and what their clients sent.
type Counters struct {
	Sessions   int64 `status:"sessions"`
	Rejected   int64 `status:"turned_away"`
	Evicted    int64 `status:"evicted"`
	TimedOut   int64 `status:"timed_out"`
	Logins     int64 `status:"logins"`
	BadLogins  int64 `status:"bad_logins"`
	BadPackets int64 `status:"bad_packets"`
	BadFields  int64 `status:"bad_fields"`
	Pings      int64 `status:"pings"`
	Kills      int64 `status:"kills"`
}

// Front keeps the sessions and submits their requests to the core.
type Front struct {
	core         *router.Core
	loop         *router.Loop
	log          *slog.Logger
	status       func() [][2]string
	cfg          Config
	sessions     map[uint32]*session
	idBase       uint32 // the upper bits of new ids; see SetGeneration
	idCount      uint32
	draining     bool
	shuttingDown bool
	buffered     int // bytes in the buffers of all sessions
	// RemoteKill, where it is set, passes a KILL on to the other process of this router, and reports whether there is
	// one that may have the session.
	RemoteKill func(id uint32, queryOnly bool) bool
	Counters   Counters
}

// NewFront returns a front; status returns the rows of SHOW STATUS, as name and value.
func NewFront(core *router.Core, loop *router.Loop, cfg Config, status func() [][2]string, log *slog.Logger) *Front {
	f := &Front{core: core, loop: loop, cfg: cfg, status: status, log: log, sessions: map[uint32]*session{}}
	f.sweep()
	return f
}

// Configure replaces the front's bounds; open sessions stay.
func (f *Front) Configure(cfg Config) { f.cfg = cfg }

// SetGeneration sets the upper bits of the ids of new sessions: two processes of one router, of different generations,
// never assign the same id.
func (f *Front) SetGeneration(g uint8) { f.idBase = uint32(g%(1<<generationBits)) << counterBits }

// nextID returns the id of a new session.
func (f *Front) nextID() uint32 {
	f.idCount = (f.idCount + 1) % (1 << counterBits)
	return f.idBase | f.idCount
}

// ownsID reports whether the id is one of this process's sessions, open or not.
func (f *Front) ownsID(id uint32) bool { return id>>counterBits == f.idBase>>counterBits }

// Sessions returns the number of open sessions.
func (f *Front) Sessions() int { return len(f.sessions) }

// NewSession returns the handler of a new connection.
func (f *Front) NewSession() netio.Handler {
	return &session{front: f, core: f.core, loop: f.loop, log: f.log, counters: &f.Counters}
}

// add adds a session, if need be in place of another; false: there is no room.
func (f *Front) add(s *session) bool {
	if len(f.sessions) >= f.cfg.MaxSessions && !f.evict() {
		return false
	}
	f.sessions[s.id] = s
	return true
}

// overBuffered reports whether the sessions buffer more than they may together.
func (f *Front) exceedsBufferLimit() bool { return f.buffered > f.cfg.MaxBuffered }

// Drain ends the sessions: at once those that have sent a command before and are idle, others with the answer that they
// wait for. Those that have sent no command yet may send one. Another process accepts these clients' next connections.
func (f *Front) Drain() {
	if f.draining {
		return
	}
	f.draining = true
	f.closeIdle()
}

// Shutdown ends the sessions as Drain does, and at once those, too, that have sent no command yet: no other process
// replaces this router. A session whose client has sent something handles that first.
func (f *Front) Shutdown() {
	f.shuttingDown = true
	f.Drain()
}

// endIdle ends the sessions that may end, and repeats that.
func (f *Front) closeIdle() {
	for _, s := range f.sessions {
		mayEnd := s.idle() && s.sentCommand || f.shuttingDown && !s.busy && len(s.buffer) == 0
		if mayEnd && !s.conn.HasUnread() {
			s.close()
		}
	}
	f.loop.After(drainIntervalMS, f.closeIdle)
}

// Kill ends the open query of a session, and the session, too, unless query is set. It reports whether there is a
// session of that id.
func (f *Front) Kill(id uint32, queryOnly bool) bool {
	s := f.sessions[id]
	if s == nil {
		return false
	}
	s.interrupt()
	if !queryOnly {
		s.close()
	}
	return true
}

// killAnywhere ends a query or session of this process or of the router's other one, and reports whether it may exist.
func (f *Front) killAnywhere(id uint32, queryOnly bool) bool {
	if f.Kill(id, queryOnly) {
		return true
	}
	return !f.ownsID(id) && f.RemoteKill != nil && f.RemoteKill(id, queryOnly)
}

// Busy reports whether any session has an open request or buffered bytes.
func (f *Front) Busy() bool {
	for _, s := range f.sessions {
		if s.busy || len(s.buffer) > 0 {
			return true
		}
	}
	return false
}

// sweep ends the sessions that exceed a time limit, and repeats that.
func (f *Front) sweep() {
	now := f.loop.Now()
	for _, s := range f.sessions {
		s.expire(now)
	}
	f.loop.After(sweepIntervalMS, f.sweep)
}
