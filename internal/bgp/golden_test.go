package bgp

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"

	"windflow/internal/golden"
)

// takeHex returns the name of a step and, in hexadecimal, what the speaker has written since the last call.
func (p *fakePeer) takeHex(step string) string {
	written := p.written
	p.written = nil
	return fmt.Sprintf("%s: %x\n", step, written)
}

// runSession runs a session of a speaker and returns the bytes that it wrote at each step.
func runSession(t *testing.T, cfg Config, neighbourOpen []byte) string {
	t.Helper()
	p := newPeer(t, cfg)
	p.handler.Opened(p)
	text := p.takeHex("opened")
	p.handler.Data(neighbourOpen, 0)
	text += p.takeHex("heard open")
	p.handler.Data(encodeMessage(typeKeepalive, nil), 0)
	text += p.takeHex("established")
	p.speaker.Announce()
	text += p.takeHex("announced")
	p.wait(float64(cfg.HoldTimeS) * 1000 / 2)
	text += p.takeHex("waited for a keepalive")
	p.speaker.Withdraw()
	text += p.takeHex("withdrawn")
	p.handler.Data(encodeMessage(9, nil), 0)
	return text + p.takeHex("heard an unknown message")
}

// Compares the bytes that a speaker writes with the recorded ones: to a neighbour in another AS, to one in the same AS,
// and to one without four-byte AS numbers.
func TestGoldenSession(t *testing.T) {
	external := testConfig()
	external.Prefixes = append(external.Prefixes, netip.MustParsePrefix("198.51.100.0/25"))
	internal := testConfig()
	internal.LocalAS = internal.PeerAS
	large := testConfig()
	large.LocalAS = 4_200_000_001
	// Without optional parameters, an OPEN has no capability of four-byte AS numbers.
	current := encodeOpen(peerOpen)
	const parameters = headerLength + 9
	old := encodeMessage(typeOpen, append(bytes.Clone(current[headerLength:parameters]), 0))
	var text bytes.Buffer
	for _, session := range []struct {
		name   string
		config Config
		open   []byte // OPEN of the neighbour
	}{{"external", external, current}, {"internal", internal, current}, {"large, old neighbour", large, old}} {
		fmt.Fprintf(&text, "%s\n%s\n", session.name, runSession(t, session.config, session.open))
	}
	golden.Equal(t, "sessions.txt", text.Bytes())
}

// Compares the encoding of each type of message with the recorded bytes.
func TestGoldenMessages(t *testing.T) {
	cfg := testConfig()
	var text bytes.Buffer
	for _, tc := range []struct {
		name  string
		bytes []byte
	}{
		{
			"open",
			encodeOpen(openMessage{asNumber: 64513, holdTimeSeconds: 9, routerID: netip.MustParseAddr("10.0.0.1")}),
		},
		{
			"open of a large system",
			encodeOpen(openMessage{
				asNumber: 4_200_000_001, holdTimeSeconds: 9, routerID: netip.MustParseAddr("10.0.0.1"),
			}),
		},
		{"keepalive", encodeMessage(typeKeepalive, nil)},
		{"announcement", encodeAnnouncement(cfg, true)},
		{"announcement in 16 bits", encodeAnnouncement(cfg, false)},
		{"withdrawal", encodeWithdrawal(cfg.Prefixes)},
		{"notification", encodeNotification(&NotificationError{Code: 6, Subcode: 2, Data: []byte{1, 2}})},
	} {
		fmt.Fprintf(&text, "%s: %x\n", tc.name, tc.bytes)
	}
	golden.Equal(t, "messages.txt", text.Bytes())
}
