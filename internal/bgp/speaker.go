// Package bgp is a small BGP speaker (RFC 4271) for one neighbour: it announces the service's addresses when
// the router is ready and withdraws them when it drains. It takes no routes in. It runs in the router's loop.
package bgp

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"reflect"
	"slices"

	"windflow/internal/netio"
	"windflow/internal/router"
)

// State is where a session stands.
type State int

// States of a session; RFC 4271's Active is left out, as the speaker never listens.
const (
	Idle State = iota
	Connect
	OpenSent
	OpenConfirm
	Established
)

func (s State) String() string {
	return [...]string{"Idle", "Connect", "OpenSent", "OpenConfirm", "Established"}[s]
}

const (
	dialTimeoutMS = 5_000.0
	// openHoldTimeMS is the hold time until the neighbour's OPEN has come: RFC 4271 suggests four minutes.
	openHoldTimeMS = 240_000.0
)

// Counters count what the speaker sent and heard.
type Counters struct {
	Connects    int64 `status:"connects"`
	Established int64 `status:"established"`
	Announced   int64 `status:"announced"`
	Withdrawn   int64 `status:"withdrawn"`
	Keepalives  int64 `status:"keepalives"`
	Updates     int64 `status:"updates"`
	Notified    int64 `status:"notified"`
	Errors      int64 `status:"errors"`
}

// Speaker keeps a session with the neighbour for as long as it is not stopped.
type Speaker struct {
	cfg              Config
	loop             *router.Loop
	dialer           netio.Dialer
	log              *slog.Logger
	announce         bool // the service is ready
	stopped          bool
	awaitingAdoption bool // another process has the session
	session          *session
	retry            *router.Timer
	Counters         Counters
}

// StartSpeaker returns a speaker that connects at once and announces nothing yet.
func StartSpeaker(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Speaker {
	s := &Speaker{cfg: cfg, loop: loop, dialer: dialer, log: log}
	s.connect()
	return s
}

// StartDeferred returns a speaker that does not connect by itself: the process that this one takes over from has the session,
// and gives it to Adopt in the end.
func StartDeferred(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Speaker {
	return &Speaker{cfg: cfg, loop: loop, dialer: dialer, log: log, awaitingAdoption: true}
}

// SessionState is a session on its way to another process.
type SessionState struct {
	Peer       string         `json:"peer"`
	HoldMS     float64        `json:"hold_ms"`
	FourByteAS bool           `json:"four_b"`
	Buffered   []byte         `json:"unread"` // the beginning of a message
	Announced  []netip.Prefix `json:"told"`
	NextHop    netip.Addr     `json:"next_hop"`
}

// Migrate gives the session up for another process to go on with: nothing is withdrawn, since the neighbour sees no
// end of it. f hears nil where there is none to give; the other process then connects itself, after this one has ended
// what it had.
func (s *Speaker) Migrate(f func(SessionState, *os.File)) {
	p := s.session
	s.stopped = true
	s.retry.Stop()
	if p == nil || p.state != Established {
		if p != nil {
			p.close(&NotificationError{Code: 6, Subcode: 2}, "handed over")
		}
		f(SessionState{}, nil)
		return
	}
	p.conn.Detach(func(file *os.File) {
		if file == nil {
			p.close(&NotificationError{Code: 6, Subcode: 2}, "handed over")
			f(SessionState{}, nil)
			return
		}
		p.state = Idle
		p.holdTimer.Stop()
		p.keepaliveTimer.Stop()
		s.session = nil
		s.log.Info("bgp session handed over", "peer", s.cfg.Peer)
		f(SessionState{
			Peer: s.cfg.Peer, HoldMS: p.holdMS, FourByteAS: p.fourByteAS, Buffered: p.received, Announced: s.cfg.Prefixes,
			NextHop: netip.Addr(s.cfg.NextHop),
		}, file)
	})
}

// Adopter takes an open connection over.
type Adopter interface {
	Adopt(*os.File, netio.Handler) error
}

// Adopt goes on with a session that another process gave up, or connects where there is none or it can't be used.
func (s *Speaker) Adopt(a Adopter, h SessionState, file *os.File) {
	if !s.awaitingAdoption {
		if file != nil {
			_ = file.Close()
		}
		return
	}
	s.awaitingAdoption = false
	if file != nil && h.Peer == s.cfg.Peer {
		p := &session{speaker: s, state: Established, holdMS: h.HoldMS, fourByteAS: h.FourByteAS, received: h.Buffered}
		if err := a.Adopt(file, p); err == nil {
			s.session = p
			s.log.Info("bgp session taken over", "peer", s.cfg.Peer)
			p.resetHoldTimer()
			p.sendKeepalive()
			old := s.cfg
			old.Prefixes = slices.DeleteFunc(h.Announced, func(p netip.Prefix) bool { return slices.Contains(s.cfg.Prefixes, p) })
			if len(old.Prefixes) > 0 {
				p.advertise(old, false)
			}
			if s.announce { // what was announced before is announced in place of itself
				p.advertise(s.cfg, true)
			}
			return
		}
	} else if file != nil {
		_ = file.Close()
	}
	s.connect()
}

// State is the session's state.
func (s *Speaker) State() State {
	if s.session == nil {
		return Idle
	}
	return s.session.state
}

// Announce says that the service is ready: its addresses are announced now and after each reconnection.
func (s *Speaker) Announce() { s.setAnnounced(true) }

// Withdraw says that the service drains. The session stays up.
func (s *Speaker) Withdraw() { s.setAnnounced(false) }

func (s *Speaker) setAnnounced(on bool) {
	if s.announce == on {
		return
	}
	s.announce = on
	if s.session != nil && s.session.state == Established {
		s.session.advertise(s.cfg, on)
	}
}

// Close ends the session in good order and does not reconnect.
func (s *Speaker) Close() {
	s.stopped = true
	s.retry.Stop()
	if s.session != nil {
		s.session.close(&NotificationError{Code: 6, Subcode: 2}, "stopped")
	}
}

// Configure has the speaker go by another configuration. Other prefixes or another next hop are told in the session
// that is up; what the session itself rests on needs a new one.
func (s *Speaker) Configure(cfg Config) {
	old := s.cfg
	s.cfg = cfg
	same := cfg
	same.Prefixes, same.NextHop = old.Prefixes, old.NextHop
	switch {
	case !reflect.DeepEqual(same, old):
		if s.session != nil {
			s.session.close(&NotificationError{Code: 6, Subcode: 6}, "other configuration")
		}
		s.retry.Stop()
		s.connect()
	case s.session == nil || s.session.state != Established || !s.announce || reflect.DeepEqual(cfg, old):
	default:
		gone := old
		gone.Prefixes = slices.DeleteFunc(slices.Clone(old.Prefixes), func(p netip.Prefix) bool {
			return slices.Contains(cfg.Prefixes, p)
		})
		if len(gone.Prefixes) > 0 {
			s.session.advertise(gone, false)
		}
		s.session.advertise(cfg, true) // takes the place of what was announced before
	}
}

func (s *Speaker) connect() {
	if s.stopped || s.awaitingAdoption {
		return
	}
	s.Counters.Connects++
	p := &session{speaker: s, state: Connect}
	s.session = p
	p.conn = s.dialer.Dial(s.cfg.Peer, dialTimeoutMS, p)
}

// session is one connection to the neighbour.
type session struct {
	speaker        *Speaker
	conn           netio.Conn
	state          State
	received       []byte
	holdMS         float64 // 0: no hold timer
	holdTimer      *router.Timer
	keepaliveTimer *router.Timer
	fourByteAS     bool
}

// Opened implements netio.Handler.
func (p *session) Opened(c netio.Conn) {
	cfg := p.speaker.cfg
	p.conn = c
	if p.state == Established {
		return // taken over
	}
	p.state = OpenSent
	_ = p.conn.Write(encodeOpen(openMessage{asNumber: cfg.LocalAS, holdTimeSeconds: uint16(cfg.HoldTimeS), routerID: cfg.RouterID}))
	p.holdMS = openHoldTimeMS
	p.resetHoldTimer()
}

// Closed implements netio.Handler.
func (p *session) Closed(err error) { p.close(nil, fmt.Sprint("connection closed: ", err)) }

// Data implements netio.Handler.
func (p *session) Data(b []byte, _ float64) {
	p.received = append(p.received, b...)
	for p.state != Idle {
		kind, body, n, bad := decodeMessage(p.received)
		if bad != nil {
			p.close(bad, "bad message")
			return
		}
		if n == 0 {
			return
		}
		p.received = p.received[n:]
		p.handleMessage(kind, body)
	}
}

// resetHoldTimer starts the hold timer anew.
func (p *session) resetHoldTimer() {
	p.holdTimer.Stop()
	if p.holdMS > 0 {
		p.holdTimer = p.speaker.loop.After(p.holdMS, func() { p.close(&NotificationError{Code: 4}, "hold timer expired") })
	}
}

// handleMessage takes one whole message of the neighbour.
func (p *session) handleMessage(kind byte, body []byte) {
	if kind == typeNotification {
		p.speaker.Counters.Notified++
		got := &NotificationError{Code: body[0], Subcode: body[1], Data: body[2:]}
		p.close(nil, "the neighbour sent "+got.Error())
		return
	}
	switch {
	case p.state == OpenSent && kind == typeOpen:
		p.handleOpen(body)
	case p.state == OpenConfirm && kind == typeKeepalive:
		p.state = Established
		p.speaker.Counters.Established++
		p.speaker.log.Info("bgp session established", "peer", p.speaker.cfg.Peer, "hold_ms", p.holdMS)
		p.resetHoldTimer()
		if p.speaker.announce {
			p.advertise(p.speaker.cfg, true)
		}
	case p.state == Established && kind == typeKeepalive:
		p.resetHoldTimer()
	case p.state == Established && kind == typeUpdate:
		p.speaker.Counters.Updates++
		if bad := checkUpdate(body); bad != nil {
			p.close(bad, "bad UPDATE")
			return
		}
		p.resetHoldTimer()
	default:
		p.close(&NotificationError{Code: 5}, fmt.Sprintf("message of type %d in state %v", kind, p.state))
	}
}

func (p *session) handleOpen(body []byte) {
	o, bad := parseOpen(body)
	cfg := p.speaker.cfg
	if bad == nil && o.asNumber != cfg.PeerAS {
		bad = &NotificationError{Code: 2, Subcode: 2}
	}
	if bad == nil && o.asNumber == cfg.LocalAS && o.routerID == netip.Addr(cfg.RouterID) {
		bad = &NotificationError{Code: 2, Subcode: 3} // a neighbour within the system has an id of its own
	}
	if bad != nil {
		p.close(bad, "bad OPEN")
		return
	}
	p.fourByteAS = o.fourByteAS
	p.holdMS = float64(min(int(o.holdTimeSeconds), cfg.HoldTimeS)) * 1000
	p.state = OpenConfirm
	p.resetHoldTimer()
	p.sendKeepalive()
}

// sendKeepalive sends a KEEPALIVE now and, where there is a hold time, at each third of it.
func (p *session) sendKeepalive() {
	p.speaker.Counters.Keepalives++
	_ = p.conn.Write(encodeMessage(typeKeepalive, nil))
	if p.holdMS > 0 {
		p.keepaliveTimer = p.speaker.loop.After(p.holdMS/3, p.sendKeepalive)
	}
}

func (p *session) advertise(cfg Config, on bool) {
	if on {
		p.speaker.Counters.Announced++
	} else {
		p.speaker.Counters.Withdrawn++
	}
	p.speaker.log.Info("bgp update", "peer", p.speaker.cfg.Peer, "announce", on, "prefixes", cfg.Prefixes)
	_ = p.conn.Write(encodeUpdate(cfg, p.fourByteAS, !on))
}

// close closes the session, with a NOTIFICATION where there is one to send, and has it opened again later.
func (p *session) close(n *NotificationError, why string) {
	if p.state == Idle {
		return
	}
	was := p.state
	p.state = Idle
	p.holdTimer.Stop()
	p.keepaliveTimer.Stop()
	if n != nil {
		if n.Code != 6 {
			p.speaker.Counters.Errors++
		}
		if was > Connect {
			_ = p.conn.Write(encodeNotification(n))
		}
		why += ": " + n.Error()
	}
	p.speaker.log.Warn("bgp session ended", "peer", p.speaker.cfg.Peer, "state", was.String(), "why", why)
	p.conn.CloseGracefully() // so that the neighbour can read why
	p.speaker.session = nil
	if !p.speaker.stopped {
		p.speaker.retry = p.speaker.loop.After(float64(p.speaker.cfg.ConnectRetryS)*1000, p.speaker.connect)
	}
}
