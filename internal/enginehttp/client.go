package enginehttp

import (
	"log/slog"

	"windflow/dispatch"
	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// sweepIntervalMS is the interval in milliseconds at which expired idle connections are closed.
	sweepIntervalMS = 1000.0
	// maxIdleMS is the longest time in milliseconds for which a connection is kept idle, even if the settings allow
	// more.
	maxIdleMS = 10_000.0
)

// Config contains the limits of a client.
type Config struct {
	MaxConns         int     // connections to all engines together
	ConnectTimeoutMS float64 // in milliseconds
	IdleMS           float64 // idle time after which engines close a connection, in milliseconds
}

// Counters counts the requests sent to engines and their failures.
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
	loop     *router.Loop
	log      *slog.Logger
	pool     *pool
	Counters Counters
}

// NewClient returns a client that opens its connections with the dialer and runs in the loop.
func NewClient(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Client {
	c := &Client{loop: loop, log: log}
	c.pool = &pool{loop: loop, dialer: dialer, counters: &c.Counters, idle: map[dispatch.EngineID][]*conn{}}
	c.Configure(cfg)
	c.sweep()
	return c
}

// Configure replaces the client's limits. Requests in flight are not affected.
func (c *Client) Configure(cfg Config) {
	c.pool.configure(cfg)
}

// sweep closes expired idle connections and schedules the next run.
func (c *Client) sweep() {
	c.pool.closeExpired()
	c.loop.After(sweepIntervalMS, c.sweep)
}

// ConnCount returns the number of connections that are open or being dialed.
func (c *Client) ConnCount() int { return c.pool.total }

// Forget implements router.EngineClient.
func (c *Client) Forget(e router.Engine) { c.pool.closeIdle(e.ID) }

// CancelUnstarted implements router.EngineClient.
func (c *Client) CancelUnstarted(e router.Engine) { c.pool.cancelUnstarted(e.ID) }
