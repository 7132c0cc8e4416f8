package mysql

import (
	"strings"
	"testing"

	"windflow/internal/routertest"
)

// TestExchanges replays the recorded exchanges of testdata.
func TestExchanges(t *testing.T) {
	routertest.RunExchanges(t, func(t *testing.T) func(string) string {
		t.Helper()
		return newHarness(t).runLine
	})
}

// A header that announces more than the longest packet ends the session before anything is buffered.
func TestOverlongPacket(t *testing.T) {
	h := newHarness(t)
	h.runLine("a open")
	h.runLine("a login")
	if got := h.runLine("a raw ffffff00"); !strings.Contains(got, "error 1153") || !strings.Contains(got, "a closed") {
		t.Errorf("got %q", got)
	}
}

// All sessions together buffer no more than their bound, so that many incomplete packets do not use up the memory.
// What a session had buffered is free again once it has ended.
func TestBuffersOfAllSessionsAreBounded(t *testing.T) {
	h := newHarness(t)
	half := strings.Repeat("00", 51_000)
	for _, name := range []string{"a", "b"} {
		h.runLine(name + " open")
		h.runLine(name + " login")
	}
	if got := h.runLine("a raw 00ff0000" + half); got != "" {
		t.Errorf("the first half packet: %q", got)
	}
	if got := h.runLine("b raw 00ff0000" + half); !strings.Contains(got, "error 1040") || !strings.Contains(got, "b closed") {
		t.Errorf("the second half packet: %q", got)
	}
	h.runLine("a leave")
	if h.front.buffered != 0 || len(h.front.sessions) != 0 {
		t.Errorf("%d bytes and %d sessions are kept", h.front.buffered, len(h.front.sessions))
	}
}

// FuzzSession handles arbitrary bytes: it never panics, and no malformed request reaches an engine.
func FuzzSession(f *testing.F) {
	f.Add([]byte("\x01\x00\x00\x00\x0e"))
	f.Add(packet(0, "\x03/* method=lookup,rid=0123456789abcdef,budget=100 */ SELECT 1"))
	f.Add(packet(0, "\x03/* method=lookup"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h := newHarness(t)
		h.runLine("a open")
		h.runLine("a login")
		h.loop.Post(func() { h.handlers["a"].Data(b, h.clock.MS) })
		h.run()
		for _, c := range h.engine.calls {
			if len(c.ID) != 16 || c.Statement == "" {
				t.Errorf("a malformed request reached an engine: %+v", c)
			}
		}
	})
}
