package mysql

import (
	"cmp"
	"slices"
)

const (
	// silentAfterMS is the age from which on a connection that has sent nothing is evicted first. A login takes one or
	// two round trips, so even a slow client has sent data by then.
	silentAfterMS = 500.0
	// quietAfterMS is the age from which on a connection that has sent nothing is evicted before those with a partial
	// packet. Younger connections are evicted last.
	quietAfterMS = 50.0
	// maxEvictChecks is the maximum number of candidates that are checked for unread bytes. A session with unread
	// bytes is spared if another checked one has none, because its client has just sent something.
	maxEvictChecks = 8
)

// Eviction ranks of sessions; the lowest rank is evicted first.
const (
	rankSilent    = iota // has sent nothing for silentAfterMS
	rankIdle             // idle after a command; clients expect that the server may close such a session
	rankNoCommand        // has logged in but sent no command
	rankQuiet            // has sent nothing for quietAfterMS
	rankPartial          // has sent part of a packet
	rankNew              // has just connected and sent nothing yet
)

// evictionCandidate is a session that may be evicted, with its eviction rank.
type evictionCandidate struct {
	session *session
	rank    int
}

// evict closes the session whose client loses least, to make room for a new one. It returns false if there is none, for
// example because each has an open request. It guards against connections that send nothing, or stay open after one
// use, and so take all slots. Clients that are only slow to write are spared: they may take 2 s for a request.
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
		if !c.session.conn.HasUnread() { // a session with unread bytes is about to be used
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

// evictionRank returns the session's rank by what its client would lose, and false if the session has an open request
// and must not be evicted. Within a rank, the session that was inactive longest is evicted first.
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

// lastActiveMS returns the time at which the client last sent data, or connected if it has sent none.
func (s *session) lastActiveMS() float64 { return max(s.lastDataMS, s.openedMS) }

// closeEvicted closes the session to make room for another. A client that has not logged in gets an error first.
func (s *session) closeEvicted() {
	if !s.loggedIn {
		s.writeError(errTooManyConnections, "too many connections")
	}
	s.close()
}
