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

// leaderRetryInterval is between two attempts to reach a leader.
const leaderRetryInterval = 200 * time.Millisecond

// leaderProxy carries calls out at the leader: here if this keeper leads, else by forwarding them.
type leaderProxy struct {
	keeperID    string
	replication *replication
	peers       *peerClient
	forwarded   *atomic.Int64
	stopping    <-chan struct{} // closed when calls have to end
}

// leaderCall is a call that the leader carries out.
type leaderCall struct {
	method, path string
	body         []byte
	runLocally   func(context.Context) response // carries the call out at the leader
	isForwarded  bool                           // by another keeper: it is not forwarded again
}

func newLeaderCall(r *http.Request, path string, body []byte, runLocally func(context.Context) response) leaderCall {
	return leaderCall{
		method: r.Method, path: path, body: body, runLocally: runLocally, isForwarded: r.Header.Get(forwardedByHeader) != "",
	}
}

// do retries a call until the timeout while there is no leader or it is lost, so the call has to be idempotent. A
// call that was forwarded to this keeper is attempted once.
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

// attempt sends a call once.
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
			"keeper %s is in touch with no majority of the %d keepers; nothing is changed without one",
			p.keeperID, p.peers.groupSize())
	}
	p.forwarded.Add(1)
	return p.forward(ctx, peer, call)
}

// forward sends a call to the leader. It stops waiting when another keeper leads: the answer of a leader that was
// stopped or cut off may never arrive.
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
		return unavailableResponse(errorNoMajority, effectUnknown, "the leader %s broke off: %v", leader.ID, withoutURL(err))
	}
	return forwardedResponse(httpResponse.StatusCode, text)
}

// forwardedResponse decodes an answer that may be retried; others are passed through as they are.
func forwardedResponse(status int, text []byte) response {
	if status == http.StatusServiceUnavailable {
		var failure errorBody
		if err := json.Unmarshal(text, &failure); err == nil && failure.Kind != "" {
			return response{status, failure}
		}
	}
	return response{status, json.RawMessage(text)}
}

// cancelWithoutLeader cancels as soon as a keeper doesn't lead, and returns when ctx ends.
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
