package configclient

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"windflow/internal/decide/configlog"
)

// DefaultMaxPollWaitMS is a third of the keepers' usual lease.
const DefaultMaxPollWaitMS = 2000

// Config is the section of the settings.
type Config struct {
	Addresses     []string `json:"addresses"` // of the keepers, as address:port
	Dir           string   `json:"dir"`       // of the copy
	MaxPollWaitMS int      `json:"hold_ms"`   // how long a keeper may keep a call open while there is no newer revision
}

// Revision is the content of a revision. The entries must not be written to.
type Revision struct {
	Revision uint64                     `json:"revision"`
	Hash     configlog.Hash             `json:"hash"`
	Entries  map[string]json.RawMessage `json:"entries"`
}

// Apply puts a revision in force, completely or not at all. It returns ErrSuperseded, ErrShuttingDown or an error
// that is reported to the keepers, with the pointer of a *configerror.Error.
type Apply func(Revision) error

// ErrSuperseded reports that the router has a later revision in force, which its other process supplied.
var ErrSuperseded = errors.New("a later revision is in force")

// ErrShuttingDown reports that the router shuts down; nothing about the revision is reported to the keepers then.
var ErrShuttingDown = errors.New("the router ends")

// Counters count events since the start; the last two are current values.
type Counters struct {
	Polls           atomic.Int64 `status:"polls"`
	Changes         atomic.Int64 `status:"changes"`
	Rejected        atomic.Int64 `status:"refused"`
	FailedCalls     atomic.Int64 `status:"lost"`
	UnusableAnswers atomic.Int64 `status:"unfit"`
	CopyWriteErrors atomic.Int64 `status:"disk_failed"`
	CopiesSetAside  atomic.Int64 `status:"set_aside"`

	Revision         atomic.Int64 `status:"revision"` // in force
	RejectedRevision atomic.Int64 `status:"barred"`   // the latest, until a later one is in force; 0 for none
}
