package keeper

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

// maxChangeAttempts bounds how often a change is checked and proposed when another revision is committed in between.
const maxChangeAttempts = 3

const busyReason = "other changes are being committed; try again later"

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
	semaphore    chan struct{} // capacity 1: changes are checked and replicated one at a time
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

// changeResult is the response to a committed change. If Repeated is true, a change with the same id was committed
// before, and Revision is the revision of that commit.
type changeResult struct {
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
}

// handleChange handles `POST /v1/changes`.
func (s *changeService) handleChange(w http.ResponseWriter, r *http.Request) response {
	var change configlog.Change
	body, failure := readBody(w, r, maxBodyBytes, &change)
	if failure != nil {
		return *failure
	}
	return s.propose(r, change, body, changesPath)
}

// handleRevert handles `POST /v1/revert`.
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

// commit checks and replicates a change; this keeper must be the leader. Changes are handled one at a time, so that
// each is checked against the content that it will be applied to. If another leader has committed a revision in
// between, the base of the log entry is no longer current and the entry has no effect.
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

// attempt checks a change against the current content and replicates it. done is false if another revision was
// committed in between, so that the change has to be checked again.
func (s *changeService) attempt(change configlog.Change) (result response, done bool) {
	base, content, changeErr := s.stateMachine.preview(change)
	if changeErr == nil {
		changeErr = s.check(content)
	}
	if changeErr != nil {
		// A leader that was partitioned or paused may hold outdated content, and must not reject a change on that
		// basis: the group may have elected another leader and committed revisions since.
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
