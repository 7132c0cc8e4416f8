package mysql

import (
	"cmp"
	"log/slog"
	"slices"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// evictLooks is how many sessions are looked at for one whose client has sent nothing that is on its way.
const evictLooks = 8

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
	ending   bool
	buffered int // bytes in the buffers of all sessions
	// Elsewhere, where it is set, passes a KILL on to the other process of this router, and tells whether there is one
	// that may have the session.
	RemoteKill func(id uint32, query bool) bool
	Counters   Counters
}

// Config bounds the front.
type Config struct {
	MaxSessions int
	MaxBuffered int // bytes of all sessions together that wait for the rest of a packet or for their turn
}

// Counters count what the front took in.
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

// Drain has the front end its sessions: at once those that have asked before and are idle, others with the answer that
// they wait for. Those that have not asked yet are heard out. Another process takes the next request of these clients.
func (f *Front) Drain() {
	if f.leaving {
		return
	}
	f.leaving = true
	f.leave()
}

// Shutdown has the front end its sessions for good, as Leave does, and at once those too that have not asked yet: nobody goes
// on in this router's place. One whose client has sent something is heard first.
func (f *Front) Shutdown() {
	f.ending = true
	f.Drain()
}

func (f *Front) leave() {
	for _, s := range f.sessions {
		if (s.idle() && s.asked || f.ending && !s.busy && len(s.buf) == 0) && !s.conn.HasUnread() {
			s.end()
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
		s.end()
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
	type candidate struct {
		s    *session
		rank int
	}
	var all []candidate
	now := f.loop.Now()
	for _, s := range f.sessions {
		if rank, ok := s.missed(now); ok {
			all = append(all, candidate{s, rank})
		}
	}
	if len(all) == 0 {
		return false
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.s.heard(), b.s.heard()), cmp.Compare(a.s.id, b.s.id))
	})
	least := all[0]
	for _, c := range all[:min(len(all), evictLooks)] {
		if !c.s.conn.HasUnread() { // else its client has just sent something
			least = c
			break
		}
	}
	f.Counters.Evicted++
	f.log.Debug("session evicted", "session", least.s.id, "rank", least.rank, "quiet_ms", now-least.s.heard())
	if !least.s.loggedIn {
		least.s.fail(errTooManyConns, "too many connections")
	}
	least.s.end()
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

// NewSession gives the handler of a new connection.
func (f *Front) NewSession() netio.Handler { return &session{front: f} }

// Busy tells whether any session has bytes of which nothing has come yet.
func (f *Front) Busy() bool {
	for _, s := range f.sessions {
		if s.busy || len(s.buf) > 0 {
			return true
		}
	}
	return false
}
