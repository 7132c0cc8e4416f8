package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// Reason tells a front why a request failed.
type Reason int

// Reasons for a failure.
const (
	ReasonEngine   Reason = iota // an engine failed, or may have started an at-most-once request
	ReasonDeadline               // the request's deadline has passed
)

// ResponseHandler is the front's end of a request. Exactly one of its methods is called, once, unless the front takes
// the request back with Abandon.
type ResponseHandler interface {
	Served(*Result)
	// Rejected says that the request did not run, and after how many milliseconds the client should retry.
	Rejected(retryAfterMS float64)
	Failed(Reason)
}

const (
	// answerMarginMS is kept before the client's deadline, so that the final answer is sent while the client still
	// waits.
	answerMarginMS = 30.0
	// answerGuardMS is when, after a request's deadline, the core answers in place of the module. It guards against a
	// request without an answer, whatever the cause; it never fires while the module does its work.
	answerGuardMS = 15.0
	// deadlineToleranceMS is how long before its deadline a request that fails counts as one whose deadline has passed.
	deadlineToleranceMS = 1.0
)

// responder sends requests their final answers.
type responder struct {
	dependencies
	attempts *attemptTracker
}

// armGuard sets the answer guard of a request by its deadline.
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

// reject rejects a request as the module decided.
func (r *responder) reject(request *request, retryAfterMS float64) {
	if request == nil || !request.open() {
		return
	}
	handler := r.close(request)
	r.sendRejection(request, handler, r.rejectionReason(request), retryAfterMS)
}

// rejectClaimTimeout rejects a request because the other process did not answer the claim of its id.
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

// failByModule fails a request as the module decided.
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

// failOverdue answers in place of the module; see answerGuardMS.
func (r *responder) failOverdue(request *request) {
	if !request.open() {
		return
	}
	r.statistics.Counters.Overdue++
	r.log.Error("request overdue", "request_id", request.ID, "class", request.Class, "outstanding", request.outstanding)
	r.fail(request, ReasonDeadline)
	r.queue.add(dispatch.ClientGone{Request: request.key})
}

// abandon ends a request whose client is gone; it gets no answer.
func (r *responder) abandon(request *request) {
	if request == nil || !request.open() {
		return
	}
	r.statistics.Counters.Abandoned++
	r.close(request)
	r.queue.add(dispatch.ClientGone{Request: request.key})
	r.observe(request, Answer{Kind: AnswerClientGone})
}

// close closes a request and returns its handler. Attempts that were sent continue being reported to the module; the
// others are taken back, because no client waits for them.
func (r *responder) close(request *request) ResponseHandler {
	handler := r.requests.close(request)
	request.guard.Stop()
	r.ids.publish(request.ID, IDDone)
	r.attempts.cancelAllUnsent(request)
	if !request.arriving {
		r.requests.removeEnded(request)
	}
	return handler
}

// limitDeadline moves the deadline of a request to the shutdown deadline, if that is earlier.
func (r *responder) limitDeadline(request *request, shutdownAt float64) {
	if request.deadline <= shutdownAt {
		return
	}
	request.deadline = shutdownAt
	r.armGuard(request)
	r.attempts.limitTimeouts(request, shutdownAt)
}

// observe reports an answer to the observer.
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

// objective is the time in milliseconds within which an answer meets the class's latency objective, by the work that
// the engine reported, else by the client's estimate.
func (r *responder) objective(request *request, result *Result) float64 {
	class := r.settings.Load().classes[request.Class]
	work := request.EstimateMS
	if result != nil && result.WorkMS > 0 {
		work = result.WorkMS
	}
	return clock.Millis(class.LatencyObjective) + class.ObjectiveStretch*work/float64(max(class.Threads, 1))
}

// outcomeReasons are the texts of records for how the last attempt ended.
var outcomeReasons = map[dispatch.Outcome]string{
	dispatch.EngineFailed:    "the engine failed",
	dispatch.EngineFull:      "the engine was full",
	dispatch.TimedOut:        "the engine did not answer in time",
	dispatch.ConnectFailed:   "no connection to the engine",
	dispatch.ConnectionReset: "the connection to the engine broke",
	dispatch.Cancelled:       "given up",
	dispatch.NotSent:         "not sent",
}

// failureReason is the text of a failure in records.
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

// rejectionReason is the text in records of a rejection by the module, by what the core knows of it.
func (r *responder) rejectionReason(request *request) string {
	switch last := request.lastAttempt(); {
	case last != nil:
		return "turned away: " + outcomeReasons[last.outcome]
	case r.endpoints.count() == 0:
		return "no engine is listed"
	}
	return "no room in time"
}
