// Command windflow is one query router: MySQL clients in front, HTTP engines behind, the decisions of
// package brain between them.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"

	"windflow/brain"
	"windflow/internal/bgp"
	"windflow/internal/board"
	"windflow/internal/clock"
	"windflow/internal/control"
	"windflow/internal/decide/takeover"
	"windflow/internal/fetch"
	"windflow/internal/flightsql"
	"windflow/internal/mysql"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

const (
	// memoryShare is the share of the memory limit that the runtime is told to keep within: stacks, the
	// poller's buffers and the kernel's view of freed pages need the rest.
	memoryShare = 0.7
	// sessionShare is the share of the descriptors that client sessions may hold; clients use up to a third.
	sessionShare = 0.4
	// heldShare is the number of requests against the descriptors that may be held at once; see decisionsOf.
	heldShare = 1.0 / 12
	// reserved descriptors are for the listeners, the board, the log, the poller, operators, and connections that stand
	// twice for a moment while they pass from the system's dialer to the poller; a third of them all where they are few.
	reserved = 64
	// starting descriptors are left for a successor, which needs them before the two have met; they count together.
	starting = 40
	// flightEngines are reserved for connections to engines that speak Flight SQL, where that is on: one shared
	// one each, and up to flightLoads for what must not run twice.
	flightEngines = 64
	flightLoads   = 32
	// graceMS is how long after SIGTERM requests may still come, in milliseconds; PROTOCOL says 600.
	graceMS = 1000.0
	// After SIGTERM a kill comes no sooner than the longest deadline, counted as patienceAlone at most, or in an upgrade
	// as patienceUpgrade, and 700 ms. What is open is answered beforeKill after that deadline: before the kill does.
	patienceAlone   = 3000.0
	patienceUpgrade = 5000.0
	beforeKill      = 450.0
	// quietMS is how long nothing may have been open before the program ends after SIGTERM.
	quietMS = 200.0
)

func main() {
	var opts options
	flag.StringVar(&opts.flightSQL, "flightsql", "", "`file` that turns the Arrow Flight SQL front on, such as deploy/flightsql.toml")
	flag.StringVar(&opts.bgp, "bgp", "", "`file` that turns BGP announcements on, such as deploy/bgp.toml")
	flag.BoolVar(&opts.debug, "debug", false, "log each attempt that does not end well")
	flag.Parse()
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "windflow:", err)
		os.Exit(1)
	}
}

// options are what the command line says.
type options struct {
	flightSQL string
	bgp       string
	debug     bool
}

// extra holds the files that the command line names; a part without one is off.
type extra struct {
	flight    flightsql.Config
	neighbour bgp.Config
}

func (o options) read() (extra, error) {
	var e extra
	var err error
	if o.flightSQL != "" {
		if e.flight, err = flightsql.ReadConfig(o.flightSQL); err != nil {
			return e, err
		}
	}
	if o.bgp != "" {
		if e.neighbour, err = bgp.ReadConfig(o.bgp); err != nil {
			return e, err
		}
	}
	return e, nil
}

func run(opts options) error {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("PROXY_CONFIG: the path of the configuration is not set")
	}
	// Heard from the first on: a signal that comes before the router is ready waits, where its default would end it.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGCONT)
	cfg, err := readConfig(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	level := slog.LevelInfo
	if opts.debug {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("name", cfg.Name)
	r := newNode(cfg, opts, log)
	r.begin(true)
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGHUP:
				r.reload(path, opts) // reads the files here: the loop may not wait for a disk
				continue
			case syscall.SIGCONT:
				r.Continued.Add(1)
				continue
			}
			r.loop.Post(func() { r.signal(s) })
		}
	}()
	r.loop.Run(r.stop)
	if r.core != nil {
		r.printCounters("counters at exit")
	}
	r.close()
	if r.failed != nil {
		return fmt.Errorf("%s: %w", path, r.failed)
	}
	return nil
}

// newNode returns a router that has no parts yet.
func newNode(cfg *settings.Node, opts options, log *slog.Logger) *node {
	return &node{log: log, cfg: cfg, opts: opts, loop: router.NewLoop(clock.NewSystem()), stop: make(chan struct{})}
}

// start wires the parts of a router that takes over from none and is found by none; the caller runs the loop.
func start(cfg *settings.Node, opts options, log *slog.Logger) (*node, error) {
	r := newNode(cfg, opts, log)
	r.begin(false)
	return r, r.failed
}

// build wires the parts together. They accept no clients yet; operators are heard.
func (r *node) build() error {
	cfg, log := r.cfg, r.log
	known, last, err := board.ParseKnown(cfg.Known)
	if err != nil {
		return fmt.Errorf("field known: %w", err)
	}
	decisions, err := decisionsOf(cfg, cfg.SeedValue)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	if r.extra, err = r.opts.read(); err != nil {
		return err
	}
	flight := r.extra.flight
	if r.opts.flightSQL != "" {
		r.flightConns = flight.MaxConnections + flightEngines
	}
	b, err := r.bounds(cfg)
	if err != nil {
		return err
	}
	r.clients = &router.ByKind{}
	core, err := router.New(r.loop, decisions, r.clients, log)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	core.Claim = r.claimID
	core.Ids = func(n router.IDChange) { r.tell(msgID, n) }
	r.front = mysql.NewFront(core, r.loop, b.mysql, r.status, log)
	r.front.SetGeneration(r.generation)
	r.front.Elsewhere = r.kill
	if r.net, err = netio.New(r.loop, "", nil, log); err != nil {
		return err
	}
	r.net.SetMaxInbound(b.inbound)
	r.client = fetch.New(r.loop, r.net, b.fetch, log)
	r.clients.Other = r.client
	r.core = core
	wanted := []string{listenClients}
	if r.opts.flightSQL != "" {
		r.flightClient = flightsql.NewClient(r.loop, b.fetch.ConnectTimeoutMS, flightLoads, log)
		r.speakFlight(flight.EngineKinds)
		if r.flight, err = flightsql.New(flight, core, r.loop, cfg.SeedValue, r.generation, log); err != nil {
			return err
		}
		r.flight.SetClaim(r.claim)
		log.Info("flight sql front", "listen", flight.Listen, "engine_kinds", flight.EngineKinds)
		wanted = append(wanted, listenFlight)
	}
	if cfg.Control != "" {
		wanted = append(wanted, listenDoor)
	}
	for _, which := range wanted {
		if err := r.provide(which); err != nil {
			return err
		}
	}
	// The poller is up and may have posted connections; they are handled when the loop runs, after this.
	core.Engines(known.Events, known.Addrs)
	core.Adopt(slices.Sorted(maps.Keys(r.out)))
	r.board = board.Follow(r.loop, r.net, cfg.Board, namesOf(cfg), last,
		func(l board.List) { core.Engines(l.Events, l.Addrs) }, log)
	if r.opts.bgp != "" {
		if r.machine.Elder() != takeover.None && (r.machine.Phase() == takeover.Guarded || slices.Contains(r.handed.Parts, partBGP)) {
			r.bgp = bgp.Await(r.loop, r.net, r.extra.neighbour, log)
		} else {
			r.bgp = bgp.Start(r.loop, r.net, r.extra.neighbour, log)
		}
		r.bgp.Announce()
	}
	r.limit()
	return nil
}

// bounds are those of the configuration, or this process's part of them while another one stands for the same router.
func (r *node) bounds(cfg *settings.Node) (bounds, error) {
	b, err := boundsOf(cfg, r.flightConns)
	if s := r.machine.Share(); err == nil && s != takeover.Whole {
		r.part(&b, s)
	}
	return b, err
}

func (r *node) close() {
	r.closeUpgrade()
	if r.flight != nil {
		r.flight.Stop()
	}
	if r.net != nil {
		r.net.Stop()
	}
}

// bounds are what a configuration gives each part of the program.
type bounds struct {
	inbound int // bytes read and not yet handled
	mysql   mysql.Config
	fetch   fetch.Config
}

// boundsOf divides the descriptors; taken are those of parts that the configuration does not name.
func boundsOf(cfg *settings.Node, taken int) (bounds, error) {
	sockets := cfg.Limits.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	kept := min(reserved+starting, sockets/3)
	memory := cfg.Limits.MemoryMB << 20
	if memory == 0 {
		memory = 192 << 20
	}
	b := bounds{inbound: min(max(memory/16, 256<<10), 4<<20)}
	b.mysql = mysql.Config{MaxSessions: int(sessionShare * float64(sockets)), MaxBuffered: memory / 8}
	b.fetch = fetch.Config{MaxConns: sockets - b.mysql.MaxSessions - kept - taken,
		ConnectTimeoutMS: float64(cfg.Parsed.Limits.ConnectTimeout) / 1e6,
		IdleMS:           float64(cfg.Parsed.Limits.ConnIdle) / 1e6}
	if b.fetch.MaxConns < 16 {
		return b, fmt.Errorf("field limits.sockets: %d leaves no connections for engines", sockets)
	}
	return b, nil
}

// decisionsOf gives what the module is told. Clients hold at most a third of the descriptors: were most of that taken by
// queries that are held with little hope, new ones could not even be asked.
func decisionsOf(cfg *settings.Node, seed uint64) (brain.Config, error) {
	d, err := cfg.Parsed.Config(seed)
	d.MaxHeld = int(heldShare * float64(cfg.Limits.Sockets))
	return d, err
}

func namesOf(cfg *settings.Node) board.Names {
	return board.Names{Zones: cfg.Parsed.Zones, Kinds: cfg.Parsed.Kinds}
}

// limit keeps the runtime within what the deployment gives; two processes of one router have half of the memory each.
func (r *node) limit() {
	if cores := r.cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(int(cores+0.5), 1))
	}
	if memory := r.cfg.Limits.MemoryMB << 20; memory > 0 {
		if r.machine.Share() != takeover.Whole {
			memory /= 2
		}
		debug.SetMemoryLimit(int64(float64(memory) * memoryShare))
	}
}

// node is the running program; all of it belongs to the loop's goroutine.
type node struct {
	log          *slog.Logger
	cfg          *settings.Node // in force
	opts         options
	extra        extra // in force
	flightConns  int   // descriptors set aside for Flight SQL
	clients      *router.ByKind
	loop         *router.Loop
	net          *netio.Net
	core         *router.Core
	client       *fetch.Client
	front        *mysql.Front
	board        *board.Follower
	flight       *flightsql.Front // nil unless turned on
	flightClient *flightsql.Client
	bgp          *bgp.Speaker  // nil unless turned on
	door         *control.Door // nil unless turned on
	stop         chan struct{}
	stopping     sync.Once
	failed       error // why it can't serve
	busyAt       float64
	clientsAt    string          // where clients connect
	listening    *netio.Listener // for them; nil while this process does not accept
	upgrade
	stall
}

// reload reads the configuration again, and the files that the command line names, and hands them to the loop. One
// that can't be used has nothing changed.
func (r *node) reload(path string, opts options) {
	cfg, err := readConfig(path)
	var e extra
	if err == nil {
		e, err = opts.read()
	}
	r.loop.Post(func() {
		if err == nil && r.core == nil {
			r.cfg = cfg // it has nothing yet that goes by another one
		} else if err == nil {
			err = r.configure(cfg, e)
		}
		if err != nil {
			r.log.Error("reload refused", "file", path, "err", err)
		}
	})
}

// configure puts another configuration in force, whole or, where it can't be used, not at all. Open requests,
// sessions and connections are not touched. What can't change while running keeps its value, and the log names it.
func (r *node) configure(cfg *settings.Node, e extra) error {
	decisions, err := decisionsOf(cfg, r.cfg.SeedValue)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	b, err := r.bounds(cfg)
	if err != nil {
		return err
	}
	kept, err := r.core.Configure(decisions)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	for _, f := range []struct {
		name    string
		old     string
		changed *string
	}{{"name", r.cfg.Name, &cfg.Name}, {"listen", r.cfg.Listen, &cfg.Listen}, {"control", r.cfg.Control, &cfg.Control},
		{"flight sql listen", r.extra.flight.Listen, &e.flight.Listen}} {
		if f.old != *f.changed {
			kept, *f.changed = append(kept, f.name), f.old
		}
	}
	if n := r.extra.flight.MaxConnections; e.flight.MaxConnections != n {
		kept, e.flight.MaxConnections = append(kept, "flight sql max_connections"), n
	}
	r.apply(b)
	if r.flightClient != nil {
		r.flightClient.Configure(b.fetch.ConnectTimeoutMS)
		r.speakFlight(e.flight.EngineKinds)
	}
	if r.bgp != nil {
		r.bgp.Configure(e.neighbour)
	}
	r.board.Configure(cfg.Board, namesOf(cfg))
	r.cfg, r.extra = cfg, e
	r.limit()
	r.log.Info("reloaded", "board", cfg.Board, "sockets", cfg.Limits.Sockets, "memory_mb", cfg.Limits.MemoryMB)
	if len(kept) > 0 {
		r.log.Warn("unchanged until a restart", "fields", kept)
	}
	return nil
}

// apply has the parts go by bounds.
func (r *node) apply(b bounds) {
	r.net.SetMaxInbound(b.inbound)
	r.front.Configure(b.mysql)
	r.client.Configure(b.fetch)
}

// speakFlight has engines of these kinds reached over Flight SQL; attempts that are out go on as they are.
func (r *node) speakFlight(kinds []string) {
	r.clients.Kinds = map[string]router.EngineClient{}
	for _, kind := range kinds {
		r.clients.Kinds[kind] = r.flightClient
	}
}

func (r *node) signal(s os.Signal) {
	if s == syscall.SIGUSR1 {
		if r.core != nil {
			r.printCounters("counters")
		}
		return
	}
	r.step(takeover.Event{Kind: takeover.Stop})
}

// closeBy tells what is open when the process ends at the latest.
func (r *node) closeBy(patience float64) {
	if r.closing {
		return
	}
	r.closing = true
	longest := 0.0
	for _, k := range r.cfg.Parsed.Classes {
		longest = max(longest, float64(k.Deadline)/1e6)
	}
	r.core.Closing(max(r.since()+min(longest, patience)+beforeKill, r.loop.Now()))
}

// drain answers what comes until nothing is open: no other process is in this one's place.
func (r *node) drain() {
	r.log.Info("draining", "open", r.core.Open())
	r.leaving = false
	patience := patienceAlone
	if r.machine.Elder() != takeover.None || r.machine.Newer() != takeover.None {
		patience = patienceUpgrade
	}
	r.closeBy(patience)
	if r.bgp != nil {
		r.bgp.Withdraw() // first of all, so that new clients go elsewhere
	}
	r.busyAt = r.loop.Now()
	r.loop.After(graceMS, r.drained)
}

// drained ends the program once nothing has been open for a while. Until then it goes on accepting and
// answering: what has come in whole on an accepted connection is taken, whenever it came.
func (r *node) drained() {
	if r.machine.Phase() != takeover.Draining {
		return // another process accepts now
	}
	now := r.loop.Now()
	if r.core.Open() > 0 || r.front.Busy() || r.flight != nil && r.flight.Active() > 0 {
		r.busyAt = now
	}
	if now-r.busyAt >= quietMS {
		r.step(takeover.Event{Kind: takeover.Quiet})
		return
	}
	r.loop.After(20, r.drained)
}
