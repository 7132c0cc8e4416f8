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

// Counters count connections, sessions and messages of the speaker.
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

// Speaker maintains a session with the neighbour until it is closed, and reconnects when the session ends.
type Speaker struct {
	cfg              Config
	loop             *router.Loop
	dialer           netio.Dialer
	log              *slog.Logger
	announced        bool // the prefixes are to be announced in each established session
	closed           bool
	awaitingAdoption bool // another process has the session until Adopt
	session          *session
	retryTimer       *router.Timer
	Counters         Counters
}

// StartSpeaker returns a speaker that connects at once. It announces nothing until Announce.
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

// State returns the state of the session, Idle if there is none.
func (s *Speaker) State() State {
	if s.session == nil {
		return Idle
	}
	return s.session.state
}

// Announce announces the configured prefixes in the established session and in each later one, until Withdraw.
func (s *Speaker) Announce() { s.setAnnounced(true) }

// Withdraw withdraws the configured prefixes. The session stays open.
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

// Close closes the session with a NOTIFICATION. The speaker does not reconnect.
func (s *Speaker) Close() {
	s.closed = true
	s.retryTimer.Stop()
	if s.session != nil {
		s.session.close(&NotificationError{Code: codeCease, Subcode: ceaseAdministrativeShutdown}, "speaker closed")
	}
}

// Configure replaces the configuration. Changed prefixes and a changed next hop are sent in the established session;
// any other change closes the session and opens a new one.
func (s *Speaker) Configure(cfg Config) {
	old := s.cfg
	s.cfg = cfg
	if !sameSession(old, cfg) {
		if s.session != nil {
			cease := &NotificationError{Code: codeCease, Subcode: ceaseConfigurationChange}
			s.session.close(cease, "configuration changed")
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

// sameSession reports whether a session may continue after a change of the configuration from old to cfg.
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

// removedPrefixes returns the prefixes of old that are not in the current configuration.
func (s *Speaker) removedPrefixes(old []netip.Prefix) (removed []netip.Prefix) {
	for _, prefix := range old {
		if !slices.Contains(s.cfg.Prefixes, prefix) {
			removed = append(removed, prefix)
		}
	}
	return removed
}
