package dispatch

import "time"

const (
	// badPlanFactor and badPlanRemainder detect a bad query plan: the projected total time exceeds the expected time by
	// more than badPlanFactor, and the remaining time exceeds badPlanRemainder times the expected time.
	badPlanFactor    = 4.0
	badPlanRemainder = 2
	// silentIntervals is the number of progress intervals without a report after which an attempt counts as silent.
	// Engines also report on queries in their queue.
	silentIntervals = 1.6
	// silentFactor is the multiple of the expected time after which an attempt counts as silent if engines send no
	// progress reports.
	silentFactor = 6.0
	// minFraction is the lower bound of a reported fraction done, because the projected total time is divided by it.
	minFraction = 0.01
	// maxEngineErrors is the number of engines that may answer a request with an error before the request itself is
	// considered the cause. Ordinary requests get an error in a few of a thousand answers. Without the limit, each
	// further error would wrongly count against one more engine.
	maxEngineErrors = 2
)

// attempt returns the attempt with that index if it is still outstanding, else nil.
func (t *requestTracker) attempt(id RequestID, index int) *attempt {
	req := t.byID[id]
	if req == nil || index < 0 || index >= len(req.attempts) || req.attempts[index].ended {
		return nil
	}
	return req.attempts[index]
}

// start starts the request's next attempt on an engine, if the retry rules and the ordering of its key allow it.
func (t *requestTracker) start(req *request, target *engine) {
	if !t.retries.allows(req, target) || t.ordering.blocks(req) {
		return
	}
	t.queues.remove(req)
	next := &attempt{
		request:    req,
		engine:     target,
		index:      len(req.attempts),
		startedAt:  t.env.now,
		progressAt: t.env.now,
		work:       req.work(),
		grantMB:    t.capacity.grant(req, target),
		mayHaveRun: true,
		preferred:  req.class == t.classes.preferred,
	}
	if next.index > 0 {
		t.retries.recordRetry()
	}
	req.attempts = append(req.attempts, next)
	req.outstanding++
	t.capacity.attemptStarted(next)
	t.outliers.recordAttempt(target)
	t.warmUps.recordSent(next)
	t.deadlines.checkAt(t.nextCheck(req))
	t.emitStart(next)
}

func (t *requestTracker) emitStart(a *attempt) {
	resources := SetResources{Request: a.request.id, GrantMB: a.grantMB}
	if a.preferred {
		resources.Priority = preferredPriority
	}
	if t.env.config.Features.Priorities || a.grantMB > 0 {
		t.env.emit(resources)
	}
	within := t.retries.startWithin(a.request, a.engine)
	t.env.emit(StartAttempt{Request: a.request.id, Engine: a.engine.ID, StartWithin: within})
}

// cancel cancels an attempt. Its end is reported later by an AttemptEnd event.
func (t *requestTracker) cancel(a *attempt) {
	a.cancelled = true
	t.env.emit(CancelAttempt{Request: a.request.id, Attempt: a.index})
}

// reroute cancels an attempt that takes far too long, so that the request runs on another engine. This helps against
// bad plans, stuck engines and lost answers, but wastes work if the estimate was wrong.
func (t *requestTracker) reroute(a *attempt) {
	req := a.request
	if req.finished || a.cancelled || a.streaming || t.env.now+req.expectedTime(t.env) > req.deadline {
		return
	}
	if t.retries.mayReroute(req) {
		t.cancel(a)
	}
}

// isSilent reports whether an attempt has sent no progress for too long because a network link is cut, an engine is
// stuck or an answer is lost.
func (t *requestTracker) isSilent(a *attempt) bool {
	return !a.ended && !a.attributed && !a.streaming && t.env.now > t.silentAt(a)
}

// silentAt returns the time at which an attempt counts as silent if no further progress is reported. The interval
// restarts after a pause of this process.
func (t *requestTracker) silentAt(a *attempt) time.Duration {
	limit := seconds(silentFactor * a.request.expectedTime(t.env).Seconds() * a.engine.health.currentSlowness(t.env))
	if interval := t.env.config.Features.ProgressInterval; interval > 0 {
		limit = seconds(silentIntervals * interval.Seconds())
	}
	return max(a.progressAt, t.deadlines.pausedAt) + limit
}

// onProgress handles a progress report of an attempt.
func (t *requestTracker) onProgress(event AttemptProgress) {
	reported := t.attempt(event.Request, event.Attempt)
	if reported == nil {
		return
	}
	reported.progressAt = t.env.now
	switch event.Kind {
	case ProgressSpilling:
		t.learner.onSpill(reported, event.Amount)
	case ProgressBlocked:
		if event.Amount == blockedOnLoad {
			t.learner.onBlocked(reported)
		}
	case ProgressFraction:
		t.onFraction(reported, event.Amount)
	case ProgressAlive:
	}
}

// onFraction reroutes an attempt if its reported progress indicates a bad query plan.
func (t *requestTracker) onFraction(a *attempt, fraction float64) {
	elapsed := (t.env.now - a.startedAt).Seconds()
	total := elapsed / max(fraction, minFraction)
	expected := a.request.expectedTime(t.env).Seconds() * a.engine.health.currentSlowness(t.env)
	if a.request.hasEstimate && total > badPlanFactor*expected && total-elapsed > badPlanRemainder*expected {
		t.reroute(a)
	}
}

// onAttemptEnd records the outcome of an attempt, and then retries or ends its request.
func (t *requestTracker) onAttemptEnd(event AttemptEnd) {
	a := t.attempt(event.Request, event.Attempt)
	if a == nil {
		return
	}
	req := a.request
	a.ended = true
	req.outstanding--
	t.capacity.attemptEnded(a)
	a.mayHaveRun = !event.Outcome.provesNotRun()
	t.ordering.recordOutcome(req, event.Outcome)
	t.learner.learn(a, event)
	switch {
	case event.Last || event.Outcome == Served:
		t.finish(req)
	case !req.finished && req.outstanding == 0:
		t.retry(req, event.Outcome)
	}
	t.removeIfComplete(req)
	t.release()
}

// retry queues a request for its next attempt, or ends the request if no further attempt is possible.
func (t *requestTracker) retry(req *request, outcome Outcome) {
	switch {
	case !t.retries.mayRetry(req, outcome):
		t.reject(req)
	case req.engineErrors >= maxEngineErrors:
		t.fail(req) // after a rejection the client would send the same request again
	default:
		t.enqueue(req, true)
	}
}
