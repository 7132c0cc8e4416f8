package main

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
	"time"

	"windflow/internal/settings"
)

// patience is how often and at what distance retry tries again: for two seconds in all.
const (
	patience = 40
	pause    = 50 * time.Millisecond
)

// sleep is replaced by tests.
var sleep = time.Sleep

// retry calls f until it succeeds, fails for a reason that does not pass by itself, or has had its chances. Two such
// reasons do: a file that is just being replaced, and an address that the program before this one has not given up yet.
func retry(f func() error) error {
	for try := 1; ; try++ {
		err := f()
		passes := errors.Is(err, settings.ErrNotJSON) || errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.EADDRINUSE)
		if !passes || try == patience {
			return err
		}
		sleep(pause)
	}
}

// readConfig reads the configuration.
func readConfig(path string) (cfg *settings.Node, err error) {
	err = retry(func() error {
		cfg, err = settings.ReadNode(path)
		return err
	})
	if err == nil && cfg.Control == "" {
		cfg.Control = os.Getenv("PROXY_CONTROL")
	}
	return cfg, err
}
