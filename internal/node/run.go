package node

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"windflow/internal/installation"
	"windflow/internal/settings"
)

// configEnv names the variable with the path of the platform's configuration.
const configEnv = "PROXY_CONFIG"

// maxQueuedSignals is how many signals wait at most until the router handles them.
const maxQueuedSignals = 16

// Options are what the command line says.
type Options struct {
	Settings string // file of the installation's settings; empty for none
	Debug    bool   // log each attempt that does not end well
	JSON     bool   // log as JSON
}

var errNoConfiguration = errors.New(configEnv + ": the path of the configuration is not set")

// Run runs a router from its start to its end. The platform's configuration is the file that PROXY_CONFIG names. An
// error is one line for each fault, which names the file and the field.
func Run(opts Options) error {
	path := os.Getenv(configEnv)
	if path == "" {
		return errNoConfiguration
	}
	// Taken from the first on: a signal that arrives before the router is ready waits, where its default would end it.
	signals := make(chan os.Signal, maxQueuedSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGCONT)
	cfg, text, err := readPlatform(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	site, err := readSite(opts.Settings)
	if err != nil {
		return err
	}
	log, flush := opts.logger()
	defer flush()
	// Beside the start, which needs few: the wait may take longer than a hot restart may.
	go growDescriptorTableAtStart(cfg, log)
	n := newNode(cfg, site, log.With("name", cfg.Name))
	reloader := n.newReloader(path, opts.Settings)
	reload := reloader.reload
	if site.Keepers != nil {
		n.keepers = newKeeperSync(n, reloader, text)
		n.keepers.restore()
		reload = n.keepers.reload
	}
	n.begin(true)
	go n.handleSignals(signals, reload) // until the process ends
	n.loop.Run(n.life.done)
	if n.services.built() {
		n.status.write("counters at exit")
	}
	n.close()
	if n.life.err != nil {
		return fmt.Errorf("%s: %w", path, n.life.err)
	}
	return nil
}

func growDescriptorTableAtStart(cfg *settings.Node, log *slog.Logger) {
	if err := growDescriptorTable(cfg.Limits.Sockets); err != nil {
		log.Warn("descriptor table growth failed", "error", err)
	}
}

// handleSignals hands signals on to the loop. SIGHUP reads files here: the loop may not wait for a disk.
func (n *node) handleSignals(signals <-chan os.Signal, reload func()) {
	for received := range signals {
		switch received {
		case syscall.SIGHUP:
			reload()
		case syscall.SIGCONT:
			n.stalls.counters.Continued.Add(1)
		default:
			n.loop.Post(func() { n.signal(received) })
		}
	}
}

// signal handles a signal in the loop.
func (n *node) signal(received os.Signal) {
	if received != syscall.SIGUSR1 {
		n.restart.stopRequested()
		return
	}
	if n.services.built() {
		n.status.write("counters")
	}
}

// start begins a router that has no predecessor and can't be found by a successor; the caller runs the loop.
func start(cfg *settings.Node, site *installation.Settings, log *slog.Logger) (*node, error) {
	n := newNode(cfg, site, log)
	n.begin(false)
	return n, n.life.err
}
