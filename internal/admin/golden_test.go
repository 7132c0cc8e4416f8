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

// rawConn is a netio.Conn that stores the written bytes unchanged.
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
func (c *rawConn) PeerClosed() bool        { return false }

// goldenRequests are valid and invalid requests for each path; notReady is the reason why the router is not ready.
var goldenRequests = []struct{ request, notReady string }{
	{request: "GET /api/ready HTTP/1.1\r\nHost: n0\r\n\r\n"},
	{request: "GET /api/ready HTTP/1.1\r\n\r\n", notReady: "draining"},
	{request: "POST /api/ready HTTP/1.1\r\n\r\n"},
	{request: "HEAD /api/ready HTTP/1.1\r\n\r\n"},
	{request: "GET /api/telemetry HTTP/1.1\r\n\r\n"},
	{request: "GET /api/telemetry HTTP/1.0\r\n\r\n", notReady: "draining"},
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
	{request: "GET /api/rea"}, // incomplete
}

// TestGoldenResponses checks that each response matches the golden file byte for byte.
func TestGoldenResponses(t *testing.T) {
	var got strings.Builder
	for _, c := range goldenRequests {
		fmt.Fprintf(&got, "> %q", c.request)
		if c.notReady != "" {
			fmt.Fprintf(&got, " while %s", c.notReady)
		}
		got.WriteByte('\n')
		for line := range strings.Lines(responseTo(c.request, c.notReady)) {
			fmt.Fprintf(&got, "< %q\n", line)
		}
	}
	golden.Equal(t, "answers.txt", []byte(got.String()))
}

// responseTo returns the response to a request, or the response after the request timeout if the request is incomplete.
func responseTo(request, notReady string) string {
	now := &clock.Manual{MS: 1e12}
	loop := router.NewLoop(now)
	backend := &fakeBackend{out: &strings.Builder{}}
	if notReady != "" {
		backend.notReady = errors.New(notReady)
	}
	conn := &rawConn{}
	connection := newServer(loop, backend, slog.New(slog.DiscardHandler)).accept()
	connection.Opened(conn)
	connection.Data([]byte(request), now.MS)
	loop.Step()
	now.MS += requestTimeoutMS + 1
	loop.Step()
	return conn.text.String()
}
