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

// This file is the stage of TestOrders: the real sessions, core, module and engine connections on a clock that the test
// drives, between stand-ins for clients' and engines' sockets, which hold back each event until the test lets it happen.

const (
	ordersDial   = 250.0 // ms
	ordersWindow = 600 * time.Millisecond
	ordersGone   = 100.0 // a client that has gone gets no attempt this long after
)

// stagePipe is a connection to an engine.
type stagePipe struct {
	w        *ordersWorld
	engine   int // as the address says
	h        netio.Handler
	up, shut bool
	spoilt   bool // it brought what belongs to no call, and must not be used again
	in       []byte
	begun    string // the id of a POST of which some has come
	asked    []string
	unread   []byte // sent by the engine and not yet heard
}

func (p *stagePipe) Write(b []byte) error {
	if p.shut || !p.up {
		return net.ErrClosed
	}
	if p.spoilt {
		p.w.bad("written to a connection that brought what belongs to no call: %.40q", b)
	}
	if len(p.in) == 0 && bytes.HasPrefix(b, []byte("POST")) {
		p.begun = header(string(b), "Call-Id")
		p.w.begins(p)
	}
	p.in = append(p.in, b...)
	for {
		head, rest, whole := strings.Cut(string(p.in), "\r\n\r\n")
		n, _ := strconv.Atoi(header(head, "Content-Length"))
		if !whole || len(rest) < n {
			return nil
		}
		p.asked = append(p.asked, head)
		switch post := p.w.post(idOf(head), p.engine); {
		case strings.HasPrefix(head, "GET"):
			post.asked = p.w.now.MS
		case strings.HasPrefix(head, "DELETE"):
			post.ended = true
		}
		p.in = append([]byte(nil), rest[n:]...)
		if p.begun != "" {
			p.w.ran(p)
			p.begun = ""
		}
	}
}

func (p *stagePipe) Close() {
	if !p.shut {
		p.shut = true
		p.w.loop.Post(func() { p.h.Closed(net.ErrClosed) })
	}
}
func (p *stagePipe) CloseGracefully()        { p.Close() }
func (p *stagePipe) HasUnread() bool         { return len(p.unread) > 0 }
func (p *stagePipe) Detach(f func(*os.File)) { f(nil) }
func (p *stagePipe) NotifyFlushed(f func())  { f() }

func header(head, name string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

// stageClient is a client's connection, with one request on it.
type stageClient struct {
	w       *ordersWorld
	h       netio.Handler
	id      string
	class   int
	session uint32
	gone    float64 // when it left, or cancelled; 0 while it waits
	shut    bool
	asked   bool
	end     float64
	answers int
	out     int // packets of the answer under way
	wrote   []byte
	posts   []*stagePost
}

// stagePost is a POST that has come whole to an engine.
type stagePost struct {
	at, asked float64
	engine    int
	never     bool // the engine has said that it never ran
	ended     bool // the engine has none of it any more
}

// out tells whether the engine may have it under way: it forgets a query that nobody asks for.
func (p *stagePost) out(now float64) bool { return !p.ended && !p.never && now < p.asked+2000 }

// post is the one of a client's id at an engine.
func (w *ordersWorld) post(id string, engine int) *stagePost {
	if c := w.byID[id]; c != nil {
		for _, post := range slices.Backward(c.posts) {
			if post.engine == engine {
				return post
			}
		}
	}
	return &stagePost{ended: true}
}

// idOf is the id that a call is about.
func idOf(head string) string {
	if id := header(head, "Call-Id"); id != "" {
		return id
	}
	_, path, _ := strings.Cut(head, "/fetch/")
	return path[:16]
}

// mayHaveRun is the first attempt that may have run.
func (c *stageClient) mayHaveRun() *stagePost {
	for _, post := range c.posts {
		if !post.never {
			return post
		}
	}
	return nil
}

func (c *stageClient) Write(b []byte) error {
	if c.shut {
		return net.ErrClosed
	}
	c.wrote = append(c.wrote, b...)
	for len(c.wrote) >= 4 {
		n := int(c.wrote[0]) | int(c.wrote[1])<<8 | int(c.wrote[2])<<16
		if len(c.wrote) < 4+n {
			break
		}
		c.packet(c.wrote[4 : 4+n])
		c.wrote = c.wrote[4+n:]
	}
	return nil
}

// packet counts answers to the query: an error, or a result set, which ends in its second EOF.
func (c *stageClient) packet(body []byte) {
	switch {
	case !c.asked:
		if c.session == 0 && body[0] == 10 {
			at := bytes.IndexByte(body, 0) + 1
			c.session = uint32(body[at]) | uint32(body[at+1])<<8 | uint32(body[at+2])<<16 | uint32(body[at+3])<<24
		}
	case body[0] == 0xff:
		c.answers++
	case body[0] == 0xfe && len(body) < 9:
		if c.out++; c.out == 2 {
			c.answers, c.out = c.answers+1, 0
		}
	}
}

func (c *stageClient) Close() {
	if !c.shut {
		c.shut = true
		c.w.loop.Post(func() { c.h.Closed(net.ErrClosed) })
	}
}
func (c *stageClient) CloseGracefully()        { c.Close() }
func (c *stageClient) HasUnread() bool         { return false }
func (c *stageClient) Detach(f func(*os.File)) { f(nil) }
func (c *stageClient) NotifyFlushed(f func())  { f() }

type ordersWorld struct {
	t       *rapid.T
	now     *clock.Manual
	loop    *router.Loop
	core    *router.Core
	client  *enginehttp.Client
	front   *mysql.Front
	pipes   []*stagePipe
	clients []*stageClient
	byID    map[string]*stageClient
	closed  map[int]float64 // engines to which nothing new may go, and since when
	at      map[dispatch.EngineID]int
	banned  map[dispatch.EngineID]float64 // since when
	rev     int
	alone   bool // no second copy is allowed
}

var ordersClasses = []dispatch.Class{
	{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
	{Name: "keyed", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1, Semantics: dispatch.IdempotentByKey, IdempotencyWindow: ordersWindow},
	{Name: "load", LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Threads: 2, LocksTableGroup: true, Semantics: dispatch.AtMostOnce},
}

func newOrdersWorld(t *rapid.T) *ordersWorld {
	w := &ordersWorld{t: t, now: &clock.Manual{MS: 1e9}, byID: map[string]*stageClient{}, closed: map[int]float64{}, at: map[dispatch.EngineID]int{}, banned: map[dispatch.EngineID]float64{}}
	w.loop = router.NewLoop(w.now)
	log := slog.New(slog.DiscardHandler)
	clients := &router.ByKind{}
	w.alone = rapid.Bool().Draw(t, "no second copies")
	core, err := router.New(w.loop, dispatch.Config{
		Routers: 1, HedgingAllowed: !w.alone, Tick: 5 * time.Millisecond, MaxAttempts: 4, RetryAfterAllowed: true,
		MaxRetryAfter: 2 * time.Second, Priorities: true, Kinds: []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}}, Classes: ordersClasses,
		CancelAllowed: rapid.Bool().Draw(t, "cancels"), WarmUpInitialShare: 0.4, WarmUpDuration: 5 * time.Second, WarmUpOverloadFactor: 2, WarmUpOverloadWindow: time.Second,
	}, clients, log)
	if err != nil {
		t.Fatal(err)
	}
	w.core = core
	w.client = enginehttp.NewClient(w.loop, w, enginehttp.Config{MaxConns: rapid.IntRange(2, 6).Draw(t, "connections"), ConnectTimeoutMS: ordersDial, IdleMS: 8000}, log)
	clients.Default = w.client
	w.front = mysql.NewFront(core, w.loop, mysql.Config{MaxSessions: 64, MaxBuffered: 1 << 20}, func() [][2]string { return nil }, log)
	for id := range 3 {
		w.list(dispatch.EngineID(id+1), dispatch.Live)
	}
	return w
}

func (w *ordersWorld) bad(f string, args ...any) { w.t.Fatalf(f, args...) }

func (w *ordersWorld) run() {
	for w.loop.Step() {
	}
}

func (w *ordersWorld) wait(ms float64) {
	for end := w.now.MS + ms; w.now.MS < end; w.now.MS++ {
		w.run()
	}
}

// Dial implements netio.Dialer.
func (w *ordersWorld) Dial(addr string, timeout float64, h netio.Handler) netio.Conn {
	n, _ := strconv.Atoi(addr)
	p := &stagePipe{w: w, engine: n, h: h}
	w.pipes = append(w.pipes, p)
	w.loop.After(timeout, func() {
		if !p.up && !p.shut {
			p.shut = true
			p.h.Closed(errors.Join(netio.ErrNotConnected, os.ErrDeadlineExceeded))
		}
	})
	return p
}

// list tells of an engine; one that comes anew does so at another address.
func (w *ordersWorld) list(id dispatch.EngineID, state dispatch.EndpointState) {
	if state == dispatch.Live && w.at[id] == 0 || state == dispatch.Live && w.closed[w.at[id]] > 0 {
		w.rev++
		w.at[id] = w.rev
	}
	if state != dispatch.Live {
		w.closed[w.at[id]] = w.now.MS
	}
	w.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListIncremental, Endpoints: []dispatch.Endpoint{{ID: id, Kind: "k", Zone: "z", CapacityWeight: 1, State: state}}},
		map[dispatch.EngineID]string{id: strconv.Itoa(w.at[id])})
}

// begins checks a POST whose first byte is written.
func (w *ordersWorld) begins(p *stagePipe) {
	c := w.byID[p.begun]
	for id, since := range w.banned {
		if w.at[id] == p.engine && w.now.MS > since {
			w.bad("%s begins at an engine %.0f ms after its ban", c.id, w.now.MS-since)
		}
	}
	switch now := w.now.MS; {
	case c.gone > 0 && now > c.gone+ordersGone:
		w.bad("%s begins %.0f ms after its client has gone", c.id, now-c.gone)
	case c.answers > 0:
		w.bad("%s begins after its answer", c.id)
	case w.closed[p.engine] > 0 && now > w.closed[p.engine]:
		w.bad("%s begins at an engine %.0f ms after word of its end", c.id, now-w.closed[p.engine])
	case now > c.end:
		w.bad("%s begins after its end", c.id)
	case ordersClasses[c.class].Semantics == dispatch.IdempotentByKey && c.mayHaveRun() != nil && now > c.mayHaveRun().at+clock.Millis(ordersWindow):
		w.bad("%s begins %.0f ms after its first attempt", c.id, now-c.mayHaveRun().at)
	}
}

// ran checks a POST that has come whole.
func (w *ordersWorld) ran(p *stagePipe) {
	c := w.byID[p.begun]
	if ordersClasses[c.class].Semantics == dispatch.AtMostOnce && c.mayHaveRun() != nil {
		w.bad("load %s has come whole twice", c.id)
	}
	for _, post := range c.posts {
		if w.alone && post.out(w.now.MS) {
			w.bad("%s has come to engine %d while engine %d may have it", c.id, p.engine, post.engine)
		}
		if post.engine == p.engine { // the engine takes it for the same query
			post.ended = true
		}
	}
	c.posts = append(c.posts, &stagePost{at: w.now.MS, asked: w.now.MS, engine: p.engine})
}

// ask has a new client log in and ask.
func (w *ordersWorld) ask(class int, budget float64) {
	c := &stageClient{w: w, h: w.front.NewSession(), class: class, id: fmt.Sprintf("%016x", len(w.clients)+1), end: w.now.MS + budget}
	w.clients = append(w.clients, c)
	w.byID[c.id] = c
	c.h.Opened(c)
	login := append([]byte{0x0d, 0xa2, 0x0f, 0, 0, 0, 0, 1, 45}, append(make([]byte, 23), "app\x00\x00warehouse\x00mysql_native_password\x00"...)...)
	c.h.Data(packetOf(1, login), w.now.MS)
	c.asked = true
	c.h.Data(packetOf(0, fmt.Appendf([]byte{3}, "/* method=%s,rid=%s,budget=%.0f */ SELECT 1 FROM a_%d.b", ordersClasses[class].Name, c.id, budget, class)), w.now.MS)
}

func packetOf(seq byte, body []byte) []byte {
	return append([]byte{byte(len(body)), byte(len(body) >> 8), byte(len(body) >> 16), seq}, body...)
}
