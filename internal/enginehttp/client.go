// Package enginehttp reaches engines over HTTP/1.1: it starts a statement, asks for its news until it ends and
// collects the pages of its result. It resends nothing by itself: a POST is written once, whatever becomes
// of its connection; only questions about a query that was started are asked again.
package enginehttp

import (
	"errors"
	"log/slog"
	"os"

	"windflow/dispatch"
	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// answerWithin is how long an engine may be silent on a call once that is written, in milliseconds: it answers a
	// question within 250 ms, if only with 'not yet over', and keeps a query for 2 s after the last question.
	answerWithin = 320.0
	// overWithin is how long an engine may be silent on the first question after a POST that it left without an answer: of
	// a query that is over it tells at once.
	overWithin = 100.0
	// silentFor is how long an engine may leave all questions about a query unanswered before the attempt counts as
	// lost; silentForOnce is the same for what must not run twice: nobody else can do that in its place, so that
	// the engine is asked for as long as it may still know the query.
	silentFor     = 1000.0
	silentForOnce = 2000.0
	// forgets is how long after the last question an engine has forgotten a query, with room for the road.
	forgets = 2150.0
	// askAgain is the wait between questions when two in a row failed.
	askAgain = 50.0
	// maxBad is how many answers in a row may be spoilt before the attempt ends.
	maxBad = 4
	// holdBack is how long the last byte of what must not run twice is held back, in milliseconds: a few round trips.
	// An engine can't run a statement that has not come whole, so a connection that is reset before then, as new
	// ones may be, has proven that nothing ran.
	holdBack = 10.0
	// restFor is how long a connection rests between two queries, in milliseconds. Answers carry no id: what an
	// engine sends beyond an answer would pass for the answer to the next call, were that written at once. What
	// comes in the rest shows that the connection is of no further use. Calls about one query follow each other
	// without a rest: their answers tell a page from the news and one page from another.
	restFor = 50.0
)

// Config bounds the client.
type Config struct {
	MaxConns         int
	ConnectTimeoutMS float64
	IdleMS           float64 // engines close idle connections after this time
}

// Counters count what was sent to engines and what came back.
type Counters struct {
	Posts        int64 `status:"posts"`
	Polls        int64 `status:"polls"`
	Pages        int64 `status:"pages"`
	Priorities   int64 `status:"priorities"`
	Deletes      int64 `status:"deletes"`
	Dials        int64 `status:"dials"`
	BadResponses int64 `status:"bad_answers"`
	Unanswered   int64 `status:"broken"`
	TimedOut     int64 `status:"silent"`
	Retries      int64 `status:"asked_again"`
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

// NewClient returns a client.
func NewClient(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Client {
	c := &Client{loop: loop, dialer: dialer, log: log}
	c.pool = &pool{client: c, idle: map[dispatch.EngineID][]*conn{}}
	c.Configure(cfg)
	c.sweep()
	return c
}

// Configure has the client go by other bounds from now on; calls that are under way go on.
func (c *Client) Configure(cfg Config) {
	c.connectTimeout, c.idleFor = cfg.ConnectTimeoutMS, min(cfg.IdleMS/2, 10_000)
	c.pool.max = cfg.MaxConns
	for c.pool.total > c.pool.max && c.pool.evict() {
	}
	c.pool.next()
}

func (c *Client) sweep() {
	c.pool.sweep()
	c.loop.After(1000, c.sweep)
}

// ConnCount is the number of connections that are open or coming up.
func (c *Client) ConnCount() int { return c.pool.total }

// Forget implements router.EngineClient.
func (c *Client) Forget(e router.Engine) { c.pool.forget(e.ID) }

// CancelUnstarted implements router.EngineClient.
func (c *Client) CancelUnstarted(e router.Engine) { c.pool.withhold(e.ID) }

// call is one HTTP request.
type call struct {
	engine  router.Engine
	about   *query // the query that it is about
	text    []byte
	fresh   bool    // it needs a new connection
	later   bool    // it may wait behind the others
	within  float64 // how long its answer may take; answerWithin where 0
	begins  bool    // it starts the statement
	once    bool    // its last byte is held back; see holdBack
	begun   bool    // some of it was written
	written bool    // all of it was
	done    bool
	conn    *conn
	timer   *router.Timer // from when it was written
	then    func(*response, error)
}

type badAnswer struct{ error }

var (
	errTimedOut = os.ErrDeadlineExceeded
	errSilent   = errors.New("no answer from the engine")
)

// do writes one HTTP request; its then hears of the response, or of an error, unless the call is dropped.
func (c *Client) do(k *call) *call {
	c.pool.submit(k)
	return k
}

// latest is when a call has to begin at the latest; 0 where it may at any time.
func (k *call) latest() float64 {
	if !k.begins {
		return 0
	}
	return k.about.call.LatestStartMS
}

// wrote starts the wait for the answer.
func (k *call) wrote(c *Client) {
	k.written = true
	if k.begins {
		k.about.last = c.loop.Now()
		if k.about.call.OnSent != nil {
			k.conn.c.NotifyFlushed(k.about.call.OnSent)
		}
	}
	within := answerWithin
	if k.within > 0 {
		within = k.within
	}
	k.timer = c.loop.After(within, func() {
		c.Counters.TimedOut++
		k.abort(errSilent)
	})
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
