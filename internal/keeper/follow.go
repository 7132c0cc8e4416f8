package keeper

import (
	"context"
	"net/http"
	"time"

	"windflow/internal/decide/configlog"
)

// followService answers the long polls of followers, the routers.
type followService struct {
	maxPollWait   time.Duration // used where a call names none
	leaseDuration time.Duration
	maxWaiting    int
	stateMachine  *stateMachine
	leases        *leaseTable
	pending       *pendingFollowers
	counters      *counters
	stopping      <-chan struct{} // closed when calls have to end
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

// handleFollow is `POST /v1/follow`: a follower reports its status and receives a newer revision, as soon as there is
// one. A process that is not on the replicated roster receives nothing until it is: from then on no convergence status
// leaves it out.
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

// pollWait bounds the wait that a follower requests to half a lease, so that its lease outlives the call.
func (s *followService) pollWait(requestedMS *int) time.Duration {
	if requestedMS == nil {
		return s.maxPollWait
	}
	limitMS := int((s.leaseDuration / 2).Milliseconds())
	return time.Duration(min(max(*requestedMS, 0), limitMS)) * time.Millisecond
}

// waitForUpdate returns what a follower needs as soon as there is something; false when the time is up. That this
// keeper is behind the follower is reported only at the end: the keeper may yet catch up, and the follower doesn't call
// again at once.
func (s *followService) waitForUpdate(
	ctx context.Context, status configlog.FollowerStatus, wait time.Duration,
) (update configlog.Update, found bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	enrollmentRequested := false
	for {
		update, registered, changed := s.stateMachine.nextUpdate(status)
		if !registered && !enrollmentRequested {
			// Once a call: several processes under one name, more than the roster keeps, would replace each other for
			// ever.
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
