// Package fetch reaches engines over HTTP/1.1: it starts a statement, asks for its news until it ends and
// collects the pages of its result. It resends nothing by itself: a POST is written once, whatever becomes
// of its connection; only questions about a query that was started are asked again.
package fetch

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"strconv"
	"strings"

	"windflow/brain"
	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// answerWithin is how long an engine may be silent on a call, in milliseconds: it answers a question
	// within 250 ms, if only with 'not yet over', and keeps a query for 2 s after the last question.
	answerWithin = 900.0
	// silentFor is how long an engine may leave all questions about a query unanswered.
	silentFor = 2000.0
	// askAgain is the wait between questions when one of them failed.
	askAgain = 50.0
	// freshFor is how recently a connection must have been heard from to carry what must not run twice: on
	// an older one it can't be told whether the engine still hears, where a new one proves it.
	freshFor = 200.0
)

// columns are the names given to the columns, which an engine's pages don't name.
var columns = []string{"c1", "c2", "c3"}

// Config bounds the client.
type Config struct {
	MaxConns         int
	ConnectTimeoutMS float64
	IdleMS           float64 // engines close idle connections after this time
}

// Counters count what was sent to engines and what came back.
type Counters struct {
	Posts, Polls, Pages, Priorities, Deletes, Dials int64
	BadAnswers, Broken, Silent, AskedAgain          int64
}

// Client implements router.EngineClient.
type Client struct {
	loop           *router.Loop
	dialer         netio.Dialer
	log            *slog.Logger
	pool           *pool
	connectTimeout float64
	idleFor        float64
	Counters       Counters
}

// New returns a client.
func New(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Client {
	c := &Client{loop: loop, dialer: dialer, log: log}
	c.pool = &pool{client: c, idle: map[brain.EngineID][]*conn{}}
	c.Configure(cfg)
	c.sweep()
	return c
}

// Configure has the client go by other bounds from now on; calls that are under way go on.
func (c *Client) Configure(cfg Config) {
	c.connectTimeout, c.idleFor = cfg.ConnectTimeoutMS, min(cfg.IdleMS/2, 10_000)
	c.pool.max = cfg.MaxConns
	c.pool.next()
}

func (c *Client) sweep() {
	c.pool.sweep()
	c.loop.After(1000, c.sweep)
}

// Conns is the number of connections that are open or coming up.
func (c *Client) Conns() int { return c.pool.total }

// Forget implements router.EngineClient.
func (c *Client) Forget(e router.Engine) { c.pool.forget(e.ID) }

// call is one HTTP request.
type call struct {
	engine  router.Engine
	bytes   []byte
	fresh   bool
	written bool
	done    bool
	conn    *conn
	timer   *router.Timer
	then    func(*response, error)
}

type badAnswer struct{ error }

var (
	errTimedOut = os.ErrDeadlineExceeded
	errSilent   = errors.New("no answer from the engine")
)

// do writes one HTTP request; then hears of the response, or of an error, unless the call is dropped.
func (c *Client) do(engine router.Engine, fresh bool, bytes []byte, then func(*response, error)) *call {
	k := &call{engine: engine, bytes: bytes, fresh: fresh, then: then}
	k.timer = c.loop.After(answerWithin, func() {
		c.Counters.Silent++
		k.abort(errSilent)
	})
	c.pool.submit(k)
	return k
}

// abort ends a call whose answer is not waited for any longer, with its connection.
func (k *call) abort(err error) {
	if k.done {
		return
	}
	if k.conn != nil {
		k.conn.call = nil
		k.conn.close()
	}
	k.finish(nil, err)
}

func (k *call) finish(r *response, err error) {
	if k.done {
		return
	}
	k.done = true
	k.timer.Stop()
	if k.then != nil {
		k.then(r, err)
	}
}

// query is one attempt: a statement that an engine was asked to run.
type query struct {
	c       *Client
	call    router.Call
	done    func(router.End)
	post    *call // the call that starts the statement
	current *call
	last    float64 // when the engine last answered
	pages   [][]byte
	parts   int
	work    float64 // what the engine says that it took
	need    float64
	rank    int // the priority that the engine was told
	over    bool
}

// Start implements router.EngineClient.
func (c *Client) Start(call router.Call, done func(router.End)) router.Attempt {
	q := &query{c: c, call: call, done: done, last: c.loop.Now(), rank: call.Priority}
	b := fmt.Appendf(nil, "POST /fetch HTTP/1.1\r\nHost: %s\r\nCall-Id: %s\r\nCall-Kind: %s\r\nCall-Ms: %d\r\n",
		call.Engine.Addr, call.ID, call.Class, max(int64(call.WaitMS), 1))
	if call.GrantMB > 0 {
		b = fmt.Appendf(b, "X-Mem-Limit: %d\r\n", int64(math.Ceil(call.GrantMB)))
	}
	b = fmt.Appendf(b, "X-Nice: %d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		call.Priority, len(call.Statement), call.Statement)
	c.Counters.Posts++
	q.post = c.do(call.Engine, call.Once, b, q.started)
	q.current = q.post
	return q
}

// Drop implements router.Attempt. Nothing is asked any more, so that the engine forgets the query; a call
// that is under way may end by itself, which keeps its connection.
func (q *query) Drop() {
	q.over = true
	if q.current != nil && !q.current.written {
		q.current.abort(nil)
	}
}

// Cancel implements router.Attempt. A query whose POST was never written has nothing to give up.
func (q *query) Cancel() {
	if q.over || !q.post.written {
		return
	}
	q.c.Counters.Deletes++
	q.c.do(q.call.Engine, false, fmt.Appendf(nil, "DELETE /fetch/%s HTTP/1.1\r\nHost: %s\r\n\r\n",
		q.call.ID, q.call.Engine.Addr), nil)
}

// SetPriority implements router.Attempt.
func (q *query) SetPriority(p int) {
	if q.over || p == q.rank {
		return
	}
	q.rank = p
	q.c.Counters.Priorities++
	body := strconv.Itoa(p)
	q.c.do(q.call.Engine, false, fmt.Appendf(nil, "PUT /fetch/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		q.call.ID, q.call.Engine.Addr, len(body), body), nil)
}

func (q *query) end(o brain.Outcome, detail string) {
	if q.over {
		return
	}
	q.over = true
	q.done(router.End{Outcome: o, Detail: detail})
}

// started takes the answer to the POST.
func (q *query) started(r *response, err error) {
	wrote := q.current.written
	switch {
	case q.over:
	case err == nil:
		q.news(r)
	case !wrote:
		// It was never written, or never connected: the one proof that a transport can give.
		q.end(brain.ConnectFailed, err.Error())
	default:
		// It may have begun. Whether it did is asked; the statement is not sent again.
		q.broken(err)
	}
}

// news takes an answer to a POST or to a question.
func (q *query) news(r *response) {
	if q.over {
		return
	}
	q.last = q.c.loop.Now()
	notBegun := r.header["not-begun"] == "1"
	switch {
	case r.status == 202:
		q.ask(0)
	case r.status == 200 && r.header["x-part-no"] == "":
		parts, err := strconv.Atoi(r.header["x-parts"])
		if err != nil || parts < 1 || parts > router.MaxResult {
			q.bad(fmt.Sprintf("X-Parts %.20q is no number of pages", r.header["x-parts"]))
			return
		}
		q.parts, q.work, q.need = parts, number(r.header["x-cpu-ms"]), number(r.header["x-mem-used"])
		q.page(r.body)
	case (r.status == 503 || r.status == 504) && notBegun:
		q.end(brain.Full, strconv.Itoa(r.status))
	case r.status == 500:
		q.end(brain.Errored, "500: "+clip(r.body))
	default:
		q.bad(fmt.Sprintf("status %d", r.status))
	}
}

// bad ends the attempt over an answer that no engine should give; it may have run.
func (q *query) bad(why string) {
	q.c.Counters.BadAnswers++
	q.c.log.Warn("bad answer from an engine", "engine", q.call.Engine.Addr, "rid", q.call.ID, "why", why)
	q.end(brain.Errored, why)
}

// ask asks for the news of the query, or for a page of its result.
func (q *query) ask(page int) {
	then := q.told
	if page > 0 {
		q.c.Counters.Pages++
	} else {
		q.c.Counters.Polls++
	}
	q.current = q.c.do(q.call.Engine, false, fmt.Appendf(nil, "GET /fetch/%s/%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		q.call.ID, page, q.call.Engine.Addr), func(r *response, err error) { then(page, r, err) })
}

// told takes the answer to a question.
func (q *query) told(page int, r *response, err error) {
	switch {
	case q.over:
	case err != nil:
		q.broken(err)
	case page == 0:
		q.news(r)
	case r.status == 200 && r.header["x-part-no"] == strconv.Itoa(page):
		q.last = q.c.loop.Now()
		q.page(r.body)
	case r.status == 500:
		q.end(brain.Errored, "500 for a page: "+clip(r.body))
	default:
		q.bad(fmt.Sprintf("status %d, X-Part-No %.10q for page %d", r.status, r.header["x-part-no"], page))
	}
}

// broken deals with a question, or a POST, whose answer did not come. Asking again runs nothing, so the
// question is put once more on another connection for as long as the engine may still know the query.
func (q *query) broken(err error) {
	var bad *badAnswer
	switch {
	case errors.As(err, &bad):
		q.bad(err.Error())
		return
	case errors.Is(err, netio.ErrNotConnected) && !errors.Is(err, errTimedOut):
		q.end(brain.Reset, "the engine takes no connections any more: "+err.Error())
		return
	case q.c.loop.Now()-q.last >= silentFor:
		q.end(brain.Reset, "silent: "+err.Error())
		return
	}
	q.c.Counters.Broken++
	q.c.loop.After(askAgain, func() {
		if !q.over {
			q.c.Counters.AskedAgain++
			q.ask(len(q.pages))
		}
	})
}

// page keeps a page and asks for the next one, or ends the attempt well.
func (q *query) page(body []byte) {
	q.pages = append(q.pages, body)
	if len(q.pages) < q.parts {
		q.ask(len(q.pages))
		return
	}
	result, err := parseRows(q.pages)
	if err != nil {
		q.bad(err.Error())
		return
	}
	result.WorkMS, result.NeedMB = q.work, q.need
	q.over = true
	q.done(router.End{Outcome: brain.Served, Result: result})
}

// number reads a figure of an engine; one that makes no sense counts as untold.
func number(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v < 1e9) {
		return 0
	}
	return v
}

// parseRows cuts the pages into rows of three columns.
func parseRows(pages [][]byte) (*router.Result, error) {
	size := 0
	for _, p := range pages {
		size += len(p)
	}
	if size > router.MaxResult {
		return nil, fmt.Errorf("a result of %d bytes", size)
	}
	r := &router.Result{Columns: columns}
	for _, p := range pages {
		text := string(p)
		for len(text) > 0 {
			row, rest, ok := strings.Cut(text, "\n")
			if !ok {
				return nil, errors.New("a page that ends within a row")
			}
			cells := strings.Split(row, "\t")
			if len(cells) != len(columns) {
				return nil, fmt.Errorf("a row of %d columns", len(cells))
			}
			for _, cell := range cells {
				r.Cells = append(r.Cells, router.Cell{Text: cell})
			}
			text = rest
		}
	}
	return r, nil
}

func clip(b []byte) string { return string(b[:min(len(b), 80)]) }
