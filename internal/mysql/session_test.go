package mysql

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// engine is a stand-in for the engine client: each attempt waits until the exchange says how it ends.
type engine struct {
	calls []router.Call
	done  []func(router.End)
}

func (e *engine) Start(c router.Call, done func(router.End)) router.Attempt {
	e.calls, e.done = append(e.calls, c), append(e.done, done)
	return out{}
}
func (e *engine) Forget(router.Engine)          {}
func (e *engine) CancelUnstarted(router.Engine) {}

type out struct{}

func (out) SetPriority(int)    {}
func (out) Cancel()            {}
func (out) Abandon()           {}
func (out) CancelUnsent() bool { return false }

// wire is a stand-in for a connection: it keeps what the session writes.
type wire struct {
	written []byte
	closed  bool
	unread  bool // its client has sent what is still on its way to the session
}

func (w *wire) Write(b []byte) error {
	if !w.closed {
		w.written = append(w.written, b...)
	}
	return nil
}
func (w *wire) Close()                  { w.closed = true }
func (w *wire) CloseGracefully()        { w.closed = true }
func (w *wire) NotifyFlushed(f func())  { f() }
func (w *wire) Detach(f func(*os.File)) { f(nil) }
func (w *wire) HasUnread() bool         { return w.unread }

// stage plays an exchange: sessions by name on one front, on a clock that the exchange sets.
type stage struct {
	t        *testing.T
	clock    *clock.Manual
	loop     *router.Loop
	engine   *engine
	front    *Front
	handlers map[string]netio.Handler
	wires    map[string]*wire
	// elsewhere is what went to the other process
	elsewhere strings.Builder
}

func newStage(t *testing.T) *stage {
	t.Helper()
	s := &stage{
		t: t, clock: &clock.Manual{MS: 1e12}, engine: &engine{}, handlers: map[string]netio.Handler{},
		wires: map[string]*wire{},
	}
	s.loop = router.NewLoop(s.clock)
	cfg := dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 3, RetryAfterAllowed: true,
		MaxRetryAfter: 2 * time.Second, Priorities: true, Kinds: []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, Threads: 2, Semantics: dispatch.AtMostOnce},
		},
	}
	core, err := router.New(s.loop, cfg, s.engine, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.front = NewFront(core, s.loop, Config{MaxSessions: 3, MaxBuffered: 100_000}, func() [][2]string { return [][2]string{{"taken", "1"}} },
		slog.New(slog.DiscardHandler))
	core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListCached, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1}}},
		map[dispatch.EngineID]string{7: "127.0.0.1:1"})
	s.run()
	return s
}

func (s *stage) run() {
	for s.loop.Step() {
	}
}

// play carries out one line of an exchange and returns what it shows.
//
//	NAME open|leave        a connection comes up, or its client closes it
//	NAME login             the login of a well-behaved client
//	NAME send SEQ TEXT     a packet; \xNN is a byte
//	NAME unread yes        something of the client's is on its way to the session; without yes, no more
//	NAME raw HEX           bytes without a header
//	engine served TEXT     the oldest attempt ends with rows; \t and \n as usual
//	engine OUTCOME         the oldest attempt ends so
//	wait MS                time passes
//	leave, end             the front ends its sessions, for another process or for good
//	generation N           it is that of the Nth process; kills go to another one
func (s *stage) play(line string) string {
	word := strings.SplitN(line, " ", 4)
	text := func(i int) string {
		if i >= len(word) {
			return ""
		}
		v, err := strconv.Unquote(`"` + strings.ReplaceAll(strings.Join(word[i:], " "), `"`, `\"`) + `"`)
		if err != nil {
			s.t.Fatalf("%s: %v", line, err)
		}
		return v
	}
	switch {
	case word[0] == "wait":
		ms, err := strconv.ParseFloat(word[1], 64)
		if err != nil {
			s.t.Fatal(err)
		}
		for end := s.clock.MS + ms; s.clock.MS < end; s.clock.MS++ {
			s.run()
		}
	case word[0] == "leave":
		s.front.Drain()
	case word[0] == "end":
		s.front.Shutdown()
	case word[0] == "generation":
		s.front.SetGeneration(word[1][0] - '0')
		s.front.RemoteKill = func(id uint32, query bool) bool {
			fmt.Fprintf(&s.elsewhere, "  elsewhere: kill %#x, query %v\n", id, query)
			return true
		}
	case word[0] == "engine":
		if len(s.engine.done) == 0 {
			s.t.Fatalf("%s: no attempt is out", line)
		}
		end := router.End{Outcome: map[string]dispatch.Outcome{
			"served": dispatch.Served, "errored": dispatch.EngineFailed,
			"full": dispatch.EngineFull, "reset": dispatch.ConnectionReset, "refused": dispatch.ConnectFailed,
		}[word[1]]}
		if end.Outcome == dispatch.Served {
			end.Result = &router.Result{Columns: []string{"a", "b"}}
			for _, row := range strings.Split(strings.TrimSuffix(text(2), "\n"), "\n") {
				for _, cell := range strings.Split(row, "\t") {
					end.Result.Cells = append(end.Result.Cells, router.Cell{Text: cell})
				}
			}
		}
		done := s.engine.done[0]
		s.engine.done = s.engine.done[1:]
		s.loop.Post(func() { done(end) })
	case word[1] == "open":
		h, w := s.front.NewSession(), &wire{}
		s.handlers[word[0]], s.wires[word[0]] = h, w
		s.loop.Post(func() { h.Opened(w) })
	case word[1] == "unread":
		s.wires[word[0]].unread = len(word) > 2
	case word[1] == "leave":
		s.loop.Post(func() { s.handlers[word[0]].Closed(nil) })
	default:
		var b []byte
		switch word[1] {
		case "login":
			b = packet(1, "\x0d\xa2\x0f\x00\x00\x00\x00\x01\x2d"+strings.Repeat("\x00", 23)+
				"app\x00\x00warehouse\x00mysql_native_password\x00")
		case "raw":
			var err error
			if b, err = hex.DecodeString(strings.ReplaceAll(strings.Join(word[2:], ""), " ", "")); err != nil {
				s.t.Fatal(err)
			}
		case "send":
			seq, err := strconv.Atoi(word[2])
			if err != nil {
				s.t.Fatal(err)
			}
			b = packet(byte(seq), text(3))
		default:
			s.t.Fatalf("unknown line %q", line)
		}
		s.loop.Post(func() { s.handlers[word[0]].Data(b, s.clock.MS) })
	}
	s.run()
	return s.shown()
}

func packet(seq byte, body string) []byte {
	return append([]byte{byte(len(body)), byte(len(body) >> 8), byte(len(body) >> 16), seq}, body...)
}

// shown words what was written and sent since the last line, in order of the sessions' names.
func (s *stage) shown() string {
	var b strings.Builder
	for _, name := range []string{"a", "b", "c", "d"} {
		w := s.wires[name]
		if w == nil {
			continue
		}
		for p := w.written; len(p) >= 4; {
			n := int(p[0]) | int(p[1])<<8 | int(p[2])<<16
			fmt.Fprintf(&b, "  %s < %d %s\n", name, p[3], words(p[4:4+n]))
			p = p[4+n:]
		}
		w.written = nil
		if w.closed {
			fmt.Fprintf(&b, "  %s closed\n", name)
			delete(s.wires, name)
		}
	}
	b.WriteString(s.elsewhere.String())
	s.elsewhere.Reset()
	for _, c := range s.engine.calls {
		fmt.Fprintf(&b, "  > %s %s within %.0f priority %d: %s\n", c.Class, c.ID, c.WaitMS, c.Priority, c.Statement)
	}
	s.engine.calls = nil
	return b.String()
}

// words makes a packet readable.
func words(p []byte) string {
	switch {
	case len(p) > 0 && p[0] == 0xff:
		return fmt.Sprintf("error %d %s", int(p[1])|int(p[2])<<8, p[4:])
	case len(p) == 7 && p[0] == 0:
		return "ok"
	case len(p) == 5 && p[0] == 0xfe:
		return "eof"
	}
	return strings.Trim(strconv.Quote(string(p)), `"`)
}

// TestExchanges plays the recorded exchanges: each file holds lines of "play" with what they show indented
// below them.
func TestExchanges(t *testing.T) {
	routertest.RunExchanges(t, func(t *testing.T) func(string) string { return newStage(t).play })
}

// TestOverlongPacket: a header that announces more than is taken ends the session before anything is
// buffered. It guards against unbounded buffers.
func TestOverlongPacket(t *testing.T) {
	s := newStage(t)
	s.play("a open")
	s.play("a login")
	if got := s.play("a raw ffffff00"); !strings.Contains(got, "error 1153") || !strings.Contains(got, "a closed") {
		t.Errorf("got %q", got)
	}
}

// All sessions together buffer no more than their bound: it guards a small memory against many long packets that
// stop short of their end. What a session had buffered is free again once it has ended.
func TestBuffersOfAllSessionsAreBounded(t *testing.T) {
	s := newStage(t)
	half := strings.Repeat("00", 51_000)
	for _, name := range []string{"a", "b"} {
		s.play(name + " open")
		s.play(name + " login")
	}
	if got := s.play("a raw 00ff0000" + half); got != "" {
		t.Errorf("the first half packet: %q", got)
	}
	if got := s.play("b raw 00ff0000" + half); !strings.Contains(got, "error 1040") || !strings.Contains(got, "b closed") {
		t.Errorf("the second half packet: %q", got)
	}
	s.play("a leave")
	if s.front.buffered != 0 || len(s.front.sessions) != 0 {
		t.Errorf("%d bytes and %d sessions are kept", s.front.buffered, len(s.front.sessions))
	}
}

// FuzzSession feeds arbitrary bytes: no crash, and nothing malformed reaches an engine.
func FuzzSession(f *testing.F) {
	f.Add([]byte("\x01\x00\x00\x00\x0e"))
	f.Add(packet(0, "\x03/* method=lookup,rid=0123456789abcdef,budget=100 */ SELECT 1"))
	f.Add(packet(0, "\x03/* method=lookup"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newStage(t)
		s.play("a open")
		s.play("a login")
		s.loop.Post(func() { s.handlers["a"].Data(b, s.clock.MS) })
		s.run()
		for _, c := range s.engine.calls {
			if len(c.ID) != 16 || c.Statement == "" {
				t.Errorf("a malformed request reached an engine: %+v", c)
			}
		}
	})
}
