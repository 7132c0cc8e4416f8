// Package node is a running router: it wires the parts together, hears signals, and goes from its start to its end. A
// subsystem adds itself in one place, as a part (part.go).
package node

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"

	"windflow/internal/admin"
	"windflow/internal/clock"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/discovery"
	"windflow/internal/enginehttp"
	"windflow/internal/installation"
	"windflow/internal/mysql"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

const (
	// memoryShare is the share of the memory limit that the runtime is told to keep within: stacks, the
	// poller's buffers and the kernel's view of freed pages need the rest.
	memoryShare = 0.7
	// graceMS is how long after SIGTERM requests may still come, in milliseconds; PROTOCOL says 600.
	graceMS = 1000.0
	// After SIGTERM a kill comes no sooner than the longest deadline, counted as patienceAlone at most, or in an upgrade
	// as patienceUpgrade, and 700 ms. What is open is answered beforeKill after that deadline: before the kill does.
	patienceAlone   = 3000.0
	patienceUpgrade = 5000.0
	beforeKill      = 450.0
	// quietMS is how long nothing may have been open before the program ends after SIGTERM.
	quietMS = 200.0
	// endWithin is how long clients have to close when the program ends, and lateEnd how long past the time at which all is
	// answered at the latest: the kill comes 250 ms after that.
	endWithin, lateEnd = 300.0, 120.0
)

// Options are what the command line says.
type Options struct {
	Settings string // file of the installation's settings; empty for none
	Debug    bool   // log each attempt that does not end well
	JSON     bool   // log as JSON
}

// logger is the program's, and what has its last lines written.
func (o Options) logger() (log *slog.Logger, flush func()) {
	out := newLines(os.Stderr)
	level := slog.LevelInfo
	if o.Debug {
		level = slog.LevelDebug
	}
	how := &slog.HandlerOptions{Level: level}
	if log = slog.New(slog.NewTextHandler(out, how)); o.JSON {
		log = slog.New(slog.NewJSONHandler(out, how))
	}
	out.tell = func(n int64) { log.Warn("log lines were dropped", "lines", n) }
	return log, out.flush
}

// Run is a router from its start to its end. The platform's configuration is the file that PROXY_CONFIG names. An error
// is one line for each fault, which names the file and the field.
func Run(opts Options) error {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("PROXY_CONFIG: the path of the configuration is not set")
	}
	// Heard from the first on: a signal that comes before the router is ready waits, where its default would end it.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGCONT)
	cfg, text, err := readOwn(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	own, err := readSite(opts.Settings)
	if err != nil {
		return err
	}
	log, flush := opts.logger()
	defer flush()
	go func() { // beside the start, which needs few: the wait may take longer than an upgrade may
		if _, err := growTable(cfg.Limits.Sockets); err != nil {
			log.Warn("the table of descriptors was not grown", "err", err)
		}
	}()
	r := newNode(cfg, own, opts, log.With("name", cfg.Name))
	if own.Keepers != nil {
		r.keepers = newKeepers(r, path, text)
		r.keepers.restore()
	}
	r.begin(true)
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGHUP:
				r.reload(path) // reads the files here: the loop may not wait for a disk
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

// node is the running program; all of it belongs to the loop's goroutine.
type node struct {
	log       *slog.Logger
	cfg       *settings.Node         // in force
	site      *installation.Settings // in force
	opts      Options
	parts     []*part // that are on
	clients   *router.ByKind
	loop      *router.Loop
	net       *netio.Poller
	core      *router.Core
	client    *enginehttp.Client
	front     *mysql.Front
	board     *discovery.Watcher
	door      *admin.Server // nil unless turned on
	stop      chan struct{}
	stopping  sync.Once
	failed    error // why it can't serve
	busyAt    float64
	closeAt   float64         // when what is open has been answered, once that is known
	endBy     float64         // when the connections that finish are given up; 0 until the end has begun
	clientsAt string          // where clients connect
	listening *netio.Listener // for them; nil while this process does not accept
	records   records
	keepers   *keepers // nil unless turned on
	upgrade
	stall
}

// newNode returns a router that has nothing yet.
func newNode(cfg *settings.Node, own *installation.Settings, opts Options, log *slog.Logger) *node {
	r := &node{log: log, cfg: cfg, site: own, opts: opts, loop: router.NewLoop(clock.NewSystem()), stop: make(chan struct{})}
	if own.Records != nil {
		r.log = r.records.tee(log, r.loop.Now)
	}
	return r
}

// start wires the parts of a router that takes over from none and is found by none; the caller runs the loop.
func start(cfg *settings.Node, own *installation.Settings, log *slog.Logger) (*node, error) {
	r := newNode(cfg, own, Options{}, log)
	r.begin(false)
	return r, r.failed
}

// build wires the parts together. They accept no clients yet; operators are heard.
func (r *node) build() error {
	cfg, log := r.cfg, r.log
	known, last, err := settings.ParseEndpoints(cfg.KnownEndpoints)
	if err != nil {
		return fmt.Errorf("field known: %w", err)
	}
	decisions, err := validate.DispatchConfig(cfg, cfg.SeedValue)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	for _, make := range makers {
		if p := make(r); p != nil {
			r.parts = append(r.parts, p)
		}
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
	core.ClaimID = r.claimID
	core.OnIDChange = func(n router.IDChange) { r.tell(msgID, n) }
	r.front = mysql.NewFront(core, r.loop, b.mysql, r.status, log)
	r.front.SetGeneration(r.generation)
	r.front.RemoteKill = r.kill
	if r.net, err = netio.New(r.loop, "", nil, log); err != nil {
		return err
	}
	r.net.SetMaxInbound(b.inbound)
	r.client = enginehttp.NewClient(r.loop, r.net, b.fetch, log)
	r.clients.Default = r.client
	r.core = core
	for _, p := range r.parts {
		if p.start == nil {
			continue
		}
		if err := p.start(b); err != nil {
			return fmt.Errorf("/%s: %w", p.name, err)
		}
	}
	for _, l := range r.listeners() {
		if err := r.provide(l); err != nil {
			return err
		}
	}
	// The poller is up and may have posted connections; they are handled when the loop runs, after this.
	core.UpdateEndpoints(known.Events, known.Addresses)
	core.AdoptCordons(slices.Sorted(maps.Keys(r.out)))
	r.board = discovery.Watch(r.loop, r.net, cfg.DiscoveryAddress, namesOf(cfg), last,
		func(l discovery.Update) { core.UpdateEndpoints(l.Events, l.Addresses) }, cfg.SeedValue, log)
	r.limit()
	return nil
}

func (r *node) close() {
	r.closeUpgrade()
	for _, p := range r.parts {
		if p.stop != nil {
			p.stop()
		}
	}
	if r.net != nil {
		r.net.Stop()
	}
}

func (r *node) signal(s os.Signal) {
	if s == syscall.SIGUSR1 {
		if r.core != nil {
			r.printCounters("counters")
		}
		return
	}
	r.step(hotrestart.Event{Kind: hotrestart.EventStopRequested})
}
