package keeper

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// discoveryInterval is the time between two queries of the other keepers while a new keeper starts.
	discoveryInterval = 200 * time.Millisecond
	// votingPauseHeartbeats is the minimum time, in heartbeat timeouts, for which a keeper that lost its folder does
	// not vote. It must exceed the length of any election in which the keeper may have voted before the loss; a
	// candidate abandons an election after two heartbeat timeouts.
	votingPauseHeartbeats = 5
)

// membership decides how this keeper becomes a member of the group, and records its stage in the folder.
type membership struct {
	options       *Options
	log           *slog.Logger
	folder        *folder
	replication   *replication
	peers         *peerClient
	startedAt     time.Time
	recordedStage atomic.Value // a string: the stage in the folder, for concurrent readers
}

// peerStatus is the response to `GET /v1/peer`, with which keepers query each other.
type peerStatus struct {
	Cluster string `json:"cluster"`
	ID      string `json:"id"`
	Stage   string `json:"stage"`
	Leader  string `json:"leader"`
}

func newMembership(
	options *Options, folder *folder, replication *replication, peers *peerClient, startedAt time.Time,
) *membership {
	return &membership{
		options: options, log: options.Log, folder: folder, replication: replication, peers: peers, startedAt: startedAt,
	}
}

// listAside lists the files that were set aside in the folder.
func (m *membership) listAside() []string { return m.folder.listAside() }

func (m *membership) stage() string { return m.recordedStage.Load().(string) }

func (m *membership) recordStage(stage string) error {
	if err := m.folder.recordStage(stage); err != nil {
		return err
	}
	m.recordedStage.Store(stage)
	return nil
}

// tryRecordStage records a stage. It logs a failure and returns false; advanceStage retries at its next call.
func (m *membership) tryRecordStage(stage string) bool {
	if err := m.recordStage(stage); err != nil {
		m.log.Error("folder stage write failed", "stage", stage, "error", err)
		return false
	}
	return true
}

func (m *membership) status() peerStatus {
	status := peerStatus{Cluster: m.options.Cluster, ID: m.options.ID, Stage: m.stage()}
	status.Leader, _ = m.replication.leader()
	if status.Stage == stageFounding && m.replication.hasEntries() {
		status.Stage = stageMember
	}
	return status
}

// join determines whether this keeper bootstraps the group, joins it or is already a member, and starts the
// replication.
func (m *membership) join(ctx context.Context, listener net.Listener) error {
	stage := m.folder.identity.Stage
	if stage == stageNew {
		var err error
		if stage, err = m.discoverGroup(ctx); err != nil {
			return err
		}
	}
	logger := raftLogger{target: m.log.With("part", "raft"), name: "raft"}
	stores, err := openStores(m.options.Dir, logger)
	if err != nil {
		return err
	}
	if err := m.recordStage(stage); err != nil {
		stores.close()
		return err
	}
	m.replication.votingSuspended.Store(stage == stageJoining && !m.options.AcceptLoss)
	if stage == stageJoining && m.options.AcceptLoss {
		m.log.Warn("voting enabled without the lost folder")
	}
	return m.replication.start(listener, stores, logger, stage == stageFounding)
}

// discoverGroup waits until it is known whether the group exists, and returns stageJoining or stageFounding. The group
// exists if any keeper is a member. It is bootstrapped only if all keepers respond and none is a member: if a majority
// were enough, keepers that lost their folders could bootstrap a second group while the members of the first are down.
func (m *membership) discoverGroup(ctx context.Context) (stage string, err error) {
	lastReported := ""
	for {
		members, unanswered := m.queryPeers(ctx)
		if len(members) > 0 {
			m.log.Warn("joining existing group without a folder", "peer", members[0])
			return stageJoining, nil
		}
		if len(unanswered) == 0 {
			m.log.Info("group founded", "keepers", len(m.options.Peers))
			return stageFounding, nil
		}
		if current := strings.Join(unanswered, ", "); current != lastReported {
			lastReported = current
			m.log.Warn("waiting for other keepers", "unanswered", current)
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(discoveryInterval):
		}
	}
}

// queryPeers queries the other keepers once. It returns the ids of those that belong to the group, and describes those
// that did not respond or responded as another keeper.
func (m *membership) queryPeers(ctx context.Context) (members, unanswered []string) {
	statuses := m.peers.statuses(ctx)
	for _, peer := range m.peers.others() {
		status, answered := statuses[peer.ID]
		switch {
		case !answered:
			unanswered = append(unanswered, peer.ID)
		case status.Cluster != m.options.Cluster || status.ID != peer.ID:
			unanswered = append(unanswered,
				fmt.Sprintf("%s (%s answers as %q of cluster %q)", peer.ID, peer.HTTPAddr, status.ID, status.Cluster))
		case status.Stage == stageMember || status.Stage == stageJoining:
			members = append(members, peer.ID)
		}
	}
	return members, unanswered
}

// advanceStage records the next stage once its conditions are met. It is called periodically.
func (m *membership) advanceStage(ctx context.Context) {
	switch m.stage() {
	case stageFounding:
		if m.replication.hasEntries() {
			m.tryRecordStage(stageMember)
		}
	case stageJoining:
		m.resumeVoting(ctx)
	}
}

// resumeVoting lets a keeper that lost its folder vote again once it has all entries that the leader had at some time
// after the loss. These include every entry that this keeper had acknowledged before the loss.
func (m *membership) resumeVoting(ctx context.Context) {
	id, _ := m.replication.leader()
	peer, known := m.peers.peer(id)
	if !known || time.Since(m.startedAt) < votingPauseHeartbeats*m.options.Heartbeat {
		return
	}
	// If this keeper does not reach the index in time, the next call of advanceStage queries the leader again.
	var leader leaderStatus
	if err := m.peers.get(ctx, peer, leaderPath, &leader); err != nil || leader.ID != id {
		return
	}
	if err := m.replication.waitApplied(ctx, leader.LastIndex); err != nil {
		return
	}
	if !m.tryRecordStage(stageMember) {
		return
	}
	m.replication.votingSuspended.Store(false)
	m.log.Info("voting resumed", "index", leader.LastIndex)
}
