// Package discovery follows the notice board: numbered changes of the list of engines, as JSON in the
// configuration and as frames over TCP from then on.
package discovery

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

const (
	headerLength = 4
	frameHead    = 9 // number and kind
	recordLength = 27
	maxFrame     = 1 << 20

	kindNothing = 0
	kindWhole   = 1
	kindChanges = 2

	dialTimeout = 250.0
	// silence is how long the board may say nothing, in milliseconds, before the link counts as dead: it sends a
	// frame each second. What a board that has stopped would have told counts as told 4 s after its stop, so
	// that there must be time left to dial again.
	silence = 1800.0
	// redialLeast and redialMost are the wait before the link is opened again: it doubles while that fails. Half of it to
	// half as much again is waited, by chance, so that hundreds of routers that lost the board together don't come back
	// together.
	redialLeast, redialMost = 100.0, 500.0
	// grown is how much of a frame that has begun has to come to count as a word of the board: one that trickles would hold
	// the link for ever.
	grown = 4096
	// seedOf sets the draws of waits apart from others that are made from the same seed.
	seedOf = 0x626f617264
	// maxStart bounds the start of an engine, in Unix milliseconds, to what a time.Duration can hold.
	maxStart = math.MaxInt64 / 1_000_000
)

// Update is one event: engines, and where they listen.
type Update = settings.EndpointEvents

// RecordNames are the lists of the settings that records point into.
type RecordNames struct{ Zones, Kinds []string }

// frame is one parsed frame.
type frame struct {
	number uint64
	kind   byte
	list   Update
}

// parseFrame reads what follows the length.
func parseFrame(b []byte, names RecordNames) (frame, error) {
	if len(b) < frameHead {
		return frame{}, fmt.Errorf("frame of %d bytes is too short", len(b))
	}
	f := frame{number: binary.BigEndian.Uint64(b), kind: b[8]}
	rest := b[frameHead:]
	switch {
	case f.kind > kindChanges:
		return f, fmt.Errorf("unknown kind %d", f.kind)
	case f.kind == kindNothing && len(rest) > 0:
		return f, errors.New("an empty frame with a payload")
	case len(rest)%recordLength != 0:
		return f, fmt.Errorf("payload of %d bytes is not whole records", len(rest))
	}
	f.list = Update{Events: dispatch.EndpointList{Mode: dispatch.ListIncremental}, Addresses: map[dispatch.EngineID]string{}}
	if f.kind == kindWhole {
		f.list.Events.Mode = dispatch.ListComplete
	}
	for ; len(rest) > 0; rest = rest[recordLength:] {
		id := dispatch.EngineID(binary.BigEndian.Uint32(rest))
		state, zone, kind := rest[10], int(rest[11]), int(rest[12])
		started := binary.BigEndian.Uint64(rest[19:])
		if state > 2 || zone >= len(names.Zones) || kind >= len(names.Kinds) || started > maxStart {
			return f, fmt.Errorf("record of s-%08x: state %d, zone %d, kind %d or start %d is out of range",
				uint64(id), state, zone, kind, started)
		}
		f.list.Events.Endpoints = append(f.list.Events.Endpoints, dispatch.Endpoint{
			ID:    id,
			State: dispatch.EndpointState(state), Zone: names.Zones[zone], Kind: names.Kinds[kind],
			Cell: int(binary.BigEndian.Uint16(rest[13:])), CapacityWeight: float64(binary.BigEndian.Uint32(rest[15:])) / 1000,
			StartedAt: clock.Duration(float64(started)),
		})
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(rest[4:8])), binary.BigEndian.Uint16(rest[8:]))
		f.list.Addresses[id] = addr.String()
	}
	return f, nil
}

// Watcher keeps a link to the board and tells of every event once, in order.
type Watcher struct {
	loop   *router.Loop
	dialer netio.Dialer
	addr   string
	names  RecordNames
	last   uint64
	tell   func(Update)
	log    *slog.Logger
	link   *link
	rng    *rand.Rand
	redial float64       // the next wait, but for chance; redialLeast while the link is up
	again  *router.Timer // opens the next link; nil or spent while there is one

	heardAt  float64
	Counters Counters
}

// LastEvent is the number of the last event, and HeardAt when the board was heard last, in milliseconds.
func (f *Watcher) LastEvent() uint64 { return f.last }

// LastContactMS: see Last.
func (f *Watcher) LastContactMS() float64 { return f.heardAt }

// Counters count what the board sent.
type Counters struct {
	Links     int64 `status:"links"`
	Frames    int64 `status:"frames"`
	Events    int64 `status:"events"`
	BadFrames int64 `status:"bad"`
}

// Watch opens the link; last is the number of the last event that is known, and waits are drawn from the seed.
func Watch(loop *router.Loop, dialer netio.Dialer, addr string, names RecordNames, last uint64, tell func(Update),
	seed uint64, log *slog.Logger,
) *Watcher {
	f := &Watcher{
		loop: loop, dialer: dialer, addr: addr, names: names, last: last, tell: tell, log: log,
		redial: redialLeast, rng: rand.New(rand.NewPCG(seed, seedOf)),
	}
	f.open()
	return f
}

// Configure has the follower read records by other names and, where the address is a new one, follow there at
// once, from the last event on. Whatever the old board still sends is not heard any more: its numbers go on at the
// new one, so that an event from either is told once.
func (f *Watcher) Configure(addr string, names RecordNames) {
	f.names = names
	if addr == f.addr {
		return
	}
	f.log.Info("board moved", "from", f.addr, "to", addr, "last", f.last)
	f.addr, f.redial = addr, redialLeast
	f.again.Stop() // else a link that was to be opened again would stand beside the new one
	f.link.drop()
	f.open()
}

func (f *Watcher) open() {
	f.Counters.Links++
	f.link = &link{f: f}
	f.link.conn = f.dialer.Dial(f.addr, dialTimeout, f.link)
	f.link.listen()
}

// link is one connection to the board.
type link struct {
	f     *Watcher
	conn  netio.Conn
	buf   []byte
	timer *router.Timer
	heard bool // anything came on it
	held  int  // bytes of a frame that has begun when the wait for the next word was begun anew
	done  bool
}

// listen starts the wait for the next word anew.
func (l *link) listen() {
	l.timer.Stop()
	l.timer = l.f.loop.After(silence, func() { l.end("the board is silent") })
}

func (l *link) Opened(c netio.Conn) {
	l.conn = c
	if l.done {
		c.Close()
		return
	}
	_ = c.Write(binary.BigEndian.AppendUint64(nil, l.f.last))
}

func (l *link) Closed(err error) { l.end(fmt.Sprint("link closed: ", err)) }

func (l *link) Data(b []byte, _ float64) {
	if l.done {
		return
	}
	if !l.heard {
		l.f.log.Info("board link up", "board", l.f.addr, "last", l.f.last)
	}
	l.heard, l.f.redial = true, redialLeast
	l.buf = append(l.buf, b...)
	frames := l.f.Counters.Frames
	defer func() {
		if !l.done && (l.f.Counters.Frames > frames || len(l.buf)-l.held >= grown) {
			l.held = len(l.buf)
			l.listen()
		}
	}()
	for !l.done && len(l.buf) >= headerLength {
		n := binary.BigEndian.Uint32(l.buf)
		if n < frameHead || n > maxFrame {
			l.bad(fmt.Errorf("frame of %d bytes", n))
			return
		}
		if uint32(len(l.buf)-headerLength) < n {
			return
		}
		body := l.buf[headerLength : headerLength+n]
		l.buf = l.buf[headerLength+n:]
		l.frame(body)
	}
}

func (l *link) frame(body []byte) {
	f := l.f
	fr, err := parseFrame(body, f.names)
	f.Counters.Frames++
	f.heardAt = f.loop.Now()
	switch {
	case err != nil:
		l.bad(err)
	case fr.kind == kindNothing:
	case fr.number <= f.last:
		f.log.Debug("board event known already", "number", fr.number, "last", f.last)
	case fr.kind == kindChanges && fr.number != f.last+1:
		l.bad(fmt.Errorf("event %d follows event %d", fr.number, f.last))
	default:
		f.last = fr.number
		f.Counters.Events++
		f.log.Info("board event", "number", fr.number, "engines", len(fr.list.Events.Endpoints),
			"whole", fr.kind == kindWhole)
		f.tell(fr.list)
	}
}

// bad drops a link whose frames can't be trusted. The list is kept, and the next link goes on from the last
// good event.
func (l *link) bad(err error) {
	l.f.Counters.BadFrames++
	l.end("bad frame: " + err.Error())
}

func (l *link) end(why string) {
	if l.done {
		return
	}
	l.drop()
	level := slog.LevelWarn
	if !l.heard && l.f.redial > redialLeast {
		level = slog.LevelDebug // the first failure was logged; the next good link is
	}
	l.f.log.Log(context.Background(), level, "board link ended", "why", why, "last", l.f.last)
	l.f.again = l.f.loop.After(l.f.redial*(0.5+l.f.rng.Float64()), l.f.open)
	if !l.heard {
		l.f.redial = min(2*l.f.redial, redialMost)
	}
}

// drop closes the link; nothing that comes on it counts any more.
func (l *link) drop() {
	l.done = true
	l.timer.Stop()
	l.conn.Close()
}
