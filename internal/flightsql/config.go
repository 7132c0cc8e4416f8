// Package flightsql is the Arrow Flight SQL side of the router: a front for clients that speak it, and a
// client for engines that do. Both keep the core's rules; neither decides anything.
package flightsql

import (
	"fmt"
	"net"

	"github.com/BurntSushi/toml"
)

// Config is what a file such as deploy/flightsql.toml holds.
type Config struct {
	Listen         string   `toml:"listen"`
	EngineKinds    []string `toml:"engine_kinds"`
	MaxConnections int      `toml:"max_connections"`
}

// ReadConfig reads a file; its error is one line that names the field.
func ReadConfig(path string) (Config, error) {
	c := Config{MaxConnections: 32}
	meta, err := toml.DecodeFile(path, &c)
	switch {
	case err != nil:
		return c, err
	case len(meta.Undecoded()) > 0:
		return c, fmt.Errorf("%s: unknown field %s", path, meta.Undecoded()[0])
	case c.MaxConnections < 1 || c.MaxConnections > 4096:
		return c, fmt.Errorf("%s: field max_connections: %d is not from 1 to 4096", path, c.MaxConnections)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return c, fmt.Errorf("%s: field listen: %q is no address:port", path, c.Listen)
	}
	return c, nil
}

// The metadata of the fields that only engines are told; the request's own are the router's Field names.
const (
	metaGrant    = "grant-mb"
	metaPriority = "priority"
	// metaNotBegun is the trailer by which an engine proves that a call never ran.
	metaNotBegun = "not-begun"
	metaWork     = "cpu-ms"
	metaNeed     = "mem-used"
	// metaBackoff and metaRetry are the front's advice to its clients.
	metaBackoff = "backoff-ms"
	metaRetry   = "retry"
	// maxMessage bounds one gRPC message of an engine.
	maxMessage = 256 << 10
)
