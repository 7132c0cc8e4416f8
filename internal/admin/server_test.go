package admin

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"testing"

	"windflow/internal/clock"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// fakeBackend is a backend that knows one engine, s-00c41f7a, and prints the changes of its cordon.
type fakeBackend struct {
	notReady error
	out      *strings.Builder
}

func (b *fakeBackend) Ready() error      { return b.notReady }
func (b *fakeBackend) Telemetry() string { return "svc.outstanding:14|g\n" }
func (b *fakeBackend) changeCordon(name, id string, done func(bool)) {
	if id == "s-00c41f7a" {
		fmt.Fprintf(b.out, "  %s %s\n", name, id)
	}
	done(id == "s-00c41f7a")
}

func (b *fakeBackend) Cordon(id string, done func(bool)) { b.changeCordon("exclude", id, done) }

func (b *fakeBackend) Uncordon(id string, done func(bool)) { b.changeCordon("include", id, done) }

// fakeConn is a netio.Conn that prints the lines written to it, without the Content headers, and its close.
type fakeConn struct {
	name   string
	out    *strings.Builder
	closed bool
}

func (c *fakeConn) Write(b []byte) error {
	for line := range strings.SplitSeq(strings.TrimSuffix(string(b), "\n"), "\n") {
		if line = strings.TrimSuffix(line, "\r"); line != "" && !strings.HasPrefix(line, "Content-") {
			fmt.Fprintf(c.out, "  %s < %s\n", c.name, line)
		}
	}
	return nil
}

func (c *fakeConn) Close() {
	if !c.closed {
		c.closed = true
		fmt.Fprintf(c.out, "  %s closed\n", c.name)
	}
}
func (c *fakeConn) CloseGracefully()        { c.Close() }
func (c *fakeConn) NotifyFlushed(f func())  { f() }
func (c *fakeConn) Detach(f func(*os.File)) { f(nil) }
func (c *fakeConn) HasUnread() bool         { return false }
func (c *fakeConn) PeerClosed() bool        { return false }

// TestExchanges replays the recorded exchanges in testdata. It checks that each request, valid or invalid, whole or in
// parts, gets one response, and that clients that send nothing do not block the others. The commands are: NAME opens a
// connection, NAME TEXT sends TEXT on it, 'wait MS' advances the clock, 'down REASON' and 'up' make the router not
// ready and ready, 'crowd N' opens N connections that send nothing.
func TestExchanges(t *testing.T) {
	routertest.RunExchanges(t, func(t *testing.T) func(string) string {
		t.Helper()
		now := &clock.Manual{MS: 1e12}
		loop := router.NewLoop(now)
		out := &strings.Builder{}
		backend := &fakeBackend{out: out}
		server := newServer(loop, backend, slog.New(slog.DiscardHandler))
		connections := map[string]netio.Handler{}
		open := func(name string) {
			connections[name] = server.accept()
			connections[name].Opened(&fakeConn{name: name, out: out})
		}
		return func(line string) string {
			command, argument, _ := strings.Cut(line, " ")
			n, _ := strconv.Atoi(argument)
			switch {
			case command == "wait":
				for end := now.MS + float64(n); now.MS < end; now.MS++ {
					loop.Step()
				}
			case command == "down":
				backend.notReady = errors.New(argument)
			case command == "up":
				backend.notReady = nil
			case command == "crowd":
				for i := range n {
					open(fmt.Sprint("silent", i))
				}
			case argument == "":
				open(command)
			default:
				text, err := strconv.Unquote(`"` + argument + `"`)
				if err != nil {
					t.Fatalf("%s: %v", line, err)
				}
				connections[command].Data([]byte(text), now.MS)
			}
			loop.Step()
			shown := out.String()
			out.Reset()
			return shown
		}
	})
}

// TestParseRequest checks complete, incomplete, malformed and too long requests.
func TestParseRequest(t *testing.T) {
	for _, test := range []struct {
		name, text, path string
		err              error
	}{
		{"complete", "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n", "/api/ready", nil},
		{"bare line feeds, escaped path, query string", "GET /api/%72eady?x=1 HTTP/1.0\n\n", "/api/ready", nil},
		{"complete body", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", "/a", nil},
		{"incomplete body", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na", "", nil},
		{"incomplete head", "GET /a HTTP/1.1\r\nHo", "", nil},
		{"not HTTP", "\x16\x03\x01", "", errMalformedRequest},
		{"missing path", "GET HTTP/1.1\r\n", "", errMalformedRequest},
		{"unsupported HTTP version", "GET / HTTP/2.0\r\n", "", errMalformedRequest},
		{"header without a colon", "GET / HTTP/1.1\r\nnothing\r\n\r\n", "", errMalformedRequest},
		{"invalid content length", "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "", errMalformedRequest},
		{"two content lengths", "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "", errMalformedRequest},
		{"chunked body", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "", errMalformedRequest},
		{"unterminated head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxRequest), "", errRequestTooLong},
		{"body over the limit", "POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "", errRequestTooLong},
	} {
		r, err := parseRequest([]byte(test.text))
		if !errors.Is(err, test.err) || (r != nil) != (test.path != "") || r != nil && r.path != test.path {
			t.Errorf("%s: got request %+v and error %v, want path %q and error %v", test.name, r, err, test.path, test.err)
		}
	}
}
