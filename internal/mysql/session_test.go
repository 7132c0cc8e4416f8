package mysql

import (
	"strings"
	"testing"

	"windflow/internal/routertest"
)

// Replays the exchanges recorded in testdata and compares what the sessions write and submit.
func TestExchanges(t *testing.T) {
	routertest.RunExchanges(t, func(t *testing.T) func(string) string {
		t.Helper()
		return newHarness(t).runLine
	})
}

// A packet header with a length over the limit closes the session with error 1153 before the body is buffered.
func TestOverlongPacket(t *testing.T) {
	h := newHarness(t)
	h.runLine("a open")
	h.runLine("a login")
	if got := h.runLine("a raw ffffff00"); !strings.Contains(got, "error 1153") || !strings.Contains(got, "a closed") {
		t.Errorf("got %q, want error 1153 and a close", got)
	}
}

// Guards against incomplete packets on many connections that use up the memory: the limit applies to the buffered bytes
// of all sessions together. A session that has closed no longer counts.
func TestBuffersOfAllSessionsAreBounded(t *testing.T) {
	h := newHarness(t)
	half := strings.Repeat("00", 51_000)
	for _, name := range []string{"a", "b"} {
		h.runLine(name + " open")
		h.runLine(name + " login")
	}
	if got := h.runLine("a raw 00ff0000" + half); got != "" {
		t.Errorf("after the first incomplete packet: got %q, want no output", got)
	}
	got := h.runLine("b raw 00ff0000" + half)
	if !strings.Contains(got, "error 1040") || !strings.Contains(got, "b closed") {
		t.Errorf("after the second incomplete packet: got %q, want error 1040 and a close", got)
	}
	h.runLine("a leave")
	if h.front.buffered != 0 || len(h.front.sessions) != 0 {
		t.Errorf("after all sessions closed: %d bytes and %d sessions left, want none",
			h.front.buffered, len(h.front.sessions))
	}
}

// A session survives arbitrary bytes after the login without a panic, and sends no malformed request to an engine.
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
