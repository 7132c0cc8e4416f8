// Package keeper holds the routers' configuration by revision. Up to five keepers on the control machines hold one log
// of revisions (package rollout decides what is in it), replicated by hashicorp/raft; they take changes from operators
// and hand them to the routers, by HTTP. See docs/configuration.md and docs/design/keepers.md.
package keeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"windflow/internal/decide/configlog"
)

// mostPeers bounds a group of keepers; more make each change slower and none safer in practice.
const mostPeers = 5

// mostID bounds a keeper's id and a cluster's name, in bytes.
const mostID = 64

// Peer is one keeper of the group, as the others reach it.
type Peer struct {
	ID       string
	RaftAddr string // host:port of the replication
	HTTPAddr string // host:port of the calls
}

// Check looks at the content that a change would give, before the change gets a revision; nil lets it pass.
type Check func(entries map[string]json.RawMessage) *configlog.ChangeError

// Options are what one keeper is started with. Fields that are 0 get the value that their line names.
type Options struct {
	ID       string
	Cluster  string // of the group, so that another group's folder is known as foreign; "windflow"
	Dir      string
	HTTPAddr string // host:port to listen at for calls; required
	RaftAddr string // host:port to listen at for the other keepers; required
	Peers    []Peer // the whole group, this keeper among them
	Check    Check
	Log      *slog.Logger
	OnReady  func(http string) // called once when calls are accepted, with the address

	// AcceptLoss lets a keeper that lost its folder vote at once. It is for a majority that is lost for good: what only the
	// lost ones held is given up.
	AcceptLoss bool

	Heartbeat           time.Duration       // a leader that is silent for so long is given up; 400 ms
	MaxPollWait         time.Duration       // longest hold of a follower's call; 2 s
	LeaseDuration       time.Duration       // a follower that has not called for so long counts as gone; 6 s
	ChangeTimeout       time.Duration       // longest time for a change, with all tries; 5 s
	MaxWaitingFollowers int                 // followers' calls held at once at most; 2,000
	Retention           configlog.Retention // how much of the past is kept; 2,000 revisions, 16 MB
	SnapshotThreshold   uint64              // entries between two snapshots of the state; 1,024
	SnapshotInterval    time.Duration       // how often it is looked whether a snapshot is due; 30 s
}

// ParsePeers reads `k1=RAFT/HTTP,k2=RAFT/HTTP`.
func ParsePeers(text string) ([]Peer, error) {
	var peers []Peer
	for part := range strings.SplitSeq(text, ",") {
		id, addresses, ok := strings.Cut(part, "=")
		raft, http, both := strings.Cut(addresses, "/")
		if !ok || !both || id == "" {
			return nil, fmt.Errorf("--peers: %q is not ID=RAFT/HTTP", part)
		}
		for _, a := range []string{raft, http} {
			if err := address(a); err != nil {
				return nil, fmt.Errorf("--peers: %s: %w", id, err)
			}
		}
		peers = append(peers, Peer{ID: id, RaftAddr: raft, HTTPAddr: http})
	}
	return peers, nil
}

func address(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return err
	}
	if host == "" || port == "" || port == "0" {
		return fmt.Errorf("address %q needs a host and a port", a)
	}
	return nil
}

// withDefaults checks the options and gives them with the defaults. Errors name the flag.
func (o Options) withDefaults() (Options, error) {
	switch {
	case o.ID == "":
		return o, errors.New("--id: is missing")
	case o.Dir == "":
		return o, errors.New("--dir: is missing")
	case o.HTTPAddr == "":
		return o, errors.New("--http: is missing; without an address to listen at there is nothing to serve")
	case o.RaftAddr == "":
		return o, errors.New("--raft: is missing")
	case len(o.Peers) == 0:
		return o, errors.New("--peers: is missing")
	case len(o.Peers) > mostPeers:
		return o, fmt.Errorf("--peers: %d keepers, at most %d make sense", len(o.Peers), mostPeers)
	case o.Check == nil:
		return o, errors.New("--base: nothing to check changes against")
	}
	seen := map[string]bool{}
	for _, p := range o.Peers {
		if !name(p.ID, mostID) {
			return o, fmt.Errorf("--peers: id %q: 1 to %d letters, digits, '.', '_', '-'", p.ID, mostID)
		}
		if seen[p.ID] {
			return o, fmt.Errorf("--peers: %s is named twice", p.ID)
		}
		seen[p.ID] = true
	}
	if !seen[o.ID] {
		return o, fmt.Errorf("--id: %s is not among --peers", o.ID)
	}
	def(&o.Cluster, "windflow")
	if !name(o.Cluster, mostID) {
		return o, fmt.Errorf("--cluster: %q: 1 to %d letters, digits, '.', '_', '-'", o.Cluster, mostID)
	}
	def(&o.Log, slog.Default())
	def(&o.Heartbeat, 400*time.Millisecond)
	def(&o.MaxPollWait, 2*time.Second)
	def(&o.LeaseDuration, 6*time.Second)
	def(&o.ChangeTimeout, 5*time.Second)
	def(&o.MaxWaitingFollowers, 2000)
	def(&o.Retention.Revisions, 2000)
	def(&o.Retention.Bytes, 16<<20)
	def(&o.SnapshotThreshold, 1024)
	def(&o.SnapshotInterval, 30*time.Second)
	return o, nil
}

func def[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// name tells whether a text may name a keeper, a cluster or a follower.
func name(s string, most int) bool {
	for i := range len(s) {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '.' || c == '_' || c == '-') {
			return false
		}
	}
	return s != "" && len(s) <= most
}

// peer is the one with an id.
func (o Options) peer(id string) (Peer, bool) {
	for _, p := range o.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}
