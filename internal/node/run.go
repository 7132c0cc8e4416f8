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

// configEnv is the environment variable with the path of the platform's configuration.
const configEnv = "PROXY_CONFIG"

// maxQueuedSignals is how many signals can wait to be handled.
const maxQueuedSignals = 16

// Options are the options of the command line.
type Options struct {
	Settings string // path of the installation's settings file; empty for none
	Debug    bool   // also log debug messages, such as each attempt that fails
	JSON     bool   // write the log as JSON
}

var errNoConfiguration = errors.New(configEnv + " is not set: expected the path of the configuration file")

// Run runs a router until it has shut down. The platform's configuration is the file that the environment variable
// PROXY_CONFIG names. The text of an error has one line for each fault, which names the file and the field.
func Run(opts Options) error {
	path := os.Getenv(configEnv)
	if path == "" {
		return errNoConfiguration
	}
	// Signals are caught from the beginning: one that arrives before the router is ready waits to be handled. Otherwise
	// the default action would kill the process.
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
	// In a goroutine of its own: the start needs few descriptors, and growing the table may take longer than a hot
	// restart is allowed to.
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
	go n.handleSignals(signals, reload) // runs until the process exits
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

// growDescriptorTableAtStart grows the descriptor table to the configured limit, and logs a failure.
func growDescriptorTableAtStart(cfg *settings.Node, log *slog.Logger) {
	if err := growDescriptorTable(cfg.Limits.Sockets); err != nil {
		log.Warn("descriptor table growth failed", "error", err)
	}
}

// handleSignals passes signals to the event loop. SIGHUP calls reload here, since it reads files and the loop must not
// wait for a disk.
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

// signal handles a signal in the event loop: SIGUSR1 logs the counters, any other one requests the process to end.
func (n *node) signal(received os.Signal) {
	if received != syscall.SIGUSR1 {
		n.restart.stopRequested()
		return
	}
	if n.services.built() {
		n.status.write("counters")
	}
}

// start starts a router without hot restart: it searches for no predecessor, and no successor can find it. The caller
// runs the event loop.
func start(cfg *settings.Node, site *installation.Settings, log *slog.Logger) (*node, error) {
	n := newNode(cfg, site, log)
	n.begin(false)
	return n, n.life.err
}
