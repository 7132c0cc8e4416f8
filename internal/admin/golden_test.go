package admin

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"windflow/internal/clock"
	"windflow/internal/golden"
	"windflow/internal/router"
)

// rawConn notes what is written, as it is.
type rawConn struct{ text strings.Builder }

func (c *rawConn) Write(b []byte) error {
	c.text.Write(b)
	return nil
}
func (c *rawConn) Close()                  {}
func (c *rawConn) CloseGracefully()        {}
func (c *rawConn) NotifyFlushed(f func())  { f() }
func (c *rawConn) Detach(f func(*os.File)) { f(nil) }
func (c *rawConn) HasUnread() bool         { return false }

// goldenCalls are calls on each path, those that fail among them.
var goldenCalls = []struct{ request, down string }{
	{request: "GET /api/ready HTTP/1.1\r\nHost: n0\r\n\r\n"},
	{request: "GET /api/ready HTTP/1.1\r\n\r\n", down: "draining"},
	{request: "POST /api/ready HTTP/1.1\r\n\r\n"},
	{request: "HEAD /api/ready HTTP/1.1\r\n\r\n"},
	{request: "GET /api/telemetry HTTP/1.1\r\n\r\n"},
	{request: "GET /api/telemetry HTTP/1.0\r\n\r\n", down: "draining"},
	{request: "PUT /api/telemetry HTTP/1.1\r\n\r\n"},
	{request: "POST /api/exclude/s-00c41f7a HTTP/1.1\r\n\r\n"},
	{request: "POST /api/exclude/s-00000001 HTTP/1.1\r\n\r\n"},
	{request: "POST /api/exclude/ HTTP/1.1\r\n\r\n"},
	{request: "GET /api/exclude/s-00c41f7a HTTP/1.1\r\n\r\n"},
	{request: "POST /api/include/s-00c41f7a HTTP/1.1\r\n\r\n"},
	{request: "POST /api/include/s-00000001 HTTP/1.1\r\n\r\n"},
	{request: "DELETE /api/include/s-00c41f7a HTTP/1.1\r\n\r\n"},
	{request: "POST /api/exclude HTTP/1.1\r\n\r\n"},
	{request: "GET /api HTTP/1.1\r\n\r\n"},
	{request: "GET / HTTP/1.1\r\n\r\n"},
	{request: "hello\r\n"},
	{request: "GET /api/ready HTTP/2.0\r\n"},
	{request: "POST /api/exclude/s-00c41f7a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{request: "POST /api/exclude/s-00c41f7a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"},
	{request: "GET /api/rea"}, // and no more
}

// Each answer of the operators' door is as it was when the golden file was recorded, whole and byte for byte.
func TestGoldenAnswers(t *testing.T) {
	var got strings.Builder
	for _, c := range goldenCalls {
		fmt.Fprintf(&got, "> %q", c.request)
		if c.down != "" {
			fmt.Fprintf(&got, " while %s", c.down)
		}
		got.WriteByte('\n')
		for line := range strings.Lines(answerTo(c.request, c.down)) {
			fmt.Fprintf(&got, "< %q\n", line)
		}
	}
	golden.File(t, "testdata/golden/answers.txt", []byte(got.String()))
}

// answerTo gives the answer to a call, or what is said once its time is up.
func answerTo(request, down string) string {
	now := &clock.Manual{MS: 1e12}
	loop := router.NewLoop(now)
	ops := &desk{out: &strings.Builder{}}
	if down != "" {
		ops.down = errors.New(down)
	}
	conn := &rawConn{}
	caller := newDoor(loop, ops, slog.New(slog.DiscardHandler)).accept()
	caller.Opened(conn)
	caller.Data([]byte(request), now.MS)
	loop.Step()
	now.MS += callWithin + 1
	loop.Step()
	return conn.text.String()
}
