package enginehttp

import (
	"log/slog"
	"slices"
	"testing"
)

// TestReducedLimitClosesIdleConnections guards against a reduced limit that leaves idle connections above it open, that
// closes a connection with a request, or that does not return because fewer connections are idle than the limit
// requires. A request that is queued under the reduced limit must be sent once the requests before it have ended.
func TestReducedLimitClosesIdleConnections(t *testing.T) {
	const served = ` HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 0\r\n\r\n`
	h := newHarness(t, slog.New(slog.DiscardHandler))
	configure := func(maxConns int) {
		h.client.Configure(Config{MaxConns: maxConns, ConnectTimeoutMS: 250, IdleMS: 30_000})
		h.run()
	}
	checkOpen := func(when string, want ...int) {
		t.Helper()
		var open []int
		for _, c := range h.conns {
			if !c.closed {
				open = append(open, c.number)
			}
		}
		if !slices.Equal(open, want) || h.client.ConnCount() != len(want) {
			t.Fatalf("%s: connections %v are open and %d are counted, want %v", when, open, h.client.ConnCount(), want)
		}
	}

	configure(6)
	for _, line := range []string{"up 1", "up 2", "up 3", "up 4", "up 5", "up 6"} {
		h.play("start safe")
		h.play(line)
	}
	for _, number := range []string{"4", "2", "3", "5"} { // 1 and 6 keep their requests
		h.play("wait 1")
		h.play(number + served)
	}
	checkOpen("before the reduction", 1, 2, 3, 4, 5, 6)

	configure(4)
	checkOpen("limit 4 with 2 in use", 1, 3, 5, 6) // 4 and 2 were idle longest
	configure(1)
	checkOpen("limit 1 with 2 in use", 1, 6)

	h.play("start safe")
	checkOpen("with a queued request", 1, 6)
	h.play("1" + served)
	checkOpen("after the first of two responses", 6)
	h.play("6" + served)
	checkOpen("after the second response", 7)
	h.play("up 7")
	if got, want := h.play("7"+served), "  = served [] work 0 need 0\n"; got != want {
		t.Errorf("the queued request: %q, want %q", got, want)
	}
}
