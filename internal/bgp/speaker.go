package bgp

import (
	"log/slog"
	"net/netip"
	"reflect"
	"slices"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	connectTimeoutMS = 5_000.0
	msPerSecond      = 1000
)

// Counters count what the speaker sent and received.
type Counters struct {
	Connects              int64 `status:"connects"`
	Established           int64 `status:"established"`
	Announced             int64 `status:"announced"`
	Withdrawn             int64 `status:"withdrawn"`
	Keepalives            int64 `status:"keepalives"`
	UpdatesReceived       int64 `status:"updates"`
	NotificationsReceived int64 `status:"notified"`
	Errors                int64 `status:"errors"`
}

// Speaker maintains a session with the neighbour until it is closed, and reconnects where the session ends.
type Speaker struct {
	cfg              Config
	loop             *router.Loop
	dialer           netio.Dialer
	log              *slog.Logger
	announced        bool // the service is ready
	closed           bool
	awaitingAdoption bool // another process has the session
	session          *session
	retryTimer       *router.Timer
	Counters         Counters
}

// StartSpeaker returns a speaker that connects at once and announces nothing yet.
func StartSpeaker(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Speaker {
	s := &Speaker{cfg: cfg, loop: loop, dialer: dialer, log: log}
	s.connect()
	return s
}

// NewDeferredSpeaker returns a speaker that does not connect: the predecessor of this process has the session, and
// Adopt takes it over from it.
func NewDeferredSpeaker(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Speaker {
	return &Speaker{cfg: cfg, loop: loop, dialer: dialer, log: log, awaitingAdoption: true}
}

// State returns the session's state.
func (s *Speaker) State() State {
	if s.session == nil {
		return Idle
	}
	return s.session.state
}

// Announce announces the service's addresses, now and after each reconnection.
func (s *Speaker) Announce() { s.setAnnounced(true) }

// Withdraw withdraws the service's addresses. The session stays open.
func (s *Speaker) Withdraw() { s.setAnnounced(false) }

func (s *Speaker) setAnnounced(announced bool) {
	if s.announced == announced {
		return
	}
	s.announced = announced
	switch {
	case s.State() != Established:
	case announced:
		s.session.announce(s.cfg)
	default:
		s.session.withdraw(s.cfg.Prefixes)
	}
}

// Close ends the session with a NOTIFICATION and does not reconnect.
func (s *Speaker) Close() {
	s.closed = true
	s.retryTimer.Stop()
	if s.session != nil {
		s.session.close(&NotificationError{Code: codeCease, Subcode: ceaseAdministrativeShutdown}, "stopped")
	}
}

// Configure changes the configuration. Other prefixes and another next hop are sent in the open session; other
// changes need a new session.
func (s *Speaker) Configure(cfg Config) {
	old := s.cfg
	s.cfg = cfg
	if !sameSession(old, cfg) {
		if s.session != nil {
			cease := &NotificationError{Code: codeCease, Subcode: ceaseConfigurationChange}
			s.session.close(cease, "other configuration")
		}
		s.retryTimer.Stop()
		s.connect()
		return
	}
	if s.State() != Established || !s.announced || reflect.DeepEqual(cfg, old) {
		return
	}
	s.session.replaceAnnounced(old.Prefixes)
}

// sameSession reports whether a session may continue under another configuration.
func sameSession(old, cfg Config) bool {
	cfg.Prefixes, cfg.NextHop = old.Prefixes, old.NextHop
	return reflect.DeepEqual(cfg, old)
}

func (s *Speaker) connect() {
	if s.closed || s.awaitingAdoption {
		return
	}
	s.Counters.Connects++
	s.session = &session{speaker: s, state: Connect}
	s.session.conn = s.dialer.Dial(s.cfg.Peer, connectTimeoutMS, s.session)
}

// removedPrefixes returns the prefixes of old that the configuration does not have.
func (s *Speaker) removedPrefixes(old []netip.Prefix) (removed []netip.Prefix) {
	for _, prefix := range old {
		if !slices.Contains(s.cfg.Prefixes, prefix) {
			removed = append(removed, prefix)
		}
	}
	return removed
}
