// Command windflow is one query router: MySQL clients in front, HTTP engines behind, the decisions of
// package brain between them.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"windflow/internal/board"
	"windflow/internal/clock"
	"windflow/internal/fetch"
	"windflow/internal/mysql"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

const (
	// memoryShare is the share of the memory limit that the runtime is told to keep within: stacks, the
	// poller's buffers and the kernel's view of freed pages need the rest.
	memoryShare = 0.7
	// reserved descriptors are for the listener, the board, the log and the poller.
	reserved = 64
	// graceMS is how long after SIGTERM requests may still come, in milliseconds; PROTOCOL says 600.
	graceMS = 1000.0
	// quietMS is how long nothing may have been open before the program ends after SIGTERM.
	quietMS = 200.0
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "windflow:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("PROXY_CONFIG: the path of the configuration is not set")
	}
	cfg, err := settings.ReadNode(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	known, last, err := board.ParseKnown(cfg.Known)
	if err != nil {
		return fmt.Errorf("%s: field known: %w", path, err)
	}
	decisions, err := cfg.Parsed.Config(cfg.SeedValue)
	if err != nil {
		return fmt.Errorf("%s: field settings: %w", path, err)
	}
	limit(cfg)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", cfg.Name)

	loop := router.NewLoop(clock.NewSystem())
	sockets := cfg.Limits.Sockets
	if sockets <= reserved*2 {
		sockets = 1024
	}
	r := &node{log: log, loop: loop}
	n, err := netio.New(loop, cfg.Listen, func() netio.Handler { return r.front.Accept() }, log)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	r.client = fetch.New(loop, n, fetch.Config{MaxConns: sockets/2 - reserved,
		ConnectTimeoutMS: float64(cfg.Parsed.Limits.ConnectTimeout) / 1e6,
		IdleMS:           float64(cfg.Parsed.Limits.ConnIdle) / 1e6}, log)
	if r.core, err = router.New(loop, decisions, r.client, log); err != nil {
		return fmt.Errorf("%s: field settings: %w", path, err)
	}
	r.front = mysql.NewFront(r.core, loop, sockets/2, r.status, log)
	r.core.Engines(known.Events, known.Addrs)
	names := board.Names{Zones: cfg.Parsed.Zones, Kinds: cfg.Parsed.Kinds}
	r.board = board.Follow(loop, n, cfg.Board, names, last,
		func(l board.List) { r.core.Engines(l.Events, l.Addrs) }, log)
	log.Info("ready", "listen", cfg.Listen, "engines", len(known.Events.Engines), "last_event", last)

	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			loop.Post(func() { r.signal(s) })
		}
	}()
	r.stop = make(chan struct{})
	loop.Run(r.stop)
	r.printCounters("counters at exit")
	n.Stop()
	return nil
}

// limit keeps the runtime within what the deployment gives.
func limit(cfg *settings.Node) {
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(cfg.Limits.Cores+0.5), 1))
	}
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB<<20) * memoryShare))
	}
}

// node is the running program; all of it belongs to the loop's goroutine.
type node struct {
	log      *slog.Logger
	loop     *router.Loop
	core     *router.Core
	client   *fetch.Client
	front    *mysql.Front
	board    *board.Follower
	stop     chan struct{}
	stopping sync.Once
	draining bool
	busyAt   float64
}

func (r *node) signal(s os.Signal) {
	if s == syscall.SIGUSR1 {
		r.printCounters("counters")
		return
	}
	if r.draining {
		return
	}
	r.draining = true
	r.log.Info("draining", "signal", s.String(), "open", r.core.Open())
	r.busyAt = r.loop.Now()
	r.loop.After(graceMS, r.drained)
}

// drained ends the program once nothing has been open for a while. Until then it goes on accepting and
// answering: what has come in whole on an accepted connection is taken, whenever it came.
func (r *node) drained() {
	now := r.loop.Now()
	if r.core.Open() > 0 || r.front.Busy() {
		r.busyAt = now
	}
	if now-r.busyAt >= quietMS {
		r.stopping.Do(func() { close(r.stop) })
		return
	}
	r.loop.After(20, r.drained)
}
