package keeper

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// counted is a listener whose connections count what goes through them, headers with it.
type counted struct {
	net.Listener
	in, out *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.in, l.out}, nil
}

type countedConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// stream is what the replication's transport dials and accepts with.
type stream struct{ counted }

func (s stream) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", string(address), timeout)
	if err != nil {
		return nil, err
	}
	return countedConn{c, s.in, s.out}, nil
}

// addresses gives a keeper's address by its id. The replicated list of the group holds ids only, so that a keeper that
// moves needs another --peers and no change to that list.
type addresses struct{ o *Options }

func (a addresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	p, ok := a.o.peer(string(id))
	if !ok {
		return "", fmt.Errorf("keeper %s is not among --peers", id)
	}
	return raft.ServerAddress(p.RaftAddr), nil
}

var errMuted = errors.New("this keeper has lost its folder and takes no part in elections until it has caught up")

// transport is the network transport with elections shut off while muted is set. A keeper whose folder was lost has
// forgotten which entries it said yes to; were it to vote, or stand, with what it has left, then an entry that was
// accepted by its word could be lost.
type transport struct {
	*raft.NetworkTransport
	muted *atomic.Bool
	calls chan raft.RPC
	done  chan struct{}
}

func newTransport(n *raft.NetworkTransport, muted *atomic.Bool) *transport {
	t := &transport{NetworkTransport: n, muted: muted, calls: make(chan raft.RPC), done: make(chan struct{})}
	go t.sift()
	return t
}

func (t *transport) sift() {
	for {
		var call raft.RPC
		select {
		case <-t.done:
			return
		case call = <-t.NetworkTransport.Consumer():
		}
		if t.muted.Load() {
			switch call.Command.(type) {
			case *raft.RequestVoteRequest:
				call.Respond(&raft.RequestVoteResponse{}, errMuted)
				continue
			case *raft.RequestPreVoteRequest:
				call.Respond(&raft.RequestPreVoteResponse{}, errMuted)
				continue
			case *raft.TimeoutNowRequest:
				call.Respond(&raft.TimeoutNowResponse{}, errMuted)
				continue
			}
		}
		select {
		case <-t.done:
			return
		case t.calls <- call:
		}
	}
}

func (t *transport) Consumer() <-chan raft.RPC { return t.calls }

func (t *transport) RequestVote(id raft.ServerID, target raft.ServerAddress, q *raft.RequestVoteRequest, a *raft.RequestVoteResponse) error {
	if t.muted.Load() {
		return errMuted
	}
	return t.NetworkTransport.RequestVote(id, target, q, a)
}

func (t *transport) RequestPreVote(id raft.ServerID, target raft.ServerAddress, q *raft.RequestPreVoteRequest, a *raft.RequestPreVoteResponse) error {
	if t.muted.Load() {
		return errMuted
	}
	return t.NetworkTransport.RequestPreVote(id, target, q, a)
}

// Close ends the sifting with the transport. It is called once, by raft.
func (t *transport) Close() error {
	close(t.done)
	return t.NetworkTransport.Close()
}
