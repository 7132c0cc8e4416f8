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

// raftStream is what the transport of the replication dials and accepts with. It implements raft.StreamLayer.
type raftStream struct{ countingListener }

// Dial implements raft.StreamLayer.
func (s raftStream) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", string(address), timeout)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, s.in, s.out}, nil
}

// addressProvider finds a keeper's address by its id. The replicated list of the group has ids only, so that a keeper
// that moves needs another --peers and no change to that list.
type addressProvider struct{ peers []Peer }

// ServerAddr implements raft.ServerAddressProvider.
func (p addressProvider) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	i := slices.IndexFunc(p.peers, func(peer Peer) bool { return peer.ID == string(id) })
	if i < 0 {
		return "", fmt.Errorf("keeper %s is not among --peers", id)
	}
	return raft.ServerAddress(p.peers[i].RaftAddr), nil
}

// errVotingSuspended answers votes in which a keeper does not participate.
var errVotingSuspended = errors.New(
	"this keeper has lost its folder and takes no part in elections until it has caught up")

// electionTransport is the network transport without elections while voting is suspended. A keeper whose folder was
// lost no longer knows which entries it has confirmed; were it to vote, or to be a candidate, with what it has left,
// then an entry that was accepted with its confirmation could be lost.
type electionTransport struct {
	*raft.NetworkTransport
	votingSuspended *atomic.Bool
	requests        chan raft.RPC
	done            chan struct{}
	filtering       sync.WaitGroup
}

// newElectionTransport starts a goroutine that ends with Close.
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

// filter forwards requests, except those that rejectElection answers.
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

// rejectElection answers a request that belongs to an election; false for any other.
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

// Close implements raft.WithClose. It must be called once; raft does so.
func (t *electionTransport) Close() error {
	close(t.done)
	t.filtering.Wait()
	return t.NetworkTransport.Close()
}
