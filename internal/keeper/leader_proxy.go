package keeper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// leaderRetryInterval is the time between two attempts to reach a leader.
const leaderRetryInterval = 200 * time.Millisecond

// leaderProxy runs calls at the leader: on this keeper if it leads, otherwise by forwarding them.
type leaderProxy struct {
	keeperID    string
	replication *replication
	peers       *peerClient
	forwarded   *atomic.Int64
	stopping    <-chan struct{} // closed when open calls have to end
}

// leaderCall is a call that only the leader can run.
type leaderCall struct {
	method, path string
	body         []byte
	runLocally   func(context.Context) response // runs the call if this keeper leads
	isForwarded  bool                           // received from another keeper; must not be forwarded again
}

func newLeaderCall(r *http.Request, path string, body []byte, runLocally func(context.Context) response) leaderCall {
	return leaderCall{
		method: r.Method, path: path, body: body, runLocally: runLocally,
		isForwarded: r.Header.Get(forwardedByHeader) != "",
	}
}

// do runs a call at the leader, and retries until the timeout while there is no leader or the leader is lost; the call
// must therefore be idempotent. A call that was forwarded to this keeper is attempted only once.
func (p *leaderProxy) do(ctx context.Context, timeout time.Duration, call leaderCall) response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	effectIsUnknown := false
	for {
		leaderChanged := p.replication.leaderChanged.wait()
		result := p.attempt(ctx, call)
		failure, failed := result.body.(errorBody)
		if !failed || result.status != http.StatusServiceUnavailable || call.isForwarded {
			return result
		}
		effectIsUnknown = effectIsUnknown || failure.Done == effectUnknown
		select {
		case <-leaderChanged:
			continue
		case <-time.After(leaderRetryInterval):
			continue
		case <-p.stopping:
		case <-ctx.Done():
		}
		if effectIsUnknown {
			failure.Done = effectUnknown
		}
		return response{result.status, failure}
	}
}

// attempt runs a call at the leader once, without retries.
func (p *leaderProxy) attempt(ctx context.Context, call leaderCall) response {
	leader, isSelf := p.replication.leader()
	peer, known := p.peers.peer(leader)
	switch {
	case isSelf:
		return call.runLocally(ctx)
	case !p.replication.running():
		return unavailableResponse(errorStarting, effectNone,
			"keeper %s has an empty folder and waits for the other keepers", p.keeperID)
	case call.isForwarded:
		return unavailableResponse(errorNoMajority, effectNone, "keeper %s does not lead", p.keeperID)
	case !known || leader == p.keeperID:
		return unavailableResponse(errorNoMajority, effectNone,
			"keeper %s knows no leader; a leader needs a majority of the %d keepers",
			p.keeperID, p.peers.groupSize())
	}
	p.forwarded.Add(1)
	return p.forward(ctx, peer, call)
}

// forward sends a call to the leader and returns its response. It stops waiting once this keeper no longer regards that
// keeper as the leader, because the response of a leader that was stopped or partitioned may never arrive.
func (p *leaderProxy) forward(ctx context.Context, leader Peer, call leaderCall) response {
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer cancel()
	watch.Go(func() { p.cancelOnLeaderChange(ctx, leader.ID, cancel) })

	request, err := p.peers.newRequest(ctx, leader, call.method, call.path, call.body)
	if err != nil {
		return unavailableResponse(errorNoMajority, effectNone, "%v", err)
	}
	httpResponse, err := p.peers.do(request)
	if err != nil {
		effect := effectUnknown
		if dialFailed(err) {
			effect = effectNone
		}
		return unavailableResponse(errorNoMajority, effect, "the leader %s does not answer: %v", leader.ID, withoutURL(err))
	}
	defer func() { _ = httpResponse.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxPeerResponseBytes))
	if err != nil {
		return unavailableResponse(errorNoMajority, effectUnknown,
			"the leader %s did not complete its response: %v", leader.ID, withoutURL(err))
	}
	return forwardedResponse(httpResponse.StatusCode, text)
}

// forwardedResponse decodes an error response after which the call may be retried; other responses are passed through
// unchanged.
func forwardedResponse(status int, text []byte) response {
	if status == http.StatusServiceUnavailable {
		var failure errorBody
		if err := json.Unmarshal(text, &failure); err == nil && failure.Kind != "" {
			return response{status, failure}
		}
	}
	return response{status, json.RawMessage(text)}
}

// cancelOnLeaderChange calls cancel once the keeper with this id is no longer the leader, and returns when ctx ends.
func (p *leaderProxy) cancelOnLeaderChange(ctx context.Context, id string, cancel context.CancelFunc) {
	for {
		leaderChanged := p.replication.leaderChanged.wait()
		if leader, _ := p.replication.leader(); leader != id {
			cancel()
		}
		select {
		case <-leaderChanged:
		case <-ctx.Done():
			return
		}
	}
}
