package keeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

// Check validates the content that a change would produce, before the change is replicated. It returns nil if the
// content is valid.
type Check func(entries map[string]json.RawMessage) *configerror.Error

// Options configures one keeper. Optional fields that are zero get the default stated after the semicolon of their
// comment.
type Options struct {
	ID       string
	Cluster  string // name of the group, by which a folder of another group is recognized; "windflow"
	Dir      string
	HTTPAddr string // host:port to listen on for HTTP calls; required
	RaftAddr string // host:port to listen on for the other keepers; required
	Peers    []Peer // all keepers of the group, this one included
	Check    Check
	Log      *slog.Logger
	OnReady  func(httpAddr string) // if not nil, called once when HTTP calls are accepted

	// AcceptLoss lets a keeper that lost its folder vote at once. It is meant for the case that a majority has
	// permanently lost its folders; data that only those keepers stored is lost.
	AcceptLoss bool

	Heartbeat           time.Duration       // silence after which the leader counts as lost; 400 ms
	MaxPollWait         time.Duration       // how long a poll without wait_ms is kept open; 2 s
	LeaseDuration       time.Duration       // a follower that has not called for this time counts as missing; 6 s
	ChangeTimeout       time.Duration       // limit for a change, including all attempts; 5 s
	MaxWaitingFollowers int                 // limit of followers' polls that are open at once; 2,000
	Retention           configlog.Retention // limits of the history that is kept; 2,000 revisions, 16 MB
	SnapshotThreshold   uint64              // number of log entries after which a snapshot of the state is due; 1,024
	SnapshotInterval    time.Duration       // time between two checks for a due snapshot; 30 s
}

// withDefaults validates the options and returns them with defaults filled in. Errors name the flag at fault.
func (o Options) withDefaults() (Options, error) {
	if err := o.requireFields(); err != nil {
		return o, err
	}
	if err := validatePeers(o.Peers, o.ID); err != nil {
		return o, err
	}
	setDefault(&o.Cluster, "windflow")
	if !validName(o.Cluster) {
		return o, fmt.Errorf("--cluster: %q is not 1 to %d letters, digits, '.', '_' or '-'", o.Cluster, maxNameBytes)
	}
	setDefault(&o.Log, slog.Default())
	setDefault(&o.Heartbeat, 400*time.Millisecond)
	setDefault(&o.MaxPollWait, 2*time.Second)
	setDefault(&o.LeaseDuration, 6*time.Second)
	setDefault(&o.ChangeTimeout, 5*time.Second)
	setDefault(&o.MaxWaitingFollowers, 2000)
	setDefault(&o.Retention.Revisions, 2000)
	setDefault(&o.Retention.Bytes, 16<<20)
	setDefault(&o.SnapshotThreshold, 1024)
	setDefault(&o.SnapshotInterval, 30*time.Second)
	return o, nil
}

func (o Options) requireFields() error {
	switch {
	case o.ID == "":
		return errors.New("--id: is missing")
	case o.Dir == "":
		return errors.New("--dir: is missing")
	case o.HTTPAddr == "":
		return errors.New("--http: is missing; a keeper needs an address to listen on")
	case o.RaftAddr == "":
		return errors.New("--raft: is missing")
	case len(o.Peers) == 0:
		return errors.New("--peers: is missing")
	case len(o.Peers) > maxPeers:
		return fmt.Errorf("--peers: %d keepers are listed; at most %d are supported", len(o.Peers), maxPeers)
	case o.Check == nil:
		return errors.New("--base: is missing; changes are checked against it")
	}
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
