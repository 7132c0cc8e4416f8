package keeper

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// raftStream dials and accepts the connections between raft nodes, and counts their bytes. It implements
// raft.StreamLayer.
type raftStream struct{ countingListener }

// Dial implements raft.StreamLayer.
func (s raftStream) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", string(address), timeout)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, s.in, s.out}, nil
}

// addressProvider maps a keeper's id to its address. The replicated list of the group's members has only ids, so that
// moving a keeper to another address requires a change of --peers but not of that list.
type addressProvider struct{ peers []Peer }

// ServerAddr implements raft.ServerAddressProvider.
func (p addressProvider) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	i := slices.IndexFunc(p.peers, func(peer Peer) bool { return peer.ID == string(id) })
	if i < 0 {
		return "", fmt.Errorf("keeper %s is not among --peers", id)
	}
	return raft.ServerAddress(p.peers[i].RaftAddr), nil
}

// errVotingSuspended is the error for election requests that are sent or received while voting is suspended.
var errVotingSuspended = errors.New(
	"this keeper has lost its folder and takes no part in elections until it has caught up")

// electionTransport is a network transport that blocks elections while voting is suspended. A keeper that lost its
// folder no longer knows which entries it has acknowledged. If it voted or became a candidate without them, an entry
// that was committed with its acknowledgment could be lost.
type electionTransport struct {
	*raft.NetworkTransport
	votingSuspended *atomic.Bool
	requests        chan raft.RPC
	done            chan struct{}
	filtering       sync.WaitGroup
}

// newElectionTransport wraps a network transport. It starts a goroutine that runs until Close.
func newElectionTransport(network *raft.NetworkTransport, votingSuspended *atomic.Bool) *electionTransport {
	t := &electionTransport{
		NetworkTransport: network,
		votingSuspended:  votingSuspended,
		requests:         make(chan raft.RPC),
		done:             make(chan struct{}),
	}
	t.filtering.Go(t.filter)
	return t
}

// filter passes received requests on to raft. While voting is suspended, it rejects those that belong to elections.
func (t *electionTransport) filter() {
	for {
		var request raft.RPC
		select {
		case <-t.done:
			return
		case request = <-t.NetworkTransport.Consumer():
		}
		if t.votingSuspended.Load() && rejectElectionRequest(request) {
			continue
		}
		select {
		case <-t.done:
			return
		case t.requests <- request:
		}
	}
}

// rejectElectionRequest rejects a request that belongs to an election. It returns false, without responding, for any
// other request.
func rejectElectionRequest(request raft.RPC) bool {
	switch request.Command.(type) {
	case *raft.RequestVoteRequest:
		request.Respond(&raft.RequestVoteResponse{}, errVotingSuspended)
	case *raft.RequestPreVoteRequest:
		request.Respond(&raft.RequestPreVoteResponse{}, errVotingSuspended)
	case *raft.TimeoutNowRequest:
		request.Respond(&raft.TimeoutNowResponse{}, errVotingSuspended)
	default:
		return false
	}
	return true
}

// Consumer implements raft.Transport.
func (t *electionTransport) Consumer() <-chan raft.RPC { return t.requests }

// RequestVote implements raft.Transport.
func (t *electionTransport) RequestVote(
	id raft.ServerID, target raft.ServerAddress, request *raft.RequestVoteRequest, answer *raft.RequestVoteResponse,
) error {
	if t.votingSuspended.Load() {
		return errVotingSuspended
	}
	return t.NetworkTransport.RequestVote(id, target, request, answer)
}

// RequestPreVote implements raft.WithPreVote.
func (t *electionTransport) RequestPreVote(
	id raft.ServerID, target raft.ServerAddress, request *raft.RequestPreVoteRequest, answer *raft.RequestPreVoteResponse,
) error {
	if t.votingSuspended.Load() {
		return errVotingSuspended
	}
	return t.NetworkTransport.RequestPreVote(id, target, request, answer)
}

// Close implements raft.WithClose. It must be called exactly once; raft calls it at shutdown.
func (t *electionTransport) Close() error {
	close(t.done)
	t.filtering.Wait()
	return t.NetworkTransport.Close()
}
