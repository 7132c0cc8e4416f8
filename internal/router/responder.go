package router

import (
	"log/slog"
	"sync/atomic"

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
	// answerMarginMS is kept before the client's deadline, so that the final answer is sent while the client still waits.
	answerMarginMS = 30.0
	// answerGuardMS is when, after a request's deadline, the core answers in place of the module. It guards against a
	// request without an answer, whatever the cause; it never fires while the module does its work.
	answerGuardMS = 15.0
	// deadlineToleranceMS is how long before its deadline a request that fails counts as one whose deadline has passed.
	deadlineToleranceMS = 1.0
)

// responder gives requests their final answers.
type responder struct {
	loop       *Loop
	log        *slog.Logger
	settings   *atomic.Pointer[settings]
	hooks      *Hooks
	statistics *Statistics
	queue      *eventQueue
	requests   *requestTable
	ids        *requestIDs
	endpoints  *endpointTable
	attempts   *attemptTracker
}

// armGuard sets the answer guard of a request by its deadline.
func (p *responder) armGuard(r *request) {
	r.guard.Stop()
	r.guard = p.loop.At(max(r.deadline, p.loop.Now())+answerGuardMS, func() { p.failOverdue(r) })
}

// serve answers a request with the result of one of its attempts.
func (p *responder) serve(a *attempt, result *Result) {
	r := a.request
	handler := p.close(r)
	p.statistics.Counters.Served++
	p.statistics.ByClass[r.Class].Served++
	p.observe(r, Answer{Kind: AnswerServed, ObjectiveMS: p.objective(r, result), Engine: a.engine})
	handler.Served(result)
}

// reject rejects a request as the module decided.
func (p *responder) reject(r *request, retryAfterMS float64) {
	if r == nil || !r.open() {
		return
	}
	handler := p.close(r)
	p.sendRejection(r, handler, p.rejectionReason(r), retryAfterMS)
}

// rejectUnclaimed rejects a request because the other process did not answer the claim of its id.
func (p *responder) rejectUnclaimed(r *request) {
	handler := p.close(r)
	retryAfterMS := p.settings.Load().retryAfter(claimRetryAfterMS)
	p.sendRejection(r, handler, "no word of the router's other process", retryAfterMS)
}

func (p *responder) sendRejection(r *request, handler ResponseHandler, reason string, retryAfterMS float64) {
	p.statistics.Counters.Rejected++
	p.statistics.ByClass[r.Class].Rejected++
	p.observe(r, Answer{Kind: AnswerRejected, Reason: reason})
	handler.Rejected(retryAfterMS)
}

// failByModule fails a request as the module decided.
func (p *responder) failByModule(r *request) {
	if r == nil || !r.open() {
		return
	}
	reason := ReasonEngine
	if p.loop.Now() >= r.deadline-deadlineToleranceMS {
		reason = ReasonDeadline
	}
	p.fail(r, reason)
}

func (p *responder) fail(r *request, reason Reason) {
	handler := p.close(r)
	p.statistics.Counters.Failed++
	p.statistics.ByClass[r.Class].Failed++
	p.observe(r, Answer{Kind: AnswerFailed, Reason: failureReason(r, reason)})
	handler.Failed(reason)
}

// failOverdue answers in place of the module; see answerGuardMS.
func (p *responder) failOverdue(r *request) {
	if !r.open() {
		return
	}
	p.statistics.Counters.Overdue++
	p.log.Error("request overdue", "request_id", r.ID, "class", r.Class, "outstanding", r.outstanding)
	p.fail(r, ReasonDeadline)
	p.queue.add(dispatch.ClientGone{Request: r.key})
}

// abandon ends a request whose client is gone; it gets no answer.
func (p *responder) abandon(r *request) {
	if r == nil || !r.open() {
		return
	}
	p.statistics.Counters.Abandoned++
	p.close(r)
	p.queue.add(dispatch.ClientGone{Request: r.key})
	p.observe(r, Answer{Kind: AnswerClientGone})
}

// close closes a request and returns its handler. Attempts that were sent go on being reported to the module; the others
// are taken back, because no client waits for them.
func (p *responder) close(r *request) ResponseHandler {
	handler := p.requests.close(r)
	r.guard.Stop()
	p.ids.publish(r.ID, IDDone)
	p.attempts.cancelAllUnsent(r)
	if !r.arriving {
		p.requests.removeEnded(r)
	}
	return handler
}

// limitDeadline moves the deadline of a request to the shutdown deadline, if that comes first.
func (p *responder) limitDeadline(r *request, shutdownAt float64) {
	if r.deadline <= shutdownAt {
		return
	}
	r.deadline = shutdownAt
	p.armGuard(r)
	p.attempts.limitTimeouts(r, shutdownAt)
}

// observe reports an answer to the observer.
func (p *responder) observe(r *request, answer Answer) {
	if p.hooks.Observer == nil {
		return
	}
	answer.TookMS = p.loop.Now() - r.SentAtMS
	if last := r.lastAttempt(); answer.Engine == 0 && last != nil {
		answer.Engine = last.engine
	}
	p.hooks.Observer.RequestAnswered(r.Request, answer)
}

// objective is the time in milliseconds within which an answer meets the class's latency objective, by the work that the
// engine reported, else by the client's estimate.
func (p *responder) objective(r *request, result *Result) float64 {
	class := p.settings.Load().classes[r.Class]
	work := r.EstimateMS
	if result != nil && result.WorkMS > 0 {
		work = result.WorkMS
	}
	return clock.Millis(class.LatencyObjective) + class.ObjectiveStretch*work/float64(max(class.Threads, 1))
}

// outcomeReasons are the texts of records for how the last attempt ended.
var outcomeReasons = map[dispatch.Outcome]string{
	dispatch.EngineFailed: "the engine failed", dispatch.EngineFull: "the engine was full",
	dispatch.TimedOut: "the engine did not answer in time", dispatch.ConnectFailed: "no connection to the engine",
	dispatch.ConnectionReset: "the connection to the engine broke", dispatch.Cancelled: "given up", dispatch.NotSent: "not sent",
}

// failureReason is the text of a failure in records.
func failureReason(r *request, reason Reason) string {
	text := "no attempt"
	if last := r.lastAttempt(); last != nil {
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
func (p *responder) rejectionReason(r *request) string {
	switch last := r.lastAttempt(); {
	case last != nil:
		return "turned away: " + outcomeReasons[last.outcome]
	case len(p.endpoints.engines) == 0:
		return "no engine is listed"
	}
	return "no room in time"
}
