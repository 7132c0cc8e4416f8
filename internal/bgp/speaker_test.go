package bgp

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/clock"
	"windflow/internal/netio"
	"windflow/internal/router"
)

func testConfig() Config {
	return Config{
		Peer: "127.0.0.1:1179", PeerAS: 64512, LocalAS: 64513, RouterID: netip.MustParseAddr("10.0.0.1"),
		NextHop: netip.MustParseAddr("10.0.0.1"), Prefixes: []netip.Prefix{netip.MustParsePrefix("192.0.2.10/32")},
		HoldTimeS: 9, ConnectRetryS: 5,
	}
}

// fakePeer is a fake neighbour that records what the speaker writes. It also serves as the dialer and the connection.
type fakePeer struct {
	t       *testing.T
	now     *clock.Manual
	loop    *router.Loop
	speaker *Speaker
	handler netio.Handler
	dials   int
	written []byte
	closed  bool
}

func newPeer(t *testing.T, cfg Config) *fakePeer {
	t.Helper()
	p := &fakePeer{t: t, now: &clock.Manual{MS: 1e12}}
	p.loop = router.NewLoop(p.now)
	p.speaker = StartSpeaker(p.loop, p, cfg, slog.New(slog.DiscardHandler))
	return p
}

func (p *fakePeer) Dial(_ string, _ float64, h netio.Handler) netio.Conn {
	p.dials++
	p.handler, p.closed = h, false
	return p
}

func (p *fakePeer) Write(b []byte) error {
	p.written = append(p.written, b...)
	return nil
}
func (p *fakePeer) Close()                  { p.closed = true }
func (p *fakePeer) CloseGracefully()        { p.closed = true }
func (p *fakePeer) NotifyFlushed(f func())  { f() }
func (p *fakePeer) Detach(f func(*os.File)) { f(nil) }
func (p *fakePeer) HasUnread() bool         { return false }
func (p *fakePeer) PeerClosed() bool        { return false }

func (p *fakePeer) wait(ms float64) {
	for end := p.now.MS + ms; p.now.MS < end; p.now.MS += 100 {
		for p.loop.Step() {
		}
	}
}

// takeMessages describes the messages that the speaker has written since the last call.
func (p *fakePeer) takeMessages() string {
	p.t.Helper()
	var messages []string
	for len(p.written) > 0 {
		decoded, n, err := decodeMessage(p.written)
		if err != nil || n == 0 {
			p.t.Fatalf("the speaker wrote an invalid or incomplete message: % x", p.written)
		}
		name := map[messageType]string{
			typeOpen: "open", typeUpdate: "update", typeNotification: "notification",
			typeKeepalive: "keepalive",
		}[decoded.kind]
		messages = append(messages, strings.TrimSpace(fmt.Sprintf("%s %x", name, decoded.body)))
		p.written = p.written[n:]
	}
	return strings.Join(messages, ", ")
}

var peerOpen = openMessage{asNumber: 64512, holdTimeSeconds: 30, routerID: netip.MustParseAddr("10.0.0.2")}

// establish opens the connection and brings the session to Established.
func (p *fakePeer) establish() {
	p.handler.Opened(p)
	p.handler.Data(encodeOpen(peerOpen), 0)
	p.handler.Data(encodeMessage(typeKeepalive, nil), 0)
}

const (
	wantAnnouncement = "update 0000" + "0014" + "40010100" + "4002" + "06" + "02010000fc01" + "4003040a000001" +
		"20c000020a"
	wantWithdrawal = "update 0005" + "20c000020a" + "0000"
)

// A session opens, announces, keeps alive, withdraws and closes with the expected messages, and does not reconnect
// after Close.
func TestSessionLifecycle(t *testing.T) {
	p := newPeer(t, testConfig())
	p.handler.Opened(p)
	if got, want := p.takeMessages(), "open 04fc0100090a0000010e020c01040001000141040000fc01"; got != want {
		t.Errorf("wrote %s, want %s", got, want)
	}
	p.speaker.Announce() // before the session is established; sent once it is
	b := encodeOpen(peerOpen)
	p.handler.Data(b[:5], 0)
	p.handler.Data(append(b[5:], encodeMessage(typeKeepalive, nil)...), 0)
	if got, want := p.takeMessages(), "keepalive, "+wantAnnouncement; got != want || p.speaker.State() != Established {
		t.Errorf("state %v, wrote %s, want %s", p.speaker.State(), got, want)
	}
	p.wait(3100) // over a third of the hold time of 9 s, the lower of the two
	if got := p.takeMessages(); got != "keepalive" {
		t.Errorf("after a third of the hold time: wrote %q, want a keepalive", got)
	}
	p.handler.Data(encodeMessage(typeUpdate, []byte{0, 0, 0, 0}), 0)
	p.speaker.Withdraw()
	p.speaker.Withdraw()
	if got := p.takeMessages(); got != wantWithdrawal {
		t.Errorf("wrote %s, want %s", got, wantWithdrawal)
	}
	p.speaker.Close()
	if got := p.takeMessages(); got != "notification 0602" || !p.closed {
		t.Errorf("after Close: wrote %q, closed %v; want notification 0602 and a close", got, p.closed)
	}
	p.wait(60_000)
	if p.dials != 1 {
		t.Errorf("dialed %d times in all after Close, want 1", p.dials)
	}
}

// A session in which nothing arrives for the hold time is closed. The speaker reconnects and announces the prefixes
// again. It also reconnects after the neighbour has closed the connection.
func TestHoldTimerAndReconnect(t *testing.T) {
	p := newPeer(t, testConfig())
	p.speaker.Announce()
	p.establish()
	p.takeMessages()
	p.wait(9200)
	if got := p.takeMessages(); !strings.HasSuffix(got, "notification 0400") || !p.closed {
		t.Errorf("after the hold time: wrote %q, closed %v; want notification 0400 and a close", got, p.closed)
	}
	p.wait(5100)
	if p.dials != 2 {
		t.Fatalf("dialed %d times, want 2", p.dials)
	}
	p.establish()
	if got := p.takeMessages(); !strings.HasSuffix(got, wantAnnouncement) {
		t.Errorf("after the reconnection: wrote %q, want %s at the end", got, wantAnnouncement)
	}
	p.handler.Closed(os.ErrClosed)
	p.wait(5100)
	if p.dials != 3 {
		t.Errorf("dialed %d times in all after the neighbour closed, want 3", p.dials)
	}
}

type malformedMessage struct {
	name        string
	established bool // arrives in an established session instead of OpenSent
	send        []byte
	want        string // code, subcode and data of the NOTIFICATION
}

// malformedMessages returns messages that close a session, with the NOTIFICATION that answers each.
func malformedMessages(t *testing.T) []malformedMessage {
	t.Helper()
	edit := func(b []byte, at int, v ...byte) []byte {
		b = bytes.Clone(b)
		copy(b[at:], v)
		return b
	}
	good := encodeOpen(peerOpen)
	keepalive := encodeMessage(typeKeepalive, nil)
	update := func(hexBody string) []byte {
		b, err := hex.DecodeString(hexBody)
		if err != nil {
			t.Fatal(err)
		}
		return encodeMessage(typeUpdate, b)
	}
	return []malformedMessage{
		{"invalid marker", false, edit(good, 3, 0), "0101"},
		{"length shorter than the header", false, edit(good, 16, 0, 18), "01020012"},
		{"length over the maximum", false, edit(good, 16, 0x10, 1), "01021001"},
		{"KEEPALIVE with a body", true, encodeMessage(typeKeepalive, []byte{1}), "01020014"},
		{"short OPEN", false, encodeMessage(typeOpen, make([]byte, 9)), "0102001c"},
		{"unknown type", false, edit(good, 18, 9), "010309"},
		{"unsupported version", false, edit(good, 19, 3), "02010004"},
		{
			"wrong AS", false,
			encodeOpen(openMessage{asNumber: 1, holdTimeSeconds: 30, routerID: peerOpen.routerID}), "0202",
		},
		{
			"router id 0.0.0.0", false,
			encodeOpen(openMessage{asNumber: 64512, holdTimeSeconds: 30, routerID: netip.IPv4Unspecified()}), "0203",
		},
		{
			"hold time of 2", false,
			encodeOpen(openMessage{asNumber: 64512, holdTimeSeconds: 2, routerID: peerOpen.routerID}), "0206",
		},
		{"truncated parameters", false, edit(good, 28, 99), "0200"},
		{"truncated capability", false, edit(good, 32, 99), "0200"},
		{"unknown parameter", false, edit(good, 29, 1), "0204"},
		{"KEEPALIVE before OPEN", false, keepalive, "0500"},
		{"UPDATE before OPEN", false, update("00000000"), "0500"},
		{"second OPEN", true, good, "0500"},
		{"withdrawn routes too long", true, update("00ff0000"), "0301"},
		{"attributes too long", true, update("000000ff"), "0301"},
		{"truncated attribute", true, update("00000004" + "400109ff"), "0301"},
		{"prefix of 33 bits", true, update("00000000" + "210a000000ff"), "030a"},
		{"truncated prefix", true, update("00000000" + "200a"), "030a"},
	}
}

// A malformed or unexpected message closes the session with the matching NOTIFICATION.
func TestMalformedMessages(t *testing.T) {
	for _, tc := range malformedMessages(t) {
		p := newPeer(t, testConfig())
		if tc.established {
			p.establish()
		} else {
			p.handler.Opened(p)
		}
		p.takeMessages()
		p.handler.Data(tc.send, 0)
		if got := p.takeMessages(); got != "notification "+tc.want || !p.closed || p.speaker.State() != Idle {
			t.Errorf("%s: wrote %q, closed %v, state %v; want notification %s", tc.name, got, p.closed,
				p.speaker.State(), tc.want)
		}
	}
}

// A NOTIFICATION of the neighbour closes the session and is not answered.
func TestNotificationIsNotAnswered(t *testing.T) {
	p := newPeer(t, testConfig())
	p.establish()
	p.takeMessages()
	p.handler.Data(encodeNotification(&NotificationError{Code: 6, Subcode: 4}), 0)
	if got := p.takeMessages(); got != "" || !p.closed || p.speaker.Counters.NotificationsReceived != 1 {
		t.Errorf("wrote %q, closed %v, counted %d notifications; want no output, a close and 1",
			got, p.closed, p.speaker.Counters.NotificationsReceived)
	}
}

// An announcement is encoded for a neighbour in the same AS and for neighbours without four-byte AS numbers, and passes
// the check of received UPDATE messages.
func TestUpdateEncodings(t *testing.T) {
	sameAS, largeAS := testConfig(), testConfig()
	sameAS.PeerAS = sameAS.LocalAS
	largeAS.LocalAS = 70000
	largeAS.Prefixes = []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}
	for _, tc := range []struct {
		name       string
		cfg        Config
		fourByteAS bool
		want       string
	}{
		{
			"neighbour in the same AS", sameAS, true,
			"0000" + "0015" + "40010100" + "400200" + "4003040a000001" + "40050400000064" + "20c000020a",
		},
		{
			"two-byte AS numbers", testConfig(), false,
			"0000" + "0012" + "40010100" + "4002040201fc01" + "4003040a000001" + "20c000020a",
		},
		{"four-byte AS number in two bytes", largeAS, false, "0000" + "001b" + "40010100" + "40020402015ba0" +
			"4003040a000001" + "c01106020100011170" + "100a01"},
	} {
		got := hex.EncodeToString(encodeAnnouncement(tc.cfg, tc.fourByteAS)[headerLength:])
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
		b, _ := hex.DecodeString(got)
		if bad := checkUpdate(b); bad != nil {
			t.Errorf("%s: checkUpdate rejects the encoded UPDATE: %v", tc.name, bad)
		}
	}
}

// Changed prefixes are sent in the established session; a change of a session parameter opens a new session.
func TestConfigure(t *testing.T) {
	p := newPeer(t, testConfig())
	p.speaker.Announce()
	p.establish()
	p.takeMessages()
	p.speaker.Configure(testConfig())
	if got := p.takeMessages(); got != "" {
		t.Errorf("for the same configuration: wrote %s, want nothing", got)
	}
	cfg := testConfig()
	cfg.Prefixes = []netip.Prefix{netip.MustParsePrefix("192.0.2.11/32")}
	p.speaker.Configure(cfg)
	want := wantWithdrawal + ", " + strings.Replace(wantAnnouncement, "20c000020a", "20c000020b", 1)
	if got := p.takeMessages(); got != want {
		t.Errorf("for another prefix: wrote %s, want %s", got, want)
	}
	cfg.HoldTimeS = 30
	p.speaker.Configure(cfg)
	if got, want := p.takeMessages(), "notification 0606"; got != want || p.dials != 2 {
		t.Errorf("for another hold time: wrote %s, want %s; %d dials, want 2", got, want, p.dials)
	}
	p.establish()
	if got := p.takeMessages(); !strings.Contains(got, "20c000020b") || p.speaker.State() != Established {
		t.Errorf("in the new session: state %v, wrote %s; want Established and the new prefix", p.speaker.State(), got)
	}
	p.wait(6000)
	if p.dials != 2 {
		t.Errorf("dialed %d times in all, want 2", p.dials)
	}
}
