package bgp

import (
	"fmt"
	"net/netip"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// State is the state of a BGP session.
type State int

// States of a session (RFC 4271). The state Active is missing, because the speaker does not accept connections.
const (
	Idle State = iota
	Connect
	OpenSent
	OpenConfirm
	Established
)

// String returns the name of the state as in RFC 4271.
func (s State) String() string {
	return [...]string{"Idle", "Connect", "OpenSent", "OpenConfirm", "Established"}[s]
}

const (
	// openHoldTimeMS is the hold time until the neighbour's OPEN arrives; RFC 4271 suggests 4 minutes.
	openHoldTimeMS = 240_000.0
	// keepalivesPerHoldTime is the number of KEEPALIVE messages sent in one hold time.
	keepalivesPerHoldTime = 3
)

// session is one connection to the neighbour and the state of the BGP session on it. It implements netio.Handler.
type session struct {
	speaker        *Speaker
	conn           netio.Conn
	state          State
	received       []byte  // the received bytes of an incomplete message
	holdMS         float64 // hold time; 0 if neither a hold timer nor keepalives are used
	holdTimer      *router.Timer
	keepaliveTimer *router.Timer
	fourByteAS     bool // the neighbour supports four-byte AS numbers
}

// Opened implements netio.Handler. It sends an OPEN unless the session was adopted from another process.
func (s *session) Opened(conn netio.Conn) {
	s.conn = conn
	if s.state == Established {
		return // adopted: the OPEN messages were exchanged before
	}
	cfg := s.speaker.cfg
	s.state = OpenSent
	_ = s.conn.Write(encodeOpen(openMessage{
		asNumber: cfg.LocalAS, holdTimeSeconds: uint16(cfg.HoldTimeS), routerID: cfg.RouterID,
	}))
	s.holdMS = openHoldTimeMS
	s.resetHoldTimer()
}

// Closed implements netio.Handler. It closes the session, and the speaker reconnects later.
func (s *session) Closed(err error) { s.close(nil, fmt.Sprint("connection closed: ", err)) }

// Data implements netio.Handler. It handles the complete messages and keeps the rest. An invalid header closes the
// session.
func (s *session) Data(data []byte, _ float64) {
	s.received = append(s.received, data...)
	for s.state != Idle {
		next, length, invalid := decodeMessage(s.received)
		if invalid != nil {
			s.close(invalid, "invalid message header")
			return
		}
		if length == 0 {
			return
		}
		s.received = s.received[length:]
		s.handleMessage(next)
	}
}

func (s *session) handleMessage(received message) {
	if received.kind == typeNotification {
		s.speaker.Counters.NotificationsReceived++
		s.close(nil, "the neighbour sent "+decodeNotification(received.body).Error())
		return
	}
	switch {
	case s.state == OpenSent && received.kind == typeOpen:
		s.handleOpen(received.body)
	case s.state == OpenConfirm && received.kind == typeKeepalive:
		s.establish()
	case s.state == Established && received.kind == typeKeepalive:
		s.resetHoldTimer()
	case s.state == Established && received.kind == typeUpdate:
		s.handleUpdate(received.body)
	default:
		reason := fmt.Sprintf("unexpected message of type %d in state %v", received.kind, s.state)
		s.close(&NotificationError{Code: codeStateMachine}, reason)
	}
}

func (s *session) handleOpen(body []byte) {
	open, invalid := decodeOpen(body)
	if invalid == nil {
		invalid = s.checkNeighbour(open)
	}
	if invalid != nil {
		s.close(invalid, "invalid OPEN message")
		return
	}
	s.fourByteAS = open.fourByteAS
	s.holdMS = float64(min(int(open.holdTimeSeconds), s.speaker.cfg.HoldTimeS)) * msPerSecond
	s.state = OpenConfirm
	s.resetHoldTimer()
	s.sendKeepalive()
}

// checkNeighbour checks that an OPEN has the AS number of the configured neighbour and, within one AS, a router id that
// differs from that of this speaker.
func (s *session) checkNeighbour(open openMessage) *NotificationError {
	cfg := s.speaker.cfg
	switch {
	case open.asNumber != cfg.PeerAS:
		return &NotificationError{Code: codeOpen, Subcode: openBadPeerAS}
	case open.asNumber == cfg.LocalAS && open.routerID == cfg.RouterID:
		return &NotificationError{Code: codeOpen, Subcode: openBadRouterID}
	}
	return nil
}

func (s *session) establish() {
	s.state = Established
	s.speaker.Counters.Established++
	s.speaker.log.Info("bgp session established", "peer", s.speaker.cfg.Peer, "hold_ms", s.holdMS)
	s.resetHoldTimer()
	if s.speaker.announced {
		s.announce(s.speaker.cfg)
	}
}

func (s *session) handleUpdate(body []byte) {
	s.speaker.Counters.UpdatesReceived++
	if invalid := checkUpdate(body); invalid != nil {
		s.close(invalid, "invalid UPDATE message")
		return
	}
	s.resetHoldTimer()
}

// resetHoldTimer restarts the hold timer with the current hold time. It is called for each KEEPALIVE and UPDATE of the
// neighbour, and whenever the hold time is set.
func (s *session) resetHoldTimer() {
	s.holdTimer.Stop()
	if s.holdMS > 0 {
		s.holdTimer = s.speaker.loop.After(s.holdMS, func() {
			s.close(&NotificationError{Code: codeHoldTimer}, "hold timer expired")
		})
	}
}

// sendKeepalive sends a KEEPALIVE and, unless the hold time is 0, schedules the next.
func (s *session) sendKeepalive() {
	s.speaker.Counters.Keepalives++
	_ = s.conn.Write(encodeMessage(typeKeepalive, nil))
	if s.holdMS > 0 {
		s.keepaliveTimer = s.speaker.loop.After(s.holdMS/keepalivesPerHoldTime, s.sendKeepalive)
	}
}

// announce sends an UPDATE with the configured prefixes. It replaces the routes that were announced for them before.
func (s *session) announce(cfg Config) {
	s.speaker.Counters.Announced++
	s.logUpdate(true, cfg.Prefixes)
	_ = s.conn.Write(encodeAnnouncement(cfg, s.fourByteAS))
}

// withdraw sends an UPDATE that withdraws the prefixes, or nothing if there are none.
func (s *session) withdraw(prefixes []netip.Prefix) {
	if len(prefixes) == 0 {
		return
	}
	s.speaker.Counters.Withdrawn++
	s.logUpdate(false, prefixes)
	_ = s.conn.Write(encodeWithdrawal(prefixes))
}

func (s *session) logUpdate(announce bool, prefixes []netip.Prefix) {
	s.speaker.log.Info("bgp update", "peer", s.speaker.cfg.Peer, "announce", announce, "prefixes", prefixes)
}

// replaceAnnounced withdraws the prefixes of old that are no longer configured and announces the configured ones.
func (s *session) replaceAnnounced(old []netip.Prefix) {
	s.withdraw(s.speaker.removedPrefixes(old))
	s.announce(s.speaker.cfg)
}

// close closes the session and schedules a reconnection unless the speaker is closed. A notification that is not nil is
// sent first. The reason is logged.
func (s *session) close(notification *NotificationError, reason string) {
	if s.state == Idle {
		return
	}
	previous := s.state
	s.state = Idle
	s.holdTimer.Stop()
	s.keepaliveTimer.Stop()
	if notification != nil {
		if notification.Code != codeCease {
			s.speaker.Counters.Errors++
		}
		if previous > Connect {
			_ = s.conn.Write(encodeNotification(notification))
		}
		reason += ": " + notification.Error()
	}
	speaker := s.speaker
	speaker.log.Warn("bgp session ended", "peer", speaker.cfg.Peer, "state", previous.String(), "why", reason)
	s.conn.CloseGracefully() // Close could drop the NOTIFICATION before the neighbour reads it
	speaker.session = nil
	if !speaker.closed {
		retryMS := float64(speaker.cfg.ConnectRetryS) * msPerSecond
		speaker.retryTimer = speaker.loop.After(retryMS, speaker.connect)
	}
}
