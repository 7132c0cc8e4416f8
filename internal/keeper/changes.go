package keeper

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

// maxChangeAttempts bounds how often a change is checked again because another revision was made meanwhile.
const maxChangeAttempts = 3

const busyReason = "too many changes wait for the one before them"

const (
	changesPath = "/v1/changes"
	revertPath  = "/v1/revert"
)

// changeService accepts changes to the configuration.
type changeService struct {
	check        Check
	timeout      time.Duration
	log          *slog.Logger
	stateMachine *stateMachine
	replication  *replication
	proxy        *leaderProxy
	counters     *counters
	semaphore    chan struct{} // contains one token: one change at a time is checked and replicated
}

func newChangeService(
	options *Options, machine *stateMachine, replication *replication, proxy *leaderProxy, counters *counters,
) *changeService {
	return &changeService{
		check:        options.Check,
		timeout:      options.ChangeTimeout,
		log:          options.Log,
		stateMachine: machine,
		replication:  replication,
		proxy:        proxy,
		counters:     counters,
		semaphore:    make(chan struct{}, 1),
	}
}

// changeResult is the answer to a change that has a revision.
type changeResult struct {
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
}

// handleChange is `POST /v1/changes`.
func (s *changeService) handleChange(w http.ResponseWriter, r *http.Request) response {
	var change configlog.Change
	body, failure := readBody(w, r, maxBodyBytes, &change)
	if failure != nil {
		return *failure
	}
	return s.propose(r, change, body, changesPath)
}

// handleRevert is `POST /v1/revert`.
func (s *changeService) handleRevert(w http.ResponseWriter, r *http.Request) response {
	var request struct {
		ID     string  `json:"id"`
		To     *uint64 `json:"to"`
		Expect *uint64 `json:"expect"`
		Note   string  `json:"note"`
	}
	body, failure := readBody(w, r, maxBodyBytes, &request)
	if failure != nil {
		return *failure
	}
	if request.To == nil {
		return malformedResponse("field to is missing: the revision whose content is to be in force again")
	}
	change := configlog.Change{ID: request.ID, Expect: request.Expect, RevertTo: request.To, Note: request.Note}
	return s.propose(r, change, body, revertPath)
}

func (s *changeService) propose(r *http.Request, change configlog.Change, body []byte, path string) response {
	if change.ID == "" {
		return malformedResponse("field id is missing: it makes a repeated call one change")
	}
	s.counters.changesReceived.Add(1)
	call := newLeaderCall(r, path, body, func(ctx context.Context) response { return s.commit(ctx, change) })
	result := s.proxy.do(r.Context(), s.timeout, call)
	if result.status == http.StatusServiceUnavailable {
		s.counters.changesUnserved.Add(1)
	}
	return result
}

// commit checks and replicates a change, as the leader. It handles one change at a time, so that each is
// checked against the content that it will be applied to; an entry whose base is no longer in force (another leader
// made a revision meanwhile) does nothing.
func (s *changeService) commit(ctx context.Context, change configlog.Change) response {
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	case <-ctx.Done():
		return unavailableResponse(errorBusy, effectNone, busyReason)
	}
	if err := s.replication.ensureCaughtUp(); err != nil {
		return s.replication.failureResponse(err, effectNone)
	}
	change.AtMS = time.Now().UnixMilli()
	for range maxChangeAttempts {
		if result, done := s.attempt(change); done {
			return result
		}
	}
	return unavailableResponse(errorBusy, effectNone, busyReason)
}

// attempt checks a change against the content in force and replicates it. done is false if another revision was
// made meanwhile.
func (s *changeService) attempt(change configlog.Change) (result response, done bool) {
	base, content, changeErr := s.stateMachine.preview(change)
	if changeErr == nil {
		changeErr = s.check(content)
	}
	if changeErr != nil {
		// A leader that was cut off or stopped must not answer for a group that has gone on without it.
		if err := s.replication.verifyLeader(); err != nil {
			return s.replication.failureResponse(err, effectNone), true
		}
		return s.reject(changeErr), true
	}
	applied, err := s.replication.apply(command{Change: &changeCommand{Base: base, Change: change}})
	if err != nil {
		return s.replication.failureResponse(err, effectUnknown), true
	}
	outcome := applied.(changeOutcome)
	switch {
	case outcome.BaseMoved:
		return response{}, false
	case outcome.Err != nil:
		return s.reject(outcome.Err), true
	}
	if !outcome.Repeated {
		s.counters.changesMade.Add(1)
		s.log.Info("revision committed", "revision", outcome.Revision, "change_id", change.ID)
	}
	return okResponse(changeResult{Revision: outcome.Revision, Repeated: outcome.Repeated}), true
}

func (s *changeService) reject(err *configerror.Error) response {
	s.counters.changesRejected.Add(1)
	return changeErrorResponse(err)
}
