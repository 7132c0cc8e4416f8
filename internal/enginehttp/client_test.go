package enginehttp

import (
	"context"
	"log/slog"
	"testing"

	"windflow/internal/routertest"
)

// TestExchanges replays the recorded exchanges in testdata; harness.play describes the commands.
func TestExchanges(t *testing.T) {
	routertest.RunExchanges(t, func(t *testing.T) func(string) string {
		t.Helper()
		return newHarness(t, slog.New(slog.DiscardHandler)).play
	})
}

// recordCounter is a log handler that counts the records of level Info and above.
type recordCounter struct{ n int }

func (c *recordCounter) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}
func (c *recordCounter) Handle(context.Context, slog.Record) error { c.n++; return nil }
func (c *recordCounter) WithAttrs([]slog.Attr) slog.Handler        { return c }
func (c *recordCounter) WithGroup(string) slog.Handler             { return c }

// TestInvalidReportsAreNotLogged checks that an engine that sends an invalid load report or invalid progress with each
// response does not fill the log, and that its responses do not count as invalid.
func TestInvalidReportsAreNotLogged(t *testing.T) {
	for _, headers := range []string{
		"Backend-Load: util:-4;inflight:nan;x0:", "Backend-Load: ;;;", "Backend-Load: util:1e300;util:0.2",
		"Detail: frac\r\nX-Amount: 17", "Detail: missing\r\nX-Amount: -1", "Detail: parked",
		"Detail: nothing that is known\r\nX-Amount: inf",
	} {
		records := &recordCounter{}
		h := newHarness(t, slog.New(records))
		h.play("start safe")
		h.play("up 1")
		for range 100 {
			h.conns[0].handler.Data([]byte("HTTP/1.1 202 Accepted\r\n"+headers+"\r\nContent-Length: 0\r\n\r\n"), h.clock.MS)
			h.run()
		}
		if records.n > 0 || h.client.Counters.BadResponses > 0 {
			t.Errorf("%q: %d log records, %d bad responses; want none", headers, records.n, h.client.Counters.BadResponses)
		}
	}
}
