// Package flightsql is the Arrow Flight SQL side of the router: a front for clients that speak it, and a
// client for engines that do. Both keep the core's rules; neither decides anything.
package flightsql

// Config is the section flightsql of the settings (package site, whose schema says what is allowed).
type Config struct {
	Listen         string   `json:"listen"`
	EngineKinds    []string `json:"engine_kinds"`
	MaxConnections int      `json:"max_connections"`
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
