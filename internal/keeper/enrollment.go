package keeper

import (
	"context"
	"net/http"
	"sync"
	"time"

	"windflow/internal/decide/configlog"
)

const (
	// maxPendingFollowers bounds the processes that wait to be enrolled.
	maxPendingFollowers = configlog.MaxMembers
	// maxJoinBatch bounds the processes in one log entry.
	maxJoinBatch = 500
	// minJoinBackoff and maxJoinBackoff bound the backoff after a failed attempt. The backoff limits the number of
	// elections, because each attempt causes one while the disk is full.
	minJoinBackoff = 100 * time.Millisecond
	maxJoinBackoff = 2 * time.Second
)

// enrollment adds follower processes to the roster, the replicated list of all follower processes, and removes
// followers from it.
type enrollment struct {
	timeout      time.Duration
	stateMachine *stateMachine
	replication  *replication
	peers        *peerClient
	proxy        *leaderProxy
	pending      *pendingFollowers
}

func newEnrollment(
	timeout time.Duration, machine *stateMachine, replication *replication, proxy *leaderProxy, pending *pendingFollowers,
) *enrollment {
	return &enrollment{
		timeout:      timeout,
		stateMachine: machine,
		replication:  replication,
		peers:        proxy.peers,
		proxy:        proxy,
		pending:      pending,
	}
}

// pendingFollowers is the set of follower processes that wait to be added to the roster.
type pendingFollowers struct {
	mu        sync.Mutex
	processes map[followerProcess]bool
	added     chan struct{} // capacity 1; receives a value when processes are added
}

func newPendingFollowers() *pendingFollowers {
	return &pendingFollowers{processes: map[followerProcess]bool{}, added: make(chan struct{}, 1)}
}

func (p *pendingFollowers) add(processes ...followerProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range processes {
		if len(p.processes) < maxPendingFollowers {
			p.processes[process] = true
		}
	}
	select {
	case p.added <- struct{}{}:
	default:
	}
}

// takeBatch removes and returns up to maxJoinBatch processes.
func (p *pendingFollowers) takeBatch() (batch []followerProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process := range p.processes {
		if len(batch) == maxJoinBatch {
			break
		}
		batch = append(batch, process)
		delete(p.processes, process)
	}
	return batch
}

// run enrolls pending processes in batches until ctx ends. It does not depend on whether the followers' calls that
// reported the processes are still open.
func (e *enrollment) run(ctx context.Context) {
	backoff := minJoinBackoff
	for {
		leaderChanged := e.replication.leaderChanged.wait()
		batch := e.stateMachine.unregistered(e.pending.takeBatch())
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.pending.added:
			}
			continue
		}
		if e.enroll(ctx, batch) {
			backoff = minJoinBackoff
			continue
		}
		e.pending.add(batch...)
		select {
		case <-ctx.Done():
			return
		case <-leaderChanged:
		case <-time.After(backoff):
			backoff = min(2*backoff, maxJoinBackoff)
		}
	}
}

// enroll adds processes to the roster, directly or through the leader. It returns false if the caller has to retry.
func (e *enrollment) enroll(ctx context.Context, batch []followerProcess) bool {
	leader, isSelf := e.replication.leader()
	if isSelf {
		_, err := e.replication.apply(command{Join: batch})
		return err == nil
	}
	peer, known := e.peers.peer(leader)
	if !known || e.peers.isSelf(peer) {
		return false
	}
	var empty struct{}
	return e.peers.post(ctx, peer, e.timeout, rosterPath, batch, &empty) == nil
}

// handleRoster handles `POST /v1/roster`, with which a keeper asks the leader to add processes to the roster.
func (e *enrollment) handleRoster(w http.ResponseWriter, r *http.Request) response {
	var batch []followerProcess
	if _, failure := readBody(w, r, maxBodyBytes, &batch); failure != nil {
		return *failure
	}
	if len(batch) > maxJoinBatch {
		return malformedResponse("%d processes, at most %d at once", len(batch), maxJoinBatch)
	}
	join := func(context.Context) response {
		if missing := e.stateMachine.unregistered(batch); len(missing) > 0 {
			if _, err := e.replication.apply(command{Join: missing}); err != nil {
				return e.replication.failureResponse(err, effectUnknown)
			}
		}
		return okResponse(struct{}{})
	}
	return e.proxy.attempt(r.Context(), leaderCall{method: r.Method, runLocally: join, isForwarded: true})
}

// forgetResult is the response to `DELETE /v1/followers/NAME`. Forgotten is false if no such follower was on the
// roster.
type forgetResult struct {
	Forgotten bool `json:"forgotten"`
}

// handleForget handles `DELETE /v1/followers/NAME`, which removes a follower from the roster.
func (e *enrollment) handleForget(_ http.ResponseWriter, r *http.Request) response {
	name := r.PathValue("name")
	call := newLeaderCall(r, r.URL.EscapedPath(), nil, func(context.Context) response {
		forgotten, err := e.replication.apply(command{Forget: name})
		if err != nil {
			return e.replication.failureResponse(err, effectUnknown)
		}
		return okResponse(forgetResult{Forgotten: forgotten.(bool)})
	})
	return e.proxy.do(r.Context(), e.timeout, call)
}
