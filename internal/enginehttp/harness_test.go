package enginehttp

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// stage plays an exchange with stand-in engines; connections are numbered from 1 as they are dialled.
type stage struct {
	t        *testing.T
	clock    *clock.Manual
	loop     *router.Loop
	client   *Client
	links    []*link
	attempts []router.Attempt
	latest   float64
	alone    bool
	addr     string
	out      strings.Builder
}

type link struct {
	s      *stage
	n      int
	h      netio.Handler
	closed bool
	broken bool // nothing can be written to it
	unread bool // something is on its way from it
}

func (l *link) Write(b []byte) error {
	if l.broken {
		return syscall.ECONNRESET
	}
	head, body, _ := strings.Cut(string(b), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	fmt.Fprintf(&l.s.out, "  %d < %s", l.n, strings.TrimSuffix(lines[0], " HTTP/1.1"))
	for _, line := range lines[1:] {
		if !strings.HasPrefix(line, "Host") && !strings.HasPrefix(line, "Content") {
			fmt.Fprintf(&l.s.out, "; %s", line)
		}
	}
	if body != "" {
		fmt.Fprintf(&l.s.out, "; %s", body)
	}
	l.s.out.WriteString("\n")
	return nil
}

func (l *link) CloseGracefully()        { l.Close() }
func (l *link) NotifyFlushed(f func())  { f() }
func (l *link) Detach(f func(*os.File)) { f(nil) }
func (l *link) HasUnread() bool         { return l.unread }

func (l *link) Close() {
	if !l.closed {
		l.closed = true
		fmt.Fprintf(&l.s.out, "  %d closed\n", l.n)
	}
}

// heard shows what an answer tells beside an end.
func (s *stage) heard(n router.AttemptProgress) {
	if n.Kind != dispatch.ProgressAlive {
		fmt.Fprintf(&s.out, "  ~ note %d of %v\n", n.Kind, n.Amount)
	}
	if n.Report != nil {
		fmt.Fprintf(&s.out, "  ~ load %+v\n", *n.Report)
	}
}

// Dial implements Dialer.
func (s *stage) Dial(addr string, _ float64, h netio.Handler) netio.Conn {
	l := &link{s: s, n: len(s.links) + 1, h: h}
	s.links = append(s.links, l)
	fmt.Fprintf(&s.out, "  %d dials %s\n", l.n, addr)
	return l
}

func (s *stage) run() {
	for s.loop.Step() {
	}
}

var outcomes = map[dispatch.Outcome]string{
	dispatch.Served: "served", dispatch.EngineFailed: "errored", dispatch.EngineFull: "full",
	dispatch.ConnectFailed: "connect failed", dispatch.ConnectionReset: "reset", dispatch.Cancelled: "cancelled",
}

// play carries out one line:
//
//	start safe|once        an attempt, of what may be repeated or of what may not
//	start alone|deleted    one of what may be repeated, but not while another is out; it may be told to be given up, or not
//	up N                   connection N comes up
//	refused N, hangs N     it does not
//	broken N               connection N takes no more bytes
//	N TEXT                 the engine's bytes on connection N; \r\n as usual
//	N close                the engine closes it
//	drop, cancel, rank P   the oldest attempt is dropped, or cancelled; its priority changes
//	recall N               attempt N, counted from 0, is taken back if it was not written whole
//	latest MS              the next attempts may begin within that time
//	moved ADDR             the engine is at another address from now on
//	N unread               something is on its way from connection N
//	forget, withhold       the engine is gone, or gets nothing more
//	wait MS                time passes
func (s *stage) play(line string) string {
	word, rest, _ := strings.Cut(line, " ")
	number := func(text string) int {
		n, err := strconv.Atoi(text)
		if err != nil {
			s.t.Fatalf("%s: %v", line, err)
		}
		return n
	}
	engine := router.Engine{ID: 7, Address: cmp.Or(s.addr, "10.0.0.1:80")}
	latest := 0.0
	if s.latest > 0 {
		latest = s.clock.MS + s.latest
	}
	switch word {
	case "start":
		s.alone = rest == "alone" || rest == "deleted"
		s.attempts = append(s.attempts, s.client.Start(router.Call{
			Engine: engine, ID: "9b1f03aa5c7e2d41",
			Class: "lookup", Statement: "SELECT 1", WaitMS: 1500.7, GrantMB: 96.2, Priority: 2, AtMostOnce: rest == "once", LatestStartMS: latest,
			Exclusive: rest == "alone" || rest == "deleted", CancelAllowed: rest == "deleted",
			OnSent: func() { s.out.WriteString("  written whole\n") }, OnProgress: s.heard,
		},
			func(e router.End) {
				fmt.Fprintf(&s.out, "  = %s", outcomes[e.Outcome])
				if e.Result != nil {
					fmt.Fprintf(&s.out, " %v work %v need %v", e.Result.Cells, e.Result.WorkMS, e.Result.NeedMB)
				}
				s.out.WriteString("\n")
			}))
	case "up":
		l := s.links[number(rest)-1]
		l.h.Opened(l)
	case "refused":
		s.links[number(rest)-1].h.Closed(errors.Join(netio.ErrNotConnected, syscall.ECONNREFUSED))
	case "hangs":
		s.links[number(rest)-1].h.Closed(errors.Join(netio.ErrNotConnected, os.ErrDeadlineExceeded))
	case "broken":
		s.links[number(rest)-1].broken = true
	case "wait":
		for end := s.clock.MS + float64(number(rest)); s.clock.MS < end; s.clock.MS++ {
			s.run()
		}
	case "drop":
		s.attempts[0].Abandon()
	case "cancel":
		s.attempts[0].Cancel()
		if !s.alone {
			s.attempts[0].Abandon()
		}
	case "rank":
		s.attempts[0].SetPriority(number(rest))
	case "recall":
		fmt.Fprintf(&s.out, "  taken back: %v\n", s.attempts[number(rest)].CancelUnsent())
	case "latest":
		s.latest = float64(number(rest))
	case "moved":
		s.addr = rest
	case "forget":
		s.client.Forget(engine)
	case "withhold":
		s.client.CancelUnstarted(engine)
	default:
		l := s.links[number(word)-1]
		if rest == "unread" {
			l.unread = true
			break
		}
		if rest == "close" {
			l.h.Closed(errors.New("connection reset by peer"))
			break
		}
		text, err := strconv.Unquote(`"` + rest + `"`)
		if err != nil {
			s.t.Fatalf("%s: %v", line, err)
		}
		l.h.Data([]byte(text), s.clock.MS)
	}
	s.run()
	shown := s.out.String()
	s.out.Reset()
	return shown
}

func TestExchanges(t *testing.T) {
	routertest.RunExchanges(t, func(t *testing.T) func(string) string {
		s := &stage{t: t, clock: &clock.Manual{MS: 1e12}}
		s.loop = router.NewLoop(s.clock)
		s.client = NewClient(s.loop, s, Config{MaxConns: 2, ConnectTimeoutMS: 250, IdleMS: 30_000},
			slog.New(slog.DiscardHandler))
		return s.play
	})
}

func TestParseResponse(t *testing.T) {
	for _, k := range []struct {
		name, text, err string
		status, length  int
		body            string
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcX", "", 200, 41, "abc"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n", "", 200, 67, "abc"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", "", 204, 27, ""},
		{"cut head", "HTTP/1.1 200 OK\r\nContent-Le", "", 0, 0, ""},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "", 0, 0, ""},
		{"no HTTP", "hello\r\n\r\n", "status line", 0, 0, ""},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", "content-length", 0, 0, ""},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "content-length", 0, 0, ""},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", "content-length", 0, 0, ""},
		{"bad header", "HTTP/1.1 200 OK\r\nnothing\r\n\r\n", "header line", 0, 0, ""},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "chunk size", 0, 0, ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "two lengths", 0, 0, ""},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "content-length", 0, 0, ""},
		{"chunks of 3 GB", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n", "chunk size", 0, 0, ""},
		{"endless head", strings.Repeat("x", 9<<10), "without end", 0, 0, ""},
	} {
		r, n, err := parseResponse([]byte(k.text))
		if k.err != "" || err != nil {
			if err == nil || k.err == "" || !strings.Contains(err.Error(), k.err) {
				t.Errorf("%s: error %v, want %q", k.name, err, k.err)
			}
			continue
		}
		if n != k.length || r != nil && (r.status != k.status || string(r.body) != k.body) || (r == nil) != (n == 0) {
			t.Errorf("%s: %+v, length %d", k.name, r, n)
		}
	}
}

// FuzzParseResponse feeds arbitrary bytes of an engine: no crash, and what is taken lies within the bounds and
// within the bytes, whichever way they were cut up on the road.
func FuzzParseResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX-Parts: 3\r\nContent-Length: 3\r\n\r\nabcX")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n")
	f.Add("HTTP/1.0 503 Full\r\nNot-Begun: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, n, err := parseResponse([]byte(text))
		switch {
		case (r != nil) != (n > 0) || r != nil && err != nil || n > len(text):
			t.Fatalf("response %v, length %d of %d, error %v", r, n, len(text), err)
		case r == nil:
			return
		case len(r.body) > maxBody || len(r.body) > n:
			t.Fatalf("a body of %d bytes out of %d", len(r.body), n)
		}
		if early, _, err := parseResponse([]byte(text[:n-1])); early != nil || err != nil {
			t.Fatalf("without its last byte: %v, %v", early, err)
		}
	})
}

// lines counts what is logged from Info up.
type lines struct{ n int }

func (l *lines) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }
func (l *lines) Handle(context.Context, slog.Record) error        { l.n++; return nil }
func (l *lines) WithAttrs([]slog.Attr) slog.Handler               { return l }
func (l *lines) WithGroup(string) slog.Handler                    { return l }

// Engines that tell odd things of themselves, with each answer, fill no log.
func TestOddReportsLogNothing(t *testing.T) {
	for _, odd := range []string{
		"Backend-Load: util:-4;inflight:nan;x0:", "Backend-Load: ;;;", "Backend-Load: util:1e300;util:0.2",
		"Detail: frac\r\nX-Amount: 17", "Detail: missing\r\nX-Amount: -1", "Detail: parked", "Detail: nothing that is known\r\nX-Amount: inf",
	} {
		log := &lines{}
		s := &stage{t: t, clock: &clock.Manual{MS: 1e12}}
		s.loop = router.NewLoop(s.clock)
		s.client = NewClient(s.loop, s, Config{MaxConns: 2, ConnectTimeoutMS: 250, IdleMS: 30_000}, slog.New(log))
		s.play("start safe")
		s.play("up 1")
		for range 100 {
			s.links[0].h.Data([]byte("HTTP/1.1 202 Accepted\r\n"+odd+"\r\nContent-Length: 0\r\n\r\n"), s.clock.MS)
			s.run()
		}
		if log.n > 0 || s.client.Counters.BadResponses > 0 {
			t.Errorf("%s: %d lines, %d bad answers", odd, log.n, s.client.Counters.BadResponses)
		}
	}
}
