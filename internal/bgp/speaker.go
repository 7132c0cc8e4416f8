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
	dialTimeout = 5_000.0
	// openHold is the hold time until the neighbour's OPEN has come: RFC 4271 suggests four minutes.
	openHold = 240_000.0
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
	cfg      Config
	loop     *router.Loop
	dialer   netio.Dialer
	log      *slog.Logger
	announce bool // the service is ready
	stopped  bool
	awaits   bool // another process has the session
	session  *session
	retry    *router.Timer
	Counters Counters
}

// Start returns a speaker that connects at once and announces nothing yet.
func Start(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Speaker {
	s := &Speaker{cfg: cfg, loop: loop, dialer: dialer, log: log}
	s.connect()
	return s
}

// Await returns a speaker that does not connect by itself: the process that this one takes over from has the session,
// and gives it to Adopt in the end.
func Await(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Speaker {
	return &Speaker{cfg: cfg, loop: loop, dialer: dialer, log: log, awaits: true}
}

// Handed is a session on its way to another process.
type Handed struct {
	Peer    string         `json:"peer"`
	HoldMS  float64        `json:"hold_ms"`
	FourB   bool           `json:"four_b"`
	Unread  []byte         `json:"unread"` // the beginning of a message
	Told    []netip.Prefix `json:"told"`
	NextHop netip.Addr     `json:"next_hop"`
}

// HandOver gives the session up for another process to go on with: nothing is withdrawn, since the neighbour sees no
// end of it. f hears nil where there is none to give; the other process then connects itself, after this one has ended
// what it had.
func (s *Speaker) HandOver(f func(Handed, *os.File)) {
	p := s.session
	s.stopped = true
	s.retry.Stop()
	if p == nil || p.state != Established {
		if p != nil {
			p.end(&Notification{Code: 6, Subcode: 2}, "handed over")
		}
		f(Handed{}, nil)
		return
	}
	p.conn.Detach(func(file *os.File) {
		if file == nil {
			p.end(&Notification{Code: 6, Subcode: 2}, "handed over")
			f(Handed{}, nil)
			return
		}
		p.state = Idle
		p.hold.Stop()
		p.keepalive.Stop()
		s.session = nil
		s.log.Info("bgp session handed over", "peer", s.cfg.Peer)
		f(Handed{
			Peer: s.cfg.Peer, HoldMS: p.holdMS, FourB: p.fourB, Unread: p.buf, Told: s.cfg.Prefixes,
			NextHop: netip.Addr(s.cfg.NextHop),
		}, file)
	})
}

// Adopter takes an open connection over.
type Adopter interface {
	Adopt(*os.File, netio.Handler) error
}

// Adopt goes on with a session that another process gave up, or connects where there is none or it can't be used.
func (s *Speaker) Adopt(a Adopter, h Handed, file *os.File) {
	if !s.awaits {
		if file != nil {
			_ = file.Close()
		}
		return
	}
	s.awaits = false
	if file != nil && h.Peer == s.cfg.Peer {
		p := &session{s: s, state: Established, holdMS: h.HoldMS, fourB: h.FourB, buf: h.Unread}
		if err := a.Adopt(file, p); err == nil {
			s.session = p
			s.log.Info("bgp session taken over", "peer", s.cfg.Peer)
			p.heard()
			p.beat()
			old := s.cfg
			old.Prefixes = slices.DeleteFunc(h.Told, func(p netip.Prefix) bool { return slices.Contains(s.cfg.Prefixes, p) })
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
func (s *Speaker) Announce() { s.set(true) }

// Withdraw says that the service drains. The session stays up.
func (s *Speaker) Withdraw() { s.set(false) }

func (s *Speaker) set(on bool) {
	if s.announce == on {
		return
	}
	s.announce = on
	if s.session != nil && s.session.state == Established {
		s.session.advertise(s.cfg, on)
	}
}

// Stop ends the session in good order and does not reconnect.
func (s *Speaker) Stop() {
	s.stopped = true
	s.retry.Stop()
	if s.session != nil {
		s.session.end(&Notification{Code: 6, Subcode: 2}, "stopped")
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
			s.session.end(&Notification{Code: 6, Subcode: 6}, "other configuration")
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
	if s.stopped || s.awaits {
		return
	}
	s.Counters.Connects++
	p := &session{s: s, state: Connect}
	s.session = p
	p.conn = s.dialer.Dial(s.cfg.Peer, dialTimeout, p)
}

// session is one connection to the neighbour.
type session struct {
	s         *Speaker
	conn      netio.Conn
	state     State
	buf       []byte
	holdMS    float64 // 0: no hold timer
	hold      *router.Timer
	keepalive *router.Timer
	fourB     bool
}

// Opened implements netio.Handler.
func (p *session) Opened(c netio.Conn) {
	cfg := p.s.cfg
	p.conn = c
	if p.state == Established {
		return // taken over
	}
	p.state = OpenSent
	_ = p.conn.Write(encodeOpen(open{as: cfg.LocalAS, hold: uint16(cfg.HoldTimeS), id: cfg.RouterID}))
	p.holdMS = openHold
	p.heard()
}

// Closed implements netio.Handler.
func (p *session) Closed(err error) { p.end(nil, fmt.Sprint("connection closed: ", err)) }

// Data implements netio.Handler.
func (p *session) Data(b []byte, _ float64) {
	p.buf = append(p.buf, b...)
	for p.state != Idle {
		kind, body, n, bad := next(p.buf)
		if bad != nil {
			p.end(bad, "bad message")
			return
		}
		if n == 0 {
			return
		}
		p.buf = p.buf[n:]
		p.message(kind, body)
	}
}

// heard starts the hold timer anew.
func (p *session) heard() {
	p.hold.Stop()
	if p.holdMS > 0 {
		p.hold = p.s.loop.After(p.holdMS, func() { p.end(&Notification{Code: 4}, "hold timer expired") })
	}
}

// message takes one whole message of the neighbour.
func (p *session) message(kind byte, body []byte) {
	if kind == typeNotification {
		p.s.Counters.Notified++
		got := &Notification{Code: body[0], Subcode: body[1], Data: body[2:]}
		p.end(nil, "the neighbour sent "+got.Error())
		return
	}
	switch {
	case p.state == OpenSent && kind == typeOpen:
		p.opened(body)
	case p.state == OpenConfirm && kind == typeKeepalive:
		p.state = Established
		p.s.Counters.Established++
		p.s.log.Info("bgp session established", "peer", p.s.cfg.Peer, "hold_ms", p.holdMS)
		p.heard()
		if p.s.announce {
			p.advertise(p.s.cfg, true)
		}
	case p.state == Established && kind == typeKeepalive:
		p.heard()
	case p.state == Established && kind == typeUpdate:
		p.s.Counters.Updates++
		if bad := checkUpdate(body); bad != nil {
			p.end(bad, "bad UPDATE")
			return
		}
		p.heard()
	default:
		p.end(&Notification{Code: 5}, fmt.Sprintf("message of type %d in state %v", kind, p.state))
	}
}

func (p *session) opened(body []byte) {
	o, bad := parseOpen(body)
	cfg := p.s.cfg
	if bad == nil && o.as != cfg.PeerAS {
		bad = &Notification{Code: 2, Subcode: 2}
	}
	if bad == nil && o.as == cfg.LocalAS && o.id == netip.Addr(cfg.RouterID) {
		bad = &Notification{Code: 2, Subcode: 3} // a neighbour within the system has an id of its own
	}
	if bad != nil {
		p.end(bad, "bad OPEN")
		return
	}
	p.fourB = o.fourB
	p.holdMS = float64(min(int(o.hold), cfg.HoldTimeS)) * 1000
	p.state = OpenConfirm
	p.heard()
	p.beat()
}

// beat sends a KEEPALIVE now and, where there is a hold time, at each third of it.
func (p *session) beat() {
	p.s.Counters.Keepalives++
	_ = p.conn.Write(message(typeKeepalive, nil))
	if p.holdMS > 0 {
		p.keepalive = p.s.loop.After(p.holdMS/3, p.beat)
	}
}

func (p *session) advertise(cfg Config, on bool) {
	if on {
		p.s.Counters.Announced++
	} else {
		p.s.Counters.Withdrawn++
	}
	p.s.log.Info("bgp update", "peer", p.s.cfg.Peer, "announce", on, "prefixes", cfg.Prefixes)
	_ = p.conn.Write(encodeUpdate(cfg, p.fourB, !on))
}

// end closes the session, with a NOTIFICATION where there is one to send, and has it opened again later.
func (p *session) end(n *Notification, why string) {
	if p.state == Idle {
		return
	}
	was := p.state
	p.state = Idle
	p.hold.Stop()
	p.keepalive.Stop()
	if n != nil {
		if n.Code != 6 {
			p.s.Counters.Errors++
		}
		if was > Connect {
			_ = p.conn.Write(encodeNotification(n))
		}
		why += ": " + n.Error()
	}
	p.s.log.Warn("bgp session ended", "peer", p.s.cfg.Peer, "state", was.String(), "why", why)
	p.conn.Finish() // so that the neighbour can read why
	p.s.session = nil
	if !p.s.stopped {
		p.s.retry = p.s.loop.After(float64(p.s.cfg.ConnectRetryS)*1000, p.s.connect)
	}
}
