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

// Check validates the content that a change would result in, before the change gets a revision; nil accepts it.
type Check func(entries map[string]json.RawMessage) *configerror.Error

// Options configure one keeper. A field that is zero gets the default that its comment names.
type Options struct {
	ID       string
	Cluster  string // name of the group, so that a folder of another group is recognized; "windflow"
	Dir      string
	HTTPAddr string // host:port to listen on for HTTP calls; required
	RaftAddr string // host:port to listen on for the other keepers; required
	Peers    []Peer // the complete group, this keeper included
	Check    Check
	Log      *slog.Logger
	OnReady  func(httpAddr string) // called once, as soon as HTTP calls are accepted

	// AcceptLoss lets a keeper that lost its folder vote at once. It is meant for a majority that is lost for good:
	// what only the lost keepers stored is lost.
	AcceptLoss bool

	Heartbeat           time.Duration       // silence after which a leader is given up; 400 ms
	MaxPollWait         time.Duration       // how long a follower's call is kept open by default; 2 s
	LeaseDuration       time.Duration       // a follower that has not called for so long counts as gone; 6 s
	ChangeTimeout       time.Duration       // longest time for a change, with all attempts; 5 s
	MaxWaitingFollowers int                 // most followers' calls that are open at once; 2,000
	Retention           configlog.Retention // how much of the history is kept; 2,000 revisions, 16 MB
	SnapshotThreshold   uint64              // log entries between two snapshots of the state; 1,024
	SnapshotInterval    time.Duration       // time between two checks whether a snapshot is due; 30 s
}

// withDefaults checks the options and returns them with the defaults. Errors name the flag.
func (o Options) withDefaults() (Options, error) {
	if err := o.requireFields(); err != nil {
		return o, err
	}
	if err := validatePeers(o.Peers, o.ID); err != nil {
		return o, err
	}
	setDefault(&o.Cluster, "windflow")
	if !validName(o.Cluster) {
		return o, fmt.Errorf("--cluster: %q: 1 to %d letters, digits, '.', '_', '-'", o.Cluster, maxNameBytes)
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
		return errors.New("--http: is missing; without an address to listen at there is nothing to serve")
	case o.RaftAddr == "":
		return errors.New("--raft: is missing")
	case len(o.Peers) == 0:
		return errors.New("--peers: is missing")
	case len(o.Peers) > maxPeers:
		return fmt.Errorf("--peers: %d keepers, at most %d make sense", len(o.Peers), maxPeers)
	case o.Check == nil:
		return errors.New("--base: nothing to check changes against")
	}
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
