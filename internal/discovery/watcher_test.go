package discovery

import (
	"encoding/hex"
	"log/slog"
	"math"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/clock"
	"windflow/internal/netio"
	"windflow/internal/router"
)

// fakeDialer records the handlers of the dialed connections and, in hexadecimal, the bytes written to them.
type fakeDialer struct {
	handlers []netio.Handler
	written  []string
}

func (d *fakeDialer) Dial(_ string, _ float64, h netio.Handler) netio.Conn {
	d.handlers = append(d.handlers, h)
	return &fakeConn{dialer: d}
}

type fakeConn struct{ dialer *fakeDialer }

func (c *fakeConn) Write(b []byte) error {
	c.dialer.written = append(c.dialer.written, hex.EncodeToString(b))
	return nil
}
func (c *fakeConn) Close()                  {}
func (c *fakeConn) CloseGracefully()        {}
func (c *fakeConn) NotifyFlushed(f func())  { f() }
func (c *fakeConn) Detach(f func(*os.File)) { f(nil) }
func (c *fakeConn) HasUnread() bool         { return false }
func (c *fakeConn) PeerClosed() bool        { return false }

// TestReconnectsFromLastValidEvent checks that an invalid frame, a gap between events or a timeout ends the connection,
// and that the next connection continues after the last valid event. Otherwise events would be lost or reported twice.
func TestReconnectsFromLastValidEvent(t *testing.T) {
	now := &clock.Manual{MS: 1e6}
	loop := router.NewLoop(now)
	run := func() {
		for loop.Step() {
		}
	}
	d := &fakeDialer{}
	var updates []int
	w := Watch(loop, d, "discovery:1", testNames, 4, func(u Update) { updates = append(updates, len(u.List.Endpoints)) },
		1, slog.New(slog.DiscardHandler))
	steps := []struct {
		name, frame    string
		wait           float64
		connections    int
		subscribedFrom string // event number that the newest connection sent
	}{
		{"event 5 in two parts", eventFive + "02" + record, 0, 1, "0000000000000004"},
		{"event 5 again is ignored", eventFive + "02" + record, 0, 1, "0000000000000004"},
		{"unknown frame kind", eventFive + "09", 150, 2, "0000000000000005"},
		{"gap between events", "0000000000000007" + "02" + record, 150, 3, "0000000000000005"},
		{"event 6", "0000000000000006" + "01", 0, 3, "0000000000000005"},
		{"silence", "", 2700, 4, "0000000000000006"},
	}
	d.handlers[0].Opened(&fakeConn{dialer: d})
	for _, s := range steps {
		connection := d.handlers[len(d.handlers)-1]
		if s.frame != "" {
			b := encodeFrame(t, s.frame)
			connection.Data(b[:3], now.MS)
			connection.Data(b[3:], now.MS)
		}
		before := len(d.handlers)
		now.MS += s.wait
		run()
		now.MS += 150
		run()
		if len(d.handlers) > before {
			d.handlers[len(d.handlers)-1].Opened(&fakeConn{dialer: d})
		}
		if len(d.handlers) != s.connections || d.written[len(d.written)-1] != s.subscribedFrom {
			t.Errorf("%s: %d connections, the last one sent event number %s; want %d and %s", s.name, len(d.handlers),
				d.written[len(d.written)-1], s.connections, s.subscribedFrom)
		}
	}
	if diff := cmp.Diff([]int{1, 0}, updates); diff != "" || w.Counters.BadFrames != 2 {
		t.Errorf("%d bad frames, want 2; endpoints of the updates (-want +got):\n%s", w.Counters.BadFrames, diff)
	}
}

// TestReconnectDelaysAreRandomized checks that routers that lose discovery at the same time do not reconnect at the
// same time. Each delay is between 0.5 and 1.5 times the usual delay, and the same seed gives the same delays.
func TestReconnectDelaysAreRandomized(t *testing.T) {
	reconnections := func(seed uint64) (at []float64) {
		now := &clock.Manual{MS: 1e6}
		loop := router.NewLoop(now)
		d := &fakeDialer{}
		Watch(loop, d, "discovery:1", testNames, 4, func(Update) {}, seed, slog.New(slog.DiscardHandler))
		for len(at) < 6 {
			d.handlers[len(d.handlers)-1].Closed(netio.ErrNotConnected)
			from := now.MS
			for before := len(d.handlers); len(d.handlers) == before; now.MS++ {
				for loop.Step() {
				}
			}
			at = append(at, now.MS-from)
		}
		return at
	}
	first := map[float64]int{}
	for seed := range uint64(100) {
		at := reconnections(seed)
		first[at[0]]++
		for i, wait := range at {
			usual := min(minReconnectDelayMS*math.Pow(2, float64(i)), maxReconnectDelayMS)
			if wait < usual/2 || wait > 1.5*usual+2 {
				t.Errorf("seed %d: reconnection %d after %v ms, want about %v", seed, i, wait, usual)
			}
		}
	}
	for at, n := range first {
		if n > 8 {
			t.Errorf("%d of 100 routers reconnect after %v ms, want at most 8", n, at)
		}
	}
	if diff := cmp.Diff(reconnections(7), reconnections(7)); diff != "" {
		t.Error("different delays for the same seed:", diff)
	}
}

// TestSilentConnectionTimesOut checks that a connection times out if discovery sends single bytes of a frame that never
// ends, or nothing after a complete list. A connection on which a long frame arrives slowly must stay open.
func TestSilentConnectionTimesOut(t *testing.T) {
	for _, test := range []struct {
		name      string
		first     string // body of the first frame; empty for none
		bytes     int    // bytes of the following frame that are sent every 100 ms
		staysOpen bool
	}{
		{"single bytes of a frame", "0000000000000004" + "00", 1, false},
		{"silent after a complete list", "0000000000000005" + "01" + record, 0, false},
		{"slow long frame", "0000000000000004" + "00", 1024, true},
		{"silent from the start", "", 0, false},
	} {
		now := &clock.Manual{MS: 1e6}
		loop := router.NewLoop(now)
		d := &fakeDialer{}
		Watch(loop, d, "discovery:1", testNames, 4, func(Update) {}, 1, slog.New(slog.DiscardHandler))
		d.handlers[0].Opened(&fakeConn{dialer: d})
		if test.first != "" {
			d.handlers[0].Data(encodeFrame(t, test.first), now.MS)
		}
		long := []byte{0, 0x0f, 0xff, 0xff}
		for range 30 {
			if test.bytes > 0 {
				d.handlers[0].Data(append(long, make([]byte, test.bytes)...), now.MS)
				long = nil
			}
			now.MS += 100
			for loop.Step() {
			}
		}
		if stays := len(d.handlers) == 1; stays != test.staysOpen {
			t.Errorf("%s: %d connections after 3 s, want the first to stay open: %v", test.name, len(d.handlers), test.staysOpen)
		}
	}
}

// lateServer plays discovery on the fake dialer's connections: it opens each at once, and all that it sends on one
// arrives late. A connection with an index below silent stays silent.
type lateServer struct {
	t        *testing.T
	dialer   *fakeDialer
	lateMS   float64
	silent   int
	openedMS []float64
	sent     []int // heartbeats that have arrived on each connection
}

// step delivers what has arrived by the time now.
func (s *lateServer) step(nowMS float64) {
	for i, handler := range s.dialer.handlers {
		if i == len(s.openedMS) {
			s.openedMS, s.sent = append(s.openedMS, nowMS), append(s.sent, 0)
			handler.Opened(&fakeConn{dialer: s.dialer})
		}
		due := int((nowMS-s.openedMS[i]-s.lateMS)/1000) + 1
		if nowMS-s.openedMS[i] < s.lateMS || i < s.silent {
			due = 0
		}
		for ; s.sent[i] < due; s.sent[i]++ {
			body := "0000000000000005" + "00"
			if s.sent[i] == 0 {
				body = eventFive + "02" + record
			}
			handler.Data(encodeFrame(s.t, body), nowMS)
		}
	}
}

// Guards against an endpoint list that is never heard: whatever discovery sends arrives late, so that every connection
// that is closed for its silence would have brought the event. The event must arrive before it counts as told after 7 s,
// also if the first connection is dead, and the router must not keep more connections than it needs.
func TestLateDiscoveryIsHeard(t *testing.T) {
	const toldMS = 7000.0
	for _, test := range []struct {
		name   string
		lateMS float64
		silent int // connections that stay silent
	}{
		{"in time", 100, 0},
		{"2 s late", 2000, 0},
		{"3 s late", 3000, 0},
		{"4.9 s late", 4900, 0},
		{"6.5 s late", 6500, 0},
		{"30 s late", 30_000, 0},
		{"first connection dead", 3000, 1},
		{"two connections dead", 2000, 2},
	} {
		now := &clock.Manual{MS: 1e6}
		loop := router.NewLoop(now)
		server := &lateServer{t: t, dialer: &fakeDialer{}, lateMS: test.lateMS, silent: test.silent}
		heardMS := 0.0
		w := Watch(loop, server.dialer, "discovery:1", testNames, 4, func(Update) { heardMS = now.MS - 1e6 }, 1,
			slog.New(slog.DiscardHandler))
		for now.MS < 1e6+60_000 {
			server.step(now.MS)
			for loop.Step() {
			}
			if len(w.connections) > maxConnections {
				t.Fatalf("%s: %d connections are open, at most %d are allowed", test.name, len(w.connections), maxConnections)
			}
			now.MS += 10
		}
		if want := max(toldMS, test.lateMS+100); heardMS == 0 || heardMS > want {
			t.Errorf("%s: the event was heard after %v ms, want at most %v (0 is never)", test.name, heardMS, want)
		}
		if len(w.connections) != 1 {
			t.Errorf("%s: %d connections are open after a minute, want 1", test.name, len(w.connections))
		}
		if dialed := len(server.dialer.handlers); test.lateMS < toldMS && dialed > 5 {
			t.Errorf("%s: %d connections in a minute, want at most 5", test.name, dialed)
		}
	}
}

// A discovery service that stays silent is connected to again and again, and the oldest connection does not stay open
// forever. No more than maxConnections are open.
func TestSilentDiscoveryIsTriedAgain(t *testing.T) {
	now := &clock.Manual{MS: 1e6}
	loop := router.NewLoop(now)
	server := &lateServer{t: t, dialer: &fakeDialer{}, silent: math.MaxInt}
	w := Watch(loop, server.dialer, "discovery:1", testNames, 4, func(Update) {}, 1, slog.New(slog.DiscardHandler))
	first := w.connections[0]
	for now.MS < 1e6+2*maxSilenceMS {
		server.step(now.MS)
		for loop.Step() {
		}
		if len(w.connections) > maxConnections {
			t.Fatalf("%d connections are open, at most %d are allowed", len(w.connections), maxConnections)
		}
		if first.closed && now.MS < 1e6+maxSilenceMS {
			t.Fatalf("the first connection was closed after %v ms", now.MS-1e6)
		}
		now.MS += 10
	}
	if dialed := len(server.dialer.handlers); !first.closed || dialed < 40 {
		t.Errorf("first connection closed %v, %d connections in two minutes, want at least 40", first.closed, dialed)
	}
}
