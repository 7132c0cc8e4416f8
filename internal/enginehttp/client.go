package enginehttp

import (
	"log/slog"

	"windflow/dispatch"
	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// sweepIntervalMS is the time between two searches for idle connections to close.
	sweepIntervalMS = 1000.0
	// maxIdleMS bounds the time for which a connection is kept idle, whatever the settings say.
	maxIdleMS = 10_000.0
)

// Config bounds the client.
type Config struct {
	MaxConns         int
	ConnectTimeoutMS float64
	IdleMS           float64 // engines close idle connections after this time
}

// Counters count the requests sent to engines and their results.
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

// NewClient returns a client that dials with the dialer.
func NewClient(loop *router.Loop, dialer netio.Dialer, cfg Config, log *slog.Logger) *Client {
	c := &Client{loop: loop, log: log}
	c.pool = &pool{loop: loop, dialer: dialer, counters: &c.Counters, idle: map[dispatch.EngineID][]*conn{}}
	c.Configure(cfg)
	c.sweep()
	return c
}

// Configure replaces the client's bounds; requests in flight are not affected.
func (c *Client) Configure(cfg Config) {
	c.pool.configure(cfg)
}

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
