package configclient

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"windflow/internal/decide/configlog"
)

// DefaultMaxPollWaitMS is the default of Config.MaxPollWaitMS, a third of the keepers' default lease.
const DefaultMaxPollWaitMS = 2000

// Config is the section keepers of the settings.
type Config struct {
	Addresses     []string `json:"addresses"` // of the keepers, in the form address:port
	Dir           string   `json:"dir"`       // where the copy of the last revision is saved
	MaxPollWaitMS int      `json:"hold_ms"`   // how long a keeper may keep a call open without a newer revision
}

// Revision is a revision of the configuration with its content. The entries must not be modified.
type Revision struct {
	Revision uint64                     `json:"revision"`
	Hash     configlog.Hash             `json:"hash"`
	Entries  map[string]json.RawMessage `json:"entries"`
}

// Apply puts a revision in force completely or not at all. It returns ErrSuperseded, ErrShuttingDown or an error that
// is reported to the keepers; if that is a *configerror.Error, its pointer is reported too.
type Apply func(Revision) error

// ErrSuperseded reports that a later revision, supplied by the other process of the router, is in force.
var ErrSuperseded = errors.New("a later revision is in force")

// ErrShuttingDown reports that the router shuts down. The revision is then not reported to the keepers.
var ErrShuttingDown = errors.New("the router is shutting down")

// Counters count events since startup, except the last two fields, which have current values.
type Counters struct {
	Polls           atomic.Int64 `status:"polls"`
	Changes         atomic.Int64 `status:"changes"`
	Rejected        atomic.Int64 `status:"refused"`
	FailedCalls     atomic.Int64 `status:"lost"`
	UnusableAnswers atomic.Int64 `status:"unfit"`
	CopyWriteErrors atomic.Int64 `status:"disk_failed"`
	CopiesSetAside  atomic.Int64 `status:"set_aside"`

	Revision         atomic.Int64 `status:"revision"` // in force
	RejectedRevision atomic.Int64 `status:"barred"`   // the latest one, until a later revision is in force; 0 for none
}
