package keeper

import (
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"windflow/internal/decide/configlog"
)

// stateWaiting is the reported state of a keeper whose raft node has not started yet.
const stateWaiting = "Waiting"

// statusService reports the state of this keeper.
type statusService struct {
	options      *Options
	stateMachine *stateMachine
	replication  *replication
	membership   *membership
	leases       *leaseTable
	counters     *counters
}

// keeperStatus is the response to `GET /v1/status`. The fields of this type and of the types below are in the
// alphabetical order of their keys, because that is the order in which earlier versions encoded them.
type keeperStatus struct {
	AppliedIndex   *uint64        `json:"applied_index,omitempty"` // absent until the raft node starts
	Cluster        string         `json:"cluster"`
	Counters       counterStatus  `json:"counters"`
	DiskError      string         `json:"disk_error,omitempty"` // the latest error
	Folder         folderStatus   `json:"folder"`
	Followers      int            `json:"followers"`
	Hash           configlog.Hash `json:"hash"`
	ID             string         `json:"id"`
	LastIndex      *uint64        `json:"last_index,omitempty"` // absent until the raft node starts
	Leader         string         `json:"leader"`
	Majority       bool           `json:"majority"` // whether this keeper is in contact with a leader
	Oldest         uint64         `json:"oldest"`   // oldest revision that is kept
	Revision       uint64         `json:"revision"`
	Roster         int            `json:"roster"`
	LeasesComplete bool           `json:"settled"`
	State          string         `json:"state"`
	Term           uint64         `json:"term"`
	UptimeMS       int64          `json:"uptime_ms"`
}

type folderStatus struct {
	Aside []string `json:"aside"`
	Dir   string   `json:"dir"`
	Stage string   `json:"stage"`
	Votes bool     `json:"votes"`
}

type counterStatus struct {
	BytesIn         int64 `json:"bytes_in"`
	BytesOut        int64 `json:"bytes_out"`
	Calls           int64 `json:"calls"`
	Changes         int64 `json:"changes"`
	ChangesMade     int64 `json:"changes_made"`
	ChangesRejected int64 `json:"changes_refused"`
	ChangesUnserved int64 `json:"changes_unserved"`
	UpdatesSent     int64 `json:"deltas_sent"`
	DiskErrors      int64 `json:"disk_errors"`
	Polls           int64 `json:"follows"`
	PollsRejected   int64 `json:"follows_refused"`
	Forwarded       int64 `json:"passed_on"`
	RaftBytesIn     int64 `json:"raft_bytes_in"`
	RaftBytesOut    int64 `json:"raft_bytes_out"`
	Rejected        int64 `json:"refused"`
	SnapshotsSent   int64 `json:"snapshots_sent"`
	PollsOpen       int64 `json:"waiting"`
}

func (c *counters) status() counterStatus {
	return counterStatus{
		BytesIn:         c.bytesIn.Load(),
		BytesOut:        c.bytesOut.Load(),
		Calls:           c.calls.Load(),
		Changes:         c.changesReceived.Load(),
		ChangesMade:     c.changesMade.Load(),
		ChangesRejected: c.changesRejected.Load(),
		ChangesUnserved: c.changesUnserved.Load(),
		UpdatesSent:     c.updatesSent.Load(),
		DiskErrors:      c.diskErrors.Load(),
		Polls:           c.polls.Load(),
		PollsRejected:   c.pollsRejected.Load(),
		Forwarded:       c.forwarded.Load(),
		RaftBytesIn:     c.raftIn.Load(),
		RaftBytesOut:    c.raftOut.Load(),
		Rejected:        c.callsRejected.Load(),
		SnapshotsSent:   c.snapshotsSent.Load(),
		PollsOpen:       c.pollsOpen.Load(),
	}
}

// handleStatus handles `GET /v1/status`.
func (s *statusService) handleStatus(http.ResponseWriter, *http.Request) response {
	summary := s.stateMachine.summary()
	live := s.leases.live()
	leader, _ := s.replication.leader()
	status := keeperStatus{
		Cluster:        s.options.Cluster,
		Counters:       s.counters.status(),
		Folder:         s.folderStatus(),
		Followers:      len(live.Leases),
		Hash:           summary.Hash,
		ID:             s.options.ID,
		Leader:         leader,
		Majority:       leader != "",
		Oldest:         summary.Oldest,
		Revision:       summary.Revision,
		Roster:         len(s.stateMachine.followerNames()),
		LeasesComplete: live.Complete,
		State:          stateWaiting,
		UptimeMS:       s.leases.uptime().Milliseconds(),
	}
	if s.replication.running() {
		s.addRaftStatus(&status)
	}
	if text := s.counters.lastDiskError.Load(); text != nil {
		status.DiskError = *text
	}
	return okResponse(status)
}

func (s *statusService) folderStatus() folderStatus {
	return folderStatus{
		Aside: s.membership.listAside(),
		Dir:   s.options.Dir,
		Stage: s.membership.stage(),
		Votes: s.replication.canVote(),
	}
}

func (s *statusService) addRaftStatus(status *keeperStatus) {
	node := s.replication.nodeStatus()
	status.State = node.state.String()
	status.Term = node.term
	status.LastIndex, status.AppliedIndex = &node.lastIndex, &node.appliedIndex
	// A leader without a majority steps down by itself when its leader lease expires. A raft follower, however, may
	// still report a leader that it has not heard from for some time.
	if node.state != raft.Leader && time.Since(node.lastContact) > 2*s.options.Heartbeat {
		status.Majority = false
	}
}
