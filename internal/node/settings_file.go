package node

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
	"time"

	"windflow/internal/discovery"
	"windflow/internal/installation"
	"windflow/internal/settings"
)

// maxFileTries and retryInterval are how often and at what distance retry tries again: for two seconds in all for a
// file. An address is tried maxAddressTries times, since its holder may drain: that ends by patienceAloneMS and
// answerSlackMS after its signal, and the router is still ready within the 10 s that a restart has.
const (
	maxFileTries    = 40
	maxAddressTries = 150
	retryInterval   = 50 * time.Millisecond
)

// sleep is replaced by tests.
var sleep = time.Sleep

// retry calls f until it succeeds, fails for a reason that does not pass by itself, or has been tried often enough.
// Two reasons pass: a file that is just being replaced, and an address that the program before this one has not yielded
// up yet.
func retry(f func() error) error {
	for try := 1; ; try++ {
		err := f()
		addressInUse := errors.Is(err, syscall.EADDRINUSE)
		transient := addressInUse || errors.Is(err, settings.ErrNotJSON) || errors.Is(err, fs.ErrNotExist)
		if !transient || try >= maxAddressTries || !addressInUse && try >= maxFileTries {
			return err
		}
		sleep(retryInterval)
	}
}

// readPlatform reads the platform's configuration, and returns its text too.
func readPlatform(path string) (cfg *settings.Node, text []byte, err error) {
	err = retry(func() error {
		if text, err = os.ReadFile(path); err == nil {
			cfg, err = settings.ParseNode(text)
		}
		return err
	})
	if err == nil {
		completeFromEnvironment(cfg)
	}
	return cfg, text, err
}

// completeFromEnvironment adds what the environment has for a configuration.
func completeFromEnvironment(cfg *settings.Node) {
	if cfg.AdminAddress == "" {
		cfg.AdminAddress = os.Getenv("PROXY_CONTROL")
	}
}

// readSite reads the settings of the installation; without a file every part is off.
func readSite(path string) (*installation.Settings, error) {
	if path == "" {
		return &installation.Settings{}, nil
	}
	var site *installation.Settings
	err := retry(func() (err error) {
		site, err = installation.Read(path)
		return err
	})
	return site, err
}

// endpointNames are the names that the endpoint list may use.
func endpointNames(cfg *settings.Node) discovery.RecordNames {
	return discovery.RecordNames{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
}
