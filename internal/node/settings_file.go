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

// retry tries a file up to maxFileTries times, two seconds in all, and an address up to maxAddressTries times, 7.5 s in
// all, with retryInterval in between. The process that holds the address may be draining: that ends at the latest
// standaloneDeadlineCapMS and answerSlackMS after its signal, so that the router is still ready within the 10 s that a
// restart may take.
const (
	maxFileTries    = 40
	maxAddressTries = 150
	retryInterval   = 50 * time.Millisecond
)

// sleep is a variable so that tests can replace it.
var sleep = time.Sleep

// retry calls f until it succeeds, fails with an error that is not transient, or has been tried often enough; it
// returns the last error. Two errors are transient: a file that is being replaced, and an address that the previous
// process has not released yet.
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

// readPlatform reads the platform's configuration, and also returns the text of the file.
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

// completeFromEnvironment sets fields that the configuration leaves empty from environment variables.
func completeFromEnvironment(cfg *settings.Node) {
	if cfg.AdminAddress == "" {
		cfg.AdminAddress = os.Getenv("PROXY_CONTROL")
	}
}

// readSite reads the installation's settings. Without a file it returns empty settings: all parts are off.
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

// endpointNames returns the names of zones and kinds that discovery may use for endpoints.
func endpointNames(cfg *settings.Node) discovery.RecordNames {
	return discovery.RecordNames{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
}
