package bgp

import (
	"fmt"
	"net/netip"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// State is the state of a session.
type State int

// States of a session by RFC 4271, without Active, since the speaker does not listen.
const (
	Idle State = iota
	Connect
	OpenSent
	OpenConfirm
	Established
)

// String returns the name of the state in RFC 4271.
func (s State) String() string {
	return [...]string{"Idle", "Connect", "OpenSent", "OpenConfirm", "Established"}[s]
}

const (
	// openHoldTimeMS is the hold time until the neighbour's OPEN arrives: RFC 4271 suggests four minutes.
	openHoldTimeMS = 240_000.0
	// keepalivesPerHoldTime is how many KEEPALIVE messages are sent in a hold time.
	keepalivesPerHoldTime = 3
)

// session is one connection to the neighbour.
type session struct {
	speaker        *Speaker
	conn           netio.Conn
	state          State
	received       []byte  // the beginning of a message
	holdMS         float64 // 0: no hold timer
	holdTimer      *router.Timer
	keepaliveTimer *router.Timer
	fourByteAS     bool // the neighbour understands AS numbers of 32 bits
}

// Opened implements netio.Handler.
func (s *session) Opened(conn netio.Conn) {
	s.conn = conn
	if s.state == Established {
		return // adopted
	}
	cfg := s.speaker.cfg
	s.state = OpenSent
	_ = s.conn.Write(encodeOpen(openMessage{
		asNumber: cfg.LocalAS, holdTimeSeconds: uint16(cfg.HoldTimeS), routerID: cfg.RouterID,
	}))
	s.holdMS = openHoldTimeMS
	s.resetHoldTimer()
}

// Closed implements netio.Handler.
func (s *session) Closed(err error) { s.close(nil, fmt.Sprint("connection closed: ", err)) }

// Data implements netio.Handler.
func (s *session) Data(data []byte, _ float64) {
	s.received = append(s.received, data...)
	for s.state != Idle {
		next, length, invalid := decodeMessage(s.received)
		if invalid != nil {
			s.close(invalid, "bad message")
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
		reason := fmt.Sprintf("message of type %d in state %v", received.kind, s.state)
		s.close(&NotificationError{Code: codeStateMachine}, reason)
	}
}

func (s *session) handleOpen(body []byte) {
	open, invalid := decodeOpen(body)
	if invalid == nil {
		invalid = s.checkNeighbour(open)
	}
	if invalid != nil {
		s.close(invalid, "bad OPEN")
		return
	}
	s.fourByteAS = open.fourByteAS
	s.holdMS = float64(min(int(open.holdTimeSeconds), s.speaker.cfg.HoldTimeS)) * msPerSecond
	s.state = OpenConfirm
	s.resetHoldTimer()
	s.sendKeepalive()
}

// checkNeighbour checks that an OPEN is from the configured neighbour. One within the same AS needs another router id.
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
		s.close(invalid, "bad UPDATE")
		return
	}
	s.resetHoldTimer()
}

// resetHoldTimer restarts the hold timer, after a message of the neighbour.
func (s *session) resetHoldTimer() {
	s.holdTimer.Stop()
	if s.holdMS > 0 {
		s.holdTimer = s.speaker.loop.After(s.holdMS, func() {
			s.close(&NotificationError{Code: codeHoldTimer}, "hold timer expired")
		})
	}
}

// sendKeepalive sends a KEEPALIVE and, where there is a hold time, schedules the next.
func (s *session) sendKeepalive() {
	s.speaker.Counters.Keepalives++
	_ = s.conn.Write(encodeMessage(typeKeepalive, nil))
	if s.holdMS > 0 {
		s.keepaliveTimer = s.speaker.loop.After(s.holdMS/keepalivesPerHoldTime, s.sendKeepalive)
	}
}

// announce announces the configured prefixes, in place of what was announced of them before.
func (s *session) announce(cfg Config) {
	s.speaker.Counters.Announced++
	s.logUpdate(true, cfg.Prefixes)
	_ = s.conn.Write(encodeAnnouncement(cfg, s.fourByteAS))
}

// withdraw withdraws prefixes; it sends nothing where there are none.
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

// replaceAnnounced announces the configured prefixes, and withdraws those of old that are not among them.
func (s *session) replaceAnnounced(old []netip.Prefix) {
	s.withdraw(s.speaker.removedPrefixes(old))
	s.announce(s.speaker.cfg)
}

// close closes the session, with a NOTIFICATION where there is one to send, and schedules a reconnection.
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
	s.conn.CloseGracefully() // not Close: the neighbour is to read the NOTIFICATION
	speaker.session = nil
	if !speaker.closed {
		retryMS := float64(speaker.cfg.ConnectRetryS) * msPerSecond
		speaker.retryTimer = speaker.loop.After(retryMS, speaker.connect)
	}
}
