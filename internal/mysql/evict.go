package mysql

import (
	"cmp"
	"slices"
)

const (
	// silentAfterMS is how long a connection may send nothing until it ranks as silent: a login takes a round trip or
	// two, and a slow client has begun by then.
	silentAfterMS = 500.0
	// quietAfterMS is how long a connection may send nothing until it may be evicted for a new one at all.
	quietAfterMS = 50.0
	// maxEvictChecks is how many sessions are checked for one whose client has sent nothing that was not read yet.
	maxEvictChecks = 8
)

// Ranks of sessions for eviction; the lowest is evicted first.
const (
	rankSilent    = iota // sent nothing for silentAfterMS
	rankIdle             // idle after a command: such a session may be closed at any time
	rankNoCommand        // logged in, and no command has been received
	rankQuiet            // sent nothing for quietAfterMS
	rankPartial          // a packet has begun
	rankNew              // sent nothing since it has just connected
)

// candidate is a session that may be evicted.
type evictionCandidate struct {
	session *session
	rank    int
}

// evict ends the session whose client loses least, to make room for a new one; false: there is none. It keeps
// connections that send nothing, or that were used once and kept, from shutting out all others, and spares clients
// that are merely slow to write, which may take 2 s for a request.
func (f *Front) evict() bool {
	now := f.loop.Now()
	var candidates []evictionCandidate
	for _, s := range f.sessions {
		if rank, ok := s.evictionRank(now); ok {
			candidates = append(candidates, evictionCandidate{s, rank})
		}
	}
	if len(candidates) == 0 {
		return false
	}
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.session.lastActiveMS(), b.session.lastActiveMS()), cmp.Compare(a.session.id, b.session.id))
	})
	chosen := candidates[0]
	for _, c := range candidates[:min(len(candidates), maxEvictChecks)] {
		if !c.session.conn.HasUnread() { // else its client has just sent something
			chosen = c
			break
		}
	}
	f.Counters.Evicted++
	f.log.Debug("session evicted", "session", chosen.session.id, "rank", chosen.rank,
		"idle_ms", now-chosen.session.lastActiveMS())
	chosen.session.closeEvicted()
	return true
}

// evictionRank ranks the session by what its client would lose; false: it stays. Within a rank, the session that was
// inactive longest is evicted first.
func (s *session) evictionRank(now float64) (rank int, ok bool) {
	inactiveMS := now - s.lastActiveMS()
	switch {
	case s.busy:
		return 0, false
	case s.lastDataMS == 0 && inactiveMS >= silentAfterMS:
		return rankSilent, true
	case s.loggedIn && len(s.buffer) == 0 && s.sentCommand:
		return rankIdle, true
	case s.loggedIn && len(s.buffer) == 0:
		return rankNoCommand, true
	case s.lastDataMS == 0 && inactiveMS >= quietAfterMS:
		return rankQuiet, true
	case s.lastDataMS > 0:
		return rankPartial, true
	}
	return rankNew, true
}

// lastActiveMS returns when the client last sent something, or connected.
func (s *session) lastActiveMS() float64 { return max(s.lastDataMS, s.openedMS) }

// endEvicted ends the session to make room for another.
func (s *session) closeEvicted() {
	if !s.loggedIn {
		s.writeError(errTooManyConnections, "too many connections")
	}
	s.close()
}
