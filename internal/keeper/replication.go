package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// enqueueTimeout bounds the wait until raft accepts an entry into its queue.
	enqueueTimeout = time.Second
	// replicationIOTimeout bounds the network I/O of one call between raft nodes.
	replicationIOTimeout = 2 * time.Second
	maxAppendEntries     = 16
	raftConnsPerPeer     = 3
	// nextEntryTimeout bounds how long waitApplied waits for the next entry to be applied.
	nextEntryTimeout = 500 * time.Millisecond
)

// replication owns the raft node of a keeper. Unless stated otherwise, methods may be called before start; until then
// there is no leader.
type replication struct {
	options      *Options
	log          *slog.Logger
	stateMachine *stateMachine
	counters     *counters

	// votingSuspended is true while the node must neither vote nor become a candidate; see electionTransport.
	votingSuspended atomic.Bool
	// leaderChanged notifies of each change of the leader that this node learns of.
	leaderChanged *notifier

	started      chan struct{} // closed once node and stores are set
	node         *raft.Raft
	stores       *stores
	caughtUpTerm atomic.Uint64 // latest term in which ensureCaughtUp succeeded
}

func newReplication(options *Options, machine *stateMachine, counters *counters) *replication {
	return &replication{
		options:       options,
		log:           options.Log,
		stateMachine:  machine,
		counters:      counters,
		leaderChanged: newNotifier(),
		started:       make(chan struct{}),
	}
}

// start runs the raft node on the stores. It takes ownership of the stores, even if it fails. If bootstrap is set, it
// bootstraps the group with the keepers listed in the options.
func (r *replication) start(listener net.Listener, stores *stores, logger raftLogger, bootstrap bool) error {
	r.stores = stores
	config := r.raftConfig(logger)
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		ServerAddressProvider: addressProvider{r.options.Peers},
		Logger:                logger,
		Stream:                raftStream{countingListener{listener, &r.counters.raftIn, &r.counters.raftOut}},
		MaxPool:               raftConnsPerPeer,
		Timeout:               replicationIOTimeout,
	})
	transport := newElectionTransport(network, &r.votingSuspended)
	if err := r.startNode(config, transport, bootstrap); err != nil {
		if r.node != nil {
			_ = r.node.Shutdown().Error()
		}
		_ = transport.Close()
		stores.close()
		return fmt.Errorf("replication cannot start: %w", err)
	}
	r.node.RegisterObserver(raft.NewObserver(nil, false, func(observation *raft.Observation) bool {
		switch observation.Data.(type) {
		case raft.LeaderObservation, raft.RaftState:
			r.leaderChanged.notify()
		}
		return false
	}))
	close(r.started)
	return nil
}

func (r *replication) raftConfig(logger raftLogger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(r.options.ID)
	config.HeartbeatTimeout = r.options.Heartbeat
	config.ElectionTimeout = r.options.Heartbeat
	config.LeaderLeaseTimeout = r.options.Heartbeat * 3 / 4
	config.MaxAppendEntries = maxAppendEntries
	config.SnapshotThreshold = r.options.SnapshotThreshold
	config.TrailingLogs = r.options.SnapshotThreshold / 2
	config.SnapshotInterval = r.options.SnapshotInterval
	config.Logger = logger
	return config
}

func (r *replication) startNode(config *raft.Config, transport raft.Transport, bootstrap bool) (err error) {
	if bootstrap {
		if err := r.bootstrap(config, transport); err != nil {
			return err
		}
	}
	entries := checksummedLog{r.stores.entries}
	r.node, err = raft.NewRaft(config, r.stateMachine, entries, r.stores.votes, r.stores.snapshots, transport)
	if err != nil {
		return err
	}
	return r.checkMembers()
}

// bootstrap writes the list of keepers as the first log entry. The entry must be identical on all keepers.
func (r *replication) bootstrap(config *raft.Config, transport raft.Transport) error {
	var group raft.Configuration
	for _, peer := range r.options.Peers {
		// The id also serves as the address; addressProvider translates it.
		server := raft.Server{ID: raft.ServerID(peer.ID), Address: raft.ServerAddress(peer.ID)}
		group.Servers = append(group.Servers, server)
	}
	slices.SortFunc(group.Servers, func(a, b raft.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	err := raft.BootstrapCluster(config, r.stores.entries, r.stores.votes, r.stores.snapshots, transport, group)
	if errors.Is(err, raft.ErrCantBootstrap) { // already bootstrapped before a crash
		return nil
	}
	return err
}

// checkMembers returns an error if --peers lists other keepers than the group was bootstrapped with. Otherwise the
// keepers would disagree about what a majority is.
func (r *replication) checkMembers() error {
	future := r.node.GetConfiguration()
	if err := future.Error(); err != nil {
		return err
	}
	servers := future.Configuration().Servers
	if len(servers) == 0 {
		return nil
	}
	var founded, configured []string
	for _, server := range servers {
		founded = append(founded, string(server.ID))
	}
	for _, peer := range r.options.Peers {
		configured = append(configured, peer.ID)
	}
	slices.Sort(founded)
	slices.Sort(configured)
	if !slices.Equal(founded, configured) {
		return fmt.Errorf("--peers: lists keepers %s, but the group was created with keepers %s",
			strings.Join(configured, ", "), strings.Join(founded, ", "))
	}
	return nil
}

// running reports whether the raft node has started.
func (r *replication) running() bool {
	select {
	case <-r.started:
		return true
	default:
		return false
	}
}

// leader returns the id of the leader that this keeper knows, empty if none, and whether this keeper is the leader.
func (r *replication) leader() (id string, isSelf bool) {
	if !r.running() {
		return "", false
	}
	_, leader := r.node.LeaderWithID()
	return string(leader), string(leader) == r.options.ID && r.node.State() == raft.Leader
}

// hasEntries reports whether the log has entries besides the first, the list of keepers from the bootstrap.
func (r *replication) hasEntries() bool { return r.running() && r.node.LastIndex() > 1 }

// canVote reports whether this keeper takes part in elections.
func (r *replication) canVote() bool { return !r.votingSuspended.Load() }

// nodeStatus is the state of the raft node.
type nodeStatus struct {
	state                         raft.RaftState
	term, lastIndex, appliedIndex uint64
	lastContact                   time.Time // with the leader
}

// nodeStatus returns the state of the raft node, which must be running.
func (r *replication) nodeStatus() nodeStatus {
	return nodeStatus{
		state:        r.node.State(),
		term:         r.node.CurrentTerm(),
		lastIndex:    r.node.LastIndex(),
		appliedIndex: r.node.AppliedIndex(),
		lastContact:  r.node.LastContact(),
	}
}

// apply replicates a command. Once a majority has stored it and it is applied here, apply returns the result of
// stateMachine.Apply. The node must be running.
func (r *replication) apply(entry command) (any, error) {
	data, err := entry.encode()
	if err != nil {
		return nil, err
	}
	future := r.node.Apply(data, enqueueTimeout)
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Response(), nil
}

// barrier returns nil once a majority has confirmed that this keeper leads and all earlier entries are applied here.
// The node must be running.
func (r *replication) barrier() error { return r.node.Barrier(enqueueTimeout).Error() }

// verifyLeader returns nil once a majority has confirmed that this keeper leads. The node must be running.
func (r *replication) verifyLeader() error { return r.node.VerifyLeader().Error() }

// ensureCaughtUp waits until the entries of former leaders are applied here. After it has succeeded, it returns at once
// for the rest of the term. The node must be running.
func (r *replication) ensureCaughtUp() error {
	term := r.node.CurrentTerm()
	if term == r.caughtUpTerm.Load() {
		return nil
	}
	if err := r.barrier(); err != nil {
		return err
	}
	r.caughtUpTerm.Store(term)
	return nil
}

// leaderStatus is the response to `GET /v1/leader`, which the leader returns once a majority has confirmed that it
// leads.
type leaderStatus struct {
	ID        string `json:"id"`
	LastIndex uint64 `json:"last_index"`
}

func (r *replication) leaderStatus() (leaderStatus, error) {
	if !r.running() {
		return leaderStatus{}, raft.ErrNotLeader
	}
	if err := r.verifyLeader(); err != nil {
		return leaderStatus{}, err
	}
	return leaderStatus{ID: r.options.ID, LastIndex: r.node.LastIndex()}, nil
}

// waitApplied waits until the entry at index is applied here. It returns an error if no entry is applied for
// nextEntryTimeout.
func (r *replication) waitApplied(ctx context.Context, index uint64) error {
	for r.node.AppliedIndex() < index {
		changed := r.stateMachine.nextChange()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(nextEntryTimeout):
			return context.DeadlineExceeded
		}
	}
	return nil
}

// transferLeadership transfers leadership to another keeper if this one leads. The other keepers then need not wait for
// the heartbeat timeout when this one stops.
func (r *replication) transferLeadership() {
	if !r.running() || r.node.State() != raft.Leader || len(r.options.Peers) == 1 {
		return
	}
	if err := r.node.LeadershipTransfer().Error(); err != nil {
		r.log.Warn("leadership transfer failed", "error", err)
	}
}

// shutdown stops the raft node and closes the stores.
func (r *replication) shutdown() error {
	if !r.running() {
		return nil
	}
	err := r.node.Shutdown().Error()
	r.stores.close()
	return err
}

// failureResponse returns the response to a call whose entry could not be replicated. It reports effect, unless the
// error implies that the call had no effect.
func (r *replication) failureResponse(err error, effect changeEffect) response {
	switch {
	case errors.Is(err, raft.ErrNotLeader),
		errors.Is(err, raft.ErrLeadershipTransferInProgress),
		errors.Is(err, raft.ErrEnqueueTimeout):
		return unavailableResponse(errorNoMajority, effectNone, "keeper %s: %v", r.options.ID, err)
	case errors.Is(err, raft.ErrLeadershipLost),
		errors.Is(err, raft.ErrRaftShutdown),
		errors.Is(err, raft.ErrAbortedByRestore):
		return unavailableResponse(errorNoMajority, effect, "keeper %s lost its majority: %v", r.options.ID, err)
	}
	// All other errors come from writing the entry to the local disk.
	r.counters.recordDiskError(err)
	r.log.Error("log entry write failed", "error", err)
	return unavailableResponse(errorDisk, effect,
		"keeper %s cannot write to its folder: %v; it continues to serve the current revision", r.options.ID, err)
}
