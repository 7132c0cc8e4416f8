package bgp

import (
	"net/netip"
	"os"

	"windflow/internal/netio"
)

// SessionState is the state of an established session that moves to another process together with its connection.
type SessionState struct {
	Peer       string         `json:"peer"`
	HoldMS     float64        `json:"hold_ms"`
	FourByteAS bool           `json:"four_b"`
	Buffered   []byte         `json:"unread"` // the received bytes of an incomplete message
	Announced  []netip.Prefix `json:"told"`   // the configured prefixes, announced or not
	NextHop    netip.Addr     `json:"next_hop"`
}

// Adopter registers an open connection from another process with a handler.
type Adopter interface {
	Adopt(*os.File, netio.Handler) error
}

// Migrate stops the speaker and calls done with its session and the descriptor of the connection, for another process.
// The neighbour does not notice, so it keeps the announced routes. If there is no established session, or its
// connection cannot be detached, the session is closed, the file is nil, and the other process has to connect.
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

// detach ends the session in this process without a message to the neighbour, and returns its state.
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

// Adopt continues a session that another process migrated. If there is none (file is nil), if it is with another peer
// or if its connection cannot be registered, the speaker connects. Only the first call has an effect, and only on a
// speaker from NewDeferredSpeaker. Adopt closes a file that it does not use.
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
