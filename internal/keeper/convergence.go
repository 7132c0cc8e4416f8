package keeper

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"windflow/internal/decide/configlog"
)

const (
	// convergencePollInterval is the time between two queries of all keepers' leases while a caller waits for
	// convergence.
	convergencePollInterval = 100 * time.Millisecond

	rolloutPath = "/v1/rollout"
)

// convergenceService reports which followers have put a revision into effect.
type convergenceService struct {
	keeperID     string
	stateMachine *stateMachine
	replication  *replication
	peers        *peerClient
	proxy        *leaderProxy
	leases       *leaseTable
	stopping     <-chan struct{} // closed when open calls have to end
}

// convergenceReport is the response to `GET /v1/rollout`. Converged is true only if the report comes from a leader that
// a majority has confirmed after the leases were gathered.
type convergenceReport struct {
	configlog.ConvergenceStatus
	Keeper            string `json:"keeper"` // id of the keeper that created the report
	Majority          bool   `json:"majority"`
	UnconfirmedReason string `json:"why,omitempty"` // why no majority has confirmed the report
}

// gatheredLeases holds the leases that all reachable keepers reported.
type gatheredLeases struct {
	leases []configlog.Lease
	// unreached lists the ids of the keepers that did not respond or whose leases may be incomplete, because some of
	// their followers may not have called yet.
	unreached []string
}

// handleRollout handles `GET /v1/rollout`. It waits until the revision is in effect at all followers, for at most
// wait_ms milliseconds. The leader creates the report. If there is no leader, this keeper reports what it knows and
// that no majority has confirmed it.
func (s *convergenceService) handleRollout(_ http.ResponseWriter, r *http.Request) response {
	revision, wait, failure := queryRevisionAndWait(r)
	if failure != nil {
		return *failure
	}
	deadline := time.Now().Add(wait)
	for {
		remaining := max(time.Until(deadline), 0)
		ctx, cancel := context.WithTimeout(r.Context(), remaining+3*peerCallTimeout)
		call := newLeaderCall(r, rolloutURL(revision, remaining), nil, func(ctx context.Context) response {
			return s.reportAsLeader(ctx, revision, deadline)
		})
		result := s.proxy.attempt(ctx, call)
		cancel()
		if result.status != http.StatusServiceUnavailable || call.isForwarded {
			return result
		}
		if time.Until(deadline) <= 0 || !s.sleep(r.Context(), convergencePollInterval) {
			return s.reportUnconfirmed(r.Context(), revision, result)
		}
	}
}

func rolloutURL(revision *uint64, wait time.Duration) string {
	query := url.Values{"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if revision != nil {
		query.Set("revision", strconv.FormatUint(*revision, 10))
	}
	return rolloutPath + "?" + query.Encode()
}

// sleep waits for the duration. It returns false if the call has to end before that.
func (s *convergenceService) sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
	case <-s.stopping:
	}
	return false
}

// reportAsLeader returns the leader's report as soon as the revision is in effect at all followers, or else after the
// deadline.
func (s *convergenceService) reportAsLeader(ctx context.Context, revision *uint64, deadline time.Time) response {
	gathered := s.gatherLeases(ctx)
	for !s.stateMachine.convergence(revision, gathered).Converged {
		remaining := time.Until(deadline)
		if remaining <= 0 || !s.sleep(ctx, min(convergencePollInterval, remaining)) {
			break
		}
		gathered = s.gatherLeases(ctx)
	}
	// After the leases were gathered, a majority confirms that this keeper leads, and all entries committed until then
	// are applied here. So the report includes each revision and each follower that any keeper knew when it was
	// queried.
	if err := s.replication.barrier(); err != nil {
		return s.replication.failureResponse(err, effectNone)
	}
	return okResponse(convergenceReport{
		ConvergenceStatus: s.stateMachine.convergence(revision, gathered),
		Keeper:            s.keeperID,
		Majority:          true,
	})
}

// reportUnconfirmed returns a report from this keeper's local state, which no majority has confirmed. failed is the
// response that states why there is no report from the leader.
func (s *convergenceService) reportUnconfirmed(ctx context.Context, revision *uint64, failed response) response {
	status := s.stateMachine.convergence(revision, s.gatherLeases(ctx))
	status.Converged = false
	report := convergenceReport{ConvergenceStatus: status, Keeper: s.keeperID}
	if failure, ok := failed.body.(errorBody); ok {
		report.UnconfirmedReason = failure.Reason
	}
	return okResponse(report)
}

// gatherLeases fetches the leases of all keepers concurrently.
func (s *convergenceService) gatherLeases(ctx context.Context) (gathered gatheredLeases) {
	var mu sync.Mutex
	add := func(id string, answer keeperLeases, answered bool) {
		mu.Lock()
		defer mu.Unlock()
		gathered.leases = append(gathered.leases, answer.Leases...)
		if !answered || !answer.Complete {
			gathered.unreached = append(gathered.unreached, id)
		}
	}
	var calls sync.WaitGroup
	for _, peer := range s.peers.others() {
		calls.Go(func() {
			var answer keeperLeases
			err := s.peers.get(ctx, peer, leasesPath, &answer)
			add(peer.ID, answer, err == nil && answer.Keeper == peer.ID)
		})
	}
	add(s.keeperID, s.leases.live(), true)
	calls.Wait()
	return gathered
}
