package bgp

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"

	"windflow/internal/goldentest"
)

// said gives what the speaker has written since the last call, whole, as hexadecimal digits with a name.
func (p *peer) said(step string) string {
	written := p.written
	p.written = nil
	return fmt.Sprintf("%s: %x\n", step, written)
}

// converse has a speaker go through a session and gives the bytes that it wrote at each step.
func converse(t *testing.T, cfg Config, neighbourOpen []byte) string {
	p := newPeer(t, cfg)
	p.handler.Opened(p)
	text := p.said("opened")
	p.handler.Data(neighbourOpen, 0)
	text += p.said("heard open")
	p.handler.Data(encodeMessage(typeKeepalive, nil), 0)
	text += p.said("established")
	p.speaker.Announce()
	text += p.said("announced")
	p.wait(float64(cfg.HoldTimeS) * 1000 / 2)
	text += p.said("waited for a keepalive")
	p.speaker.Withdraw()
	text += p.said("withdrawn")
	p.handler.Data(encodeMessage(9, nil), 0)
	return text + p.said("heard an unknown message")
}

// The speaker writes the same bytes as before: to a neighbour of another system, of its own, and to an old one.
func TestGoldenSession(t *testing.T) {
	external := testConfig()
	external.Prefixes = append(external.Prefixes, netip.MustParsePrefix("198.51.100.0/25"))
	internal := testConfig()
	internal.LocalAS = internal.PeerAS
	large := testConfig()
	large.LocalAS = 4_200_000_001
	// An old neighbour says nothing of numbers of 32 bits: its OPEN has no parameters.
	current := encodeOpen(peerOpen)
	const parameters = headerLength + 9
	old := encodeMessage(typeOpen, append(bytes.Clone(current[headerLength:parameters]), 0))
	var text bytes.Buffer
	for _, session := range []struct {
		name   string
		config Config
		open   []byte // the neighbour's
	}{{"external", external, current}, {"internal", internal, current}, {"large, old neighbour", large, old}} {
		fmt.Fprintf(&text, "%s\n%s\n", session.name, converse(t, session.config, session.open))
	}
	goldentest.Equal(t, "sessions.txt", text.Bytes())
}

// Each message has the same bytes as before.
func TestGoldenMessages(t *testing.T) {
	cfg := testConfig()
	var text bytes.Buffer
	for _, m := range []struct {
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
		{"announcement", encodeUpdate(cfg, true, false)},
		{"announcement in 16 bits", encodeUpdate(cfg, false, false)},
		{"withdrawal", encodeUpdate(cfg, true, true)},
		{"notification", encodeNotification(&NotificationError{Code: 6, Subcode: 2, Data: []byte{1, 2}})},
	} {
		fmt.Fprintf(&text, "%s: %x\n", m.name, m.bytes)
	}
	goldentest.Equal(t, "messages.txt", text.Bytes())
}
