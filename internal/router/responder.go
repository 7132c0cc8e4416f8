package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// Reason is why a request failed. The front derives the error for the client from it.
type Reason int

// Reasons for a failure.
const (
	ReasonEngine   Reason = iota // an engine failed, or may have started an at-most-once request
	ReasonDeadline               // the request's deadline has passed
)

// ResponseHandler receives the final answer to a request and is implemented by the fronts. Exactly one of its methods
// is called, once, in the loop's goroutine, unless the front calls Abandon first.
type ResponseHandler interface {
	Served(*Result)
	// Rejected means that the request did not run and that the client may retry it after retryAfterMS milliseconds. If
	// that is 0, the router gives no advice on when to retry.
	Rejected(retryAfterMS float64)
	// Failed means that the request failed. It may have run.
	Failed(Reason)
}

const (
	// answerMarginMS is how much earlier the router's own deadline for a request is than the client's deadline, so that
	// the final answer reaches the client while it still waits.
	answerMarginMS = 30.0
	// answerGuardMS is the time after a request's deadline at which the core fails the request if the dispatch module
	// has not answered it, whatever the cause. The guard never fires while the dispatch module works correctly.
	answerGuardMS = 15.0
	// deadlineToleranceMS is how long before a request's deadline a failure already counts as ReasonDeadline.
	deadlineToleranceMS = 1.0
)

// responder sends the final answers of requests to their handlers, and counts and reports them.
type responder struct {
	dependencies
	attempts *attemptTracker
}

// armGuard sets the answer guard of a request to answerGuardMS after its deadline.
func (r *responder) armGuard(request *request) {
	request.guard.Stop()
	request.guard = r.loop.At(max(request.deadline, r.loop.Now())+answerGuardMS, func() { r.failOverdue(request) })
}

// serve answers a request with the result of one of its attempts.
func (r *responder) serve(attempt *attempt, result *Result) {
	request := attempt.request
	handler := r.close(request)
	r.statistics.Counters.Served++
	r.statistics.ByClass[request.Class].Served++
	r.observe(request, Answer{Kind: AnswerServed, ObjectiveMS: r.objective(request, result), Engine: attempt.engine})
	handler.Served(result)
}

// reject rejects a request, as the dispatch module decided.
func (r *responder) reject(request *request, retryAfterMS float64) {
	if request == nil || !request.open() {
		return
	}
	handler := r.close(request)
	r.sendRejection(request, handler, r.rejectionReason(request), retryAfterMS)
}

// rejectClaimTimeout rejects a request because the other process did not reply to the claim of its id in time.
func (r *responder) rejectClaimTimeout(request *request) {
	handler := r.close(request)
	retryAfterMS := r.settings.Load().retryAfter(claimRetryAfterMS)
	r.sendRejection(request, handler, "no word of the router's other process", retryAfterMS)
}

func (r *responder) sendRejection(request *request, handler ResponseHandler, reason string, retryAfterMS float64) {
	r.statistics.Counters.Rejected++
	r.statistics.ByClass[request.Class].Rejected++
	r.observe(request, Answer{Kind: AnswerRejected, Reason: reason})
	handler.Rejected(retryAfterMS)
}

// failByModule fails a request, as the dispatch module decided.
func (r *responder) failByModule(request *request) {
	if request == nil || !request.open() {
		return
	}
	reason := ReasonEngine
	if r.loop.Now() >= request.deadline-deadlineToleranceMS {
		reason = ReasonDeadline
	}
	r.fail(request, reason)
}

func (r *responder) fail(request *request, reason Reason) {
	handler := r.close(request)
	r.statistics.Counters.Failed++
	r.statistics.ByClass[request.Class].Failed++
	r.observe(request, Answer{Kind: AnswerFailed, Reason: failureReason(request, reason)})
	handler.Failed(reason)
}

// failOverdue fails a request that the dispatch module has not answered; see answerGuardMS.
func (r *responder) failOverdue(request *request) {
	if !request.open() {
		return
	}
	r.statistics.Counters.Overdue++
	r.log.Error("request overdue", "request_id", request.ID, "class", request.Class, "outstanding", request.outstanding)
	r.fail(request, ReasonDeadline)
	r.queue.add(dispatch.ClientGone{Request: request.key})
}

// abandon ends a request without an answer, because its client disconnected or canceled it.
func (r *responder) abandon(request *request) {
	if request == nil || !request.open() {
		return
	}
	r.statistics.Counters.Abandoned++
	r.close(request)
	r.queue.add(dispatch.ClientGone{Request: request.key})
	r.observe(request, Answer{Kind: AnswerClientGone})
}

// close closes a request and returns its handler. It cancels attempts that were not sent completely, because no client
// waits for them. Other attempts are still reported to the dispatch module.
func (r *responder) close(request *request) ResponseHandler {
	handler := r.requests.close(request)
	request.guard.Stop()
	r.ids.publish(request.ID, IDDone)
	r.attempts.cancelAllUnsent(request)
	return handler
}

// limitDeadline sets the deadline of a request and the timeouts of its attempts to the shutdown deadline, if that is
// earlier than the request's deadline.
func (r *responder) limitDeadline(request *request, shutdownAt float64) {
	if request.deadline <= shutdownAt {
		return
	}
	request.deadline = shutdownAt
	r.armGuard(request)
	r.attempts.limitTimeouts(request, shutdownAt)
}

// observe reports an answer to the observer, if there is one.
func (r *responder) observe(request *request, answer Answer) {
	if r.hooks.Observer == nil {
		return
	}
	answer.TookMS = r.loop.Now() - request.SentAtMS
	if last := request.lastAttempt(); answer.Engine == 0 && last != nil {
		answer.Engine = last.engine
	}
	r.hooks.Observer.RequestAnswered(request.Request, answer)
}

// objective returns the latency objective for a request in milliseconds. It depends on the class and on the work that
// the engine reported, or on the client's estimate if the engine reported none.
func (r *responder) objective(request *request, result *Result) float64 {
	class := r.settings.Load().classes[request.Class]
	work := request.EstimateMS
	if result != nil && result.WorkMS > 0 {
		work = result.WorkMS
	}
	return clock.Millis(class.LatencyObjective) + class.ObjectiveStretch*work/float64(max(class.Threads, 1))
}

// outcomeReasons are the reasons in Answer for the outcome of a request's last attempt. Records store them: the texts
// must not change.
var outcomeReasons = map[dispatch.Outcome]string{
	dispatch.EngineFailed:    "the engine failed",
	dispatch.EngineFull:      "the engine was full",
	dispatch.TimedOut:        "the engine did not answer in time",
	dispatch.ConnectFailed:   "no connection to the engine",
	dispatch.ConnectionReset: "the connection to the engine broke",
	dispatch.Cancelled:       "given up",
	dispatch.NotSent:         "not sent",
}

// failureReason returns the reason in Answer for a failed request. Records store it.
func failureReason(request *request, reason Reason) string {
	text := "no attempt"
	if last := request.lastAttempt(); last != nil {
		text = "no answer yet"
		if last.ended {
			text = outcomeReasons[last.outcome]
		}
	}
	if reason == ReasonDeadline {
		return "the time ran out: " + text
	}
	return text
}

// rejectionReason returns the reason in Answer for a request that the dispatch module rejected. Records store it. The
// dispatch module gives no reason, so it is derived from the last attempt and the endpoint table.
func (r *responder) rejectionReason(request *request) string {
	switch last := request.lastAttempt(); {
	case last != nil:
		return "turned away: " + outcomeReasons[last.outcome]
	case r.endpoints.count() == 0:
		return "no engine is listed"
	}
	return "no room in time"
}
