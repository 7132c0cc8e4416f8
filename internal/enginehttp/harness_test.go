package enginehttp

import (
	"cmp"
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
)

// harness replays an exchange between a client and a fake engine. Connections are numbered from 1 in the order in which
// they are dialed.
type harness struct {
	t             *testing.T
	clock         *clock.Manual
	loop          *router.Loop
	client        *Client
	conns         []*fakeConn
	attempts      []router.Attempt
	latestStartMS float64 // latest start time of the following attempts, relative to their start; 0 means no limit
	exclusive     bool    // whether the latest attempt is exclusive
	address       string  // address of the engine after it has moved; empty before
	out           strings.Builder
}

func newHarness(t *testing.T, log *slog.Logger) *harness {
	t.Helper()
	h := &harness{t: t, clock: &clock.Manual{MS: 1e12}}
	h.loop = router.NewLoop(h.clock)
	h.client = NewClient(h.loop, h, Config{MaxConns: 2, ConnectTimeoutMS: 250, IdleMS: 30_000}, log)
	return h
}

// fakeConn is a netio.Conn that prints what the client writes and when it closes the connection.
type fakeConn struct {
	harness *harness
	number  int
	handler netio.Handler
	closed  bool
	broken  bool // writes fail
	unread  bool // result of HasUnread
}

func (c *fakeConn) Write(b []byte) error {
	if c.broken {
		return syscall.ECONNRESET
	}
	head, body, _ := strings.Cut(string(b), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	fmt.Fprintf(&c.harness.out, "  %d < %s", c.number, strings.TrimSuffix(lines[0], " HTTP/1.1"))
	for _, line := range lines[1:] {
		if !strings.HasPrefix(line, "Host") && !strings.HasPrefix(line, "Content") {
			fmt.Fprintf(&c.harness.out, "; %s", line)
		}
	}
	if body != "" {
		fmt.Fprintf(&c.harness.out, "; %s", body)
	}
	c.harness.out.WriteString("\n")
	return nil
}

func (c *fakeConn) CloseGracefully()        { c.Close() }
func (c *fakeConn) NotifyFlushed(f func())  { f() }
func (c *fakeConn) Detach(f func(*os.File)) { f(nil) }
func (c *fakeConn) HasUnread() bool         { return c.unread }
func (c *fakeConn) PeerClosed() bool        { return false }

func (c *fakeConn) Close() {
	if !c.closed {
		c.closed = true
		fmt.Fprintf(&c.harness.out, "  %d closed\n", c.number)
	}
}

// Dial implements netio.Dialer.
func (h *harness) Dial(address string, _ float64, handler netio.Handler) netio.Conn {
	c := &fakeConn{harness: h, number: len(h.conns) + 1, handler: handler}
	h.conns = append(h.conns, c)
	fmt.Fprintf(&h.out, "  %d dials %s\n", c.number, address)
	return c
}

// run steps the loop until nothing is left to run at the current time.
func (h *harness) run() {
	for h.loop.Step() {
	}
}

// showProgress prints the progress and the load report of a response.
func (h *harness) showProgress(progress router.AttemptProgress) {
	if progress.Kind != dispatch.ProgressAlive {
		fmt.Fprintf(&h.out, "  ~ note %d of %v\n", progress.Kind, progress.Amount)
	}
	if progress.Report != nil {
		fmt.Fprintf(&h.out, "  ~ load %+v\n", *progress.Report)
	}
}

// outcomes are the names of outcomes in the recorded exchanges.
var outcomes = map[dispatch.Outcome]string{
	dispatch.Served: "served", dispatch.EngineFailed: "errored", dispatch.EngineFull: "full",
	dispatch.ConnectFailed: "connect failed", dispatch.ConnectionReset: "reset", dispatch.Cancelled: "cancelled",
}

// showEnd prints the outcome of an attempt and its result.
func (h *harness) showEnd(end router.End) {
	fmt.Fprintf(&h.out, "  = %s", outcomes[end.Outcome])
	if end.Result != nil {
		fmt.Fprintf(&h.out, " %v work %v need %v", end.Result.Cells, end.Result.WorkMS, end.Result.NeedMB)
	}
	h.out.WriteString("\n")
}

// play executes one line of an exchange and returns what the client and the engine did. The commands are:
//
//	start safe|once        start an attempt that is idempotent, or that must run at most once
//	start alone|deleted    start an exclusive idempotent attempt whose cancellation is forbidden, or allowed
//	up N                   connection N is established
//	refused N, hangs N     connection N is refused, or its dial times out
//	broken N               writes to connection N fail from now on
//	N TEXT                 the engine sends TEXT, with the escapes of a Go string, on connection N
//	N close                the engine closes connection N
//	N unread               the engine has sent bytes on connection N that the client has not read
//	drop, cancel           the oldest attempt is abandoned, or cancelled
//	rank P                 the priority of the oldest attempt changes to P
//	recall N               attempt N, counted from 0, is cancelled if unsent
//	latest MS              the following attempts must start within MS milliseconds
//	moved ADDR             the engine has the address ADDR from now on
//	forget, withhold       Forget, or CancelUnstarted, is called for the engine
//	wait MS                the clock advances by MS milliseconds
func (h *harness) play(line string) string {
	h.t.Helper()
	if !h.playConn(line) && !h.playAttempt(line) {
		h.playBytes(line)
	}
	h.run()
	shown := h.out.String()
	h.out.Reset()
	return shown
}

// parseNumber parses a number in a line and fails the test if it is invalid.
func (h *harness) parseNumber(line, text string) int {
	h.t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		h.t.Fatalf("%s: %v", line, err)
	}
	return n
}

func (h *harness) engine() router.Engine {
	return router.Engine{ID: 7, Address: cmp.Or(h.address, "10.0.0.1:80")}
}

// playConn executes a command that changes the state of a connection. It returns false if the line is another command.
func (h *harness) playConn(line string) bool {
	h.t.Helper()
	verb, argument, _ := strings.Cut(line, " ")
	conn := func() *fakeConn { return h.conns[h.parseNumber(line, argument)-1] }
	switch verb {
	case "up":
		conn().handler.Opened(conn())
	case "refused":
		conn().handler.Closed(errors.Join(netio.ErrNotConnected, syscall.ECONNREFUSED))
	case "hangs":
		conn().handler.Closed(errors.Join(netio.ErrNotConnected, os.ErrDeadlineExceeded))
	case "broken":
		conn().broken = true
	default:
		return false
	}
	return true
}

// playAttempt executes a command on attempts, the engine or the clock. It returns false if the line is another command.
func (h *harness) playAttempt(line string) bool {
	h.t.Helper()
	verb, argument, _ := strings.Cut(line, " ")
	switch verb {
	case "start":
		h.start(argument)
	case "drop":
		h.attempts[0].Abandon()
	case "cancel":
		h.attempts[0].Cancel()
		if !h.exclusive {
			h.attempts[0].Abandon()
		}
	case "rank":
		h.attempts[0].SetPriority(h.parseNumber(line, argument))
	case "recall":
		fmt.Fprintf(&h.out, "  taken back: %v\n", h.attempts[h.parseNumber(line, argument)].CancelUnsent())
	case "latest":
		h.latestStartMS = float64(h.parseNumber(line, argument))
	case "moved":
		h.address = argument
	case "forget":
		h.client.Forget(h.engine())
	case "withhold":
		h.client.CancelUnstarted(h.engine())
	case "wait":
		for end := h.clock.MS + float64(h.parseNumber(line, argument)); h.clock.MS < end; h.clock.MS++ {
			h.run()
		}
	default:
		return false
	}
	return true
}

// start starts an attempt of the kind that the start command of play names.
func (h *harness) start(kind string) {
	latestStartMS := 0.0
	if h.latestStartMS > 0 {
		latestStartMS = h.clock.MS + h.latestStartMS
	}
	h.exclusive = kind == "alone" || kind == "deleted"
	h.attempts = append(h.attempts, h.client.Start(router.Call{
		Engine: h.engine(), ID: "9b1f03aa5c7e2d41",
		Class: "lookup", Statement: "SELECT 1", WaitMS: 1500.7, GrantMB: 96.2, Priority: 2,
		AtMostOnce: kind == "once", LatestStartMS: latestStartMS,
		Exclusive: h.exclusive, CancelAllowed: kind == "deleted",
		OnSent: func() { h.out.WriteString("  written whole\n") }, OnProgress: h.showProgress,
	}, h.showEnd))
}

// playBytes executes a command that starts with the number of a connection: the engine sends bytes or closes it.
func (h *harness) playBytes(line string) {
	h.t.Helper()
	number, sent, _ := strings.Cut(line, " ")
	c := h.conns[h.parseNumber(line, number)-1]
	switch sent {
	case "unread":
		c.unread = true
	case "close":
		c.handler.Closed(errors.New("connection reset by peer"))
	default:
		text, err := strconv.Unquote(`"` + sent + `"`)
		if err != nil {
			h.t.Fatalf("%s: %v", line, err)
		}
		c.handler.Data([]byte(text), h.clock.MS)
	}
}
