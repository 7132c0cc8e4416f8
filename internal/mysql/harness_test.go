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
)

// fakeEngine is an engine client whose attempts run until a line of the exchange ends them.
type fakeEngine struct {
	calls []router.Call
	onEnd []func(router.End)
}

func (e *fakeEngine) Start(call router.Call, onEnd func(router.End)) router.Attempt {
	e.calls, e.onEnd = append(e.calls, call), append(e.onEnd, onEnd)
	return fakeAttempt{}
}
func (e *fakeEngine) Forget(router.Engine)          {}
func (e *fakeEngine) CancelUnstarted(router.Engine) {}

type fakeAttempt struct{}

func (fakeAttempt) SetPriority(int)    {}
func (fakeAttempt) Cancel()            {}
func (fakeAttempt) Abandon()           {}
func (fakeAttempt) CancelUnsent() bool { return false }

// fakeConn is a connection that records what the session writes to it.
type fakeConn struct {
	written    []byte
	closed     bool
	unread     bool // the client has sent bytes that the session has not read
	peerClosed bool // the client has closed the connection
}

func (c *fakeConn) Write(b []byte) error {
	if !c.closed {
		c.written = append(c.written, b...)
	}
	return nil
}
func (c *fakeConn) Close()                  { c.closed = true }
func (c *fakeConn) CloseGracefully()        { c.closed = true }
func (c *fakeConn) NotifyFlushed(f func())  { f() }
func (c *fakeConn) Detach(f func(*os.File)) { f(nil) }
func (c *fakeConn) HasUnread() bool         { return c.unread }
func (c *fakeConn) PeerClosed() bool        { return c.peerClosed }

// harness replays an exchange of several named clients with one front, on a clock that the exchange advances.
type harness struct {
	t           *testing.T
	clock       *clock.Manual
	loop        *router.Loop
	engine      *fakeEngine
	front       *Front
	handlers    map[string]netio.Handler
	conns       map[string]*fakeConn
	remoteKills strings.Builder // KILLs forwarded to the other process
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		t: t, clock: &clock.Manual{MS: 1e12}, engine: &fakeEngine{}, handlers: map[string]netio.Handler{},
		conns: map[string]*fakeConn{},
	}
	h.loop = router.NewLoop(h.clock)
	cfg := dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 3, RetryAfter: dispatch.RetryAfter{Allowed: true, Max: 2 * time.Second},
		Features: dispatch.EngineFeatures{Priorities: true},
		Kinds:    []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{
				Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, Threads: 2,
				Semantics: dispatch.AtMostOnce,
			},
		},
	}
	core, err := router.New(h.loop, cfg, h.engine, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h.front = NewFront(core, h.loop, Config{MaxSessions: 3, MaxBuffered: 100_000},
		func() [][2]string { return [][2]string{{"taken", "1"}} }, slog.New(slog.DiscardHandler))
	core.UpdateEndpoints(
		dispatch.EndpointList{
			Mode: dispatch.ListCached, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1}},
		},
		map[dispatch.EngineID]string{7: "127.0.0.1:1"})
	h.run()
	return h
}

func (h *harness) run() {
	for h.loop.Step() {
	}
}

// runLine executes one line of an exchange and returns what the sessions and the core did:
//
//	NAME open|leave        a client connects, or closes its connection
//	NAME login             the client logs in
//	NAME send SEQ TEXT     the client sends a packet; \xNN is a byte
//	NAME raw HEX           the client sends bytes without adding a header
//	NAME unread yes        the client has sent bytes that the session has not read; without yes, it has not
//	engine served TEXT     the oldest attempt ends with rows; \t separates cells, \n rows
//	engine OUTCOME         the oldest attempt ends with another outcome
//	wait MS                the clock advances
//	leave                  the front drains
//	end                    the front shuts down
//	generation N           the process is of generation N and forwards KILLs to another process
func (h *harness) runLine(line string) string {
	h.t.Helper()
	fields := strings.SplitN(line, " ", 4)
	if !h.runProcessLine(line, fields) {
		h.runClientLine(line, fields)
	}
	h.run()
	return h.takeOutput()
}

// unquote returns the text of a line from a field on, with its escape sequences replaced.
func (h *harness) unquote(line string, fields []string, from int) string {
	h.t.Helper()
	if from >= len(fields) {
		return ""
	}
	quoted := `"` + strings.ReplaceAll(strings.Join(fields[from:], " "), `"`, `\"`) + `"`
	text, err := strconv.Unquote(quoted)
	if err != nil {
		h.t.Fatalf("%s: %v", line, err)
	}
	return text
}

// runProcessLine executes a line for the front, the engine or the clock. It returns false for any other line.
func (h *harness) runProcessLine(line string, fields []string) bool {
	h.t.Helper()
	switch fields[0] {
	case "wait":
		h.wait(fields[1])
	case "leave":
		h.front.Drain()
	case "end":
		h.front.Shutdown()
	case "generation":
		h.front.SetGeneration(fields[1][0] - '0')
		h.front.RemoteKill = func(id uint32, query bool) bool {
			fmt.Fprintf(&h.remoteKills, "  elsewhere: kill %#x, query %v\n", id, query)
			return true
		}
	case "engine":
		h.endAttempt(line, fields[1], h.unquote(line, fields, 2))
	default:
		return false
	}
	return true
}

func (h *harness) wait(text string) {
	h.t.Helper()
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		h.t.Fatal(err)
	}
	for end := h.clock.MS + ms; h.clock.MS < end; h.clock.MS++ {
		h.run()
	}
}

// outcomes maps the names of outcomes in the recorded exchanges.
var outcomes = map[string]dispatch.Outcome{
	"served": dispatch.Served, "errored": dispatch.EngineFailed,
	"full": dispatch.EngineFull, "reset": dispatch.ConnectionReset, "refused": dispatch.ConnectFailed,
}

// endAttempt ends the oldest attempt with an outcome. The text has the rows of a served one.
func (h *harness) endAttempt(line, outcome, text string) {
	h.t.Helper()
	if len(h.engine.onEnd) == 0 {
		h.t.Fatalf("%s: no attempt is running", line)
	}
	end := router.End{Outcome: outcomes[outcome]}
	if end.Outcome == dispatch.Served {
		end.Result = &router.Result{Columns: []string{"a", "b"}}
		for row := range strings.SplitSeq(strings.TrimSuffix(text, "\n"), "\n") {
			for cell := range strings.SplitSeq(row, "\t") {
				end.Result.Cells = append(end.Result.Cells, router.Cell{Text: cell})
			}
		}
	}
	onEnd := h.engine.onEnd[0]
	h.engine.onEnd = h.engine.onEnd[1:]
	h.loop.Post(func() { onEnd(end) })
}

// runClientLine executes a line for a client.
func (h *harness) runClientLine(line string, fields []string) {
	h.t.Helper()
	name := fields[0]
	switch fields[1] {
	case "open":
		handler, conn := h.front.NewSession(), &fakeConn{}
		h.handlers[name], h.conns[name] = handler, conn
		h.loop.Post(func() { handler.Opened(conn) })
	case "unread":
		h.conns[name].unread = len(fields) > 2
	case "leave":
		h.loop.Post(func() { h.handlers[name].Closed(nil) })
	default:
		b := h.sentBytes(line, fields)
		h.loop.Post(func() { h.handlers[name].Data(b, h.clock.MS) })
	}
}

// sentBytes returns the bytes that a client sends by a login, raw or send line.
func (h *harness) sentBytes(line string, fields []string) []byte {
	h.t.Helper()
	switch fields[1] {
	case "login":
		return packet(1, "\x0d\xa2\x0f\x00\x00\x00\x00\x01\x2d"+strings.Repeat("\x00", 23)+
			"app\x00\x00warehouse\x00mysql_native_password\x00")
	case "raw":
		b, err := hex.DecodeString(strings.ReplaceAll(strings.Join(fields[2:], ""), " ", ""))
		if err != nil {
			h.t.Fatal(err)
		}
		return b
	case "send":
		seq, err := strconv.Atoi(fields[2])
		if err != nil {
			h.t.Fatal(err)
		}
		return packet(byte(seq), h.unquote(line, fields, 3))
	}
	h.t.Fatalf("unknown line %q in the exchange", line)
	return nil
}

func packet(seq byte, body string) []byte {
	return append([]byte{byte(len(body)), byte(len(body) >> 8), byte(len(body) >> 16), seq}, body...)
}

// takeOutput returns what was written to the clients, in the order of their names, forwarded to the other process and
// sent to engines since the last call.
func (h *harness) takeOutput() string {
	var b strings.Builder
	for _, name := range []string{"a", "b", "c", "d"} {
		c := h.conns[name]
		if c == nil {
			continue
		}
		for p := c.written; len(p) >= 4; {
			n := int(p[0]) | int(p[1])<<8 | int(p[2])<<16
			fmt.Fprintf(&b, "  %s < %d %s\n", name, p[3], describe(p[4:4+n]))
			p = p[4+n:]
		}
		c.written = nil
		if c.closed {
			fmt.Fprintf(&b, "  %s closed\n", name)
			delete(h.conns, name)
		}
	}
	b.WriteString(h.remoteKills.String())
	h.remoteKills.Reset()
	for _, c := range h.engine.calls {
		fmt.Fprintf(&b, "  > %s %s within %.0f priority %d: %s\n", c.Class, c.ID, c.WaitMS, c.Priority, c.Statement)
	}
	h.engine.calls = nil
	return b.String()
}

// describe returns the body of a packet as readable text.
func describe(body []byte) string {
	switch {
	case len(body) > 0 && body[0] == headerError:
		return fmt.Sprintf("error %d %s", int(body[1])|int(body[2])<<8, body[4:])
	case len(body) == 7 && body[0] == headerOK:
		return "ok"
	case len(body) == 5 && body[0] == headerEOF:
		return "eof"
	}
	return strings.Trim(strconv.Quote(string(body)), `"`)
}
