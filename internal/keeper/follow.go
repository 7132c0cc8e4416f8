package keeper

import (
	"context"
	"net/http"
	"time"

	"windflow/internal/decide/configlog"
)

// followService handles the long polls of the followers, which are the routers.
type followService struct {
	maxPollWait   time.Duration // applies if a call does not specify wait_ms
	leaseDuration time.Duration
	maxWaiting    int
	stateMachine  *stateMachine
	leases        *leaseTable
	pending       *pendingFollowers
	counters      *counters
	stopping      <-chan struct{} // closed when open calls have to end
}

func newFollowService(
	options *Options, machine *stateMachine, leases *leaseTable, pending *pendingFollowers, counters *counters,
	stopping <-chan struct{},
) *followService {
	return &followService{
		maxPollWait:   options.MaxPollWait,
		leaseDuration: options.LeaseDuration,
		maxWaiting:    options.MaxWaitingFollowers,
		stateMachine:  machine,
		leases:        leases,
		pending:       pending,
		counters:      counters,
		stopping:      stopping,
	}
}

// handleFollow handles `POST /v1/follow`: a follower reports its status and receives a newer revision as soon as there
// is one. A process receives nothing until it is on the replicated roster, so that every convergence status includes
// each process that may have received a revision.
func (s *followService) handleFollow(w http.ResponseWriter, r *http.Request) response {
	var request struct {
		Report configlog.FollowerStatus `json:"report"`
		WaitMS *int                     `json:"wait_ms"`
	}
	if _, failure := readBody(w, r, maxStatusBytes, &request); failure != nil {
		return *failure
	}
	if err := request.Report.Check(); err != nil {
		return malformedResponse("field report: %v", err)
	}
	if open := s.counters.pollsOpen.Add(1); open > int64(s.maxWaiting) {
		s.counters.pollsOpen.Add(-1)
		s.counters.pollsRejected.Add(1)
		w.Header().Set("Retry-After", "1")
		return errorResponse(http.StatusServiceUnavailable, errorBusy,
			"%d followers wait here already; ask another keeper", s.maxWaiting)
	}
	defer s.counters.pollsOpen.Add(-1)
	s.counters.polls.Add(1)
	s.leases.renew(request.Report)
	update, found := s.waitForUpdate(r.Context(), request.Report, s.pollWait(request.WaitMS))
	if !found {
		return response{status: http.StatusNoContent}
	}
	if update.Snapshot {
		s.counters.snapshotsSent.Add(1)
	} else if !update.KeeperBehind {
		s.counters.updatesSent.Add(1)
	}
	return okResponse(update)
}

// pollWait limits the wait that a follower requests to half of the lease duration, so that the follower's lease does
// not expire during the call.
func (s *followService) pollWait(requestedMS *int) time.Duration {
	if requestedMS == nil {
		return s.maxPollWait
	}
	limitMS := int((s.leaseDuration / 2).Milliseconds())
	return time.Duration(min(max(*requestedMS, 0), limitMS)) * time.Millisecond
}

// waitForUpdate returns the next update for a follower as soon as there is one, or false after the wait. If this keeper
// is behind the follower, it reports that only at the end of the wait: the keeper may catch up until then, and an
// immediate report would make the follower repeat its call at once.
func (s *followService) waitForUpdate(
	ctx context.Context, status configlog.FollowerStatus, wait time.Duration,
) (update configlog.Update, found bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	enrollmentRequested := false
	for {
		update, registered, changed := s.stateMachine.nextUpdate(status)
		if !registered && !enrollmentRequested {
			// At most once per call: if more processes share a name than the roster keeps for it, they would replace
			// each other endlessly.
			s.pending.add(followerProcess{status.Name, status.Instance})
			enrollmentRequested = true
		}
		if registered && !update.IsEmpty() && !update.KeeperBehind {
			return update, true
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-s.stopping:
		case <-ctx.Done():
		}
		return update, registered && update.KeeperBehind
	}
}
