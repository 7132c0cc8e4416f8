package node

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"pgregory.net/rapid"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/enginehttp"
	"windflow/internal/mysql"
	"windflow/internal/netio"
	"windflow/internal/router"
)

// This file has the harness of TestEventInterleavings. It runs the real client sessions, core, dispatch module and
// engine connections on a manual clock. The sockets of clients and engines are simulated, and each of their events
// happens when the test triggers it.

const (
	interleavingDialTimeoutMS = 250.0
	interleavingWindow        = 600 * time.Millisecond // idempotency window of class keyed
	cancelSlackMS             = 100.0                  // latest start of an attempt after its client has cancelled
)

// simulatedConn is the router's side of a connection to an engine.
type simulatedConn struct {
	harness        *interleavingHarness
	engine         int // number in the engine's address
	handler        netio.Handler
	opened, closed bool
	strayData      bool // it delivered data that belongs to no call, and must not be used again
	received       []byte
	partialPost    string   // id of a POST that the engine has received in part; empty for none
	requests       []string // heads of complete calls that the engine has not answered
	unread         []byte   // sent by the engine and not read yet
}

func (p *simulatedConn) Write(b []byte) error {
	if p.closed || !p.opened {
		return net.ErrClosed
	}
	if p.strayData {
		p.harness.fail("the router wrote to a connection that had delivered data of no call: %.40q", b)
	}
	if len(p.received) == 0 && bytes.HasPrefix(b, []byte("POST")) {
		p.partialPost = header(string(b), "Call-Id")
		p.harness.checkPostStart(p)
	}
	p.received = append(p.received, b...)
	for {
		head, body, complete := strings.Cut(string(p.received), "\r\n\r\n")
		n, _ := strconv.Atoi(header(head, "Content-Length"))
		if !complete || len(body) < n {
			return nil
		}
		p.requests = append(p.requests, head)
		switch post := p.harness.latestAttempt(requestID(head), p.engine); {
		case strings.HasPrefix(head, "GET"):
			post.polledAt = p.harness.now.MS
		case strings.HasPrefix(head, "DELETE"):
			post.ended = true
		}
		p.received = append([]byte(nil), body[n:]...)
		if p.partialPost != "" {
			p.harness.checkPostReceived(p)
			p.partialPost = ""
		}
	}
}

func (p *simulatedConn) Close() {
	if !p.closed {
		p.closed = true
		p.harness.loop.Post(func() { p.handler.Closed(net.ErrClosed) })
	}
}
func (p *simulatedConn) CloseGracefully()        { p.Close() }
func (p *simulatedConn) HasUnread() bool         { return len(p.unread) > 0 }
func (p *simulatedConn) PeerClosed() bool        { return false }
func (p *simulatedConn) Detach(f func(*os.File)) { f(nil) }
func (p *simulatedConn) NotifyFlushed(f func())  { f() }

func header(head, name string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

// simulatedClient is the router's side of a client's connection, on which one request is sent.
type simulatedClient struct {
	harness       *interleavingHarness
	handler       netio.Handler
	id            string
	class         int
	session       uint32
	cancelledAt   float64 // when it closed the connection or cancelled the query; 0 while it waits
	closed        bool
	loggedIn      bool
	deadline      float64
	answers       int
	answerPackets int // EOF packets received of the answer that is being read
	buffered      []byte
	attempts      []*simulatedAttempt
}

// simulatedAttempt is an attempt whose POST an engine has received completely.
type simulatedAttempt struct {
	startedAt, polledAt float64 // ms; polledAt is the time of the last GET, or of the POST
	engine              int
	neverRan            bool // the engine has answered that it never ran
	ended               bool // the engine does not run it any more
}

// running reports whether the engine may still run the attempt. An engine drops a query that has not been fetched for 2
// s.
func (p *simulatedAttempt) running(now float64) bool {
	return !p.ended && !p.neverRan && now < p.polledAt+2000
}

// latestAttempt returns the latest attempt of a request at an engine, or one that has ended if there is none.
func (w *interleavingHarness) latestAttempt(id string, engine int) *simulatedAttempt {
	if c := w.byID[id]; c != nil {
		for _, post := range slices.Backward(c.attempts) {
			if post.engine == engine {
				return post
			}
		}
	}
	return &simulatedAttempt{ended: true}
}

// requestID returns the id of the request to which a call belongs, from its header or its path.
func requestID(head string) string {
	if id := header(head, "Call-Id"); id != "" {
		return id
	}
	_, path, _ := strings.Cut(head, "/fetch/")
	return path[:16]
}

// firstPossibleRun returns the first attempt that may have run, or nil.
func (c *simulatedClient) firstPossibleRun() *simulatedAttempt {
	for _, post := range c.attempts {
		if !post.neverRan {
			return post
		}
	}
	return nil
}

func (c *simulatedClient) Write(b []byte) error {
	if c.closed {
		return net.ErrClosed
	}
	c.buffered = append(c.buffered, b...)
	for len(c.buffered) >= 4 {
		n := int(c.buffered[0]) | int(c.buffered[1])<<8 | int(c.buffered[2])<<16
		if len(c.buffered) < 4+n {
			break
		}
		c.packet(c.buffered[4 : 4+n])
		c.buffered = c.buffered[4+n:]
	}
	return nil
}

// packet handles a packet from the router. It counts the answers to the query: an error, or a result set, which ends
// with its second EOF. Before that it takes the connection id from the greeting.
func (c *simulatedClient) packet(body []byte) {
	switch {
	case !c.loggedIn:
		if c.session == 0 && body[0] == 10 {
			at := bytes.IndexByte(body, 0) + 1
			c.session = uint32(body[at]) | uint32(body[at+1])<<8 | uint32(body[at+2])<<16 | uint32(body[at+3])<<24
		}
	case body[0] == 0xff:
		c.answers++
	case body[0] == 0xfe && len(body) < 9:
		if c.answerPackets++; c.answerPackets == 2 {
			c.answers, c.answerPackets = c.answers+1, 0
		}
	}
}

func (c *simulatedClient) Close() {
	if !c.closed {
		c.closed = true
		c.harness.loop.Post(func() { c.handler.Closed(net.ErrClosed) })
	}
}
func (c *simulatedClient) CloseGracefully()        { c.Close() }
func (c *simulatedClient) HasUnread() bool         { return false }
func (c *simulatedClient) PeerClosed() bool        { return false }
func (c *simulatedClient) Detach(f func(*os.File)) { f(nil) }
func (c *simulatedClient) NotifyFlushed(f func())  { f() }

// interleavingHarness connects the code under test to simulated clients and engines, and checks each attempt.
type interleavingHarness struct {
	t             *rapid.T
	now           *clock.Manual
	loop          *router.Loop
	core          *router.Core
	engines       *enginehttp.Client
	front         *mysql.Front
	conns         []*simulatedConn
	clients       []*simulatedClient
	byID          map[string]*simulatedClient
	closedSince   map[int]float64               // by engine number: when it was drained or removed
	addresses     map[dispatch.EngineID]int     // number in the engine's current address
	cordonedSince map[dispatch.EngineID]float64 // by engine: when it was cordoned
	lastAddress   int
	noHedging     bool // hedged attempts are not allowed
}

var interleavingClasses = []dispatch.Class{
	{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
	{
		Name: "keyed", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1,
		Semantics: dispatch.IdempotentByKey, IdempotencyWindow: interleavingWindow,
	},
	{
		Name: "load", LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Threads: 2, LocksTableGroup: true,
		Semantics: dispatch.AtMostOnce,
	},
}

func newInterleavingHarness(t *rapid.T) *interleavingHarness {
	w := &interleavingHarness{
		t: t, now: &clock.Manual{MS: 1e9}, byID: map[string]*simulatedClient{},
		closedSince: map[int]float64{}, addresses: map[dispatch.EngineID]int{},
		cordonedSince: map[dispatch.EngineID]float64{},
	}
	w.loop = router.NewLoop(w.now)
	log := slog.New(slog.DiscardHandler)
	clients := &router.ClientByKind{}
	w.noHedging = rapid.Bool().Draw(t, "hedging off")
	core, err := router.New(w.loop, dispatch.Config{
		Routers: 1, HedgingAllowed: !w.noHedging, Tick: 5 * time.Millisecond, MaxAttempts: 4,
		RetryAfter: dispatch.RetryAfter{Allowed: true, Max: 2 * time.Second},
		Features:   dispatch.EngineFeatures{Priorities: true},
		Kinds:      []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}}, Classes: interleavingClasses,
		CancelAllowed: rapid.Bool().Draw(t, "cancel allowed"),
		WarmUp: dispatch.WarmUp{
			InitialShare: 0.4, Duration: 5 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second,
		},
	}, clients, log)
	if err != nil {
		t.Fatal(err)
	}
	w.core = core
	w.engines = enginehttp.NewClient(w.loop, w, enginehttp.Config{
		MaxConns:         rapid.IntRange(2, 6).Draw(t, "connections"),
		ConnectTimeoutMS: interleavingDialTimeoutMS, IdleMS: 8000,
	}, log)
	clients.Default = w.engines
	w.front = mysql.NewFront(core, w.loop, mysql.Config{MaxSessions: 64, MaxBuffered: 1 << 20},
		func() [][2]string { return nil }, log)
	for id := range 3 {
		w.updateEndpoint(dispatch.EngineID(id+1), dispatch.Live)
	}
	return w
}

func (w *interleavingHarness) fail(f string, args ...any) { w.t.Fatalf(f, args...) }

// run runs the event loop until it has nothing to do.
func (w *interleavingHarness) run() {
	for w.loop.Step() {
	}
}

// advance moves the clock forward in steps of 1 ms, and runs the event loop at each.
func (w *interleavingHarness) advance(ms float64) {
	for end := w.now.MS + ms; w.now.MS < end; w.now.MS++ {
		w.run()
	}
}

// Dial implements netio.Dialer. The connection is open once dialCompletes has opened it; after the timeout it fails.
func (w *interleavingHarness) Dial(addr string, timeout float64, h netio.Handler) netio.Conn {
	n, _ := strconv.Atoi(addr)
	p := &simulatedConn{harness: w, engine: n, handler: h}
	w.conns = append(w.conns, p)
	w.loop.After(timeout, func() {
		if !p.opened && !p.closed {
			p.closed = true
			p.handler.Closed(errors.Join(netio.ErrNotConnected, os.ErrDeadlineExceeded))
		}
	})
	return p
}

// updateEndpoint sends an endpoint event for one engine. An engine that becomes live after it was drained or
// removed gets a new address.
func (w *interleavingHarness) updateEndpoint(id dispatch.EngineID, state dispatch.EndpointState) {
	if state == dispatch.Live && w.addresses[id] == 0 || state == dispatch.Live && w.closedSince[w.addresses[id]] > 0 {
		w.lastAddress++
		w.addresses[id] = w.lastAddress
	}
	if state != dispatch.Live {
		w.closedSince[w.addresses[id]] = w.now.MS
	}
	w.core.UpdateEndpoints(dispatch.EndpointList{
		Mode:      dispatch.ListIncremental,
		Endpoints: []dispatch.Endpoint{{ID: id, Kind: "k", Zone: "z", CapacityWeight: 1, State: state}},
	},
		map[dispatch.EngineID]string{id: strconv.Itoa(w.addresses[id])})
}

// checkPostStart checks that an attempt may start, when the first bytes of its POST are written.
func (w *interleavingHarness) checkPostStart(p *simulatedConn) {
	c := w.byID[p.partialPost]
	for id, since := range w.cordonedSince {
		if w.addresses[id] == p.engine && w.now.MS > since {
			w.fail("%s starts at an engine %.0f ms after its cordon", c.id, w.now.MS-since)
		}
	}
	switch now := w.now.MS; {
	case c.cancelledAt > 0 && now > c.cancelledAt+cancelSlackMS:
		w.fail("%s starts %.0f ms after its client has cancelled", c.id, now-c.cancelledAt)
	case c.answers > 0:
		w.fail("%s starts after its answer", c.id)
	case w.closedSince[p.engine] > 0 && now > w.closedSince[p.engine]:
		w.fail("%s starts at an engine %.0f ms after the event that drained or removed it", c.id,
			now-w.closedSince[p.engine])
	case now > c.deadline:
		w.fail("%s starts after its deadline", c.id)
	case interleavingClasses[c.class].Semantics == dispatch.IdempotentByKey && c.firstPossibleRun() != nil &&
		now > c.firstPossibleRun().startedAt+clock.Millis(interleavingWindow):
		w.fail("%s starts %.0f ms after its first attempt, outside the idempotency window", c.id,
			now-c.firstPossibleRun().startedAt)
	}
}

// checkPostReceived checks that an attempt may run, when its POST has been received completely.
func (w *interleavingHarness) checkPostReceived(p *simulatedConn) {
	c := w.byID[p.partialPost]
	if interleavingClasses[c.class].Semantics == dispatch.AtMostOnce && c.firstPossibleRun() != nil {
		w.fail("load %s was received completely twice", c.id)
	}
	for _, post := range c.attempts {
		if w.noHedging && post.running(w.now.MS) {
			w.fail("%s was sent to engine %d while engine %d may still run it", c.id, p.engine, post.engine)
		}
		if post.engine == p.engine { // the engine treats it as the same query
			post.ended = true
		}
	}
	c.attempts = append(c.attempts, &simulatedAttempt{startedAt: w.now.MS, polledAt: w.now.MS, engine: p.engine})
}

// startRequest opens a session for a new client, logs in, and sends its request. budget is in ms.
func (w *interleavingHarness) startRequest(class int, budget float64) {
	c := &simulatedClient{
		harness: w, handler: w.front.NewSession(), class: class,
		id: fmt.Sprintf("%016x", len(w.clients)+1), deadline: w.now.MS + budget,
	}
	w.clients = append(w.clients, c)
	w.byID[c.id] = c
	c.handler.Opened(c)
	login := append([]byte{0x0d, 0xa2, 0x0f, 0, 0, 0, 0, 1, 45},
		append(make([]byte, 23), "app\x00\x00warehouse\x00mysql_native_password\x00"...)...)
	c.handler.Data(mysqlPacket(1, login), w.now.MS)
	c.loggedIn = true
	c.handler.Data(mysqlPacket(0, fmt.Appendf([]byte{3}, "/* method=%s,rid=%s,budget=%.0f */ SELECT 1 FROM a_%d.b",
		interleavingClasses[class].Name, c.id, budget, class)), w.now.MS)
}

// mysqlPacket returns a MySQL packet with its header.
func mysqlPacket(seq byte, body []byte) []byte {
	return append([]byte{byte(len(body)), byte(len(body) >> 8), byte(len(body) >> 16), seq}, body...)
}
