package bgp

import (
	"net/netip"
	"os"

	"windflow/internal/netio"
)

// SessionState is a session that moves to another process with its connection.
type SessionState struct {
	Peer       string         `json:"peer"`
	HoldMS     float64        `json:"hold_ms"`
	FourByteAS bool           `json:"four_b"`
	Buffered   []byte         `json:"unread"` // the received part of a message
	Announced  []netip.Prefix `json:"told"`
	NextHop    netip.Addr     `json:"next_hop"`
}

// Adopter takes over an open connection.
type Adopter interface {
	Adopt(*os.File, netio.Handler) error
}

// Migrate ends the speaker and passes its session to done, for another process. Nothing is withdrawn, since the
// neighbour sees no end of the session. Where there is no established session, done gets no file, and the other
// process connects.
func (s *Speaker) Migrate(done func(SessionState, *os.File)) {
	current := s.session
	s.closed = true
	s.retryTimer.Stop()
	if current == nil {
		done(SessionState{}, nil)
		return
	}
	if current.state != Established {
		current.closeForMigration()
		done(SessionState{}, nil)
		return
	}
	current.conn.Detach(func(file *os.File) {
		if file == nil {
			current.closeForMigration()
			done(SessionState{}, nil)
			return
		}
		done(current.detach(), file)
	})
}

func (s *session) closeForMigration() {
	s.close(&NotificationError{Code: codeCease, Subcode: ceaseAdministrativeShutdown}, "handed over")
}

// detach ends the session in this process without a sign to the neighbour.
func (s *session) detach() SessionState {
	s.state = Idle
	s.holdTimer.Stop()
	s.keepaliveTimer.Stop()
	s.speaker.session = nil
	cfg := s.speaker.cfg
	s.speaker.log.Info("bgp session handed over", "peer", cfg.Peer)
	return SessionState{
		Peer: cfg.Peer, HoldMS: s.holdMS, FourByteAS: s.fourByteAS, Buffered: s.received, Announced: cfg.Prefixes,
		NextHop: cfg.NextHop,
	}
}

// Adopt continues a session that another process migrated, and connects where there is none or it can't be used. It
// closes the file of a session that it does not use.
func (s *Speaker) Adopt(adopter Adopter, state SessionState, file *os.File) {
	if !s.awaitingAdoption {
		closeFile(file)
		return
	}
	s.awaitingAdoption = false
	if file == nil || state.Peer != s.cfg.Peer {
		closeFile(file)
		s.connect()
		return
	}
	adopted := &session{
		speaker: s, state: Established, holdMS: state.HoldMS, fourByteAS: state.FourByteAS, received: state.Buffered,
	}
	if err := adopter.Adopt(file, adopted); err != nil {
		s.connect()
		return
	}
	s.session = adopted
	s.log.Info("bgp session taken over", "peer", s.cfg.Peer)
	adopted.resetHoldTimer()
	adopted.sendKeepalive()
	adopted.withdraw(s.removedPrefixes(state.Announced))
	if s.announced {
		adopted.announce(s.cfg)
	}
}

func closeFile(file *os.File) {
	if file != nil {
		_ = file.Close()
	}
}
