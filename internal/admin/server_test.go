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

// desk is a stand-in for the router behind the door: it knows one engine.
type desk struct {
	down error
	out  *strings.Builder
}

func (d *desk) Ready() error      { return d.down }
func (d *desk) Telemetry() string { return "svc.outstanding:14|g\n" }
func (d *desk) order(word, id string, answer func(bool)) {
	if id == "s-00c41f7a" {
		fmt.Fprintf(d.out, "  %s %s\n", word, id)
	}
	answer(id == "s-00c41f7a")
}
func (d *desk) Cordon(id string, answer func(bool))   { d.order("exclude", id, answer) }
func (d *desk) Uncordon(id string, answer func(bool)) { d.order("include", id, answer) }

// wire is a stand-in for a connection.
type wire struct {
	name   string
	out    *strings.Builder
	closed bool
}

func (w *wire) Write(b []byte) error {
	for line := range strings.SplitSeq(strings.TrimSuffix(string(b), "\n"), "\n") {
		if line = strings.TrimSuffix(line, "\r"); line != "" && !strings.HasPrefix(line, "Content-") {
			fmt.Fprintf(w.out, "  %s < %s\n", w.name, line)
		}
	}
	return nil
}

func (w *wire) Close() {
	if !w.closed {
		w.closed = true
		fmt.Fprintf(w.out, "  %s closed\n", w.name)
	}
}
func (w *wire) CloseGracefully()        { w.Close() }
func (w *wire) NotifyFlushed(f func())  { f() }
func (w *wire) Detach(f func(*os.File)) { f(nil) }
func (w *wire) HasUnread() bool         { return false }

// Calls, good and bad, whole and in pieces, each get one answer; callers that stay silent shut nobody out. A line is
// played: NAME opens a caller and NAME TEXT has it send; 'wait MS' lets time go by; 'down WHY' and 'up' say whether the
// router serves; 'crowd N' has N silent callers come.
func TestExchanges(t *testing.T) {
	routertest.RunExchanges(t, func(t *testing.T) func(string) string {
		now := &clock.Manual{MS: 1e12}
		loop := router.NewLoop(now)
		out := &strings.Builder{}
		ops := &desk{out: out}
		d := newDoor(loop, ops, slog.New(slog.DiscardHandler))
		callers := map[string]netio.Handler{}
		open := func(name string) {
			callers[name] = d.accept()
			callers[name].Opened(&wire{name: name, out: out})
		}
		return func(line string) string {
			word, rest, _ := strings.Cut(line, " ")
			n, _ := strconv.Atoi(rest)
			switch {
			case word == "wait":
				for end := now.MS + float64(n); now.MS < end; now.MS++ {
					loop.Step()
				}
			case word == "down":
				ops.down = errors.New(rest)
			case word == "up":
				ops.down = nil
			case word == "crowd":
				for i := range n {
					open(fmt.Sprint("silent", i))
				}
			case rest == "":
				open(word)
			default:
				text, err := strconv.Unquote(`"` + rest + `"`)
				if err != nil {
					t.Fatalf("%s: %v", line, err)
				}
				callers[word].Data([]byte(text), now.MS)
			}
			loop.Step()
			shown := out.String()
			out.Reset()
			return shown
		}
	})
}

func TestParseCall(t *testing.T) {
	for _, k := range []struct {
		name, text, path string
		err              error
	}{
		{"whole", "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n", "/api/ready", nil},
		{"bare line feeds, an escape, a query", "GET /api/%72eady?x=1 HTTP/1.0\n\n", "/api/ready", nil},
		{"a body", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", "/a", nil},
		{"half a body", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na", "", nil},
		{"half a head", "GET /a HTTP/1.1\r\nHo", "", nil},
		{"no HTTP", "\x16\x03\x01", "", errMalformed},
		{"no path", "GET HTTP/1.1\r\n", "", errMalformed},
		{"another version", "GET / HTTP/2.0\r\n", "", errMalformed},
		{"a header without a colon", "GET / HTTP/1.1\r\nnothing\r\n\r\n", "", errMalformed},
		{"a length that is none", "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "", errMalformed},
		{"two lengths", "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "", errMalformed},
		{"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "", errMalformed},
		{"a head without end", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxCall), "", errTooLong},
		{"a long body", "POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "", errTooLong},
	} {
		c, err := parseCall([]byte(k.text))
		if !errors.Is(err, k.err) || (c != nil) != (k.path != "") || c != nil && c.path != k.path {
			t.Errorf("%s: %+v, %v", k.name, c, err)
		}
	}
}
