package mysql

import (
	"log/slog"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// sweepIntervalMS is the interval at which the sessions' time limits are checked.
	sweepIntervalMS = 250.0
	// drainIntervalMS is the interval at which a draining front closes sessions that have become idle.
	drainIntervalMS = 20.0
	// generationBits is the number of upper bits of a session id that identify the process; see SetGeneration.
	generationBits = 4
	// counterBits is the number of lower bits of a session id, which count the sessions of a process.
	counterBits = 32 - generationBits
)

// Config holds the limits of a front.
type Config struct {
	MaxSessions int
	MaxBuffered int // bytes that all sessions together may buffer: partial packets, and packets sent ahead of an answer
}

// Counters count the sessions and the packets, logins and commands of their clients.
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

// Front manages the sessions of all clients. It enforces the limits on them and closes them when it drains.
type Front struct {
	core         *router.Core
	loop         *router.Loop
	log          *slog.Logger
	status       func() [][2]string
	cfg          Config
	sessions     map[uint32]*session
	idBase       uint32 // the upper bits of new session ids; see SetGeneration
	idCount      uint32
	draining     bool
	shuttingDown bool
	buffered     int // bytes in the buffers of all sessions
	// RemoteKill, if set, forwards a KILL to the other process of this router. It returns false if no other process
	// can have the session. With queryOnly set, the session stays open.
	RemoteKill func(id uint32, queryOnly bool) bool
	Counters   Counters
}

// NewFront returns a front without sessions and starts to check time limits. status returns the rows of SHOW STATUS as
// pairs of name and value.
func NewFront(core *router.Core, loop *router.Loop, cfg Config, status func() [][2]string, log *slog.Logger) *Front {
	f := &Front{core: core, loop: loop, cfg: cfg, status: status, log: log, sessions: map[uint32]*session{}}
	f.sweep()
	return f
}

// Configure replaces the front's limits. Sessions over a new limit stay open.
func (f *Front) Configure(cfg Config) { f.cfg = cfg }

// SetGeneration sets the generation of this process, whose lowest generationBits bits become the upper bits of the ids
// of new sessions. Two processes of one router have different generations and therefore never assign the same id.
func (f *Front) SetGeneration(g uint8) { f.idBase = uint32(g%(1<<generationBits)) << counterBits }

// nextID assigns the id of a new session.
func (f *Front) nextID() uint32 {
	f.idCount = (f.idCount + 1) % (1 << counterBits)
	return f.idBase | f.idCount
}

// ownsID reports whether this process assigned the id; the session may have closed since.
func (f *Front) ownsID(id uint32) bool { return id>>counterBits == f.idBase>>counterBits }

// Sessions returns the number of open sessions.
func (f *Front) Sessions() int { return len(f.sessions) }

// NewSession returns the handler for a new connection. The session counts once its connection is open.
func (f *Front) NewSession() netio.Handler {
	return &session{front: f, core: f.core, loop: f.loop, log: f.log, counters: &f.Counters}
}

// add adds a session and evicts another if MaxSessions is reached. It returns false if none can be evicted.
func (f *Front) add(s *session) bool {
	if len(f.sessions) >= f.cfg.MaxSessions && !f.evict() {
		return false
	}
	f.sessions[s.id] = s
	return true
}

// exceedsBufferLimit reports whether the sessions together buffer more than MaxBuffered bytes.
func (f *Front) exceedsBufferLimit() bool { return f.buffered > f.cfg.MaxBuffered }

// Drain closes the sessions without interrupting a request. Idle sessions that have sent a command are closed at once,
// and busy ones after their answer. Sessions that have sent no command yet may still send one. Another process accepts
// the clients' next connections.
func (f *Front) Drain() {
	if f.draining {
		return
	}
	f.draining = true
	f.closeIdle()
}

// Shutdown closes the sessions as Drain does, and also those that have sent no command yet, because no other process
// replaces this one. Sessions whose clients have already sent data handle it first.
func (f *Front) Shutdown() {
	f.shuttingDown = true
	f.Drain()
}

// closeIdle closes the sessions that may close, and schedules itself again after drainIntervalMS.
func (f *Front) closeIdle() {
	for _, s := range f.sessions {
		mayEnd := s.idle() && s.sentCommand || f.shuttingDown && !s.busy && len(s.buffer) == 0
		if mayEnd && !s.conn.HasUnread() {
			s.close()
		}
	}
	f.loop.After(drainIntervalMS, f.closeIdle)
}

// Kill interrupts the open request of a session and, unless queryOnly is set, closes the session. It returns false if
// this process has no session of that id.
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

// killAnywhere runs Kill here, or forwards it to the router's other process if this process did not assign the id. It
// returns false if neither process can have the session.
func (f *Front) killAnywhere(id uint32, queryOnly bool) bool {
	if f.Kill(id, queryOnly) {
		return true
	}
	return !f.ownsID(id) && f.RemoteKill != nil && f.RemoteKill(id, queryOnly)
}

// Busy reports whether any session has an open request or unhandled bytes in its buffer.
func (f *Front) Busy() bool {
	for _, s := range f.sessions {
		if s.busy || len(s.buffer) > 0 {
			return true
		}
	}
	return false
}

// sweep closes the sessions that exceed a time limit, and schedules itself again after sweepIntervalMS.
func (f *Front) sweep() {
	now := f.loop.Now()
	for _, s := range f.sessions {
		s.expire(now)
	}
	f.loop.After(sweepIntervalMS, f.sweep)
}
